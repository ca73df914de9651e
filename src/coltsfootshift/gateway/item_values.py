"""Values of table items as they are sent to peers: compressed, or as differences."""

from __future__ import annotations

import hashlib
import zlib
from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

import msgpack

from coltsfootshift.errors import ColtsfootshiftError

__all__ = [
    "EncodedValue",
    "UndecodableValueError",
    "ValueEncoding",
    "ValueHistory",
    "digest_value",
]

DIGEST_BYTES = 16
# Objects of JSON begin with it, so that a change of one object changes one part.
SEPARATOR = b"{"
MIN_ENCODED_BYTES = 512  # a smaller value is sent as it is
MAX_VALUE_BYTES = 16 * 1024 * 1024
# A peer lags behind by a few changes, of a few hundred kilobytes each.
MAX_HELD_VALUES = 16
MAX_HELD_BYTES = 6 * 1024 * 1024
MAX_CACHED_ENCODINGS = 8  # peers of a process mostly hold the same value


class ValueEncoding(Enum):
    """How the value of an item is sent; the values stand in messages."""

    PLAIN = ""
    COMPRESSED = "zlib"
    DIFFERENCE = "difference"


class UndecodableValueError(ColtsfootshiftError):
    """An encoded value is invalid, or its base is not held here."""


@dataclass(frozen=True, slots=True)
class EncodedValue:
    """A value as it is sent; `base` is the digest of the value that a difference begins from."""

    encoding: ValueEncoding
    data: bytes
    digest: bytes = b""
    base: bytes = b""


def digest_value(value: bytes) -> bytes:
    """Return a digest that tells values apart."""
    return hashlib.sha256(value).digest()[:DIGEST_BYTES]


class ValueHistory:
    """The latest values of items, from which differences to newer ones are made and undone.

    >>> history = ValueHistory()
    >>> old, new = (b'{"v": %d}' % number + b'{"route": 5}' * 99 for number in (1, 2))
    >>> history.record(old)
    >>> encoded = history.encode(new, digest_value(old))
    >>> encoded.encoding, len(encoded.data) < 40, history.decode(encoded) == new
    (<ValueEncoding.DIFFERENCE: 'difference'>, True, True)
    """

    def __init__(self) -> None:
        self._values: OrderedDict[bytes, bytes] = OrderedDict()
        self._bytes = 0
        self._encodings: OrderedDict[tuple[bytes, bytes], EncodedValue] = OrderedDict()

    def __repr__(self) -> str:
        return f"ValueHistory(values={len(self._values)}, bytes={self._bytes})"

    def record(self, value: bytes) -> None:
        """Keep a value that is in force now; the oldest ones are dropped."""
        digest = digest_value(value)
        if digest in self._values:
            self._values.move_to_end(digest)
            return
        self._values[digest] = value
        self._bytes += len(value)
        while len(self._values) > 1 and self._is_full():
            _, dropped = self._values.popitem(last=False)
            self._bytes -= len(dropped)

    def encode(self, value: bytes, base: bytes) -> EncodedValue:
        """Return the value as a difference to the one with the digest `base`, if that is held."""
        if len(value) < MIN_ENCODED_BYTES:
            return EncodedValue(ValueEncoding.PLAIN, value)
        digest = digest_value(value)
        if base not in self._values:
            base = b""
        cached = self._encodings.get((digest, base))
        if cached is not None:
            return cached
        if base:
            data = zlib.compress(_make_difference(value, self._values[base]))
            encoded = EncodedValue(ValueEncoding.DIFFERENCE, data, digest, base)
        else:
            encoded = EncodedValue(ValueEncoding.COMPRESSED, zlib.compress(value), digest)
        self._encodings[digest, base] = encoded
        while len(self._encodings) > MAX_CACHED_ENCODINGS:
            self._encodings.popitem(last=False)
        return encoded

    def decode(self, encoded: EncodedValue) -> bytes:
        """Return the value; raises `UndecodableValueError`."""
        if encoded.encoding is ValueEncoding.PLAIN:
            return encoded.data
        value = _decompress(encoded.data)
        if encoded.encoding is ValueEncoding.DIFFERENCE:
            base = self._values.get(encoded.base)
            if base is None:
                raise UndecodableValueError(f"no value with the digest {encoded.base.hex()}")
            value = _apply_difference(value, base)
        if digest_value(value) != encoded.digest:
            raise UndecodableValueError(f"digest is not {encoded.digest.hex()}")
        return value

    def _is_full(self) -> bool:
        return len(self._values) > MAX_HELD_VALUES or self._bytes > MAX_HELD_BYTES


def _decompress(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        value = decompressor.decompress(data, MAX_VALUE_BYTES)
    except zlib.error as error:
        raise UndecodableValueError(f"invalid compressed data: {error}") from error
    if not decompressor.eof:
        raise UndecodableValueError(f"cut off, or longer than {MAX_VALUE_BYTES} bytes")
    return value


def _make_difference(value: bytes, base: bytes) -> bytes:
    """Return a list of runs of the base's parts (first part, number) and of new parts (bytes)."""
    base_parts = base.split(SEPARATOR)
    positions = {part: position for position, part in enumerate(base_parts)}
    steps: list[int | bytes] = []
    first, count = 0, 0
    for part in value.split(SEPARATOR):
        following = first + count
        if count and following < len(base_parts) and base_parts[following] == part:
            count += 1
            continue
        if count:
            steps += [first, count]
        position = positions.get(part)
        first, count = (0, 0) if position is None else (position, 1)
        if position is None:
            steps.append(part)
    if count:
        steps += [first, count]
    return msgpack.packb(steps)


def _apply_difference(data: bytes, base: bytes) -> bytes:
    base_parts = base.split(SEPARATOR)
    parts: list[bytes] = []
    size = 0
    try:
        steps = iter(msgpack.unpackb(data))
        for step in steps:
            added = [step] if isinstance(step, bytes) else _take_run(base_parts, step, next(steps))
            size += sum(len(part) + len(SEPARATOR) for part in added)
            if size > MAX_VALUE_BYTES + len(SEPARATOR):
                raise UndecodableValueError(f"longer than {MAX_VALUE_BYTES} bytes")
            parts += added
    except (ValueError, TypeError, StopIteration, RecursionError) as error:
        raise UndecodableValueError(f"invalid difference: {error!r}") from error
    return SEPARATOR.join(parts)


def _take_run(parts: list[bytes], first: int, count: int) -> list[bytes]:
    if not 0 <= first < first + count <= len(parts):
        raise UndecodableValueError(f"no parts from {first} to {first + count}")
    return parts[first : first + count]
