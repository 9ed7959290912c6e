"""Guards against tracebacks and wrong exit codes, with the HTTP client and platform stand-in."""

import asyncio
import threading

import pytest
import tornado.httpserver
import tornado.testing

from fireflyferry.operators.main import main
from fireflyferry.standins.faults import Fault
from fireflyferry.standins.platform_server import Platform, make_application

SETTINGS = """
[store]
address = {address}
timeout_ms = 300
[secrets]
current = 0123456789abcdef
[operator]
author = ana
"""


class PlatformThread:
    """Platform stand-in on its own event loop in a thread."""

    def __init__(self):
        self._ready = threading.Event()
        self._thread = threading.Thread(target=lambda: asyncio.run(self._serve()))

    async def _serve(self):
        self.platform = Platform()
        self._stop, self._loop = asyncio.Event(), asyncio.get_running_loop()
        server = tornado.httpserver.HTTPServer(make_application(self.platform))
        sock, port = tornado.testing.bind_unused_port()
        server.add_socket(sock)
        self.address = f"127.0.0.1:{port}"
        self._ready.set()
        await self._stop.wait()
        server.stop()
        await server.close_all_connections()

    def __enter__(self):
        self._thread.start()
        self._ready.wait()
        return self

    def __exit__(self, *details):
        self._loop.call_soon_threadsafe(self._stop.set)
        self._thread.join()


@pytest.fixture
def server():
    with PlatformThread() as platform_thread:
        yield platform_thread


@pytest.fixture
def settings(server, tmp_path):
    path = tmp_path / "ctl.ini"
    path.write_text(SETTINGS.format(address=server.address))
    return str(path)


def test_edits_through_http_with_a_lost_answer(server, settings, capsys):
    ctl = ["--settings", settings]
    assert main([*ctl, "pools", "add", "janela", "data_centres=natal-1"]) == 0
    server.platform.faults.replace((Fault("lost_answer", operations=("put",), count=2),))
    assert main([*ctl, "pools", "set", "janela", "queue_length=9"]) == 0
    assert main([*ctl, "history"]) == 0
    lines = capsys.readouterr().out.splitlines()
    assert "~ pools janela queue_length: 64 -> 9" in lines
    assert [line.split()[0] for line in lines[-2:]] == ["2", "1"]


def test_unavailable_store_gives_a_message_and_code_3(server, settings, capsys):
    server.platform.faults.replace((Fault("outage", "refuse"),))
    assert main(["--settings", settings, "pools", "show"]) == 3
    assert capsys.readouterr().err.startswith("fireflyferryctl: store_unavailable\n")


def test_operators_mistakes_give_a_message_and_no_traceback(tmp_path, monkeypatch, capsys):
    monkeypatch.delenv("FIREFLYFERRYCTL_SETTINGS", raising=False)
    bad = tmp_path / "bad.ini"
    bad.write_text("[store]\naddress = nowhere\n[secrets]\ncurrent = short-secret\n")
    assert main(["status"]) == 2
    assert main(["--settings", str(bad), "status"]) == 2
    assert main(["--settings", str(tmp_path / "absent"), "status"]) == 2
    assert main(["validate", str(tmp_path / "absent")]) == 2
    assert main(["validate", str(bad)]) == 1
    errors = capsys.readouterr().err
    assert "Traceback" not in errors and "short-secret" not in errors
    assert "bad.ini: [store] address: found 'nowhere', allowed: IP:PORT" in errors


@pytest.mark.parametrize(
    "arguments",
    [[], ["routes"], ["routes", "add", "w"], ["undo", "x"], ["drain", "a/b"], ["nonsense"]],
)
def test_wrong_command_line_exits_with_code_2(arguments):
    with pytest.raises(SystemExit) as caught:
        main(arguments)
    assert caught.value.code == 2


@pytest.mark.parametrize(
    "command",
    [
        "", "routes", "routes show", "routes add", "routes set", "routes remove", "pools",
        "pools add", "show", "validate", "diff", "apply", "history", "undo", "assign", "drain",
        "declare-lost", "status",
    ],
)  # fmt: skip
def test_every_command_has_help(command, capsys):
    with pytest.raises(SystemExit) as caught:
        main([*command.split(), "--help"])
    assert caught.value.code == 0
    assert "usage: fireflyferryctl" in capsys.readouterr().out
