"""Demand for keys estimated from samples, while it changes."""

import pytest

from fireflyferry.keyranges import SAMPLE_PERIOD_S, KeyDemand, KeySample

VMS = 9


def demand_of(rates_by_key, seconds, demand, start_s=0.0):
    """Add the reports of all VMs for requests at given rates; VMs report in turn."""
    step_s = SAMPLE_PERIOD_S / VMS
    for step in range(round(seconds / step_s)):
        now_s = start_s + (step + 1) * step_s
        keys = tuple(rates_by_key)
        for key in keys:
            # Each VM gets an equal part of the requests.
            sampled = rates_by_key[key] * SAMPLE_PERIOD_S / VMS
            demand.add(KeySample(now_s, (key,) * 4, sampled / 4))
    return start_s + seconds


def test_key_that_turns_hot_is_found_within_a_second():
    """Guards against a hot key that stays with a slow owner for seconds.

    Load pattern: after a calm time one key gets a third of all requests from one moment on.
    """
    demand = KeyDemand()
    now_s = demand_of(dict.fromkeys(range(40), 8.0), 5.0, demand)
    now_s = demand_of({**dict.fromkeys(range(40), 8.0), 5000: 140.0}, 0.8, demand, now_s)
    demand.expire(now_s)
    key, rate, samples = demand.hottest_key()
    assert key == 5000 and samples >= 6
    assert rate == pytest.approx(140.0, rel=0.2)


def test_rate_of_a_steady_key_does_not_depend_on_the_window():
    demand = KeyDemand()
    now_s = demand_of({7: 100.0, 8: 20.0}, 5.0, demand)
    demand.expire(now_s)
    key, rate, _ = demand.hottest_key()
    assert key == 7 and rate == pytest.approx(100.0, rel=0.15)


@pytest.mark.parametrize("periods", [1, 2, 3, 8])
@pytest.mark.parametrize("since_report_s", [0.0, 0.25])
def test_rate_is_right_while_all_vms_report_together(periods, since_report_s):
    """Guards against overload that is not seen, since the demand appears smaller than it is.

    Load pattern: all VMs have just started, and so report at the same moments.
    """
    demand = KeyDemand()
    for period in range(1, periods + 1):
        for _ in range(VMS):
            demand.add(KeySample(period * SAMPLE_PERIOD_S, (7,) * 10, SAMPLE_PERIOD_S))
    demand.expire(periods * SAMPLE_PERIOD_S + since_report_s)
    assert demand.total_rate == pytest.approx(10 * VMS, rel=0.2)
