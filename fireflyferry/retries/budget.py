"""Retry budget of one pool."""

__all__ = ["RetryBudget"]


class RetryBudget:
    """Allow retries up to a share of successes.

    The reserve bounds how many retries can follow a long run of successes, and lets a router
    that has just started retry at all.
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
        """Earn a share of a retry."""
        self._balance = min(self._reserve, self._balance + self.share)

    def try_spend(self) -> bool:
        """Take one retry if the balance covers it."""
        # Sums of the share are inexact: ten times 0.1 is below 1.
        if self._balance < 1.0 - 1e-9:
            return False
        self._balance -= 1.0
        return True
