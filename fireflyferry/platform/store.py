"""Client of the platform's store."""

import logging
import reprlib
import time
from collections.abc import Iterable, Iterator
from typing import Any
from urllib.parse import quote, urlencode

import orjson

from fireflyferry.gateway.edges import (
    Conflict,
    Document,
    DocumentBatch,
    HistoryLostError,
    MetadataStore,
    StoreCallError,
)
from fireflyferry.gateway.eras import EarlierEraError, StoreEras
from fireflyferry.gateway.metrics import GatewayMetrics
from fireflyferry.gateway.watching import WATCH_MARGIN_S
from fireflyferry.messages import decode_readable_parts, is_nested_deeper
from fireflyferry.platform.names import ERA_HEADER
from fireflyferry.transport import CurlTransport, Exchange, FetchResult, fetch
from fireflyferry.transport.fetch import complete_body

__all__ = ["HttpMetadataStore"]

CALL_TIMEOUT_S = 1.5  # the store answers in 4 ms, and takes up to 60 times as long when slow
JSON_HEADERS = [("Content-Type", "application/json")]
MAX_NESTING = 64  # of an object's content; it must be possible to encode it within a longer message
LIST_LEVELS = 3  # answer, list, object; a part of an object is decoded whole or not at all
WATCH_LEVELS = 4  # answer, list, event, object

_LOG = logging.getLogger(__name__)


