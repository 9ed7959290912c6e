"""Grant messages to the upstreams of a group, and the processing of their replies."""

import math
from collections.abc import Iterator, Mapping

import attrs

from fireflyferry.leases import LeaseTiming
from fireflyferry.messages import GrantMessage, GrantReply, Hello
from fireflyferry.ownership.rows import SendGrant, SentGrant, UnitRow, UpstreamRow

__all__ = ["UpstreamTable"]

# Replies that take longer than this are ignored; in grant lengths.
_REPLY_TIMEOUT_GRANTS = 4
# After a refusal for one of these reasons, a message with the refusal's token is sent at once.
_IMMEDIATE_RETRY_REASONS = frozenset({"unknown_token", "expired_token", "unknown_set"})


@attrs.define
class UpstreamTable:
    """Upstreams of a group, and the grant messages to them.

    Times are monotonic seconds. `version` is the latest set version of any upstream.
    """

    timing: LeaseTiming
    rows: dict[str, UpstreamRow] = attrs.Factory(dict)
    version: int = 0
    _last_sent_at_s: float = attrs.field(default=-math.inf, init=False)

    def get_or_add(self, upstream_id: str) -> UpstreamRow:
        """Return the row of an upstream, and add it if it is unknown."""
        if upstream_id not in self.rows:
            self.rows[upstream_id] = UpstreamRow(upstream_id)
            self.begin_set_version(self.rows[upstream_id])
        return self.rows[upstream_id]

    def begin_set_version(self, row: UpstreamRow) -> int:
        """Return a set version that was not sent yet, and start a new one if needed."""
        # Versions are never reused for another upstream or term, so that a late message or
        # reply cannot be mistaken for a newer one.
        if row.version == 0 or not row.changed:
            self.version += 1
            row.version = self.version
            row.changed = True
        return row.version

    def is_responsive(self, now_s: float, upstream_id: str) -> bool:
        """Return whether an upstream answered a message sent within the last grant length."""
        row = self.rows.get(upstream_id)
        return row is not None and now_s - row.token_after_s < self.timing.grant_s

    def is_lost(self, now_s: float, upstream_id: str) -> bool:
        """Return whether an upstream is unknown, or was silent until its grants expired.

        Grants never expire on an upstream without checks.
        """
        row = self.rows.get(upstream_id)
        if row is None:
            return True
        # After a takeover or a pause of the leader, the upstream first gets time to answer.
        wait_s = self.timing.grant_s - self.timing.renew_s
        since_s = row.unanswered_since_s
        silent = since_s is not None and now_s - since_s >= wait_s
        return row.checks and silent and now_s >= row.until_s

    def is_draining(self, upstream_id: str) -> bool:
        """Return whether an upstream reported that it is draining."""
        row = self.rows.get(upstream_id)
        return row is not None and row.draining

    def on_hello(self, now_s: float, sent_at_s: float, hello: Hello) -> None:
        """Add an upstream, or update the token and state of a known one."""
        row = self.get_or_add(hello.upstream_id)
        # The token may be that of a restarted upstream, which then takes the next set at once.
        row.may_have_restarted = True
        # An upstream that once ran without checks counts as unchecked until it is gone, because
        # an earlier incarnation of it may still execute delayed requests.
        row.checks = row.checks and hello.checks == "grants"
        row.draining = hello.draining
        self._update_token(now_s, row, sent_at_s, hello.token)

    def _update_token(self, now_s: float, row: UpstreamRow, sent_at_s: float, token: str) -> None:
        if token and sent_at_s >= row.token_after_s:
            row.token, row.token_after_s, row.token_before_s = token, sent_at_s, now_s

    def due_messages(
        self,
        now_s: float,
        group: str,
        term: int,
        authority_until_s: float,
        units: Mapping[str, UnitRow] | None,
    ) -> Iterator[SendGrant]:
        """Yield the messages that are due: changed sets at once, renewals every `renew_s`.

        While `units` is None, only renewals are sent.
        """
        # Whole milliseconds take fewer bytes in a message than a full float.
        length_s = math.floor(self.timing.grant_length_s(now_s, authority_until_s) * 1e3) / 1e3
        if length_s <= 0:
            return
        self._restart_wait_after_pause(now_s)
        for row in self.rows.values():
            responsive = units is not None and self.is_responsive(now_s, row.upstream_id)
            if now_s < row.next_send_s and not (row.changed and responsive):
                continue
            # An upstream that does not answer gets renewals only, because a set with new units
            # and its old token would be refused.
            full = row.acked_version != row.version and responsive
            grants = tuple(units[unit].grant for unit in row.units) if full else None
            row.changed = row.changed and not full
            row.next_send_s = now_s + self.timing.renew_s
            self._record_sent(now_s, row, full, length_s)
            message = GrantMessage(group, term, row.version, row.token, length_s, grants)
            yield SendGrant(row.upstream_id, message)

    def _restart_wait_after_pause(self, now_s: float) -> None:
        """Restart the wait for replies if the leader itself was paused."""
        if now_s - self._last_sent_at_s > self.timing.renew_s:
            for row in self.rows.values():
                row.unanswered_since_s = None
        self._last_sent_at_s = now_s

    def _record_sent(self, now_s: float, row: UpstreamRow, full: bool, length_s: float) -> None:
        sent = SentGrant(row.version, full, row.token, row.token_after_s, length_s)
        oldest_s = now_s - _REPLY_TIMEOUT_GRANTS * self.timing.grant_s
        row.sent = {at_s: old for at_s, old in row.sent.items() if at_s >= oldest_s}
        row.sent[now_s] = sent
        if row.unanswered_since_s is None:
            row.unanswered_since_s = now_s
        if row.token:
            row.until_s = max(row.until_s, self.grant_end_s(row, length_s))

    def grant_end_s(self, row: UpstreamRow, length_s: float) -> float:
        """Return the time by which a grant has expired on the upstream's clock.

        The upstream counts from the clock reading in the token, which was made before the token
        arrived here.
        """
        return row.token_before_s + self.timing.lengthened(length_s)

    def on_reply(self, now_s: float, sent_at_s: float, term: int, reply: GrantReply) -> bool:
        """Process a reply; return whether the upstream acknowledged a full set."""
        row = self.rows.get(reply.upstream_id)
        sent = None if row is None else row.sent.get(sent_at_s)
        if sent is None or reply.term > term:
            return False
        # Replies to earlier messages are ignored from now on.
        row.sent = {at_s: later for at_s, later in row.sent.items() if at_s > sent_at_s}
        row.unanswered_since_s = None
        row.draining = reply.draining
        self._update_token(now_s, row, sent_at_s, reply.token)
        if not reply.accepted or (reply.term, reply.set_version) != (term, sent.version):
            self._on_refusal(now_s, row, sent, reply)
            return False
        row.refused = False
        if sent.full:
            row.acked_version = sent.version
        if sent.version == row.acked_version:
            row.busy, row.busy_at_s = frozenset(reply.busy), sent_at_s
            # Not the latest end of all messages, because the units that this message added are
            # granted only until its own end.
            row.usable_until_s = sent.token_after_s + self.timing.shortened(sent.length_s)
        return sent.full

    def _on_refusal(
        self, now_s: float, row: UpstreamRow, sent: SentGrant, reply: GrantReply
    ) -> None:
        if reply.reason in _IMMEDIATE_RETRY_REASONS and not row.refused:
            row.next_send_s = now_s
        row.refused = True
        if reply.reason in ("unknown_token", "unknown_set"):
            # The upstream was restarted or never received the set, so it needs the full set.
            row.acked_version = 0
            row.usable_until_s = -math.inf
            row.may_have_restarted = True
