"""Signatures of peer calls with two accepted secrets."""

import hashlib
import hmac

from fireflyferry.edges.base import Clock
from fireflyferry.errors import FireflyferryError

__all__ = ["SIGNATURE_HEADER", "TIME_HEADER", "PeerSignatureError", "PeerSigner"]

TIME_HEADER = "Firefly-Time"
SIGNATURE_HEADER = "Firefly-Signature"


class PeerSignatureError(FireflyferryError):
    """A peer call whose signature is missing, wrong or too old."""

    code = "not_authenticated"


class PeerSigner:
    """Signs with the first secret and accepts any of them.

    To rotate a secret: accept (old, new) on every VM, then sign with (new, old), then drop the
    old one. `max_age_s` limits replays; wall clocks must agree within it.
    """

    def __init__(self, secrets: tuple[bytes, ...], clock: Clock, max_age_s: float = 30.0) -> None:
        if not 1 <= len(secrets) <= 2 or not all(secrets):
            raise ValueError("one or two secrets are needed, none of them empty")
        self._secrets = secrets
        self._clock = clock
        self._max_age_s = max_age_s

    def headers(self, method: str, path: str, body: bytes) -> dict[str, str]:
        """Return the headers that sign a call; `path` includes the query."""
        time = f"{self._clock.wall_s():.3f}"
        signature = _signature(self._secrets[0], method, path, time, body)
        return {TIME_HEADER: time, SIGNATURE_HEADER: signature}

    def verify(self, method: str, path: str, body: bytes, time: str, signature: str) -> None:
        """Check a call's signature and age.

        Raises PeerSignatureError.
        """
        # Every secret is tried, so that the time taken does not tell which one matched.
        matches = [
            hmac.compare_digest(
                _signature(secret, method, path, time, body).encode(), signature.encode()
            )
            for secret in self._secrets
        ]
        if not any(matches):
            raise PeerSignatureError(f"{method} {path}: signature missing or wrong")
        age_s = self._clock.wall_s() - float(time)
        if abs(age_s) > self._max_age_s:
            raise PeerSignatureError(
                f"{method} {path}: signed {age_s:.1f} s ago, allowed {self._max_age_s:g} s"
            )


def _signature(secret: bytes, method: str, path: str, time: str, body: bytes) -> str:
    digest = hashlib.sha256(body).hexdigest()
    text = "\n".join((method, path, time, digest))
    return hmac.new(secret, text.encode(), hashlib.sha256).hexdigest()
