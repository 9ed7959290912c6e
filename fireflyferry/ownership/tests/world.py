"""A leader, upstreams, network and store in virtual time, with faults and invariant checks."""

import random

from fireflyferry.leases import CheckResult, GrantHolder, LeaseTiming
from fireflyferry.messages import GroupId, Hello, OwnerSet, decode, encode
from fireflyferry.ownership import GrantManager, Owner, SendGrant
from fireflyferry.ownership.tests.parts import Node, Request, Timed, ViolationError
from fireflyferry.placement import bucket_unit, key_unit

GROUP = GroupId("janela", "natal-1", 0)
BUCKETS = 3
# Keys x can be split from their bucket; keys y stay in it.
KEYS = {f"{kind}{bucket}": bucket for bucket in range(BUCKETS) for kind in "xy"}
UPSTREAMS = {"u0": True, "u1": True, "u2": True, "n0": False, "n1": False}
STEP_S = 0.05


__all__ = ["BUCKETS", "GROUP", "KEYS", "UPSTREAMS", "ViolationError", "World"]


class World:
    """Clock rates differ by up to 1%; messages are lost, delayed and reordered."""

    def __init__(self, seed, book_class=GrantManager, timing=None):
        self.random = random.Random(seed)
        self.timing = timing or LeaseTiming()
        self.book_class = book_class
        self.now_s = 0.0
        self.leader_rate = self.random.choice((0.9951, 1.0, 1.0049))
        self.nodes = {name: self._node(name, checks) for name, checks in UPSTREAMS.items()}
        self.loss = 0.0
        self.events = []
        self.requests = []
        self.store = OwnerSet(GROUP, 0, 0, {})
        self.store_up = True
        self.store_version = 0
        self.known_version = {}
        self.pending_saves = []
        self.adopted = None
        self.term = 0
        self.authority_until_s = 0.0
        self.fences = {}
        self.naive = {bucket_unit(b): f"u{b % 3}" for b in range(BUCKETS)}
        self._start_leader(None, True)
        self._desire()

    def _node(self, name, checks):
        rate = self.random.choice((0.9951, 1.0, 1.0049))
        return Node(name, GrantHolder(name, f"{name}-0", checks), rate, self.random.random() * 50)

    @property
    def leader_s(self):
        return self.now_s * self.leader_rate

    # Leader

    def _start_leader(self, previous_until_s, stopped):
        self.term += 1
        self.book = self.book_class(GROUP, self.timing)
        self._read_store(previous_until_s, stopped)
        for node in self.nodes.values():
            self._hello(node)

    def _read_store(self, previous_until_s, stopped):
        """Begin a term with the owners in the store; a late write may still change them."""
        saved = self.store if self.store.sequence else None
        self.begin_options = previous_until_s, stopped
        self.known_version[self.book] = self.store_version
        self.book.begin_term(self.leader_s, self.term, saved, previous_until_s, stopped)
        self.naive = dict(self.store.owners) if saved else self.naive
        self.adopted = dict(self.naive) if saved else None

    def _hello(self, node):
        if not (node.cut or node.frozen):
            checks = "grants" if node.holder.checks else "none"
            token = node.holder.token(node.clock_s(self.now_s))
            hello = Hello(node.name, "janela", 2, 100, checks, token)
            self.book.on_hello(self.leader_s, self.leader_s, hello)

    def _desire(self):
        self.adopted = None
        self.book.set_desired(self.leader_s, self.naive)

    def _tick(self, authority_until_s):
        at_s = self.leader_s
        for action in self.book.tick(at_s, authority_until_s):
            if isinstance(action, SendGrant):
                self._send(action, at_s)
            else:
                self._save(action)

    def _send(self, action, at_s):
        node, book = self.nodes.get(action.upstream_id), self.book
        if node is None:
            return

        def reply(answer):
            if book is self.book:
                book.on_grant_reply(self.leader_s, node.name, at_s, answer)

        def accept():
            message = decode(encode(action.message), type(action.message))
            answer = node.holder.accept(node.clock_s(self.now_s), message)
            self._later(node, lambda: reply(answer), to_leader=True)

        self._later(node, accept)

    def _later(self, node, call, to_leader=False):
        if node.cut or self.random.random() < self.loss:
            return
        delay_s = node.delay_s * self.random.random()
        self.events.append(Timed(self.now_s + delay_s, None if to_leader else node, call))

    def _save(self, action):
        if self.adopted is not None and action.owners.owners != self.adopted:
            raise ViolationError(f"saved owners were not kept: {action.owners} {self.adopted}")
        at_s = self.now_s + self.random.choice((0.0, 0.0, 0.3))
        self.pending_saves.append((at_s, self.book, action))

    def _store(self, book, action):
        """Write conditionally; a leader that lost to an earlier leader's write reads again."""
        if self.known_version[book] != self.store_version:
            if book is self.book:
                self._read_store(*self.begin_options)
            return False
        if (action.owners.term, action.owners.sequence) < (self.store.term, self.store.sequence):
            return False
        self.store_version += 1
        self.known_version[book] = self.store_version
        self.store = decode(encode(action.owners), OwnerSet)
        return True

    # Faults and changes

    def move(self, unit, upstream):
        if unit in self.naive and upstream in self.nodes:
            self.naive[unit] = upstream
            self._desire()

    def split(self, bucket, upstream):
        self.naive[key_unit(bucket, f"x{bucket}")] = upstream
        self._desire()

    def merge(self, bucket):
        if self.naive.pop(key_unit(bucket, f"x{bucket}"), None):
            self._desire()

    def drain(self, name):
        self.nodes[name].holder.drain()
        others = sorted(self.nodes.keys() - {name})
        for unit in [unit for unit, owner in self.naive.items() if owner == name]:
            self.naive[unit] = self.random.choice(others)
        self._desire()

    def restart(self, name):
        node = self.nodes[name]
        node.restart()
        self._drop(lambda r: r.node is node and r.ticket is not None)
        self._hello(node)

    def replace(self, name):
        """Lose a VM for good; the platform says so, and a new one takes the name."""
        old = self.nodes[name]
        self._drop(lambda r: r.node is old)
        self.events = [event for event in self.events if event.node is not old]
        self.nodes[name] = self._node(name, old.holder.checks)
        self.nodes[name].runs = old.runs
        self.nodes[name].restart()
        self.book.on_upstream_gone(self.leader_s, name)
        self._hello(self.nodes[name])

    def _drop(self, condition):
        for request in [request for request in self.requests if condition(request)]:
            self._end(request)

    def takeover(self, resign):
        """Change the leader, after a resignation or after its authority has ended."""
        previous_until_s = None
        if not resign:
            while self.leader_s < self.authority_until_s:
                self._advance(self.authority_until_s)
        self._end_saves(leader_lost=True)
        if resign:
            previous_until_s = self.leader_s + self.timing.lengthened(self.timing.grant_s)
        self._start_leader(previous_until_s, False)

    def _end_saves(self, leader_lost):
        """Let each write in flight take effect, fail, or (a lost leader's) come later."""
        left, self.pending_saves = self.pending_saves, []
        for at_s, book, action in left:
            fate = self.random.random()
            if fate < 0.4:
                self._store(book, action)
            elif fate < 0.7 and (leader_lost or book is not self.book):
                self.pending_saves.append((at_s, book, action))

    def raise_term(self):
        """Let the leader raise its own term, as it does before it takes another group's bucket."""
        self._end_saves(leader_lost=False)
        self.term += 1
        self._read_store(None, True)

    def earlier_leaders_stopped(self):
        self._drop(lambda r: r.book is not self.book and r.ticket is None)
        self.begin_options = self.begin_options[0], True
        self.book.on_earlier_leader_stopped(self.leader_s)

    def request(self, key):
        unit = self.book.unit_of(KEYS[key], key)
        owner = self.book.begin_forward(self.leader_s, unit, key)
        if isinstance(owner, Owner):
            node = self.nodes[owner.upstream_id]
            request = Request(key, unit, owner.fence, node, self.book)
            self.requests.append(request)
            at_s = self.now_s + self.random.choice((0.0, 0.2, 2.0, 6.0))
            self.events.append(Timed(at_s, node, lambda: self._begin(request)))

    def _begin(self, request):
        if request not in self.requests:
            return
        node = request.node
        request.run = node.runs
        request.ticket = node.holder.begin(
            node.clock_s(self.now_s), request.unit, request.key, request.fence
        )
        if request.ticket.result is not CheckResult.HELD:
            self._end(request)
            return
        at_s = self.now_s + self.random.choice((0.1, 1.0, 3.0))
        self.events.append(Timed(at_s, node, lambda: self._finish(request)))

    def _finish(self, request):
        if request in self.requests and request.run == request.node.runs:
            held = request.node.holder.finish(request.node.clock_s(self.now_s), request.ticket)
            self._end(request)
            if held and request.shared:
                raise ViolationError(f"held to the end, but also held elsewhere: {request}")

    def _end(self, request):
        self.requests.remove(request)
        if request.book is self.book:
            self.book.end_forward(request.node.name, request.unit, request.key)

    # Time

    def run(self, duration_s, leader_paused=False):
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self._advance(self.leader_s if leader_paused else None)

    def _advance(self, authority_until_s):
        self.now_s += STEP_S
        for save in [
            save for save in self.pending_saves if self.store_up and save[0] <= self.now_s
        ]:
            self.pending_saves.remove(save)
            stored = self._store(save[1], save[2])
            if stored and save[1] is self.book and self.random.random() < 0.9:
                self.book.on_owners_saved(self.leader_s, save[2].save_id)
        self._deliver()
        if authority_until_s is None:
            authority_until_s = self.leader_s + self.timing.shortened(self.timing.pledge_s)
            self.authority_until_s = authority_until_s
        self._tick(authority_until_s)
        self._deliver()
        self.check()

    def _deliver(self):
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

    def _running(self, node, key):
        return any(r.node is node and r.key == key for r in self.requests)

    def holders(self, key):
        """Return upstreams that would run a request for the key if it reached them now."""
        bucket = KEYS[key]
        found = set()
        for node in self.nodes.values():
            if not node.holder.checks:
                owner = self.book.owner(self.leader_s, self.book.unit_of(bucket, key))
                if self._running(node, key) or getattr(owner, "upstream_id", "") == node.name:
                    found.add(node.name)
                continue
            held = node.holder.held_units(node.clock_s(self.now_s))
            whole = held.get(bucket_unit(bucket))
            if key_unit(bucket, key) in held or (whole and key not in whole.excluded):
                found.add(node.name)
        return found

    def check(self):
        for key, bucket in KEYS.items():
            holders = self.holders(key)
            if len(holders) > 1:
                raise ViolationError(f"{self.now_s:.2f}: {key} is held by {sorted(holders)}")
            for request in self.requests:
                if request.key == key and holders - {request.node.name}:
                    request.shared = True
            self._check_saved(key, bucket, holders)
            self._check_forward(key, bucket)
        self._check_fences()

    def _check_saved(self, key, bucket, holders):
        own, whole = key_unit(bucket, key), bucket_unit(bucket)
        known = {*self.store.releasing.get(own, ())}
        unit = own if own in self.store.owners else whole
        known |= {self.store.owners.get(unit), *self.store.releasing.get(unit, ())}
        if holders - known:
            raise ViolationError(f"{self.now_s:.2f}: {key}: {holders} not saved in {self.store}")

    def _check_forward(self, key, bucket):
        unit = self.book.unit_of(bucket, key)
        owner = self.book.owner(self.leader_s, unit)
        node = self.nodes.get(getattr(owner, "upstream_id", ""))
        if node is None or not node.holder.checks:
            return
        result = node.holder.check(node.clock_s(self.now_s), unit, key, owner.fence)
        restarted = not node.holder.held_units(node.clock_s(self.now_s)) and node.runs
        if result is CheckResult.NOT_OWNER and not restarted:
            raise ViolationError(f"{self.now_s:.2f}: {key} may not be forwarded to {owner}")

    def _check_fences(self):
        for node in self.nodes.values():
            held = node.holder.held_units(node.clock_s(self.now_s))
            for unit, grant in held.items() if node.holder.checks else ():
                newest = self.fences.setdefault(unit, (grant.fence, node.name))
                if newest[1] != node.name and grant.fence <= newest[0]:
                    raise ViolationError(f"fence of {unit} at {node.name}: {grant} {newest}")
                self.fences[unit] = max(newest, (grant.fence, node.name))

    # Quiet

    def settle(self, duration_s=12.0):
        """End all faults, let a quiet time pass, and compare with the naive owners."""
        self.loss, self.store_up = 0.0, True
        for node in self.nodes.values():
            node.cut = node.frozen = False
            node.delay_s = 0.0
            self._hello(node)
        self.earlier_leaders_stopped()
        self.run(duration_s)
        found = {}
        for unit in self.naive:
            owner = self.book.owner(self.leader_s, unit)
            found[unit] = getattr(owner, "upstream_id", owner)
        if found != self.naive:
            raise ViolationError(f"owners when quiet: {found}, wanted {self.naive}")
        for key, bucket in KEYS.items():
            if (self.book.unit_of(bucket, key) in self.naive) is not True:
                raise ViolationError(f"{key} belongs to no wanted unit")
