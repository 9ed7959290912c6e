"""Bytes of request bodies in flight to each upstream."""

import attrs

from fireflyferry.keyranges import UpstreamRun

__all__ = ["MAX_BODY_BYTES_IN_FLIGHT", "BodyBytes"]

# An upstream's process ends if the requests that it holds exceed its memory, which is not known.
# Bodies of ordinary requests are far below: 3 slots and 13 waiting ones of 360 KB are 6 MB.
MAX_BODY_BYTES_IN_FLIGHT = 64 << 20


@attrs.define
class BodyBytes:
    """Bytes in flight to each incarnation; one request is always allowed."""

    limit_bytes: int = MAX_BODY_BYTES_IN_FLIGHT
    _in_flight: dict[UpstreamRun, tuple[int, int]] = attrs.field(factory=dict, init=False)

    def has_room(self, run: UpstreamRun, size_bytes: int) -> bool:
        """Return whether a request with a body of a size may be sent now."""
        requests, used_bytes = self._in_flight.get(run, (0, 0))
        return requests == 0 or not size_bytes or used_bytes + size_bytes <= self.limit_bytes

    def begin(self, run: UpstreamRun, size_bytes: int) -> None:
        """Count a request that is sent."""
        requests, used_bytes = self._in_flight.get(run, (0, 0))
        self._in_flight[run] = requests + 1, used_bytes + size_bytes

    def end(self, run: UpstreamRun, size_bytes: int) -> None:
        """Count the end of a request."""
        requests, used_bytes = self._in_flight[run]
        if requests == 1:
            del self._in_flight[run]
        else:
            self._in_flight[run] = requests - 1, used_bytes - size_bytes
