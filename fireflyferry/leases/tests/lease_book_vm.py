"""A simulated VM that grants through the real GrantManager and saves owners in the store."""

from fireflyferry.leases import WriteOutcome
from fireflyferry.leases.trial import SimulatedVm
from fireflyferry.leases.trial.processes import GROUP
from fireflyferry.messages import Hello
from fireflyferry.ownership import GrantManager, SendGrant

LOAD_RETRY_S = 0.5


class SavedOwners:
    """The saved owners of the group in the store."""

    def __init__(self):
        self.owners, self.version = None, 0

    def put(self, owners, expected_version):
        if expected_version != self.version:
            return WriteOutcome.CONFLICT, self.version
        self.owners, self.version = owners, self.version + 1
        return WriteOutcome.STORED, self.version


class GrantManagerVm(SimulatedVm):
    def start(self):
        super().start()
        self.grant_manager = GrantManager(GROUP, self.world.options.timing)
        self.term, self.saved_version, self.next_load_s = 0, 0, float("-inf")
        if not hasattr(self.world, "saved"):
            self.world.saved = SavedOwners()

    def _grant(self):
        if not self.authority.is_leader(self.now_s):
            return
        if self.term != self.authority.record.term:
            self._load(self.authority.record.term)
            return
        acknowledged = self.authority.owners_acknowledged
        if acknowledged and acknowledged[0] == self.term:
            self.grant_manager.on_owners_saved(self.now_s, acknowledged[1])
        self.grant_manager.set_desired(self.now_s, self.world.desired_owners)
        for action in self.grant_manager.tick(self.now_s, self.authority.authority_until_s()):
            if isinstance(action, SendGrant):
                self._send(action)
            else:
                self.authority.replicate(self.now_s, action.owners)
                self._save(action)

    def _load(self, term):
        """Begin a term with the newer of the owners in the store and the replica."""
        if self.now_s < self.next_load_s:
            return
        self.next_load_s = self.now_s + LOAD_RETRY_S
        saved = self.world.saved
        self.world.call_store(
            self, lambda: (saved.owners, saved.version), lambda stored: self._begin(term, *stored)
        )

    def _begin(self, term, owners, version):
        authority, now_s = self.authority, self.now_s
        if not authority.is_leader(now_s) or authority.record.term != term or self.term == term:
            return
        copies = [copy for copy in (owners, authority.replica) if copy]
        newest = max(copies, key=lambda copy: (copy.term, copy.sequence), default=None)
        until_s = authority.previous_grants_until_s
        self.grant_manager.begin_term(
            now_s, term, newest, None if until_s < now_s else until_s, True
        )
        self.term, self.saved_version = term, version
        self.world.check_replica(self)
        self.world.shuffle_owners()
        for upstream in self.world.upstreams:
            self.world.call(
                self,
                upstream,
                lambda u=upstream: Hello(u.name, "", 2, 9, "grants", u.holder.token(u.now_s)),
                lambda hello: self.grant_manager.on_hello(self.now_s, now_s, hello),
            )

    def _send(self, action):
        upstream, sent_at_s = self.world.upstream(action.upstream_id), self.now_s
        self.world.call(
            self,
            upstream,
            lambda: self.world.accept(upstream, action.message),
            lambda reply: self.grant_manager.on_grant_reply(
                self.now_s, upstream.name, sent_at_s, reply
            ),
        )

    def _save(self, action):
        saved, expected_version = self.world.saved, self.saved_version

        def serve():
            if saved.owners is not None and saved.owners.term > action.owners.term:
                return WriteOutcome.CONFLICT, 0
            return saved.put(action.owners, expected_version)

        def on_reply(result):
            outcome, version = result
            if version:
                self.saved_version = version
            if outcome is WriteOutcome.STORED and action.owners.term == self.term:
                self.grant_manager.on_owners_saved(self.now_s, action.save_id)

        self.world.call_store(self, serve, on_reply)
