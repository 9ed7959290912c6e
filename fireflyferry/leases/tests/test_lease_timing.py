"""Guards against lease durations under which two leaders could hold authority."""

import pytest

from fireflyferry.leases import LeaseTiming, LeaseTimingError


@pytest.mark.parametrize(
    "change",
    [
        {"session_s": 1.1},
        {"pledge_s": 0.0},
        {"grant_s": float("nan")},
        {"heartbeat_s": 0.4},
        {"renew_s": 0.7},
        {"drift": -0.01},
        {"drift": 0.2},
    ],
)
def test_unsafe_timing_is_refused(change):
    with pytest.raises(LeaseTimingError, match=next(iter(change))):
        LeaseTiming(**change)


def test_grant_ends_within_the_authority_on_a_slow_clock():
    timing = LeaseTiming()
    length_s = timing.grant_length_s(10.0, 10.5)
    assert timing.lengthened(length_s) <= 0.5
    assert timing.grant_length_s(10.0, 20.0) == timing.grant_s
    assert timing.grant_length_s(10.0, 9.0) == 0.0
