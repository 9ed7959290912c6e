"""Limits of the request path."""

import attrs

from fireflyferry.settings.model import LimitSettings

__all__ = ["RequestLimits", "limits_from_settings"]


@attrs.frozen
class RequestLimits:
    """Limits on the memory, time and attempts that requests use.

    A request body of up to `max_buffered_body_bytes` is received whole before its request waits for
    a slot, and kept for retries; a longer one is streamed, with at most `body_window_bytes` not yet
    sent on.
    `retry_reserve` is the number of retries that a retry budget starts with, and its maximum.
    `cancel_timeout_s` applies to one cancellation. Unless a cancellation is confirmed, a slot
    stays occupied until `cancel_grace_s` after the deadline. A request id is kept for
    `id_retention_s` after its request ended, with answers of up to `max_stored_answer_bytes`. A
    drain ends once no request has been in flight for `drain_idle_s`. `max_body_bytes` and
    `max_header_bytes` apply to requests of callers, in addition to the limits of routes.
    `queue_length` is the maximum number of requests that wait for slots of all upstreams together.
    """

    max_buffered_body_bytes: int = 65_536
    body_window_bytes: int = 262_144
    max_attempts: int = 4
    retry_reserve: float = 10.0
    backoff_base_s: float = 0.02
    max_backoff_s: float = 0.5
    cancel_timeout_s: float = 1.0
    cancel_retry_delay_s: float = 0.2
    cancel_grace_s: float = 10.0
    connect_timeout_s: float = 1.0
    max_idle_connections: int = 512
    id_retention_s: float = 120.0
    max_id_entries: int = 100_000
    max_id_skew_s: float = 1.0
    max_stored_answer_bytes: int = 2_048
    drain_idle_s: float = 0.3
    max_body_bytes: int = 1 << 30
    max_header_bytes: int = 65_536
    queue_length: int = 4096

    @property
    def read_header_bytes(self) -> int:
        """Longest head that the servers read, in bytes.

        Tornado closes the connection without an answer if a head is longer, so this is more than
        `max_header_bytes`, above which a request is refused with a reason. A forwarded head also
        contains the tenant again, and the key and the unit percent-encoded, at up to three times
        their length.
        """
        return 8 * self.max_header_bytes + 4096


def limits_from_settings(settings: LimitSettings) -> RequestLimits:
    """Return the limits for the `[limits]` section of the settings."""
    window_bytes = settings.streaming_window_bytes
    return RequestLimits(
        # A body that is received whole must fit the window, since it is read only once complete.
        max_buffered_body_bytes=min(RequestLimits().max_buffered_body_bytes, window_bytes),
        body_window_bytes=window_bytes,
        max_body_bytes=settings.max_body_bytes,
        max_header_bytes=settings.max_header_bytes,
        queue_length=settings.queue_length,
    )
