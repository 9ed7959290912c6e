"""JSON bodies for stored objects, watch batches and VM lists."""

import base64
from typing import Any

import attrs

from fireflyferry.edges.base import StoredObject, WatchBatch
from fireflyferry.messages import VmEntry, decode, encode
from fireflyferry.messages.codec import MessageError, read_each, structure
from fireflyferry.settings.values import Endpoint

__all__ = [
    "VmListBody",
    "WriteResult",
    "decode_batch",
    "decode_object",
    "decode_vm_list",
    "encode_batch",
    "encode_object",
]


@attrs.frozen
class ObjectBody:
    """A stored object; `data` is base64, None for a deleted object."""

    name: str
    version: int
    data: str | None


@attrs.frozen
class BatchBody:
    """A watch batch or a listing; each of `changes` is an ObjectBody."""

    sequence: int
    changes: list[Any]
    reset: bool = False


@attrs.frozen
class VmListBody:
    """The platform's VM list."""

    vms: tuple[VmEntry, ...]


@attrs.frozen
class WriteResult:
    """Answer to a write, or to a read of a missing object.

    After a conflict, `version` is the current version.
    """

    name: str
    version: int
    error: str = ""


def encode_object(item: StoredObject) -> bytes:
    """Encode a stored object."""
    return encode(_object_body(item))


def decode_object(data: bytes) -> StoredObject:
    """Decode a stored object.

    Raises MessageError.
    """
    return _stored_object(decode(data, ObjectBody))


def encode_batch(batch: WatchBatch) -> bytes:
    """Encode a watch batch."""
    changes = [_object_body(change) for change in batch.changes]
    return encode(BatchBody(batch.sequence, changes, batch.reset))


def decode_batch(data: bytes) -> WatchBatch:
    """Decode a watch batch, without the objects that cannot be read.

    Raises MessageError.
    """
    body = decode(data, BatchBody)
    changes = read_each(
        body.changes, lambda value: _stored_object(structure(value, ObjectBody)), "objects"
    )
    return WatchBatch(body.sequence, tuple(changes), body.reset)


def decode_vm_list(data: bytes) -> tuple[VmEntry, ...]:
    """Decode a VM list, without the entries that cannot be used.

    Raises MessageError.
    """
    entries = structure(decode(data, dict[str, Any]).get("vms"), list[Any])
    return tuple(read_each(entries, _vm_entry, "VM list"))


def _vm_entry(value: Any) -> VmEntry:
    """Read an entry of the VM list.

    Raises MessageError, also for an address that names no endpoint.
    """
    entry = structure(value, VmEntry)
    if not entry.vm_id:
        raise MessageError("VM without an id")
    try:
        for address in (entry.address, entry.peer_address):
            Endpoint(optional=True).convert(address)
    except ValueError as error:
        raise MessageError(f"address of {entry.vm_id} is not {error}") from error
    return entry


def _object_body(item: StoredObject) -> ObjectBody:
    data = None if item.data is None else base64.b64encode(item.data).decode("ascii")
    return ObjectBody(item.name, item.version, data)


def _stored_object(body: ObjectBody) -> StoredObject:
    if body.data is None:
        return StoredObject(body.name, body.version, None)
    try:
        return StoredObject(body.name, body.version, base64.b64decode(body.data, validate=True))
    except ValueError as error:
        raise MessageError(f"data of {body.name} is not base64: {error}") from error
