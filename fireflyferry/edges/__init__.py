"""Edges: interfaces to other processes, each with an HTTP or statsd implementation."""

from fireflyferry.edges.base import (
    Clock,
    Metrics,
    ObjectStore,
    PeerLink,
    StoredObject,
    StoreUnavailableError,
    UpstreamControl,
    VersionConflictError,
    VmList,
    WatchBatch,
)

__all__ = [
    "Clock",
    "Metrics",
    "ObjectStore",
    "PeerLink",
    "StoreUnavailableError",
    "StoredObject",
    "UpstreamControl",
    "VersionConflictError",
    "VmList",
    "WatchBatch",
]
