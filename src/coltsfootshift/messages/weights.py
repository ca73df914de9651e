"""Messages between agents: manifests, chunks and the weights that engines serve."""

from __future__ import annotations

from typing import Annotated

import msgspec

from coltsfootshift.messages.base import Age, Index, Message, Name, WholeNumber

__all__ = [
    "Bitfield",
    "ChunkData",
    "ChunkPart",
    "ChunkRefused",
    "ChunkRequest",
    "Have",
    "ManifestData",
    "ManifestRequest",
    "PartReceived",
    "ServingNotice",
    "ServingRow",
]


MAX_BITFIELD_BYTES = 64 * 1024  # half a million chunks

Bits = Annotated[bytes, msgspec.Meta(max_length=MAX_BITFIELD_BYTES)]


class ManifestRequest(Message, frozen=True, array_like=True, tag="m-ask"):
    """Requests the manifest with a digest from a peer."""

    digest: str


class ManifestData(Message, frozen=True, array_like=True, tag="m"):
    """A manifest in its JSON form; the receiver checks it against the digest."""

    digest: str
    text: bytes


class Bitfield(Message, frozen=True, array_like=True, tag="bits"):
    """Bitfield of the chunks that the sender holds: one bit per chunk, lowest bit first.

    `exists` is a bitfield of the chunks that some instance in the sender's region holds.
    """

    digest: str
    bits: Bits
    exists: Bits = b""


class Have(Message, frozen=True, array_like=True, tag="have"):
    """Indexes of chunks that the sender newly holds, or newly found to exist in its region."""

    digest: str
    indexes: list[Index]
    exists: list[Index] = []


class ChunkRequest(Message, frozen=True, array_like=True, tag="c-ask"):
    """Requests one chunk from a peer."""

    digest: str
    index: Index


class ChunkRefused(Message, frozen=True, array_like=True, tag="c-no"):
    """The sender does not hold the requested chunk, or has no free upload slot."""

    digest: str
    index: Index


class ChunkData(Message, frozen=True, array_like=True, tag="chunk"):
    """One complete chunk; the receiver checks it against the manifest."""

    digest: str
    index: Index
    data: bytes


class ChunkPart(Message, frozen=True, array_like=True, tag="part"):
    """A part of a chunk of `total` bytes; the parts of a chunk are sent in order.

    `sent_at` is in seconds on the sender's clock, 0 if it expects no `PartReceived`.
    """

    digest: str
    index: Index
    offset: WholeNumber
    total: WholeNumber
    data: bytes
    sent_at: float = 0.0


class PartReceived(Message, frozen=True, array_like=True, tag="part-ok"):
    """A part of `size` bytes has arrived, `delay` seconds later than over idle links."""

    size: WholeNumber
    delay: Age


class ServingRow(msgspec.Struct, frozen=True, array_like=True):
    """Digest of the weights that an instance's engine serves; `sequence` rises with changes."""

    instance: Name
    sequence: WholeNumber
    digest: str


class ServingNotice(Message, frozen=True, array_like=True, tag="serves"):
    """Changes, new to the sender, in what instances serve."""

    rows: list[ServingRow]
