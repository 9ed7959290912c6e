"""Signatures of peer calls; two secrets are accepted while one replaces the other."""

import hashlib
import hmac
import math
from collections.abc import Iterable

from fireflyferry.edges.base import Clock
from fireflyferry.errors import FireflyferryError

__all__ = ["SIGNATURE_HEADER", "TIME_HEADER", "PeerSignatureError", "PeerSigner"]

TIME_HEADER = "Firefly-Time"
SIGNATURE_HEADER = "Firefly-Signature"

_UNSIGNED_HEADERS = frozenset({TIME_HEADER.lower(), SIGNATURE_HEADER.lower()})
_ROUTER_PREFIX = "firefly-"
# Set by the caller, not by the router; signed because the last hop detects repeated requests by it.
_CALLER_ID_HEADER = "request-id"


class PeerSignatureError(FireflyferryError):
    """The signature of a peer call is missing, wrong or too old."""

    code = "not_authenticated"


class PeerSigner:
    """Signs with the first secret and accepts any of them.

    To rotate a secret, configure (old, new) on every VM, then (new, old), then (new). A signature
    is accepted for `max_age_s` seconds, which limits replays; wall clocks must agree within it.
    """

    def __init__(self, secrets: tuple[bytes, ...], clock: Clock, max_age_s: float = 30.0) -> None:
        if not 1 <= len(secrets) <= 2 or not all(secrets):
            raise ValueError("one or two secrets are needed, none of them empty")
        self._secrets = secrets
        self._clock = clock
        self._max_age_s = max_age_s

    def headers(self, method: str, path: str, body: bytes) -> dict[str, str]:
        """Return the headers that sign a call; `path` includes the query."""
        return self._sign(method, path, _body_text(body))

    def verify(self, method: str, path: str, body: bytes, time: str, signature: str) -> None:
        """Check a call's signature and age.

        Raises PeerSignatureError.
        """
        self._check(method, path, _body_text(body), time, signature)

    def head_headers(
        self, method: str, path: str, headers: Iterable[tuple[str, str]]
    ) -> dict[str, str]:
        """Return the headers that sign the head, but not the body, of a forwarded request."""
        return self._sign(method, path, _head_text(headers))

    def verify_head(self, method: str, path: str, headers: Iterable[tuple[str, str]]) -> None:
        """Check the signature and age of a forwarded request's head.

        Raises PeerSignatureError.
        """
        pairs = list(headers)
        found = {name.lower(): value for name, value in pairs if name.lower() in _UNSIGNED_HEADERS}
        time = found.get(TIME_HEADER.lower(), "")
        signature = found.get(SIGNATURE_HEADER.lower(), "")
        self._check(method, path, _head_text(pairs), time, signature)

    def _sign(self, method: str, path: str, content: str) -> dict[str, str]:
        time = f"{self._clock.wall_s():.3f}"
        signature = _signature(self._secrets[0], method, path, time, content)
        return {TIME_HEADER: time, SIGNATURE_HEADER: signature}

    def _check(self, method: str, path: str, content: str, time: str, signature: str) -> None:
        # Every secret is tried, so that the time taken does not reveal which one matched.
        matches = [
            hmac.compare_digest(
                _signature(secret, method, path, time, content).encode(), signature.encode()
            )
            for secret in self._secrets
        ]
        if not any(matches):
            raise PeerSignatureError(f"{method} {path}: signature missing or wrong")
        try:
            age_s = self._clock.wall_s() - float(time)
        except ValueError:
            age_s = math.nan
        if not abs(age_s) <= self._max_age_s:  # also rejects NaN
            raise PeerSignatureError(
                f"{method} {path}: signed {age_s:.1f} s ago, allowed {self._max_age_s:g} s"
            )


def _signature(secret: bytes, method: str, path: str, time: str, content: str) -> str:
    text = "\n".join((method, path, time, content))
    return hmac.digest(secret, text.encode(), "sha256").hex()


def _body_text(body: bytes) -> str:
    return hashlib.sha256(body).hexdigest()


def _head_text(headers: Iterable[tuple[str, str]]) -> str:
    # Covers all headers of the router, so that none can be added, repeated or removed.
    lines = []
    for name, value in headers:
        lower = name.lower()
        if lower == _CALLER_ID_HEADER or (
            lower.startswith(_ROUTER_PREFIX) and lower not in _UNSIGNED_HEADERS
        ):
            lines.append(f"{lower}:{value}")
    return "\n".join(sorted(lines))
