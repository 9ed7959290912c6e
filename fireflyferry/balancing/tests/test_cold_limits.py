"""Guards against more requests to a cold upstream than it tolerates, from all VMs together."""

import itertools
import random

import attrs
import pytest

from fireflyferry.balancing import EntryVm, Upstream
from fireflyferry.balancing.body_bytes import BodyBytes
from fireflyferry.balancing.cold_limits import ColdRules, ColdSenders, ColdUpstreams
from fireflyferry.keyranges import UpstreamRun

REGIONS = {"dc-1": "r-1", "dc-2": "r-1", "dc-3": "r-2"}
RULES = ColdRules()
PER_S = 3.4
LIMIT = PER_S * RULES.overshoot + RULES.tolerance
RUN = UpstreamRun("u1", 1)
UPSTREAM = Upstream(RUN, "plain", "10.0.0.1:1", "dc-1", 3, warmup_left_s=3.0)


def vm(number, data_centre="dc-1", **changes):
    entry = EntryVm(f"vm-{number}", f"i{number}", f"10.0.0.{number}:1", data_centre)
    return attrs.evolve(entry, **changes)


def most_in_one_second(times_s):
    ordered = sorted(times_s)
    return max(
        (sum(1 for t in ordered if start <= t < start + 1.0) for start in ordered), default=0
    )


@pytest.mark.parametrize("jitter_s", [0.0, 0.4])
@pytest.mark.parametrize("rate", [10, 100, 1000])
def test_two_senders_together_keep_the_limit_in_any_second(rate, jitter_s):
    """Load: each of two VMs that believe they are the last hop gets `rate` requests a second, and
    connecting delays the arrival by up to 0.4 s."""
    rng = random.Random(rate)
    arrivals = []
    for _ in range(RULES.senders):
        cold = ColdUpstreams(RULES)
        for step in range(rate * 5):
            now_s = step / rate
            if cold.wait_s(now_s, RUN, PER_S) == 0.0:
                cold.on_sent(now_s, RUN)
                arrivals.append(now_s + rng.uniform(0.0, jitter_s))
    assert most_in_one_second(arrivals) <= LIMIT
    assert len(arrivals) >= 5 * PER_S  # the rate that it tolerates is used


def test_requests_sent_while_warm_count_when_an_upstream_turns_cold():
    """Guards against a burst that is doubled at the moment at which an upstream turns cold."""
    cold = ColdUpstreams(RULES)
    for number in range(40):
        cold.on_sent(10.0 + number / 100, RUN)
    cold.on_entry(10.4, UPSTREAM, 2)
    assert cold.wait_s(10.4, RUN, PER_S) > 1.0


def test_wait_is_over_when_it_says_so():
    cold = ColdUpstreams(RULES)
    for _ in range(RULES.allowance(PER_S)):
        cold.on_sent(10.0, RUN)
    wait_s = cold.wait_s(10.2, RUN, PER_S)
    assert wait_s > 0.0 and cold.wait_s(10.2 + wait_s, RUN, PER_S) == 0.0
    first, second = (cold.retry_after_s(10.2, RUN, wait_s, PER_S) for _ in range(2))
    assert wait_s <= first < second  # rejected requests do not all return at once


def test_time_counts_from_the_arrival_of_each_revision():
    """Guards against an upstream that turns cold again with the same time left."""
    cold = ColdUpstreams(RULES)
    never = float("-inf")
    cold.on_entry(10.0, UPSTREAM, 1)
    cold.on_entry(12.0, UPSTREAM, 1)
    assert cold.left_s(12.0, RUN, never) == pytest.approx(1.0)
    cold.on_entry(12.5, UPSTREAM, 2)
    assert cold.left_s(12.5, RUN, never) == pytest.approx(3.0)
    cold.on_entry(13.0, attrs.evolve(UPSTREAM, warmup_left_s=0.0), 3)
    assert cold.left_s(13.0, RUN, never) == 0.0


def test_upstream_counts_as_cold_for_a_time_after_an_evacuation():
    cold = ColdUpstreams(RULES)
    cold.on_entry(10.0, attrs.evolve(UPSTREAM, warmup_left_s=0.0), 1)
    assert cold.left_s(20.0, RUN, 19.0) == RULES.distrust_s - 1.0
    assert cold.left_s(24.0, RUN, 19.0) == 0.0


# Who may send


def senders_of(vms, listed, now_s=0.0, ages_s=None):
    """Return a `ColdSenders` of each VM, given the list that each has."""
    found = {}
    for each in vms:
        age_s = (ages_s or {}).get(each.vm_id, 0.0)
        found[each.vm_id] = ColdSenders(each, REGIONS, RULES, lambda age_s=age_s: age_s)
        found[each.vm_id].on_vms(now_s, listed(each))
    return found


