"""Stand-in of the platform's store: objects by kind and name, conditional writes, watches."""

import asyncio
import random
from typing import Any

import attrs
import orjson
import tornado.web

from fireflyferry.standins.http_base import Broadcast

__all__ = ["StoreStandin"]

LONGEST_SILENCE_S = 30.0
PAGE = 50  # small, so that lists of several pages are usual
ANSWER_LOSS = 0.5


@attrs.define
class StoreStandin:
    """Objects, their history, and what goes wrong now."""

    rng: random.Random
    away: bool = False
    silent: bool = False
    loses_answers: bool = False
    calls: int = 0
    _objects: dict[str, dict[str, dict[str, Any]]] = attrs.field(factory=dict, init=False)
    _history: list[tuple[int, str, bool, dict[str, Any]]] = attrs.field(factory=list, init=False)
    _revision: int = attrs.field(default=1, init=False)
    _kept_from: int = attrs.field(default=0, init=False)
    _changed: Broadcast = attrs.field(factory=Broadcast, init=False)

    def application(self) -> tornado.web.Application:
        """Return the HTTP interface."""
        return tornado.web.Application(
            [(r"/objects/([^/]+)(?:/([^/]+))?", _Handler, {"store": self})],
            log_function=lambda handler: None,
        )

    def forget_history(self) -> None:
        """Drop all changes, so that watches from before them fail."""
        self._kept_from = self._revision
        self._history.clear()
        self._changed.notify()

    def get(self, kind: str, name: str) -> dict[str, Any] | None:
        """Return an object."""
        return self._objects.get(kind, {}).get(name)

    def page(self, kind: str, after: str) -> dict[str, Any]:
        """Return one page of the objects of a kind."""
        names = sorted(name for name in self._objects.get(kind, {}) if name > after)
        items = [self._objects[kind][name] for name in names[:PAGE]]
        return {"items": items, "hasMore": len(names) > PAGE, "asOf": self._revision}

    def write(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        """Write an object whatever it was; unchanged content makes no event."""
        known = self.get(kind, name)
        if known is not None and known["spec"] == spec:
            return known
        self._revision += 1
        value = {"metadata": {"name": name, "revision": self._revision}, "spec": spec}
        self._objects.setdefault(kind, {})[name] = value
        self._note(kind, False, value)
        return value

    def remove(self, kind: str, name: str) -> None:
        """Remove an object if there is one."""
        value = self._objects.get(kind, {}).pop(name, None)
        if value is not None:
            self._revision += 1
            self._note(kind, True, value)

    async def watch(self, kind: str, position: int, wait_s: float) -> dict[str, Any] | None:
        """Return the events after a position once there is one; None if they are forgotten."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + wait_s
        while position >= self._kept_from:
            events = [
                {"removed": removed, "object": value}
                for at, of, removed, value in self._history
                if at > position and of == kind
            ]
            left_s = end_s - loop.time()
            if events or left_s <= 0:
                return {"events": events, "asOf": self._revision}
            await self._changed.wait(left_s)
        return None

    def _note(self, kind: str, removed: bool, value: dict[str, Any]) -> None:
        self._history.append((self._revision, kind, removed, value))
        self._changed.notify()


class _Handler(tornado.web.RequestHandler):
    """One call."""

    def initialize(self, store: StoreStandin) -> None:
        """Keep the store."""
        self._store = store

    async def prepare(self) -> None:
        """Refuse or ignore calls while the store is away."""
        self._store.calls += 1
        if self._store.silent:
            await asyncio.sleep(LONGEST_SILENCE_S)
        if self._store.away:
            self.set_status(503)
            self.finish()

    async def get(self, kind: str, name: str | None) -> None:
        """Read, list or watch."""
        store = self._store
        if name is not None:
            value = store.get(kind, name)
            self._reply(404 if value is None else 200, value)
        elif self.get_argument("watch", ""):
            wait_s = float(self.get_argument("waitMs", "0")) / 1000
            seen = await store.watch(kind, int(self.get_argument("watch")), wait_s)
            self._reply(410 if seen is None else 200, seen)
        else:
            self._reply(200, store.page(kind, self.get_argument("after", "")))

    def post(self, kind: str, _name: str | None) -> None:
        """Create an object."""
        given = orjson.loads(self.request.body)
        self._write(kind, given["metadata"]["name"], 0, given["spec"], 409)

    def put(self, kind: str, name: str) -> None:
        """Replace an object."""
        given = orjson.loads(self.request.body)
        self._write(kind, name, given["metadata"].get("revision"), given["spec"], 404)

    def _write(
        self, kind: str, name: str, revision: int | None, spec: Any, missing_status: int
    ) -> None:
        known = self._store.get(kind, name)
        at = known["metadata"]["revision"] if known is not None else 0
        if known is None and revision:
            self._reply(missing_status, None)
        elif revision is not None and revision != at:
            self._reply(409, known)
        else:
            self._reply(200, self._store.write(kind, name, spec), written=True)

    def _reply(self, status: int, value: Any, written: bool = False) -> None:
        store = self._store
        if written and store.loses_answers and store.rng.random() < ANSWER_LOSS:
            self.detach().close()
            return
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(orjson.dumps(value))
