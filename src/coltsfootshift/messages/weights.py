"""Messages between agents: manifests, chunks, and what engines serve."""

from __future__ import annotations

import msgspec

from coltsfootshift.messages.base import Message

__all__ = [
    "Bitfield",
    "ChunkData",
    "ChunkPart",
    "ChunkRefused",
    "ChunkRequest",
    "Have",
    "ManifestData",
    "ManifestRequest",
    "ServingNotice",
    "ServingRow",
]


class ManifestRequest(Message, frozen=True, array_like=True, tag="m-ask"):
    """Asks a peer for the manifest of a digest."""

    digest: str


class ManifestData(Message, frozen=True, array_like=True, tag="m"):
    """A manifest in its JSON form; the receiver checks it against the digest."""

    digest: str
    text: bytes


class Bitfield(Message, frozen=True, array_like=True, tag="bits"):
    """All chunks of a digest that the sender holds, one bit a chunk, lowest bit first.

    `exists` names those that the sender knows to be held somewhere in its region.
    """

    digest: str
    bits: bytes
    exists: bytes = b""


class Have(Message, frozen=True, array_like=True, tag="have"):
    """Chunks that the sender has gained since its last notice, or learnt to exist in its region."""

    digest: str
    indexes: list[int]
    exists: list[int] = []


class ChunkRequest(Message, frozen=True, array_like=True, tag="c-ask"):
    """Asks a peer for one chunk."""

    digest: str
    index: int


class ChunkRefused(Message, frozen=True, array_like=True, tag="c-no"):
    """The peer does not hold the chunk or has no room to send it now."""

    digest: str
    index: int


class ChunkData(Message, frozen=True, array_like=True, tag="chunk"):
    """One whole chunk; the receiver checks it against the manifest."""

    digest: str
    index: int
    data: bytes


class ChunkPart(Message, frozen=True, array_like=True, tag="part"):
    """A part of a chunk of `total` bytes; the parts of one chunk come in order."""

    digest: str
    index: int
    offset: int
    total: int
    data: bytes


class ServingRow(msgspec.Struct, frozen=True, array_like=True):
    """What an instance's engine serves; `sequence` rises with every change."""

    instance: str
    sequence: int
    digest: str


class ServingNotice(Message, frozen=True, array_like=True, tag="serves"):
    """What instances serve, as far as it is new to the sender."""

    rows: list[ServingRow]
