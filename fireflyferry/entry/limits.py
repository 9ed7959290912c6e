"""Bounds of the request path."""

import attrs

from fireflyferry.settings.model import LimitSettings

__all__ = ["RequestLimits", "limits_from_settings"]


@attrs.frozen
class RequestLimits:
    """Bounds of memory, time and attempts.

    `buffered_body_bytes` is the request body that is received whole before a slot is taken and
    kept for retries; longer bodies are streamed, with at most `body_window_bytes` unsent.
    `cancel_wait_s` is the time limit of one cancellation, and `cancel_hold_s` how long after the
    deadline a slot stays taken for an upstream that confirms none. `drain_quiet_s` is how long no
    request must have been in flight before a drain ends. `max_body_bytes` and `max_header_bytes`
    bound what callers send, besides the limits of routes, and `queue_length` what waits for slots
    of all upstreams.
    """

    buffered_body_bytes: int = 65_536
    body_window_bytes: int = 262_144
    max_attempts: int = 4
    retry_reserve: float = 10.0
    backoff_base_s: float = 0.02
    backoff_limit_s: float = 0.5
    cancel_wait_s: float = 1.0
    cancel_pause_s: float = 0.2
    cancel_hold_s: float = 10.0
    connect_timeout_s: float = 1.0
    idle_connections: int = 512
    id_keep_s: float = 120.0
    id_max_entries: int = 100_000
    id_skew_s: float = 1.0
    small_answer_bytes: int = 2_048
    drain_quiet_s: float = 0.3
    max_body_bytes: int = 1 << 30
    max_header_bytes: int = 65_536
    queue_length: int = 4096

    @property
    def read_header_bytes(self) -> int:
        """Longest head that the servers read.

        Tornado closes the connection without an answer above it, so it exceeds the limit that is
        refused with a reason. A forwarded head also repeats the tenant and, percent-encoded in up
        to three times their length, the key and the unit.
        """
        return 8 * self.max_header_bytes + 4096


def limits_from_settings(settings: LimitSettings) -> RequestLimits:
    """Return the limits for the `[limits]` section of the settings."""
    window_bytes = settings.streaming_window_bytes
    return RequestLimits(
        # A body that is received whole must fit the window, or it would wait for a reader.
        buffered_body_bytes=min(RequestLimits().buffered_body_bytes, window_bytes),
        body_window_bytes=window_bytes,
        max_body_bytes=settings.max_body_bytes,
        max_header_bytes=settings.max_header_bytes,
        queue_length=settings.queue_length,
    )
