"""JSON bodies for stored objects, watch batches and VM lists."""

import base64
import binascii

import attrs

from fireflyferry.edges.base import StoredObject, WatchBatch
from fireflyferry.messages import VmEntry, decode, encode
from fireflyferry.messages.codec import MessageError

__all__ = [
    "VmListBody",
    "WriteResult",
    "decode_batch",
    "decode_object",
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
    """A watch batch or a listing."""

    sequence: int
    changes: tuple[ObjectBody, ...]
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
    changes = tuple(_object_body(change) for change in batch.changes)
    return encode(BatchBody(batch.sequence, changes, batch.reset))


def decode_batch(data: bytes) -> WatchBatch:
    """Decode a watch batch.

    Raises MessageError.
    """
    body = decode(data, BatchBody)
    return WatchBatch(
        body.sequence, tuple(_stored_object(item) for item in body.changes), body.reset
    )


def _object_body(item: StoredObject) -> ObjectBody:
    data = None if item.data is None else base64.b64encode(item.data).decode("ascii")
    return ObjectBody(item.name, item.version, data)


def _stored_object(body: ObjectBody) -> StoredObject:
    if body.data is None:
        return StoredObject(body.name, body.version, None)
    try:
        return StoredObject(body.name, body.version, base64.b64decode(body.data, validate=True))
    except binascii.Error as error:
        raise MessageError(f"data of {body.name} is not base64: {error}") from error
