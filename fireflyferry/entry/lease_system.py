"""System that executes the actions of the group authorities on each tick."""

import logging
from collections import defaultdict

from fireflyferry.edges import (
    Clock,
    ObjectStore,
    PeerLink,
    StoredObject,
    VersionConflictError,
)
from fireflyferry.edges.base import EdgeError
from fireflyferry.entry.earlier_leaders import mark_leader_stopped
from fireflyferry.entry.group_runtime import GroupRuntime
from fireflyferry.entry.state import GROUPS_PREFIX, VmState
from fireflyferry.leases import ReadRecord, SendHeartbeat, WriteOutcome, WriteRecord
from fireflyferry.messages import GroupId, GroupRecord, Heartbeat, decode, encode
from fireflyferry.messages.codec import MessageError
from fireflyferry.tasks import BackgroundTasks

__all__ = ["LeaseSystem"]

_LOG = logging.getLogger(__name__)


class LeaseSystem:
    """Sends heartbeats, and reads and writes group records."""

    def __init__(
        self,
        state: VmState,
        clock: Clock,
        store: ObjectStore,
        peers: PeerLink,
        tasks: BackgroundTasks,
    ) -> None:
        self._state = state
        self._clock = clock
        self._store = store
        self._peers = peers
        self._tasks = tasks
        self._reads_in_progress: set[GroupId] = set()

    def run(self, now_s: float, runtimes: dict[GroupId, GroupRuntime]) -> None:
        """Advance every group's authority and start the actions that it returns."""
        heartbeats: dict[str, list[Heartbeat]] = defaultdict(list)
        for runtime in runtimes.values():
            for action in runtime.authority.tick(now_s):
                if isinstance(action, SendHeartbeat):
                    heartbeats[action.heartbeat.standby.vm_id].append(action.heartbeat)
                elif isinstance(action, ReadRecord):
                    self._start_read(runtime)
                else:
                    self._tasks.start(self._write_record(runtime, action))
        for vm_id, messages in heartbeats.items():
            self._tasks.start(self._send_heartbeats(vm_id, tuple(messages), runtimes))

    async def _send_heartbeats(
        self, vm_id: str, messages: tuple[Heartbeat, ...], runtimes: dict[GroupId, GroupRuntime]
    ) -> None:
        """Send the heartbeats of all groups that share a standby in one message."""
        entry = self._state.vm_table.get(vm_id)
        if entry is None:
            return
        sent_at_s = self._clock.monotonic_s()
        try:
            replies = await self._peers.heartbeat(entry.peer_address, messages)
        except EdgeError:
            return
        now_s = self._clock.monotonic_s()
        for reply in replies:
            runtime = runtimes.get(reply.group)
            if runtime is not None:
                runtime.authority.on_heartbeat_reply(now_s, sent_at_s, reply)
                if reply.stopped and reply.term == runtime.term:
                    mark_leader_stopped(now_s, runtime, reply.standby)
                runtime.last_pledge_at_s = now_s if reply.pledge_s > 0 else runtime.last_pledge_at_s

    def _start_read(self, runtime: GroupRuntime) -> None:
        if runtime.group not in self._reads_in_progress:
            self._reads_in_progress.add(runtime.group)
            self._tasks.start(self._read_record(runtime))

    async def _read_record(self, runtime: GroupRuntime) -> None:
        name = f"{GROUPS_PREFIX}{runtime.group}"
        sent_at_s = self._clock.monotonic_s()
        try:
            stored = await self._store.get(name)
        except EdgeError:
            return
        finally:
            self._reads_in_progress.discard(runtime.group)
        now_s = self._clock.monotonic_s()
        if stored is None or stored.data is None:
            runtime.authority.observe_record(now_s, sent_at_s, None, 0)
            return
        try:
            record = decode(stored.data, GroupRecord)
        except MessageError as error:
            _LOG.warning("record_unreadable", extra={"object": name, "error": str(error)})
            return
        if record.group != runtime.group:
            _LOG.warning("record_of_another_group", extra={"object": name})
            return
        runtime.authority.observe_record(now_s, sent_at_s, record, stored.version)

    async def _write_record(self, runtime: GroupRuntime, action: WriteRecord) -> None:
        name = f"{GROUPS_PREFIX}{runtime.group}"
        data = encode(action.record)
        sent_at_s = self._clock.monotonic_s()
        version = 0
        try:
            version = await self._store.put(name, data, action.expected_version)
            outcome = WriteOutcome.STORED
        except VersionConflictError:
            outcome = WriteOutcome.CONFLICT
        except EdgeError:
            outcome = WriteOutcome.UNKNOWN
        now_s = self._clock.monotonic_s()
        runtime.authority.on_write_result(
            now_s, sent_at_s, action.record.write_id, outcome, version
        )
        _LOG.info(
            "record_written",
            extra={
                "group": str(runtime.group),
                "term": action.record.term,
                "outcome": outcome.value,
                "session": action.record.session,
            },
        )
        if outcome is WriteOutcome.STORED:
            self._state.apply((StoredObject(name, version, data),))
