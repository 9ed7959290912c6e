"""Owners of a group's units as they were saved, read with care since others may write them too."""

import logging
from collections.abc import Mapping
from typing import TypeVar

import attrs

from fireflyferry.edges import StoredObject
from fireflyferry.messages import GroupId, OwnerSet, decode
from fireflyferry.messages.codec import MessageError
from fireflyferry.placement import parse_unit

__all__ = ["read_owner_set", "without_odd_units"]

_LOG = logging.getLogger(__name__)

T = TypeVar("T")


def read_owner_set(stored: StoredObject | None, group: GroupId) -> OwnerSet | None:
    """Return the saved owners of a group; None if none are saved.

    Raises MessageError, also for the owners of another group.
    """
    if stored is None or stored.data is None:
        return None
    owners = decode(stored.data, OwnerSet)
    if owners.group != group:
        raise MessageError(f"{stored.name} has the owners of {owners.group}")
    return owners


def without_odd_units(owners: OwnerSet) -> OwnerSet:
    """Leave out units whose id names neither a bucket nor a key, and which no request has."""
    units = {*owners.owners, *owners.releasing, *owners.pins}
    odd = {unit for unit in units if not _is_unit(unit)}
    if not odd:
        return owners
    _LOG.warning("odd_units_left_out", extra={"group": str(owners.group), "units": len(odd)})
    return attrs.evolve(
        owners,
        owners=_without(owners.owners, odd),
        releasing=_without(owners.releasing, odd),
        pins=_without(owners.pins, odd),
    )


def _is_unit(unit: str) -> bool:
    try:
        parse_unit(unit)
    except ValueError:
        return False
    return True


def _without(values: Mapping[str, T], names: set[str]) -> dict[str, T]:
    return {name: value for name, value in values.items() if name not in names}