def sending(senders, now_s, keyed=False):
    return [name for name, each in senders.items() if each.may_send(now_s, UPSTREAM, keyed)]


@pytest.mark.parametrize(
    ("count", "keyed"), list(itertools.product([1, 2, 3, 5, 9], [True, False]))
)
def test_one_vm_of_a_site_may_send(count, keyed):
    """Also if no VM reaches another one, since suspicions do not count."""
    vms = [vm(number, capacity=1.0 + number % 3) for number in range(1, count + 1)]
    senders = senders_of(vms, lambda _: vms)
    assert sending(senders, RULES.handover_s - 0.1, keyed) == []
    assert len(sending(senders, RULES.handover_s, keyed)) == 1


def test_vm_that_knows_no_list_may_not_send():
    assert not ColdSenders(vm(1), REGIONS, RULES).may_send(1e6, UPSTREAM, True)


def test_vms_that_start_at_once_with_partial_lists_do_not_send():
    """Guards against a fleet after a power loss in which each VM sees few others, or none."""
    vms = [vm(number) for number in range(1, 10)]
    senders = senders_of(vms, lambda each: [each])
    for each in senders.values():
        each.on_vms(2.0, vms)
    assert sending(senders, RULES.handover_s - 0.1) == []
    # Only the one that was the first choice under its partial list as well may send earlier.
    assert len(sending(senders, 2.0 + RULES.handover_s - 0.1)) <= 1
    assert len(sending(senders, 2.0 + RULES.handover_s)) == 1


def test_sender_changes_without_an_overlap_of_more_than_two():
    """Load: VMs join one after the other and learn of each other up to 4 s late."""
    rng = random.Random(4)
    for _ in range(30):
        vms = [vm(number) for number in range(1, 9)]
        senders = senders_of(vms[:4], lambda _, vms=vms: vms[:4])
        events = []
        for number in range(4, 8):
            joined_s = 10.0 + 0.7 * number
            senders[vms[number].vm_id] = ColdSenders(vms[number], REGIONS, RULES)
            for each in vms[: number + 1]:
                late_s = 0.0 if each is vms[number] else rng.uniform(0.0, 4.0)
                events.append((joined_s + late_s, each.vm_id, number + 1))
        known = dict.fromkeys(senders, 0)
        now_s = 10.0
        for at_s, name, count in sorted(events):
            while now_s < at_s:
                assert len(sending(senders, now_s)) <= RULES.senders
                now_s += 0.1
            if count > known[name]:
                known[name] = count
                senders[name].on_vms(at_s, vms[:count])
        assert len(sending(senders, 40.0)) == 1


def test_vm_that_is_cut_off_from_the_store_stops_sending():
    """Guards against a VM that does not know of the one which sends in its place."""
    senders = senders_of([vm(1)], lambda _: [vm(1)], ages_s={"vm-1": RULES.max_list_age_s + 0.1})
    assert sending(senders, 100.0) == []


def test_nobody_sends_to_a_region_without_vms():
    """Guards against every VM that counts as the last hop there."""
    senders = senders_of([vm(1, "dc-3"), vm(2, "dc-3")], lambda _: [vm(1, "dc-3"), vm(2, "dc-3")])
    assert sending(senders, 100.0) == []


# Bytes of bodies


def test_bytes_in_flight_are_bounded_but_one_request_always_fits():
    bodies = BodyBytes(100)
    assert bodies.has_room(RUN, 500)
    bodies.begin(RUN, 60)
    assert bodies.has_room(RUN, 40) and not bodies.has_room(RUN, 41)
    assert bodies.has_room(RUN, 0) and bodies.has_room(UpstreamRun("u2", 1), 100)
    bodies.begin(RUN, 40)
    bodies.end(RUN, 60)
    assert bodies.has_room(RUN, 60) and not bodies.has_room(RUN, 61)
    bodies.end(RUN, 40)
    assert bodies.has_room(RUN, 500)


def test_next_sender_waits_until_the_earlier_one_must_know_of_it():
    """Guards against a VM that sends as soon as it sees another one leave the list."""
    vms = [vm(number) for number in range(1, 6)]
    senders = senders_of(vms, lambda _: vms)
    (first,) = sending(senders, 100.0, keyed=True)
    others = [each for each in vms if each.vm_id != first]
    for each in others:
        senders[each.vm_id].on_vms(100.0, others)
    del senders[first]
    assert sending(senders, 100.0 + RULES.handover_s - 0.1, keyed=True) == []
    assert len(sending(senders, 100.0 + RULES.handover_s, keyed=True)) == 1
