"""Sequences of faults that violate an invariant if one safety check is missing."""

from fireflyferry.leases.trial import FaultInjector, SimulatedWorld, run_random_faults
from fireflyferry.leases.trial.processes import GROUP
from fireflyferry.messages import GrantMessage, UnitGrant

SEEDS = range(80)


def random_faults(options):
    """Run seeds in order until one has violations; return the seed and the violations."""
    for seed in SEEDS:
        world = SimulatedWorld(seed, options)
        run_random_faults(world, 60.0)
        if world.violations:
            return seed, world.violations
    return None, []


def takeover_in_flight(options):
    """Restore the link from leader to standby while the standby's takeover write is in flight."""
    world = SimulatedWorld(1, options)
    faults = FaultInjector(world)
    leader, standby = world.vms[:2]
    world.run(1.0)
    faults.isolate(leader, 60.0)
    world.run(0.9)
    # The standby's takeover write, due in 0.3 s, takes 1.5 to 3 s, longer than its timeout.
    world.store_delay_s = 3.0
    _wrap_put(world, after=lambda record: setattr(world, "store_delay_s", 0.0))
    world.run(1.4)
    world.cut_links.discard(frozenset((leader.name, standby.name)))
    world.run(4.0)
    return 1, world.violations


def replacement_without_answer(options):
    """Replace the standby while only the new standby receives the changed record."""
    world = SimulatedWorld(1, options)
    faults = FaultInjector(world)
    leader, old, new = world.vms
    world.run(1.0)
    faults.cut(old.name, "store", 60.0)
    faults.replace_standby(new)

    def cut_leader(record):
        if record.standby == new.incarnation:
            faults.cut(leader.name, "store", 60.0)

    _wrap_put(world, before=cut_leader)
    world.run(6.0)
    return 1, world.violations


def late_session_answer(options):
    """Delay the reply to the leader's last session write by up to 0.9 s."""
    return _cut_after_last_session(options, max_answer_delay_s=0.9)


def grant_at_the_end_of_a_session(options):
    """Cut a leader from the store and the standby after a session write, not from upstreams."""
    return _cut_after_last_session(options, max_answer_delay_s=0.02)


def _cut_after_last_session(options, max_answer_delay_s):
    for seed in SEEDS:
        world = SimulatedWorld(seed, options)
        world.run(1.0)
        leader, standby = world.vms[:2]
        FaultInjector(world).cut(leader.name, standby.name, 60.0)
        link = frozenset((leader.name, "store"))

        # The second session write takes effect after the standby's pledges have ended. Its reply
        # is the last message that the leader receives from the store; the feed is cut.
        def before(record, world=world, link=link):
            if record.session == 2:
                world.cut_links.add(link)

        def after(record, world=world, link=link, standby=standby):
            if record.session == 2:
                world.cut_links.discard(link)
                world.delay_s = max_answer_delay_s
                world.schedule(0.0, world.restore_network)
                world.schedule(0.0, lambda: world.cut_links.add(link))
            if record.leader == standby.incarnation:
                world.schedule(
                    0.06,
                    lambda: world.desired_owners.update(dict.fromkeys(world.desired_owners, "u-1")),
                )

        _wrap_put(world, before, after)
        world.run(7.0)
        if world.violations:
            return seed, world.violations
    return None, []


def late_set(options):
    """Deliver a set of units again after a later set without them was acknowledged."""
    world = SimulatedWorld(1, options)
    first, second = world.upstreams
    world.run(2.0)

    def grant_message(upstream, token, version, *units):
        grants = tuple(UnitGrant(unit, 9 * 2**32) for unit in units)
        return GrantMessage(str(GROUP), 9, version, token, 1.0, grants)

    token = first.holder.token(first.now_s)
    world.accept(first, grant_message(first, token, 1, "b:9"))
    world.accept(first, grant_message(first, token, 2))
    world.accept(second, grant_message(second, second.holder.token(second.now_s), 1, "b:9"))
    world.accept(first, grant_message(first, token, 1, "b:9"))
    return 1, world.violations


def _wrap_put(world, before=lambda record: None, after=lambda record: None):
    """Call a function before each write reaches the store and another after it took effect."""
    put = world.put

    def wrapped(record, expected_version):
        before(record)
        result = put(record, expected_version)
        if world.record is record:
            after(record)
        return result

    world.put = wrapped
