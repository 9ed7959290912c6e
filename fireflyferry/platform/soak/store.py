"""Stand-in for the platform's store: objects by kind and name, conditional writes, watches."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

import attrs
import orjson
import tornado.web

from fireflyferry.standins.http_base import Broadcast

__all__ = ["StoreStandin"]

MAX_SILENCE_S = 30.0
PAGE_SIZE = 50  # small, so that most lists have several pages
ANSWER_LOSS_PROBABILITY = 0.5

View = Callable[[str, dict[str, Any]], dict[str, Any]]


@attrs.define
class StoreStandin:
    """Objects, their history of changes, and the faults that are active.

    While `unavailable`, each call gets status 503; while `silent`, it gets no answer for
    MAX_SILENCE_S. With `loses_answers`, some writes take effect without an answer.
    """

    rng: random.Random
    unavailable: bool = False
    silent: bool = False
    loses_answers: bool = False
    calls: int = 0
    _objects: dict[str, dict[str, dict[str, Any]]] = attrs.field(factory=dict, init=False)
    _history: list[tuple[int, str, bool, dict[str, Any]]] = attrs.field(factory=list, init=False)
    _revision: int = attrs.field(default=1, init=False)
    _history_start: int = attrs.field(default=0, init=False)
    _changed: Broadcast = attrs.field(factory=Broadcast, init=False)

    def application(self, view: View = lambda kind, value: value) -> tornado.web.Application:
        """Return an HTTP interface, which answers `view(kind, object)` for each object."""
        return tornado.web.Application(
            [(r"/objects/([^/]+)(?:/([^/]+))?", _Handler, {"store": self, "view": view})],
            log_function=lambda handler: None,
        )

    def forget_history(self) -> None:
        """Drop the history of changes, so that watches from an earlier position fail."""
        self._history_start = self._revision
        self._history.clear()
        self._changed.notify()

    def get(self, kind: str, name: str) -> dict[str, Any] | None:
        """Return an object; None if it does not exist."""
        return self._objects.get(kind, {}).get(name)

    def page(self, kind: str, after: str) -> dict[str, Any]:
        """Return one page of the objects of a kind whose names follow `after`."""
        names = sorted(name for name in self._objects.get(kind, {}) if name > after)
        items = [self._objects[kind][name] for name in names[:PAGE_SIZE]]
        return {"items": items, "hasMore": len(names) > PAGE_SIZE, "asOf": self._revision}

    def write(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        """Write an object without checking its revision; unchanged content causes no event.

        An `orjson.Fragment` in the content is answered as it is, even if it is no valid JSON.
        """
        current = self.get(kind, name)
        if current is not None and current["spec"] == spec:
            return current
        self._revision += 1
        value = {"metadata": {"name": name, "revision": self._revision}, "spec": spec}
        self._objects.setdefault(kind, {})[name] = value
        self._record_event(kind, False, value)
        return value

    def remove(self, kind: str, name: str) -> None:
        """Remove an object if it exists."""
        value = self._objects.get(kind, {}).pop(name, None)
        if value is not None:
            self._revision += 1
            self._record_event(kind, True, value)

    async def watch(self, kind: str, position: int, wait_s: float) -> dict[str, Any] | None:
        """Return the events after a position, or wait up to `wait_s` seconds for one.

        Returns None if the history of changes does not reach back to the position.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + wait_s
        while position >= self._history_start:
            events = [
                {"removed": removed, "object": value}
                for revision, changed_kind, removed, value in self._history
                if revision > position and changed_kind == kind
            ]
            left_s = deadline_s - loop.time()
            if events or left_s <= 0:
                return {"events": events, "asOf": self._revision}
            await self._changed.wait(left_s)
        return None

    def _record_event(self, kind: str, removed: bool, value: dict[str, Any]) -> None:
        self._history.append((self._revision, kind, removed, value))
        self._changed.notify()


class _Handler(tornado.web.RequestHandler):
    """HTTP handler of one call."""

    def initialize(self, store: StoreStandin, view: View) -> None:
        """Set the store that answers the call, and the view of its objects."""
        self._store = store
        self._view = view

    async def prepare(self) -> None:
        """Apply the faults `silent` and `unavailable`."""
        self._store.calls += 1
        if self._store.silent:
            await asyncio.sleep(MAX_SILENCE_S)
        if self._store.unavailable:
            self.set_status(503)
            self.finish()

    async def get(self, kind: str, name: str | None) -> None:
        """Read an object, or list or watch the objects of a kind."""
        store = self._store
        if name is not None:
            value = store.get(kind, name)
            self._reply(404 if value is None else 200, value and self._view(kind, value))
        elif self.get_argument("watch", ""):
            wait_s = float(self.get_argument("waitMs", "0")) / 1000
            batch = await store.watch(kind, int(self.get_argument("watch")), wait_s)
            for event in batch["events"] if batch is not None else ():
                event["object"] = self._view(kind, event["object"])
            self._reply(410 if batch is None else 200, batch)
        else:
            page = store.page(kind, self.get_argument("after", ""))
            page["items"] = [self._view(kind, each) for each in page["items"]]
            self._reply(200, page)

    def post(self, kind: str, _name: str | None) -> None:
        """Create an object."""
        document = orjson.loads(self.request.body)
        self._write(kind, document["metadata"]["name"], 0, document["spec"], 409)

    def put(self, kind: str, name: str) -> None:
        """Replace an object."""
        document = orjson.loads(self.request.body)
        self._write(kind, name, document["metadata"].get("revision"), document["spec"], 404)

    def _write(
        self, kind: str, name: str, revision: int | None, spec: Any, missing_status: int
    ) -> None:
        current = self._store.get(kind, name)
        current_revision = current["metadata"]["revision"] if current is not None else 0
        if current is None and revision:
            self._reply(missing_status, None)
        elif revision is not None and revision != current_revision:
            self._reply(409, current)
        else:
            self._reply(200, self._store.write(kind, name, spec), written=True)

    def _reply(self, status: int, value: Any, written: bool = False) -> None:
        store = self._store
        if written and store.loses_answers and store.rng.random() < ANSWER_LOSS_PROBABILITY:
            self.detach().close()
            return
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(orjson.dumps(value))
