"""Limits on what the last hop sends to upstreams."""

import attrs

__all__ = ["LastHopRules"]


@attrs.frozen
class LastHopRules:
    """Limits on sends and on the reuse of connections; times in seconds.

    A non-idempotent request uses only connections that were idle for less than
    `non_idempotent_idle_s`, since its outcome is unknown if the upstream closes the connection at
    the same moment. After an upstream broke a kept connection before answering, only new ones are
    used for `no_reuse_s`, since an upstream may drop idle connections silently, long before it
    would close them. A request with less than `min_left_s` to its deadline is not sent.
    """

    idempotent_idle_s: int = 8  # upstreams close connections that were idle for 10 s
    non_idempotent_idle_s: int = 4
    no_reuse_s: float = 10.0
    min_left_s: float = 0.005
