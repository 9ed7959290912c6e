"""Numbers that tell the connections of a transport apart."""

__all__ = ["ConnectionNumbers"]


class ConnectionNumbers:
    """Numbers of the connections of a transport, in the order in which they were opened.

    As long as a connection is open, the process at its other end is the one that accepted it.
    """

    def __init__(self) -> None:
        self._opened = 0
        self._by_local_address: dict[tuple[str, int], int] = {}

    @property
    def opened(self) -> int:
        """How many connections have been opened so far."""
        return self._opened

    def on_opened(self, local_address: tuple[str, int]) -> int:
        """Number a new connection; its address may have belonged to one that was closed."""
        self._opened += 1
        self._by_local_address[local_address] = self._opened
        return self._opened

    def number(self, local_address: tuple[str, int]) -> int:
        """Return the number of an open connection."""
        return self._by_local_address.get(local_address) or self.on_opened(local_address)
