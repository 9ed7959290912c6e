"""Time limits of the program of the entry VM."""

import attrs

__all__ = ["ProgramRules"]


@attrs.frozen
class ProgramRules:
    """Times in seconds.

    The store counts as disturbed for `disturbed_s` after a failed call. `accept_while_stopping_s`
    is how long a stopping VM still accepts connections, since the load balancer stops using it only
    after two failed checks, a second apart. For `cut_deadlines_s` it takes requests that may last
    longer than it runs, with a deadline `cut_margin_s` before its exit; then it refuses them. The
    VM exits at the latest `exit_margin_s` before the end of the grace period, which begins with the
    termination signal. Requests that are still in flight `final_answers_s` before the exit are
    broken off with a final answer.
    """

    connect_timeout_s: float = 0.4
    disturbed_s: float = 5.0  # entries that expired during a store outage are back within 2 s
    leaving_margin_s: float = 0.4  # subtracted from the drain timeout of upstreams
    cleanup_interval_s: float = 1.0
    accept_while_stopping_s: float = 3.0
    cut_deadlines_s: float = 2.5
    cut_margin_s: float = 0.2
    exit_margin_s: float = 0.6
    final_answers_s: float = 0.1
