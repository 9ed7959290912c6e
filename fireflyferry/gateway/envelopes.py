"""Envelopes: bodies that carry a forwarded request, or its answer, between entry VMs.

Traffic between regions is the largest expense of keyed requests, and heads were 29% of it. An
envelope compresses the head; the body follows as it is, since bodies rarely compress.
"""

import struct
import zlib

import attrs

from fireflyferry.gateway.edges import HeaderNames
from fireflyferry.transport.headers import HeaderList

__all__ = ["Envelope", "EnvelopeCodec", "EnvelopeError"]

_LENGTH = struct.Struct(">I")  # length of the compressed head
_RAW_DEFLATE = -15  # without the header and checksum of zlib, 6 bytes
MAX_HEAD_BYTES = 1 << 19  # twice the longest head that a VM reads from a caller

# Frequent header lines; the most frequent come last, where references to them are shortest.
_COMMON_LINES = (
    "POST /PUT /DELETE /HEAD /Content-Type: application/json\nContent-Type: text/plain\n"
    "Cookie: User-Agent: Content-Type: application/octet-stream\n"
    "Accept: */*\nAccept-Encoding: identity\n"
)


class EnvelopeError(ValueError):
    """An envelope that cannot be unpacked."""


@attrs.frozen
class Envelope:
    """Contents of an envelope.

    `summary` describes the call or the result, `start` is the method and target of a request or
    the status of an answer. `body` may be in parts, since joining a long one would take its memory
    twice.
    """

    summary: str
    start: str
    headers: HeaderList
    body: bytes | tuple[bytes, ...]


class EnvelopeCodec:
    """Packs and unpacks envelopes; both VMs need the same header names."""

    def __init__(self, names: HeaderNames):
        header_names = (names.not_run, names.signature, names.key, names.request_id)
        lines = "".join(f"{name}: " for name in header_names)
        self.request_id_header = names.request_id
        self._dictionary = f"{_COMMON_LINES}{lines}\nHost: \nGET /".encode()

    def pack(self, envelope: Envelope) -> bytes:
        """Return the bytes of an envelope."""
        return b"".join(self.pack_parts(envelope))

    def pack_parts(self, envelope: Envelope) -> tuple[bytes, ...]:
        """Return the bytes of an envelope in parts; its body is not copied."""
        lines = [envelope.summary, envelope.start]
        lines.extend(f"{name}: {value}" for name, value in envelope.headers)
        compressor = zlib.compressobj(
            zlib.Z_BEST_COMPRESSION,
            zlib.DEFLATED,
            _RAW_DEFLATE,
            zlib.DEF_MEM_LEVEL,
            zlib.Z_DEFAULT_STRATEGY,
            self._dictionary,
        )
        head = compressor.compress("\n".join(lines).encode("latin-1")) + compressor.flush()
        body = envelope.body
        parts = body if isinstance(body, tuple) else (body,)
        return (_LENGTH.pack(len(head)) + head, *parts)

    def unpack(self, data: bytes) -> Envelope:
        """Return the contents of an envelope.

        Raises EnvelopeError.
        """
        envelope = self.unpack_parts((data,))
        return attrs.evolve(envelope, body=b"".join(envelope.body))

    def unpack_parts(self, parts: tuple[bytes, ...]) -> Envelope:
        """Return the contents of an envelope that is given in parts, with the body in parts.

        Raises EnvelopeError.
        """
        data, rest = _join_head(parts)
        if len(data) < _LENGTH.size:
            raise EnvelopeError(f"envelope of {len(data)} bytes")
        (head_bytes,) = _LENGTH.unpack_from(data)
        end = _LENGTH.size + head_bytes
        if end > len(data):
            raise EnvelopeError(f"head of {head_bytes} bytes in an envelope of {len(data)}")
        decompressor = zlib.decompressobj(_RAW_DEFLATE, self._dictionary)
        try:
            head = decompressor.decompress(data[_LENGTH.size : end], MAX_HEAD_BYTES)
        except zlib.error as error:
            raise EnvelopeError(str(error)) from error
        if not decompressor.eof:
            raise EnvelopeError("head is cut short or too long")
        summary, *lines = head.decode("latin-1").split("\n")
        if not lines:
            raise EnvelopeError("head without a start line")
        headers = [_header(line) for line in lines[1:]]
        return Envelope(summary, lines[0], headers, (data[end:], *rest))


def _join_head(parts: tuple[bytes, ...]) -> tuple[bytes, tuple[bytes, ...]]:
    """Return as many parts as hold the head, joined, and the others."""
    data, used = b"", 0
    for part in parts:
        if len(data) >= _LENGTH.size:
            (head_bytes,) = _LENGTH.unpack_from(data)
            if len(data) >= _LENGTH.size + min(head_bytes, MAX_HEAD_BYTES):
                break
        data, used = data + part, used + 1
    return data, parts[used:]


def _header(line: str) -> tuple[str, str]:
    name, separator, value = line.partition(": ")
    if not separator or not name:
        raise EnvelopeError(f"header line {line!r}")
    return name, value
