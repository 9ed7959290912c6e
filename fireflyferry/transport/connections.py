"""Numbers that tell the connections of a transport apart."""

__all__ = ["ConnectionNumbers", "Endpoints"]

# Remote IP and port, local IP and port. Connections to different addresses may have one local port.
Endpoints = tuple[str, int, str, int]

MAX_KEPT = 65_536  # the oldest are dropped; one that is still open then counts as new


class ConnectionNumbers:
    """Numbers of the connections of a transport, in the order in which they were opened.

    As long as a connection is open, the process at its other end is the one that accepted it. A
    connection may fall silent without an end, and others to the same address with it; those that
    are distrusted are not used again.
    """

    def __init__(self) -> None:
        self._opened = 0
        self._by_endpoints: dict[Endpoints, int] = {}
        self._descriptors: dict[Endpoints, int] = {}
        self._distrusted: dict[str, int] = {}

    @property
    def opened(self) -> int:
        """How many connections have been opened so far."""
        return self._opened

    def on_opened(self, endpoints: Endpoints, descriptor: int = -1) -> int:
        """Number a new connection; its endpoints may have been those of one that was closed."""
        self._opened += 1
        self._by_endpoints.pop(endpoints, None)
        self._by_endpoints[endpoints] = self._opened
        self._descriptors[endpoints] = descriptor
        if len(self._by_endpoints) > MAX_KEPT:
            oldest = next(iter(self._by_endpoints))
            del self._by_endpoints[oldest], self._descriptors[oldest]
        return self._opened

    def descriptor(self, endpoints: Endpoints) -> int:
        """Return the descriptor of an open connection, -1 if it is not known."""
        return self._descriptors.get(endpoints, -1)

    def number(self, endpoints: Endpoints) -> int:
        """Return the number of an open connection."""
        return self._by_endpoints.get(endpoints) or self.on_opened(endpoints)

    def distrust(self, address: str) -> None:
        """Distrust the connections to `IP:PORT` that have been opened so far."""
        self._distrusted.pop(address, None)
        self._distrusted[address] = self._opened
        if len(self._distrusted) > MAX_KEPT:
            del self._distrusted[next(iter(self._distrusted))]

    def is_trusted(self, endpoints: Endpoints, number: int) -> bool:
        """Return whether a connection may be used again."""
        remote_ip, remote_port, *_ = endpoints
        return number > self._distrusted.get(f"{remote_ip}:{remote_port}", 0)
