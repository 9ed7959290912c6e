"""Starts the project's programs as processes and waits until they are ready."""

import pathlib
import signal
import subprocess
import sys
import time

import attrs

from fireflyferry.errors import FireflyferryError

__all__ = ["Program", "ProgramFailedError", "start_program"]

READY_TIMEOUT_S = 20.0


class ProgramFailedError(FireflyferryError):
    """A program ended or timed out before it was ready."""

    code = "program_failed"


@attrs.define
class Program:
    """A running program; `ready` holds the fields of each ready line."""

    name: str
    process: subprocess.Popen
    ready: list[dict[str, str]]
    log: pathlib.Path

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process with SIGKILL."""
        self.process.kill()
        self.process.wait()

    def terminate(self, timeout_s: float = 20.0) -> int:
        """Stop the process with SIGTERM and return its exit code.

        Raises subprocess.TimeoutExpired if it still runs after `timeout_s` seconds.
        """
        self.process.terminate()
        return self.process.wait(timeout_s)


def start_program(
    name: str, module: str, arguments: list[str], log: pathlib.Path, ready_lines: int = 1
) -> Program:
    """Start a module as a process and wait for its ready lines.

    Raises ProgramFailedError if it ends or times out before it is ready.
    """
    with log.open("ab") as stream:
        process = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            stdout=subprocess.PIPE,
            stderr=stream,
            stdin=subprocess.DEVNULL,
        )
    program = Program(name, process, [], log)
    deadline_s = time.monotonic() + READY_TIMEOUT_S
    while len(program.ready) < ready_lines:
        line = process.stdout.readline().decode()
        if not line or time.monotonic() > deadline_s:
            process.kill()
            raise ProgramFailedError(f"{name} is not ready; its log is {log}")
        words = line.split()
        if words and words[0] == "ready":
            program.ready.append(dict(word.split("=", 1) for word in words[1:]))
    return program
