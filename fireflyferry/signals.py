"""Signals of a program that must not end by them at any moment of its life.

A blocked signal stays pending until the program has handlers, and its default action, which ends
the process, never takes place. Imports only what is loaded fast, since a program calls `block`
before its other imports.
"""

import signal
from collections.abc import Callable, Mapping
from typing import Any

__all__ = ["block", "handle"]

HANDLED = frozenset({signal.SIGHUP, signal.SIGINT, signal.SIGTERM})


def block() -> None:
    """Hold signals back, in this thread and in those that it starts."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED)


def handle(loop: Any, handlers: Mapping[signal.Signals, Callable[[], None]]) -> None:
    """Set handlers in an event loop, and deliver what was held back."""
    for number, handler in handlers.items():
        loop.add_signal_handler(number, handler)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, handlers.keys())
