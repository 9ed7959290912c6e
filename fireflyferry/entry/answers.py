"""Receiver of the answer to one attempt: checks its head and passes its body on."""

from collections.abc import Callable

from fireflyferry.entry import headers as router_headers
from fireflyferry.retries import Failure, Verdict, classify
from fireflyferry.telemetry import Outcome, Reason
from fireflyferry.telemetry.reasons import REASONS
from fireflyferry.transport.exchanges import Receiver, TransferResult
from fireflyferry.transport.headers import HeaderList
from fireflyferry.transport.sinks import AnswerSink

__all__ = ["AnswerReceiver"]

MAX_DISCARDED_BYTES = 65_536  # of the body of an answer that is not passed on


class AnswerReceiver(Receiver):
    """Checks the answer to one attempt and passes it on to a sink.

    `from_peer` is set for an answer of another VM's last hop, which always contains an outcome.
    An upstream's answer contains one only if the request was refused or its outcome is unknown.
    """

    def __init__(
        self,
        sink: AnswerSink,
        method: str,
        request_id: str,
        from_peer: bool,
        may_send: Callable[[], bool] | None = None,
    ):
        self._sink = sink
        self._method = method
        self._request_id = request_id
        self._from_peer = from_peer
        self._may_send = may_send
        self._failure: Failure | None = None
        self._leader_address = ""
        self._leader_term = 0
        self._forwarding = False
        self._discarded_bytes = 0

    def may_send(self) -> bool:
        """Return whether the request may still be sent; called right before its first byte."""
        return self._may_send is None or self._may_send()

    def on_head(self, status: int, headers: HeaderList) -> bool:
        """Check the head, and pass it on if it answers this request.

        Returns False to end the transfer.
        """
        self._failure = self._check_head(status, headers)
        if self._failure is not None:
            # The body of a refusal is read, so that its connection can be used again.
            return self._failure.declared_reason is not None
        self._forwarding = True
        self._sink.on_ready = self.resume
        self._sink.start(status, router_headers.answer_headers(headers))
        return True

    def on_data(self, chunk: bytes) -> bool:
        """Pass a chunk on; return False to hold it back until the sink is ready."""
        if not self._forwarding:
            self._discarded_bytes += len(chunk)
            self.rejects_data = self._discarded_bytes > MAX_DISCARDED_BYTES
            return not self.rejects_data
        if not self._sink.ready:
            return False
        self._sink.write(chunk)
        return True

    def verdict(self, result: TransferResult) -> Verdict:
        """Return the outcome, and finish or abort the answer that was passed on."""
        self._sink.on_ready = None
        if self._forwarding and result.error == 0:
            self._sink.finish()
            return Verdict(Outcome.ANSWERED)
        if self._forwarding:
            self._sink.abort()
        if self._failure is None:
            if not result.sent and not self.may_send():
                return Verdict(Outcome.NOT_RUN, Reason.NOT_LEADER)
            return classify(Failure(sent=result.sent, timed_out=result.timed_out))
        verdict = classify(self._failure)
        return Verdict(verdict.outcome, verdict.reason, self._leader_address, self._leader_term)

    def _check_head(self, status: int, headers: HeaderList) -> Failure | None:
        fields = {name.lower(): value for name, value in headers}
        if fields.get("firefly-request-id") != self._request_id:
            return Failure(sent=True, wrong_answer=True)
        if fields.get("firefly-ownership") == "lapsed":
            return Failure(sent=True, ownership_lapsed=True)
        outcome = fields.get("firefly-outcome")
        if outcome in (Outcome.NOT_RUN, Outcome.UNKNOWN):
            self._leader_address = fields.get("firefly-leader", "")
            self._leader_term = _parse_number(fields.get("firefly-term", ""))
            return Failure(
                sent=True, declared_reason=_known_reason(outcome, fields.get("firefly-reason", ""))
            )
        if self._from_peer and outcome != Outcome.ANSWERED:
            return Failure(sent=True, wrong_answer=True)
        if not self._has_framing(status, fields):
            return Failure(sent=True, wrong_answer=True)
        return None

    def _has_framing(self, status: int, fields: dict[str, str]) -> bool:
        """Return whether the end of the body can be distinguished from a lost connection."""
        if self._method == "HEAD" or status in (204, 304):
            return True
        return "content-length" in fields or "chunked" in fields.get("transfer-encoding", "")


def _known_reason(outcome: str, code: str) -> Reason:
    """Return the declared reason, or a general one if this version does not know the code."""
    try:
        reason = Reason(code)
    except ValueError:
        reason = None
    if reason is not None and REASONS[reason].outcome == outcome:
        return reason
    return Reason.UPSTREAM_SHED if outcome == Outcome.NOT_RUN else Reason.CONNECTION_LOST


def _parse_number(text: str) -> int:
    return int(text) if text.isascii() and text.isdigit() else 0
