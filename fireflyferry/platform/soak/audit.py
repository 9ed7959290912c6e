"""Checks the invariants of the router from what callers and upstreams see."""

import collections

import attrs

__all__ = ["Audit", "Finding"]

# Statuses with which the router refuses a request that was not executed.
NOT_RUN_STATUSES = (408, 421, 429, 503)


@attrs.frozen
class Finding:
    """A violated invariant."""

    invariant: str
    detail: str


@attrs.define
class Audit:
    """Record of requests sent, executions at upstreams and answers, and the findings in it."""

    findings: list[Finding] = attrs.field(factory=list)
    _executions: dict[str, list[str]] = attrs.field(
        factory=lambda: collections.defaultdict(list), init=False
    )
    _statuses: dict[str, int] = attrs.field(factory=dict, init=False)
    _idempotent_by_id: dict[str, bool] = attrs.field(factory=dict, init=False)

    @property
    def statuses(self) -> dict[int, int]:
        """Number of requests by the status of their answer; 0 means no answer."""
        return dict(collections.Counter(self._statuses.values()))

    def report(self, invariant: str, detail: str) -> None:
        """Record a violated invariant."""
        self.findings.append(Finding(invariant, detail))

    def record_sent(self, request_id: str, idempotent: bool) -> None:
        """Record a request that a caller is about to send."""
        self._idempotent_by_id[request_id] = idempotent

    def record_execution(self, request_id: str, upstream_id: str) -> None:
        """Record that an upstream began to execute a request."""
        self._executions[request_id].append(upstream_id)

    def record_answer(self, request_id: str, status: int, body: bytes, signed: bool) -> None:
        """Record a complete answer that a caller got."""
        self._statuses[request_id] = status
        if status != 200:
            return
        bodies = [f"{request_id} {each}".encode() for each in self._executions.get(request_id, [])]
        if not signed or body not in bodies:
            self.report("whole answer to its own request", f"{request_id} got {body[:60]!r}")
        if request_id not in self._executions:
            self.report("an answered request has run", request_id)

    def record_no_answer(self, request_id: str) -> None:
        """Record that a request got no answer."""
        self._statuses[request_id] = 0

    def record_cut(self, request_id: str, detail: str, may_be_unread: bool) -> None:
        """Record that a VM which is only being stopped ended a connection without an answer.

        `may_be_unread` if the request may have crossed the close; then it must not have run.
        """
        if request_id in self._executions or not may_be_unread:
            self.report("a graceful shutdown cuts no request", f"{request_id} {detail}")

    def finish(self) -> None:
        """Check the invariants that need the complete record."""
        for request_id, upstream_ids in self._executions.items():
            if request_id not in self._idempotent_by_id:
                self.report("only requests of callers run", f"{request_id} at {upstream_ids}")
            elif not self._idempotent_by_id[request_id] and len(upstream_ids) > 1:
                self.report(
                    "a non-idempotent request runs at most once", f"{request_id} {upstream_ids}"
                )
            if (
                self._statuses.get(request_id) in NOT_RUN_STATUSES
                and not self._idempotent_by_id[request_id]
            ):
                status = self._statuses[request_id]
                self.report(
                    "a refusal says that nothing ran", f"{request_id} {status} {upstream_ids}"
                )
