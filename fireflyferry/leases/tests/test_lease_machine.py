"""Guards the lease promises against any sequence of faults that hypothesis finds."""

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)
from lease_book_vm import GrantBookVm
from lease_mutants import TakeoverBeforePledgeEnd

from fireflyferry.leases import GroupAuthority, LeaseTiming
from fireflyferry.leases.trial import TrialFaults, TrialOptions, TrialWorld
from fireflyferry.leases.trial.world import LIST_LAG_S

INDEX = st.integers(0, 2)
LONG = st.sampled_from([0.3, 0.7, 1.1, 1.3, 2.0, 4.0])


def recovery_bound_s(timing):
    """Return how long a group may lack a leader once all faults have ended.

    The longest way: the platform reports both VMs lost, a third waits for a pledge and a session
    after a read; the read and the write are each repeated at most session_s after a failure.
    """
    promises_s = timing.lengthened(timing.pledge_s + timing.session_s)
    return LIST_LAG_S + promises_s + 2 * timing.session_s


class LeaseMachine(RuleBasedStateMachine):
    """Two or three VMs, a store and two upstreams under faults."""

    authority = GroupAuthority
    vm_class = None

    @initialize(seed=st.integers(0, 2**16), vms=st.integers(2, 3))
    def start(self, seed, vms):
        self.world = TrialWorld(
            seed, TrialOptions(vms=vms, authority=self.authority, vm=self.vm_class)
        )
        self.faults = TrialFaults(self.world)
        self.world.run(1.0)

    def vm(self, index):
        return self.world.vms[index % len(self.world.vms)]

    @rule(duration_s=LONG)
    def wait(self, duration_s):
        self.world.run(duration_s)

    @rule(index=INDEX, other=st.integers(0, 5), duration_s=LONG)
    def cut(self, index, other, duration_s):
        vm = self.vm(index)
        processes = [*self.world.vms, *self.world.upstreams]
        names = [process.name for process in processes if process is not vm] + ["store"]
        self.faults.cut(vm.name, names[other % len(names)], duration_s)

    @rule(from_store=st.booleans(), duration_s=LONG)
    def cut_leader(self, from_store, duration_s):
        self.faults.cut_leader(from_store, duration_s)

    @rule(index=INDEX, duration_s=LONG)
    def isolate(self, index, duration_s):
        self.faults.isolate(self.vm(index), duration_s)

    @rule(index=st.integers(0, 4), duration_s=LONG)
    def pause(self, index, duration_s):
        processes = [*self.world.vms, *self.world.upstreams]
        self.world.pause(processes[index % len(processes)], duration_s)

    @rule(index=st.integers(0, 4), down_s=LONG)
    def restart(self, index, down_s):
        processes = [*self.world.vms, *self.world.upstreams]
        self.faults.restart(processes[index % len(processes)], down_s)

    @rule(index=INDEX, down_s=LONG)
    def leave(self, index, down_s):
        self.faults.leave(self.vm(index), down_s)

    @rule(duration_s=LONG)
    def store_outage(self, duration_s):
        self.faults.store_outage(duration_s)

    @rule(delay_s=st.sampled_from([1.0, 3.0]), duration_s=LONG)
    def slow_store(self, delay_s, duration_s):
        self.faults.slow_store(delay_s, duration_s)

    @rule(loss=st.sampled_from([0.0, 0.05, 0.3]), delay_s=st.sampled_from([0.1, 1.0]))
    def disturb(self, loss, delay_s):
        self.faults.disturb(loss, delay_s, 2.0)

    @rule()
    def resign(self):
        self.faults.resign()

    @rule(index=INDEX)
    def replace_standby(self, index):
        self.faults.replace_standby(self.vm(index))

    @rule(index=INDEX, delay_s=st.sampled_from([0.0, 0.05, 0.2]), duration_s=LONG)
    def replace_and_cut(self, index, delay_s, duration_s):
        self.faults.replace_and_cut(self.vm(index), delay_s, duration_s)

    @rule(by=st.integers(0, 3))
    def raise_term(self, by):
        self.faults.raise_term(by)

    @rule(unit=st.integers(0, 2), moves=st.integers(1, 4), interval_s=st.sampled_from([0.1, 0.4]))
    def move(self, unit, moves, interval_s):
        self.faults.move_often(f"b:{unit}", moves, interval_s)

    @rule()
    def faults_end(self):
        world = self.world
        world.heal()
        end_s = world.now_s + recovery_bound_s(world.options.timing)
        while world.leader() is None and world.now_s < end_s:
            world.run(0.05)
        assert world.leader() is not None, "no leader although all faults have ended"

    @invariant()
    def no_promise_is_broken(self):
        if hasattr(self, "world"):
            self.world.run(0.05)
            assert self.world.violations == []


TestLeaseMachine = LeaseMachine.TestCase
TestLeaseMachine.settings = settings(stateful_step_count=40)


class GrantBookLeaseMachine(LeaseMachine):
    """The same machine with the real GrantManager and owners saved in the store."""

    vm_class = GrantBookVm


TestGrantBookLeaseMachine = GrantBookLeaseMachine.TestCase
TestGrantBookLeaseMachine.settings = settings(stateful_step_count=40)


class UnsafeLeaseMachine(LeaseMachine):
    """The same machine around a class that lacks a guard."""

    authority = TakeoverBeforePledgeEnd


def test_machine_reports_a_missing_guard():
    """Guards against a state machine that could not find a broken promise."""
    quick = settings(stateful_step_count=40, phases=[Phase.generate], report_multiple_bugs=False)
    with pytest.raises(AssertionError, match="two leaders"):
        run_state_machine_as_test(UnsafeLeaseMachine, settings=quick)


def test_recovery_bound_with_default_timing():
    """Guards against a bound so long that the progress check could not fail."""
    assert recovery_bound_s(LeaseTiming()) < 7
