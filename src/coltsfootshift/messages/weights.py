"""Messages between agents: manifests, chunks and the weights that engines serve."""

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
    bits: bytes
    exists: bytes = b""


class Have(Message, frozen=True, array_like=True, tag="have"):
    """Indexes of chunks that the sender newly holds, or newly found to exist in its region."""

    digest: str
    indexes: list[int]
    exists: list[int] = []


class ChunkRequest(Message, frozen=True, array_like=True, tag="c-ask"):
    """Requests one chunk from a peer."""

    digest: str
    index: int


class ChunkRefused(Message, frozen=True, array_like=True, tag="c-no"):
    """The sender does not hold the requested chunk, or has no free upload slot."""

    digest: str
    index: int


class ChunkData(Message, frozen=True, array_like=True, tag="chunk"):
    """One complete chunk; the receiver checks it against the manifest."""

    digest: str
    index: int
    data: bytes


class ChunkPart(Message, frozen=True, array_like=True, tag="part"):
    """A part of a chunk of `total` bytes; the parts of a chunk are sent in order."""

    digest: str
    index: int
    offset: int
    total: int
    data: bytes


class ServingRow(msgspec.Struct, frozen=True, array_like=True):
    """Digest of the weights that an instance's engine serves; `sequence` rises with changes."""

    instance: str
    sequence: int
    digest: str


class ServingNotice(Message, frozen=True, array_like=True, tag="serves"):
    """Changes, new to the sender, in what instances serve."""

    rows: list[ServingRow]
