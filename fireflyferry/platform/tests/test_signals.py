"""Signals at any moment in the life of a process of the platform program."""

import signal
import subprocess
import sys

import pytest

from fireflyferry.platform.soak.vms import SETTINGS
from fireflyferry.standins.ports import reserve_port

# Runs the program, which sends a signal to its own process at each import and each call for a
# socket, from the first import of the program on, and when the interpreter ends.
PROGRAM = """
import atexit, os, runpy, signal, sys

number = int(sys.argv[1])
sent, started = 0, False

def send(event, arguments):
    global sent, started
    started = started or (event == "import" and arguments[0] == "argparse")
    if started and event.startswith(("import", "socket.")):
        sent += 1
        os.kill(os.getpid(), number)

def at_exit():
    print("signals before the exit:", sent, flush=True)
    for each in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
        os.kill(os.getpid(), each)

atexit.register(at_exit)
sys.argv = ["fireflyferry.platform", "--settings", sys.argv[2]]
sys.addaudithook(send)
runpy.run_module("fireflyferry.platform", run_name="__main__", alter_sys=True)
"""


@pytest.fixture
def settings_path(tmp_path):
    reserved = [reserve_port() for _ in range(5)]
    ports = (each.getsockname()[1] for each in reserved)
    names = ("callers", "readiness", "peers", "metrics", "store")
    text = SETTINGS.format(
        vm_id="vm-1",
        data_centre="dc-1",
        capacity=1.0,
        regions="dc-1:r-1",
        drain_timeout_s=2,
        **dict(zip(names, ports, strict=True)),
    )
    path = tmp_path / "vm.ini"
    path.write_text(text)
    yield path
    for each in reserved:
        each.close()


def start(*arguments):
    return subprocess.Popen(
        [sys.executable, *arguments],
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM, signal.SIGINT])
def test_signals_from_the_first_import_to_the_exit_end_no_process(settings_path, number):
    """Guards against a process that a signal ends while it loads modules or closes its loop.

    SIGTERM and SIGINT that arrive before the program can handle them stop it once it can.
    """
    with start("-c", PROGRAM, str(int(number)), str(settings_path)) as process:
        lines = []
        for line in process.stdout:
            lines.append(line)
            if "event=started" in line and number is signal.SIGHUP:
                process.send_signal(signal.SIGHUP)
            if "event=settings_reloaded" in line:
                process.send_signal(signal.SIGTERM)
        shown = "".join(lines)
        assert process.wait() == 0, shown
    (line,) = (each for each in lines if each.startswith("signals before the exit"))
    assert int(line.split()[-1]) > 50, shown
    assert "event=stopped" in shown, shown
    assert ("event=settings_reloaded" in shown) is (number is signal.SIGHUP)


@pytest.mark.parametrize("fault", ["settings", "port"])
def test_signals_leave_the_exit_code_of_a_start_that_fails(settings_path, fault):
    """Guards against an exit code that a signal hides, so that nobody reads the message."""
    if fault == "settings":
        settings_path.write_text("[vm]\n")
    else:
        text = settings_path.read_text()
        settings_path.write_text(text.replace("callers = 127.0.0.1", "callers = 192.0.2.1"))
    with start("-c", PROGRAM, str(int(signal.SIGHUP)), str(settings_path)) as process:
        shown = process.stdout.read()
        assert process.wait() == {"settings": 2, "port": 3}[fault], shown
