"""Judges the head of an answer and passes complete answers on."""

from collections.abc import Callable

from fireflyferry.entry import headers as names
from fireflyferry.retries import Failure, Verdict, classify
from fireflyferry.telemetry import Outcome, Reason
from fireflyferry.telemetry.reasons import REASONS
from fireflyferry.transport.curl import Receiver, TransferResult
from fireflyferry.transport.headers import HeaderList
from fireflyferry.transport.sinks import AnswerSink

__all__ = ["AnswerReceiver"]


class AnswerReceiver(Receiver):
    """Receives the answer to one attempt.

    `from_peer` is set for answers of a last hop, which always state an outcome; an upstream
    states one only when it refuses.
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
        self._passing = False

    def may_send(self) -> bool:
        """Ask the check that was given, right before the first byte."""
        return self._may_send is None or self._may_send()

    def on_head(self, status: int, headers: HeaderList) -> bool:
        """Pass the head on if it is an answer to this request."""
        self._failure = self._judge(status, headers)
        if self._failure is not None:
            # The body of a refusal is read, so that its connection can be used again.
            return self._failure.declared_reason is not None
        self._passing = True
        self._sink.on_ready = self.resume
        self._sink.start(status, names.answer_headers(headers))
        return True

    def on_data(self, chunk: bytes) -> bool:
        """Pass a chunk on."""
        if not self._passing:
            return True
        if not self._sink.ready:
            return False
        self._sink.write(chunk)
        return True

    def verdict(self, result: TransferResult) -> Verdict:
        """Return the outcome, and finish or abort the answer that was passed on."""
        self._sink.on_ready = None
        if self._passing and result.error == 0:
            self._sink.finish()
            return Verdict(Outcome.ANSWERED)
        if self._passing:
            self._sink.abort()
        if self._failure is None:
            if not result.sent and not self.may_send():
                return Verdict(Outcome.NOT_RUN, Reason.NOT_LEADER)
            return classify(Failure(sent=result.sent, timed_out=result.timed_out))
        verdict = classify(self._failure)
        return Verdict(verdict.outcome, verdict.reason, self._leader_address, self._leader_term)

    def _judge(self, status: int, headers: HeaderList) -> Failure | None:
        fields = {name.lower(): value for name, value in headers}
        if fields.get("firefly-request-id") != self._request_id:
            return Failure(sent=True, wrong_answer=True)
        if fields.get("firefly-ownership") == "lapsed":
            return Failure(sent=True, ownership_lapsed=True)
        outcome = fields.get("firefly-outcome")
        if outcome in (Outcome.NOT_RUN, Outcome.UNKNOWN):
            self._leader_address = fields.get("firefly-leader", "")
            self._leader_term = _number(fields.get("firefly-term", ""))
            return Failure(
                sent=True, declared_reason=_reason(outcome, fields.get("firefly-reason", ""))
            )
        if self._from_peer and outcome != Outcome.ANSWERED:
            return Failure(sent=True, wrong_answer=True)
        if not self._has_framing(status, fields):
            return Failure(sent=True, wrong_answer=True)
        return None

    def _has_framing(self, status: int, fields: dict[str, str]) -> bool:
        """Tell whether the end of the body can be told from a lost connection."""
        if self._method == "HEAD" or status in (204, 304):
            return True
        return "content-length" in fields or "chunked" in fields.get("transfer-encoding", "")


def _reason(outcome: str, code: str) -> Reason:
    """Return a declared reason; a code that this version does not know gets a general one."""
    try:
        reason = Reason(code)
    except ValueError:
        reason = None
    if reason is not None and REASONS[reason].outcome == outcome:
        return reason
    return Reason.UPSTREAM_SHED if outcome == Outcome.NOT_RUN else Reason.CONNECTION_LOST


def _number(text: str) -> int:
    return int(text) if text.isascii() and text.isdigit() else 0
