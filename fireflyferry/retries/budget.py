"""Retry budget of one pool."""

__all__ = ["RetryBudget"]


class RetryBudget:
    """Allows retries up to a share of the successful requests.

    The balance starts at `reserve` and never exceeds it, so a router that has just started can
    retry, and a long series of successes allows only that many retries at once.
    """

    def __init__(self, share: float, reserve: float = 10.0):
        self.share = share
        self._reserve = reserve
        self._balance = reserve

    @property
    def balance(self) -> float:
        """Retries that may be made now."""
        return self._balance

    def on_success(self) -> None:
        """Add the share of a retry that one success earns."""
        self._balance = min(self._reserve, self._balance + self.share)

    def try_spend(self) -> bool:
        """Spend one retry if the balance covers it; return whether it does."""
        # Sums of the share are inexact: ten times 0.1 is below 1.
        if self._balance < 1.0 - 1e-9:
            return False
        self._balance -= 1.0
        return True
