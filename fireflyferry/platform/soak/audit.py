"""Checks the promises from what callers and upstreams see."""

import collections

import attrs

__all__ = ["Audit", "Finding"]

NOT_RUN_STATUSES = (408, 421, 429, 503)


@attrs.frozen
class Finding:
    """A broken promise."""

    promise: str
    detail: str


@attrs.define
class Audit:
    """Requests that upstreams began, answers that callers got, and what is wrong with them."""

    findings: list[Finding] = attrs.field(factory=list)
    _runs: dict[str, list[str]] = attrs.field(
        factory=lambda: collections.defaultdict(list), init=False
    )
    _statuses: dict[str, int] = attrs.field(factory=dict, init=False)
    _sent: dict[str, bool] = attrs.field(factory=dict, init=False)

    @property
    def statuses(self) -> dict[int, int]:
        """Number of answers by status; 0 stands for none."""
        return dict(collections.Counter(self._statuses.values()))

    def report(self, promise: str, detail: str) -> None:
        """Note a broken promise."""
        self.findings.append(Finding(promise, detail))

    def sent(self, request_id: str, idempotent: bool) -> None:
        """Note a request that a caller is about to send."""
        self._sent[request_id] = idempotent

    def ran(self, request_id: str, upstream_id: str) -> None:
        """Note that an upstream began a request."""
        self._runs[request_id].append(upstream_id)

    def answered(self, request_id: str, status: int, body: bytes, signed: bool) -> None:
        """Note the whole answer that a caller got."""
        self._statuses[request_id] = status
        if status != 200:
            return
        if not signed or body.partition(b" ")[0] != request_id.encode():
            self.report("whole answer to its own request", f"{request_id} got {body[:60]!r}")
        if request_id not in self._runs:
            self.report("an answer has been run", request_id)

    def unanswered(self, request_id: str) -> None:
        """Note a request that got no answer."""
        self._statuses[request_id] = 0

    def finish(self) -> None:
        """Check what can only be told at the end."""
        for request_id, upstreams in self._runs.items():
            if request_id not in self._sent:
                self.report("only requests of callers run", f"{request_id} at {upstreams}")
            elif not self._sent[request_id] and len(upstreams) > 1:
                self.report(
                    "a non-idempotent request runs at most once", f"{request_id} {upstreams}"
                )
            if self._statuses.get(request_id) in NOT_RUN_STATUSES and not self._sent[request_id]:
                status = self._statuses[request_id]
                self.report("a refusal says that nothing ran", f"{request_id} {status} {upstreams}")
