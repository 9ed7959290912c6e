"""Guards against programs that print a traceback for wrong arguments."""

import asyncio
import os
import signal

import pytest

from fireflyferry.standins import platform_main, upstream_main


@pytest.mark.parametrize(
    ("program", "arguments", "exit_code", "shown"),
    [
        (platform_main, ["--vms", "no/such/file"], 2, "no/such/file"),
        (platform_main, ["--vms", __file__], 2, "not a valid"),
        (platform_main, ["--address", "192.0.2.1"], 3, "cannot listen on 192.0.2.1"),
        (upstream_main, ["--instance", "u1:janela"], 2, "ID:POOL:PORT"),
    ],
)
def test_wrong_arguments_give_a_message_and_an_exit_code(
    capsys, program, arguments, exit_code, shown
):
    assert program.main(arguments) == exit_code
    error = capsys.readouterr().err
    assert shown in error
    assert "Traceback" not in error


@pytest.mark.parametrize(
    ("program", "option", "value"),
    [
        (platform_main, "--port", "99999"),
        (platform_main, "--vms-lag-s", "nan"),
        (upstream_main, "--slots", "0"),
    ],
)
def test_values_out_of_range_are_refused(capsys, program, option, value):
    """Guards against a port of 99999, which the C library accepts as 34463."""
    with pytest.raises(SystemExit) as stopped:
        program.main([option, value])
    assert stopped.value.code == 2
    assert option in capsys.readouterr().err


def test_program_prints_its_addresses_and_stops_on_sigterm(capsys, monkeypatch):
    """Guards against a port that the kernel chose and that the program does not report."""

    async def start_and_stop_soon(arguments):
        await real_start(arguments)
        asyncio.get_running_loop().call_later(0.05, os.kill, os.getpid(), signal.SIGTERM)

    real_start = upstream_main._start
    monkeypatch.setattr(upstream_main, "_start", start_and_stop_soon)
    arguments = ["--instance", "u1:janela:0", "--instance", "u2:janela:0"]
    assert upstream_main.main(arguments) == 0
    lines = capsys.readouterr().out.splitlines()
    assert [line.rsplit(" ", 2)[1] for line in lines] == ["upstream=u1", "upstream=u2"]
    assert all(line.startswith("ready address=127.0.0.1:") for line in lines)
