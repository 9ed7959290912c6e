"""Simulated leader, upstreams, network and store, with faults and invariant checks."""

import random

from fireflyferry.leases import CheckResult, GrantHolder, LeaseTiming
from fireflyferry.messages import GroupId, Hello, OwnerSet, decode, encode
from fireflyferry.ownership import GrantManager, Owner, SendGrant
from fireflyferry.ownership.tests.parts import Node, Request, ScheduledCall, ViolationError
from fireflyferry.placement import bucket_unit, key_unit

GROUP = GroupId("janela", "natal-1", 0)
BUCKETS = 3
# Keys with x can be split from their bucket; keys with y stay in it.
KEYS = {f"{kind}{bucket}": bucket for bucket in range(BUCKETS) for kind in "xy"}
UPSTREAMS = {"u0": True, "u1": True, "u2": True, "n0": False, "n1": False}
STEP_S = 0.05


__all__ = ["BUCKETS", "GROUP", "KEYS", "UPSTREAMS", "ViolationError", "World"]


class World:
    """A simulation of one group in virtual time, with random choices from a seed.

    Clock rates differ by up to 1%; messages are lost, delayed and reordered.
    """

    def __init__(self, seed, manager_class=GrantManager, timing=None):
        self.random = random.Random(seed)
        self.timing = timing or LeaseTiming()
        self.manager_class = manager_class
        self.now_s = 0.0
        self.leader_clock_rate = self.random.choice((0.9951, 1.0, 1.0049))
        self.nodes = {name: self._make_node(name, checks) for name, checks in UPSTREAMS.items()}
        self.loss_probability = 0.0
        self.events = []
        self.requests = []
        self.store = OwnerSet(GROUP, 0, 0, {})
        self.store_available = True
        self.store_version = 0
        self.known_store_versions = {}
        self.pending_saves = []
        self.owners_to_keep = None
        self.term = 0
        self.authority_until_s = 0.0
        self.newest_fences = {}
        self.desired_owners = {bucket_unit(b): f"u{b % 3}" for b in range(BUCKETS)}
        self._start_leader(None, True)
        self._set_desired_owners()

    def _make_node(self, name, checks):
        clock_rate = self.random.choice((0.9951, 1.0, 1.0049))
        return Node(
            name, GrantHolder(name, f"{name}-0", checks), clock_rate, self.random.random() * 50
        )

    @property
    def leader_now_s(self):
        return self.now_s * self.leader_clock_rate

    # Leader

    def _start_leader(self, previous_grants_until_s, earlier_leader_stopped):
        self.term += 1
        self.grants = self.manager_class(GROUP, self.timing)
        self._begin_term(previous_grants_until_s, earlier_leader_stopped)
        for node in self.nodes.values():
            self._send_hello(node)

    def _begin_term(self, previous_grants_until_s, earlier_leader_stopped):
        """Begin a term with the owners in the store, which a late write may still change."""
        saved = self.store if self.store.sequence else None
        self.begin_term_options = previous_grants_until_s, earlier_leader_stopped
        self.known_store_versions[self.grants] = self.store_version
        self.grants.begin_term(
            self.leader_now_s, self.term, saved, previous_grants_until_s, earlier_leader_stopped
        )
        self.desired_owners = dict(self.store.owners) if saved else self.desired_owners
        self.owners_to_keep = dict(self.desired_owners) if saved else None

    def _send_hello(self, node):
        if not (node.disconnected or node.frozen):
            checks = "grants" if node.holder.checks else "none"
            token = node.holder.token(node.clock_s(self.now_s))
            hello = Hello(node.name, "janela", 2, 100, checks, token)
            self.grants.on_hello(self.leader_now_s, self.leader_now_s, hello)

    def _set_desired_owners(self):
        self.owners_to_keep = None
        self.grants.set_desired(self.leader_now_s, self.desired_owners)

    def _tick(self, authority_until_s):
        at_s = self.leader_now_s
        for action in self.grants.tick(at_s, authority_until_s):
            if isinstance(action, SendGrant):
                self._send(action, at_s)
            else:
                self._start_save(action)

    def _send(self, action, at_s):
        node, grants = self.nodes.get(action.upstream_id), self.grants
        if node is None:
            return

        def reply(answer):
            if grants is self.grants:
                grants.on_grant_reply(self.leader_now_s, node.name, at_s, answer)

        def accept():
            message = decode(encode(action.message), type(action.message))
            answer = node.holder.accept(node.clock_s(self.now_s), message)
            self._schedule(node, lambda: reply(answer), to_leader=True)

        self._schedule(node, accept)

    def _schedule(self, node, call, to_leader=False):
        if node.disconnected or self.random.random() < self.loss_probability:
            return
        delay_s = node.delay_s * self.random.random()
        self.events.append(ScheduledCall(self.now_s + delay_s, None if to_leader else node, call))

    def _start_save(self, action):
        if self.owners_to_keep is not None and action.owners.owners != self.owners_to_keep:
            raise ViolationError(
                f"saved owners were not kept: {action.owners}, loaded: {self.owners_to_keep}"
            )
        at_s = self.now_s + self.random.choice((0.0, 0.0, 0.3))
        self.pending_saves.append((at_s, self.grants, action))

    def _write_store(self, grants, action):
        """Write owners if the store's version is the known one; else the leader reads it again."""
        if self.known_store_versions[grants] != self.store_version:
            if grants is self.grants:
                self._begin_term(*self.begin_term_options)
            return False
        if (action.owners.term, action.owners.sequence) < (self.store.term, self.store.sequence):
            return False
        self.store_version += 1
        self.known_store_versions[grants] = self.store_version
        self.store = decode(encode(action.owners), OwnerSet)
        return True

    # Faults and changes

    def move(self, unit, upstream):
        if unit in self.desired_owners and upstream in self.nodes:
            self.desired_owners[unit] = upstream
            self._set_desired_owners()

    def split(self, bucket, upstream):
        self.desired_owners[key_unit(bucket, f"x{bucket}")] = upstream
        self._set_desired_owners()

    def merge(self, bucket):
        if self.desired_owners.pop(key_unit(bucket, f"x{bucket}"), None):
            self._set_desired_owners()

    def drain(self, name):
        self.nodes[name].holder.drain()
        others = sorted(self.nodes.keys() - {name})
        for unit in [unit for unit, owner in self.desired_owners.items() if owner == name]:
            self.desired_owners[unit] = self.random.choice(others)
        self._set_desired_owners()

    def restart(self, name):
        node = self.nodes[name]
        node.restart()
        self._end_requests(lambda r: r.node is node and r.ticket is not None)
        self._send_hello(node)

    def replace(self, name):
        """Remove a VM permanently, report it as gone, and start a new one with the same name."""
        old = self.nodes[name]
        self._end_requests(lambda r: r.node is old)
        self.events = [event for event in self.events if event.node is not old]
        self.nodes[name] = self._make_node(name, old.holder.checks)
        self.nodes[name].restarts = old.restarts
        self.nodes[name].restart()
        self.grants.on_upstream_gone(self.leader_now_s, name)
        self._send_hello(self.nodes[name])

    def _end_requests(self, condition):
        for request in [request for request in self.requests if condition(request)]:
            self._end_request(request)

    def takeover(self, resign):
        """Change the leader, after a resignation or after its authority has ended."""
        previous_grants_until_s = None
        if not resign:
            while self.leader_now_s < self.authority_until_s:
                self._advance_time(self.authority_until_s)
        self._resolve_pending_saves(leader_lost=True)
        if resign:
            previous_grants_until_s = self.leader_now_s + self.timing.lengthened(
                self.timing.grant_s
            )
        self._start_leader(previous_grants_until_s, False)

    def _resolve_pending_saves(self, leader_lost):
        """Let each write in flight succeed or fail; an earlier leader's may also arrive later."""
        unresolved, self.pending_saves = self.pending_saves, []
        for at_s, grants, action in unresolved:
            draw = self.random.random()
            if draw < 0.4:
                self._write_store(grants, action)
            elif draw < 0.7 and (leader_lost or grants is not self.grants):
                self.pending_saves.append((at_s, grants, action))

    def raise_term(self):
        """Raise the term of the same leader, as before it takes over another group's bucket."""
        self._resolve_pending_saves(leader_lost=False)
        self.term += 1
        self._begin_term(None, True)

    def stop_earlier_leaders(self):
        self._end_requests(lambda r: r.grants is not self.grants and r.ticket is None)
        self.begin_term_options = self.begin_term_options[0], True
        self.grants.on_earlier_leader_stopped(self.leader_now_s)

    def request(self, key):
        unit = self.grants.unit_of(KEYS[key], key)
        owner = self.grants.begin_forward(self.leader_now_s, unit, key)
        if isinstance(owner, Owner):
            node = self.nodes[owner.upstream_id]
            request = Request(key, unit, owner.fence, node, self.grants)
            self.requests.append(request)
            at_s = self.now_s + self.random.choice((0.0, 0.2, 2.0, 6.0))
            self.events.append(ScheduledCall(at_s, node, lambda: self._begin_request(request)))

    def _begin_request(self, request):
        if request not in self.requests:
            return
        node = request.node
        request.node_restarts = node.restarts
        request.ticket = node.holder.begin(
            node.clock_s(self.now_s), request.unit, request.key, request.fence
        )
        if request.ticket.result is not CheckResult.HELD:
            self._end_request(request)
            return
        at_s = self.now_s + self.random.choice((0.1, 1.0, 3.0))
        self.events.append(ScheduledCall(at_s, node, lambda: self._finish_request(request)))

    def _finish_request(self, request):
        if request in self.requests and request.node_restarts == request.node.restarts:
            held = request.node.holder.finish(request.node.clock_s(self.now_s), request.ticket)
            self._end_request(request)
            if held and request.held_elsewhere:
                raise ViolationError(f"held to the end, but also held elsewhere: {request}")

    def _end_request(self, request):
        self.requests.remove(request)
        if request.grants is self.grants:
            self.grants.end_forward(request.node.name, request.unit, request.key)

    # Time

    def run(self, duration_s, leader_paused=False):
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self._advance_time(self.leader_now_s if leader_paused else None)

    def _advance_time(self, authority_until_s):
        self.now_s += STEP_S
        for save in [
            save for save in self.pending_saves if self.store_available and save[0] <= self.now_s
        ]:
            self.pending_saves.remove(save)
            stored = self._write_store(save[1], save[2])
            if stored and save[1] is self.grants and self.random.random() < 0.9:
                self.grants.on_owners_saved(self.leader_now_s, save[2].save_id)
        self._deliver_due_events()
        if authority_until_s is None:
            authority_until_s = self.leader_now_s + self.timing.shortened(self.timing.pledge_s)
            self.authority_until_s = authority_until_s
        self._tick(authority_until_s)
        self._deliver_due_events()
        self.check_invariants()

    def _deliver_due_events(self):
        while True:
            due = [
                event
                for event in self.events
                if event.at_s <= self.now_s and not (event.node and event.node.frozen)
            ]
            if not due:
                return
            self.events = [event for event in self.events if event not in due]
            self.random.shuffle(due)
            for event in due:
                event.call()

    # Invariants

    def _is_running(self, node, key):
        return any(r.node is node and r.key == key for r in self.requests)

    def holders(self, key):
        """Return the upstreams that would run a request for the key if it arrived now."""
        bucket = KEYS[key]
        found = set()
        for node in self.nodes.values():
            if not node.holder.checks:
                owner = self.grants.owner(self.leader_now_s, self.grants.unit_of(bucket, key))
                if self._is_running(node, key) or getattr(owner, "upstream_id", "") == node.name:
                    found.add(node.name)
                continue
            held = node.holder.held_units(node.clock_s(self.now_s))
            bucket_grant = held.get(bucket_unit(bucket))
            if key_unit(bucket, key) in held or (bucket_grant and key not in bucket_grant.excluded):
                found.add(node.name)
        return found

    def check_invariants(self):
        for key, bucket in KEYS.items():
            holders = self.holders(key)
            if len(holders) > 1:
                raise ViolationError(f"{self.now_s:.2f}: {key} is held by {sorted(holders)}")
            for request in self.requests:
                if request.key == key and holders - {request.node.name}:
                    request.held_elsewhere = True
            self._check_saved(key, bucket, holders)
            self._check_forward(key, bucket)
        self._check_fences()

    def _check_saved(self, key, bucket, holders):
        key_unit_id, bucket_unit_id = key_unit(bucket, key), bucket_unit(bucket)
        possible_holders = {*self.store.releasing.get(key_unit_id, ())}
        unit = key_unit_id if key_unit_id in self.store.owners else bucket_unit_id
        possible_holders |= {self.store.owners.get(unit), *self.store.releasing.get(unit, ())}
        if holders - possible_holders:
            raise ViolationError(
                f"{self.now_s:.2f}: {key}: holders {holders} are not saved in {self.store}"
            )

    def _check_forward(self, key, bucket):
        unit = self.grants.unit_of(bucket, key)
        owner = self.grants.owner(self.leader_now_s, unit)
        node = self.nodes.get(getattr(owner, "upstream_id", ""))
        if node is None or not node.holder.checks:
            return
        result = node.holder.check(node.clock_s(self.now_s), unit, key, owner.fence)
        restarted = not node.holder.held_units(node.clock_s(self.now_s)) and node.restarts
        if result is CheckResult.NOT_OWNER and not restarted:
            raise ViolationError(f"{self.now_s:.2f}: {key} may not be forwarded to {owner}")

    def _check_fences(self):
        for node in self.nodes.values():
            held = node.holder.held_units(node.clock_s(self.now_s))
            for unit, grant in held.items() if node.holder.checks else ():
                process = (node.name, node.restarts)
                newest = self.newest_fences.setdefault(unit, (grant.fence, process))
                if newest[1] != process and grant.fence <= newest[0]:
                    raise ViolationError(
                        f"fence of {unit} at {process} is not above the newest: {grant}, {newest}"
                    )
                self.newest_fences[unit] = max(newest, (grant.fence, process))

    # Settling

    def settle(self, duration_s=12.0):
        """End all faults, run for a time, and compare the owners with the desired ones."""
        self.loss_probability, self.store_available = 0.0, True
        for node in self.nodes.values():
            node.disconnected = node.frozen = False
            node.delay_s = 0.0
            self._send_hello(node)
        self.stop_earlier_leaders()
        self.run(duration_s)
        found = {}
        for unit in self.desired_owners:
            owner = self.grants.owner(self.leader_now_s, unit)
            found[unit] = getattr(owner, "upstream_id", owner)
        if found != self.desired_owners:
            raise ViolationError(f"owners after settling: {found}, desired: {self.desired_owners}")
        for key, bucket in KEYS.items():
            if (self.grants.unit_of(bucket, key) in self.desired_owners) is not True:
                raise ViolationError(f"{key} belongs to no desired unit")
