"""Entry VM processes of the soak test: settings, start, signals and shutdown."""

import pathlib
import signal
import socket
import subprocess
import sys

import attrs

from fireflyferry.platform.soak.links import Link
from fireflyferry.standins.ports import reserve_port

__all__ = ["DRAIN_TIMEOUT_S", "VmProcess"]

DRAIN_TIMEOUT_S = 2.0
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
drain_timeout_s = {drain_timeout_s}
grace_period_s = 6
max_hold_s = 10
retry_share = 0.2
retry_window_s = 10
retry_least = 64

[log]
format = keyvalue
level = info
"""


@attrs.define(eq=False)
class VmProcess:
    """Process of one entry VM; `link` is its proxy to the store.

    `disturbed` is set once the process was killed or paused, after which its shutdown may cut
    requests. `stopping` is set once it got SIGTERM. `starts` counts its starts.
    """

    vm_id: str
    data_centre: str
    link: Link
    folder: pathlib.Path
    capacity: float = 1.0
    reserved_sockets: tuple[socket.socket, ...] = attrs.field(
        factory=lambda: tuple(reserve_port() for _ in range(4))
    )
    process: subprocess.Popen | None = None
    disturbed: bool = False
    stopping: bool = False
    starts: int = 0

    @property
    def ports(self) -> tuple[int, ...]:
        """Ports for callers, readiness, other VMs and metrics."""
        return tuple(each.getsockname()[1] for each in self.reserved_sockets)

    @property
    def callers_port(self) -> int:
        """Port for callers."""
        return self.ports[0]

    @property
    def readiness_port(self) -> int:
        """Port for readiness checks."""
        return self.ports[1]

    def write_settings(self, regions: str) -> None:
        """Write the settings file."""
        callers, readiness, peers, metrics = self.ports
        text = SETTINGS.format(
            vm_id=self.vm_id,
            drain_timeout_s=DRAIN_TIMEOUT_S,
            data_centre=self.data_centre,
            capacity=self.capacity,
            callers=callers,
            readiness=readiness,
            peers=peers,
            metrics=metrics,
            regions=regions,
            store=self.link.port,
        )
        (self.folder / f"{self.vm_id}.ini").write_text(text)

    def start(self) -> None:
        """Start the process; its log is appended to the same file."""
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
        """Whether the process is running."""
        return self.process is not None and self.process.poll() is None

    @property
    def ended_by_itself(self) -> bool:
        """Whether the process has ended, and not by a signal or a graceful shutdown.

        SIGHUP ends a process whose interpreter has not run the first line of the program yet.
        """
        if self.process is None or self.running or self.stopping:
            return False
        return self.process.returncode not in (-signal.SIGKILL, -signal.SIGHUP)

    @property
    def peak_memory_mb(self) -> float:
        """Peak of the resident memory of the running process."""
        if not self.running:
            return 0.0
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        peak_kb = next(line.split()[1] for line in status.splitlines() if line.startswith("VmHWM"))
        return int(peak_kb) / 1024

    def send(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.running:
            self.process.send_signal(signal_number)

    def close(self) -> None:
        """Kill the process if it is running, and free its ports."""
        if self.running:
            self.process.kill()
        if self.process is not None:
            self.process.wait()
        for each in self.reserved_sockets:
            each.close()
