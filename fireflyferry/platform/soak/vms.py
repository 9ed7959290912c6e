"""Entry VM processes of a soak: settings, start, signals, restart, end."""

import pathlib
import signal
import socket
import subprocess
import sys

import attrs

from fireflyferry.platform.soak.links import Link

__all__ = ["VmProcess", "free_port"]

SETTINGS = """[vm]
vm_id = {vm_id}
data_centre = {data_centre}
address = 127.0.0.1
callers = 127.0.0.1:{callers}
readiness = 127.0.0.1:{readiness}
peer_port = {peers}
metrics_port = {metrics}
processor_share = {capacity}

[regions]
data_centres = {regions}

[store]
address = 127.0.0.1:{store}

[bounds]
drain_timeout_s = 2
grace_period_s = 6
max_hold_s = 10
retry_share = 0.2
retry_window_s = 10
retry_least = 64

[log]
format = keyvalue
level = info
"""


def free_port() -> int:
    """Return a port that was free a moment ago."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


@attrs.define(eq=False)
class VmProcess:
    """One entry VM; `disturbed` tells that a promise about its shutdown does not hold now."""

    vm_id: str
    data_centre: str
    link: Link
    folder: pathlib.Path
    capacity: float = 1.0
    callers: int = attrs.field(factory=free_port)
    readiness: int = attrs.field(factory=free_port)
    peers: int = attrs.field(factory=free_port)
    metrics: int = attrs.field(factory=free_port)
    process: subprocess.Popen | None = None
    disturbed: bool = False
    stopping: bool = False
    starts: int = 0

    def write_settings(self, regions: str) -> None:
        """Write the settings file."""
        values = attrs.asdict(self, recurse=False)
        text = SETTINGS.format(**{**values, "regions": regions, "store": self.link.port})
        (self.folder / f"{self.vm_id}.ini").write_text(text)

    def start(self) -> None:
        """Start the process; its log goes on in the same file."""
        self.starts += 1
        self.stopping = self.disturbed = False
        settings = self.folder / f"{self.vm_id}.ini"
        with (self.folder / f"{self.vm_id}.log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "fireflyferry.platform", "--settings", str(settings)],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    @property
    def running(self) -> bool:
        """Whether the process lives."""
        return self.process is not None and self.process.poll() is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it lives."""
        if self.running:
            self.process.send_signal(number)

    def end(self) -> None:
        """End the process at once."""
        if self.running:
            self.process.kill()
        if self.process is not None:
            self.process.wait()
