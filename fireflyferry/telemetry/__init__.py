"""Logs, counters and reason codes."""

from fireflyferry.telemetry.reasons import Outcome, Reason

__all__ = ["Outcome", "Reason"]
