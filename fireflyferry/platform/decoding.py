"""Decodes the platform's documents into the router's types."""

import re
import reprlib
import sys
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

UPSTREAM_ID = re.compile(r"[!-+\--~]{1,200}")  # fits into a header and into a line between VMs
MAX_BORN_MS = 2**53 - 1  # the largest integer that all JSON implementations keep exactly
MAX_SLOTS = 1_000_000
MAX_WARMUP_S = 86_400.0
MAX_RATE_PER_S = 1e9


class Codec(PlatformCodec):
    """Decoder of the documents in the platform's store."""

    headers = names.HEADERS
    upstream_kind = names.UPSTREAM_KIND
    evacuation_kind = names.EVACUATION_KIND
    config_kind = names.CONFIG_KIND
    config_name = names.CONFIG_NAME

    def upstream(self, document: Document) -> Upstream:
        """Decode an upstream's entry, whose name is the upstream's id.

        Raises UnreadableDocumentError.
        """
        content = _dict(document.content, "entry")
        info, status = _dict(content.get("info"), "info"), _dict(content.get("status"), "status")
        state = _string(status, "state")
        if state not in ("ready", "draining"):
            raise UnreadableDocumentError(f"state is {reprlib.repr(state)}")
        if UPSTREAM_ID.fullmatch(document.name) is None:
            raise UnreadableDocumentError(f"id is {reprlib.repr(document.name)}")
        # `born` is the start of the process in milliseconds since the epoch.
        run = UpstreamRun(document.name, _integer(content, "born", 0, MAX_BORN_MS))
        address = _string(content, "address")
        try:
            Endpoint().convert(address)
        except ValueError as error:
            raise UnreadableDocumentError(f"address is {reprlib.repr(address)}") from error
        return Upstream(
            run=run,
            pool=_string(info, "service"),
            address=address,
            data_centre=_string(info, "zone"),
            slots=_integer(info, "slots", 1, MAX_SLOTS),
            draining=state == "draining",
            warmup_left_s=_number(status, "warmupLeftS", MAX_WARMUP_S),
        )

    def config(self, document: Document) -> RoutingConfig:
        """Decode the routing configuration.

        Raises UnreadableDocumentError if any resource in it cannot be decoded.
        """
        content = _dict(document.content, "configuration")
        resources = [_dict(resource, "resource") for resource in _list(content.get("resources"))]
        limits = [
            _limits(_spec(resource))
            for resource in resources
            if resource.get("resourceKind") == "limits"
        ]
        if len(limits) != 1:
            raise UnreadableDocumentError(f"{len(limits)} resources of kind limits instead of one")
        pools = {
            _resource_name(resource): _pool(_resource_name(resource), _spec(resource))
            for resource in resources
            if resource.get("resourceKind") == "services"
        }
        routes = tuple(
            _route(_resource_name(resource), _spec(resource))
            for resource in resources
            if resource.get("resourceKind") == "routes"
        )
        return RoutingConfig(_version(content), routes, pools, limits[0])


def _version(content: Mapping[str, Any]) -> int:
    text = _string(content, "version")
    try:
        return int(text, 16)
    except ValueError as error:
        raise UnreadableDocumentError(f"version is {reprlib.repr(text)}") from error


def _pool(name: str, spec: Mapping[str, Any]) -> PoolSpec:
    limit = spec.get("maxConnections")
    has_limit = type(limit) is int and limit > 0
    return PoolSpec(
        name,
        spec.get("sharded") is True,
        limit if has_limit else None,
        _number({"warmupS": 0, **spec}, "warmupS", MAX_WARMUP_S),
        _number({"warmupPerS": 0, **spec}, "warmupPerS", MAX_RATE_PER_S),
    )


def _route(name: str, spec: Mapping[str, Any]) -> HostRoute:
    return HostRoute(
        name=name,
        host=_string(spec, "host").lower(),
        path_prefix=_string(spec, "pathPrefix"),
        idempotent=_string(spec, "kind") == "safe",
        timeout_s=_number(spec, "timeoutS"),
        target_latency_s=_number(spec, "targetLatencyS"),
        priority=_integer(spec, "priority", 0),
        max_attempts=_integer(spec, "maxAttempts", 1),
        shares=tuple(_shares(spec)),
        allowed_regions=_allowed_regions(spec),
    )


def _shares(spec: Mapping[str, Any]) -> Iterable[PoolShare]:
    """Decode the pools of a route: a single one, or several with weights."""
    if "trafficSplit" not in spec:
        yield PoolShare(_string(spec, "service"), 1.0)
        return
    parts = [_dict(part, "part of trafficSplit") for part in _list(spec["trafficSplit"])]
    shares = [PoolShare(_string(part, "service"), _number(part, "weight")) for part in parts]
    if sum(share.weight for share in shares) <= 0:
        raise UnreadableDocumentError("the weights of trafficSplit add up to 0")
    yield from (share for share in shares if share.weight > 0)


def _allowed_regions(spec: Mapping[str, Any]) -> frozenset[str]:
    """Decode the regions of a route; the set is empty if there is no limit."""
    regions = _list(spec.get("allowedRegions", []))
    for region in regions:
        if not isinstance(region, str) or not region:
            raise _unreadable("a region of allowedRegions", region, "a non-empty string")
    return frozenset(regions)


def _limits(spec: Mapping[str, Any]) -> CallerLimits:
    return CallerLimits(
        max_header_bytes=_integer(spec, "maxHeaderBytes", 1),
        max_body_bytes=_integer(spec, "maxBodyBytes", 0),
        idle_timeout_s=_number(spec, "idleTimeoutS"),
    )


def _resource_name(resource: Mapping[str, Any]) -> str:
    return _string(_dict(resource.get("metadata"), "metadata"), "name")


def _spec(resource: Mapping[str, Any]) -> Mapping[str, Any]:
    return _dict(resource.get("spec"), "spec")


def _dict(value: Any, description: str) -> Mapping[str, Any]:
    if not isinstance(value, dict):
        raise UnreadableDocumentError(f"{description} is {type(value).__name__}, not an object")
    return value


def _list(value: Any) -> list[Any]:
    if not isinstance(value, list):
        raise UnreadableDocumentError(f"{type(value).__name__} instead of a list")
    return value


def _string(fields: Mapping[str, Any], name: str) -> str:
    value = fields.get(name)
    if not isinstance(value, str) or not value:
        raise _unreadable(name, value, "a non-empty string")
    return value


def _integer(fields: Mapping[str, Any], name: str, minimum: int, maximum: int = 2**63 - 1) -> int:
    value = fields.get(name)
    if type(value) is not int or not minimum <= value <= maximum:
        raise _unreadable(name, value, f"an integer from {minimum} to {maximum}")
    return value


def _number(fields: Mapping[str, Any], name: str, maximum: float = sys.float_info.max) -> float:
    value = fields.get(name)
    if type(value) not in (int, float) or not 0 <= value <= maximum:
        raise _unreadable(name, value, f"a number from 0 to {maximum}")
    return float(value)


def _unreadable(name: str, value: Any, allowed: str) -> UnreadableDocumentError:
    return UnreadableDocumentError(f"{name} is {reprlib.repr(value)}, not {allowed}")
