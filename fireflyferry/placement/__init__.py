"""Hashing, assignment of units to upstreams, and detection of hot keys."""

from fireflyferry.placement.assignment import PlacementWeights, UpstreamCapacity, assign
from fireflyferry.placement.hot_keys import HotKeyPlanner, HotKeyRules, HotKeySketch
from fireflyferry.placement.ramp import ColdStartRamp
from fireflyferry.placement.units import (
    Unit,
    bucket_of,
    bucket_unit,
    key_unit,
    parse_unit,
    rendezvous_weight,
)

__all__ = [
    "ColdStartRamp",
    "HotKeyPlanner",
    "HotKeyRules",
    "HotKeySketch",
    "PlacementWeights",
    "Unit",
    "UpstreamCapacity",
    "assign",
    "bucket_of",
    "bucket_unit",
    "key_unit",
    "parse_unit",
    "rendezvous_weight",
]
