"""Sequences of faults that break a promise when one guard is missing."""

from fireflyferry.leases.trial import TrialFaults, TrialWorld, run_random_faults
from fireflyferry.leases.trial.processes import GROUP
from fireflyferry.messages import GrantMessage, UnitGrant

SEEDS = range(80)


def random_faults(options):
    """Run seeds in order until one reports a violation; return it with the reports."""
    for seed in SEEDS:
        world = TrialWorld(seed, options)
        run_random_faults(world, 60.0)
        if world.violations:
            return seed, world.violations
    return None, []


def takeover_in_flight(options):
    """Let the leader reach the standby again while its takeover write is on the way."""
    world = TrialWorld(1, options)
    faults = TrialFaults(world)
    leader, standby = world.vms[:2]
    world.run(1.0)
    faults.isolate(leader, 60.0)
    world.run(1.6)
    # The standby has read the record. Its takeover takes 1.5 to 3 s, longer than a time-out.
    world.store_delay_s = 3.0
    _around_put(world, after=lambda record: setattr(world, "store_delay_s", 0.0))
    world.run(2.1)
    world.cuts.discard(frozenset((leader.name, standby.name)))
    world.run(4.0)
    return 1, world.violations


def replacement_without_answer(options):
    """Replace the standby with an effect that only the new standby learns of."""
    world = TrialWorld(1, options)
    faults = TrialFaults(world)
    leader, old, new = world.vms
    world.run(1.0)
    faults.cut(old.name, "store", 60.0)
    faults.replace_standby(new)

    def cut_leader(record):
        if record.standby == new.incarnation:
            faults.cut(leader.name, "store", 60.0)

    _around_put(world, before=cut_leader)
    world.run(6.0)
    return 1, world.violations


def late_session_answer(options):
    """Let the answer to the leader's last session write take up to 0.9 s."""
    return _last_session(options, answer_s=0.9)


def grant_at_the_end_of_a_session(options):
    """Cut a leader off after a session write, while it still reaches the upstreams."""
    return _last_session(options, answer_s=0.02)


def _last_session(options, answer_s):
    for seed in SEEDS:
        world = TrialWorld(seed, options)
        world.run(1.0)
        leader, standby = world.vms[:2]
        TrialFaults(world).cut(leader.name, standby.name, 60.0)
        link = frozenset((leader.name, "store"))

        # The second session write is put when the standby's pledges have ended. Its answer is
        # the last that the leader receives; the feed does not reach the leader.
        def before(record, world=world, link=link):
            if record.session == 2:
                world.cuts.add(link)

        def after(record, world=world, link=link, standby=standby):
            if record.session == 2:
                world.cuts.discard(link)
                world.delay_s = answer_s
                world.at(0.0, world.calm)
                world.at(0.0, lambda: world.cuts.add(link))
            if record.leader == standby.incarnation:
                world.at(0.06, lambda: world.desired.update(dict.fromkeys(world.desired, "u-1")))

        _around_put(world, before, after)
        world.run(7.0)
        if world.violations:
            return seed, world.violations
    return None, []


def late_set(options):
    """Deliver a set of units after a later set without them was acknowledged."""
    world = TrialWorld(1, options)
    first, second = world.upstreams
    world.run(2.0)

    def set_of(upstream, token, version, *units):
        grants = tuple(UnitGrant(unit, 9 * 2**32) for unit in units)
        return GrantMessage(str(GROUP), 9, version, token, 1.0, grants)

    token = first.holder.token(first.now_s)
    world.accept(first, set_of(first, token, 1, "b:9"))
    world.accept(first, set_of(first, token, 2))
    world.accept(second, set_of(second, second.holder.token(second.now_s), 1, "b:9"))
    world.accept(first, set_of(first, token, 1, "b:9"))
    return 1, world.violations


def _around_put(world, before=lambda record: None, after=lambda record: None):
    """Call a function before each write reaches the store, and one after it took effect."""
    put = world.put

    def wrapped(record, expected_version):
        before(record)
        result = put(record, expected_version)
        if world.record is record:
            after(record)
        return result

    world.put = wrapped