class HttpMetadataStore(MetadataStore):
    """Objects of the platform's store over HTTP; `address` is `IP:PORT`."""

    def __init__(
        self,
        address: str,
        transport: CurlTransport,
        metrics: GatewayMetrics,
        eras: StoreEras | None = None,
    ):
        self._address = address
        self._eras = eras or StoreEras()
        self._transport = transport
        self._metrics = metrics
        self._last_dropped: dict[str, str] = {}

    def set_address(self, address: str) -> None:
        """Use another address from now on."""
        self._address = address

    async def read(
        self, kind: str, name: str, stale: bool = False, fresh: bool = False
    ) -> Document | None:
        """Read an object; None if it does not exist.

        With `stale`, the answer may be seconds old and costs the store less. With `fresh`, the call
        opens a connection, since an idle one may have fallen silent. Raises StoreCallError.
        """
        query = {"serializable": "1"} if stale else {}
        label = "read_stale" if stale else "read"
        result = await self._call(
            label, "GET", _path(kind, name), query, fresh=fresh, needs_era=True
        )
        if result.status == 404:
            return None
        document = _document(self._content(result))
        if document.name != name:
            raise StoreCallError(f"answer to a read of {name} has {document.name}")
        return document

    async def list(self, kind: str, stale: bool = False) -> DocumentBatch:
        """List all objects of a kind, page by page; `stale` as for `read`.

        Raises StoreCallError.
        """
        label, base_query = ("list_stale", {"serializable": "1"}) if stale else ("list", {})
        documents: list[Document] = []
        position: int | None = None
        after = ""
        while True:
            query = {**base_query, "after": after} if after else base_query
            result = await self._call(label, "GET", _path(kind), query, same_era=bool(after))
            page = self._content(result, LIST_LEVELS)
            items = _field(page, "items", list)
            readable = list(self._readable(kind, items))
            documents.extend(readable)
            if items and not (readable if page.get("hasMore") else documents):
                # Without a name the next page is unknown; an empty list would remove all objects.
                raise StoreCallError(f"no object of {kind} after {after!r} is readable")
            if position is None:
                # A watch from the first page's position returns again the changes that were made
                # while the other pages were read.
                position = _field(page, "asOf", int)
            if not page.get("hasMore") or not items:
                return DocumentBatch(position, tuple(documents))
            after = documents[-1].name

    async def watch(self, kind: str, position: int, wait_s: float) -> DocumentBatch:
        """Wait up to `wait_s` seconds for changes after a position.

        Each watch opens a connection, since an idle one may have fallen silent. Raises
        HistoryLostError if the store no longer has the changes, and StoreCallError.
        """
        query = {"watch": str(position), "waitMs": str(round(wait_s * 1000))}
        timeout_s = wait_s + WATCH_MARGIN_S
        result = await self._call(
            "watch", "GET", _path(kind), query, None, timeout_s, fresh=True, same_era=True
        )
        if result.status == 410:
            raise HistoryLostError(f"changes of {kind} after position {position}")
        content = self._content(result, WATCH_LEVELS)
        changed: dict[str, Document] = {}
        removed: dict[str, None] = {}
        for event in _field(content, "events", list):
            fields = event if isinstance(event, dict) else {}
            for document in self._readable(kind, [fields.get("object")]):
                if fields.get("removed"):
                    changed.pop(document.name, None)
                    removed[document.name] = None
                else:
                    changed[document.name] = document
                    removed.pop(document.name, None)
        return DocumentBatch(_field(content, "asOf", int), tuple(changed.values()), tuple(removed))

    async def write(self, kind: str, name: str, content: Any, revision: int) -> int | Conflict:
        """Write an object if its revision is the given one (0: it does not exist).

        Returns the new revision, or a Conflict if the revision is another. Raises StoreCallError,
        also if the answer belongs to another call.
        """
        if revision == 0:
            body = {"metadata": {"name": name}, "spec": content}
            # A process that has just started may create its entry before it knows the era.
            known = self._eras.current is not None
            result = await self._call(
                "create", "POST", _path(kind), {}, body, needs_era=True, same_era=known
            )
        else:
            body = {"metadata": {"name": name, "revision": revision}, "spec": content}
            result = await self._call(
                "replace", "PUT", _path(kind, name), {}, body, needs_era=True, same_era=True
            )
        if result.status == 404:
            return Conflict(None)
        if result.status == 409:
            found = await self.read(kind, name)
            if found is not None and found.revision == revision:
                raise StoreCallError(f"conflict over {name}, which has revision {revision}")
            return Conflict(found)
        written = _document(self._content(result))
        # A write that changes nothing keeps the revision.
        is_later = written.revision > revision or written.content == _as_stored(content)
        if written.name != name or not is_later:
            raise StoreCallError(f"answer to a write of {name} has {written}")
        return written.revision

    async def _call(
        self,
        label: str,
        method: str,
        path: str,
        query: dict[str, str],
        body: Any = None,
        timeout_s: float = CALL_TIMEOUT_S,
        fresh: bool = False,
        needs_era: bool = False,
        same_era: bool = False,
    ) -> FetchResult:
        """Make a call.

        With `same_era`, the call names a revision, position or page, which means nothing in a later
        era. With `needs_era`, the answer may confirm the lease or a fence, so it must name its era
        if one is known.

        Raises StoreCallError if no complete answer arrives, one of an unsuitable era, or one with a
        status that the other methods do not handle, for example 503.
        """
        era_before = self._eras.current
        target = f"{path}?{urlencode(query)}" if query else path
        exchange = Exchange(
            self._address,
            method,
            target,
            JSON_HEADERS if body is not None else [],
            complete_body(orjson.dumps(body)) if body is not None else None,
            timeout_s,
            fresh_connection=fresh,
            distrust_on_timeout=True,
        )
        started_s = time.monotonic()
        result = await fetch(self._transport, exchange)
        if not result.complete:
            self._metrics.store_call(label, "no_answer")
            raise StoreCallError(
                f"{method} {target}: curl error {result.error} {result.message}",
                time.monotonic() - started_s if result.sent and not result.status else None,
            )
        self._metrics.store_call(label, str(result.status))
        self._check_era(result, era_before, needs_era, same_era)
        if result.status not in (200, 201, 404, 409, 410):
            raise StoreCallError(f"{method} {target}: status {result.status}")
        return result

    def _check_era(
        self, result: FetchResult, era_before: int | None, needs_era: bool, same_era: bool
    ) -> None:
        """Take note of the era of an answer, whatever its status.

        Raises StoreCallError if the answer must not be used.
        """
        era = self._eras.read(result.header(ERA_HEADER))
        if era is None:
            current = self._eras.current
            if current != era_before or (needs_era and current is not None):
                raise StoreCallError(f"answer without an era; {current} is known")
            return
        try:
            self._eras.observe(era, "store")
        except EarlierEraError as error:
            self._metrics.store_call("any", "earlier_era")
            raise StoreCallError(str(error)) from error
        if same_era and era != era_before:
            raise StoreCallError(f"era {era} began during a call of era {era_before}")

    def _content(self, result: FetchResult, levels: int = 0) -> Any:
        """Decode an answer; containers down to `levels` levels may have unreadable parts."""
        if result.status not in (200, 201):
            raise StoreCallError(f"unexpected status {result.status}")
        try:
            return decode_readable_parts(result.body, levels)
        except ValueError as error:
            raise StoreCallError(f"answer is not JSON: {error}") from error

    def _readable(self, kind: str, objects: Iterable[Any]) -> Iterator[Document]:
        """Return the objects whose name can be read; other writers may store any others."""
        for each in objects:
            try:
                yield _document(each)
            except StoreCallError as error:
                if self._last_dropped.get(kind) != str(error):
                    self._last_dropped[kind] = str(error)
                    _LOG.warning("object_dropped", extra={"kind": kind, "error": str(error)})


def _path(kind: str, name: str = "") -> str:
    path = f"/objects/{quote(kind, safe='')}"
    return f"{path}/{quote(name, safe='')}" if name else path


def _as_stored(content: Any) -> Any:
    return orjson.loads(orjson.dumps(content))


def _document(value: Any) -> Document:
    """Read an object's name and revision; the codec decodes its content.

    The content is None if it cannot be read. Raises StoreCallError.
    """
    metadata = _field(value, "metadata", dict)
    name, revision = _field(metadata, "name", str), _field(metadata, "revision", int)
    content = value.get("spec")
    return Document(name, revision, None if is_nested_deeper(content, MAX_NESTING) else content)


def _field(content: Any, name: str, kind: type) -> Any:
    """Return a field of an answer.

    Raises StoreCallError if it is missing or of another type.
    """
    value = content.get(name) if isinstance(content, dict) else None
    if not isinstance(value, kind) or isinstance(value, bool):
        found = reprlib.repr(value)
        raise StoreCallError(f"answer has {name} {found}, not of type {kind.__name__}")
    return value
