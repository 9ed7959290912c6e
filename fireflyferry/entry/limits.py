"""Bounds of the request path."""

import attrs

__all__ = ["RequestLimits"]


@attrs.frozen
class RequestLimits:
    """Bounds of memory, time and attempts.

    `buffered_body_bytes` is the request body that is received whole before a slot is taken and
    kept for retries; longer bodies are streamed, with at most `body_window_bytes` unsent.
    `cancel_wait_s` is the time limit of one cancellation, and `cancel_hold_s` how long after the
    deadline a slot stays taken for an upstream that confirms none. `drain_quiet_s` is how long no
    request must have been in flight before a drain ends.
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
    id_skew_s: float = 2.0
    small_answer_bytes: int = 2_048
    drain_quiet_s: float = 0.3
