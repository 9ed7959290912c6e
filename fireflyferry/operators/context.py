"""Connections and functions that the commands of the operators' program share."""

import asyncio
from collections.abc import Awaitable, Callable

import attrs

from fireflyferry.edges import ObjectStore, VmList
from fireflyferry.operators.editing import TableEditor
from fireflyferry.operators.peers import PeerControl

__all__ = ["Context"]


@attrs.frozen
class Context:
    """Connections, the author of edits, and the functions for output and for waiting.

    `show` prints text, and `pause` waits for a number of seconds.
    """

    store: ObjectStore
    vms: VmList
    peers: PeerControl
    author: str
    show: Callable[[str], None] = print
    pause: Callable[[float], Awaitable[None]] = asyncio.sleep
    editor_type: type[TableEditor] = TableEditor

    def editor(self) -> TableEditor:
        """Return an editor of the tables."""
        return self.editor_type(self.store, self.pause)
