"""Decodes the platform's documents into the project's types."""

from collections.abc import Iterable, Mapping
from typing import Any

from fireflyferry.balancing import Upstream
from fireflyferry.gateway.edges import Document, PlatformCodec, UnreadableDocumentError
from fireflyferry.keyranges import UpstreamRun
from fireflyferry.platform import names
from fireflyferry.routing.hosts import (
    CallerLimits,
    HostRoute,
    PoolShare,
    PoolSpec,
    RoutingConfig,
)
from fireflyferry.settings.values import Endpoint

__all__ = ["Codec"]


class Codec(PlatformCodec):
    """Documents of the platform's store."""

    headers = names.HEADERS
    upstream_kind = names.UPSTREAM_KIND
    config_kind = names.CONFIG_KIND
    config_name = names.CONFIG_NAME

    def upstream(self, document: Document) -> Upstream:
        """Read an upstream's entry, which is named by the upstream's id."""
        content = _table(document.content, "entry")
        info, status = _table(content.get("info"), "info"), _table(content.get("status"), "status")
        state = _text(status, "state")
        if state not in ("ready", "draining"):
            raise UnreadableDocumentError(f"state is {state!r}")
        # `born` is the start of the process in milliseconds since the epoch.
        run = UpstreamRun(document.name, _whole(content, "born", 0))
        address = _text(content, "address")
        try:
            Endpoint().convert(address)
        except ValueError as error:
            raise UnreadableDocumentError(f"address is {address!r}") from error
        return Upstream(
            run=run,
            pool=_text(info, "service"),
            address=address,
            data_centre=_text(info, "zone"),
            slots=_whole(info, "slots", 1),
            draining=state == "draining",
            warmup_left_s=_number(status, "warmupLeftS"),
        )

    def config(self, document: Document) -> RoutingConfig:
        """Read the configuration; one row that cannot be read makes all of it unreadable."""
        content = _table(document.content, "configuration")
        rows = [_table(row, "resource") for row in _rows(content.get("resources"))]
        limits = [_limits(_spec(row)) for row in rows if row.get("resourceKind") == "limits"]
        if len(limits) != 1:
            raise UnreadableDocumentError(f"{len(limits)} rows of limits")
        pools = {
            _row_name(row): PoolSpec(_row_name(row), keyed=_spec(row).get("sharded") is True)
            for row in rows
            if row.get("resourceKind") == "services"
        }
        routes = tuple(
            _route(_row_name(row), _spec(row))
            for row in rows
            if row.get("resourceKind") == "routes"
        )
        return RoutingConfig(_version(content), routes, pools, limits[0])


def _version(content: Mapping[str, Any]) -> int:
    text = _text(content, "version")
    try:
        return int(text, 16)
    except ValueError as error:
        raise UnreadableDocumentError(f"version is {text!r}") from error


def _route(name: str, spec: Mapping[str, Any]) -> HostRoute:
    return HostRoute(
        name=name,
        host=_text(spec, "host").lower(),
        path_prefix=_text(spec, "pathPrefix"),
        idempotent=_text(spec, "kind") == "safe",
        timeout_s=_number(spec, "timeoutS"),
        target_latency_s=_number(spec, "targetLatencyS"),
        priority=_whole(spec, "priority", 0),
        max_attempts=_whole(spec, "maxAttempts", 1),
        shares=tuple(_shares(spec)),
    )


def _shares(spec: Mapping[str, Any]) -> Iterable[PoolShare]:
    """Read the pools of a route: a single one, or several with weights."""
    if "trafficSplit" not in spec:
        yield PoolShare(_text(spec, "service"), 1.0)
        return
    parts = [_table(part, "part of a split") for part in _rows(spec["trafficSplit"])]
    shares = [PoolShare(_text(part, "service"), _number(part, "weight")) for part in parts]
    if sum(share.weight for share in shares) <= 0:
        raise UnreadableDocumentError("a split without weight")
    yield from (share for share in shares if share.weight > 0)


def _limits(spec: Mapping[str, Any]) -> CallerLimits:
    return CallerLimits(
        max_header_bytes=_whole(spec, "maxHeaderBytes", 1),
        max_body_bytes=_whole(spec, "maxBodyBytes", 0),
        idle_timeout_s=_number(spec, "idleTimeoutS"),
    )


def _row_name(row: Mapping[str, Any]) -> str:
    return _text(_table(row.get("metadata"), "metadata"), "name")


def _spec(row: Mapping[str, Any]) -> Mapping[str, Any]:
    return _table(row.get("spec"), "spec")


def _table(value: Any, what: str) -> Mapping[str, Any]:
    if not isinstance(value, dict):
        raise UnreadableDocumentError(f"{what} is {type(value).__name__}, not a table")
    return value


def _rows(value: Any) -> list[Any]:
    if not isinstance(value, list):
        raise UnreadableDocumentError(f"{type(value).__name__} instead of a list")
    return value


def _text(table: Mapping[str, Any], name: str) -> str:
    value = table.get(name)
    if not isinstance(value, str) or not value:
        raise UnreadableDocumentError(f"{name} is {value!r}, not a text")
    return value


def _whole(table: Mapping[str, Any], name: str, least: int) -> int:
    value = table.get(name)
    if type(value) is not int or value < least:
        raise UnreadableDocumentError(f"{name} is {value!r}, not a whole number from {least}")
    return value


def _number(table: Mapping[str, Any], name: str) -> float:
    value = table.get(name)
    if type(value) not in (int, float) or not 0 <= value < float("inf"):
        raise UnreadableDocumentError(f"{name} is {value!r}, not a number from 0")
    return float(value)
