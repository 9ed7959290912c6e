"""Hashing of keys to buckets, rendezvous weights, and unit ids."""

import math

import attrs
import xxhash

__all__ = ["Unit", "bucket_of", "bucket_unit", "key_unit", "parse_unit", "rendezvous_weight"]

_HASH_RANGE = 2.0**64


def bucket_of(key: str, buckets: int) -> int:
    """Return the bucket of a key."""
    return xxhash.xxh3_64_intdigest(key.encode()) % buckets


def rendezvous_weight(item: str, node: str, weight: float = 1.0) -> float:
    """Return the rendezvous weight of a node for an item; the node with the highest one wins.

    Nodes win items in proportion to `weight`, which must be positive.
    """
    # The separator keeps ("ab", "c") and ("a", "bc") apart.
    digest = xxhash.xxh3_64_intdigest(f"{item}\x00{node}".encode())
    return -weight / math.log((digest + 0.5) / _HASH_RANGE)


@attrs.frozen
class Unit:
    """The smallest part of the key space with an owner: a bucket, or a single key.

    `key` is None for a bucket.
    """

    bucket: int
    key: str | None = None

    def __str__(self) -> str:
        return bucket_unit(self.bucket) if self.key is None else key_unit(self.bucket, self.key)


def bucket_unit(bucket: int) -> str:
    """Return the unit id of a bucket."""
    return f"b:{bucket}"


def key_unit(bucket: int, key: str) -> str:
    """Return the unit id of a single key that is split from its bucket."""
    return f"k:{bucket}:{key}"


def parse_unit(unit_id: str) -> Unit:
    """Parse `b:BUCKET` or `k:BUCKET:KEY`; the key may contain colons.

    Raises ValueError for any other form.
    """
    kind, _, rest = unit_id.partition(":")
    if kind == "b" and rest.isdecimal():
        return Unit(int(rest))
    bucket, separator, key = rest.partition(":")
    if kind == "k" and separator and bucket.isdecimal():
        return Unit(int(bucket), key)
    raise ValueError(f"unit id {unit_id!r} is neither b:BUCKET nor k:BUCKET:KEY")
