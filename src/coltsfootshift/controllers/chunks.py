"""Events and actions of the exchange of chunks between agents."""

from __future__ import annotations

from dataclasses import dataclass

from coltsfootshift.controllers.base import Action, Event
from coltsfootshift.ids import Digest, InstanceId

__all__ = [
    "ORIGIN",
    "ChunkFailed",
    "ChunkRequested",
    "ChunkSent",
    "ChunkStored",
    "FinishWeights",
    "LimitsChanged",
    "Location",
    "NeighbourClosed",
    "NeighbourHasChunks",
    "NeighbourOpened",
    "PullChunk",
    "PullersChanged",
    "RefuseChunk",
    "RequestChunk",
    "SendBitfield",
    "SendChunk",
    "SendHave",
    "WeightsAction",
    "WeightsTick",
    "WeightsWanted",
    "WeightsWithdrawn",
    "pack_bitfield",
    "unpack_bitfield",
]

ORIGIN = InstanceId("")


@dataclass(frozen=True, slots=True)
class Location:
    """Where an instance is."""

    region: str
    failure_domain: str


@dataclass(frozen=True, slots=True)
class WeightsWanted(Event):
    """A version is wanted: `chunks` chunks of `chunk_bytes` bytes, `held` of them staged."""

    digest: Digest
    chunks: int
    chunk_bytes: int = 0
    held: frozenset[int] = frozenset()


@dataclass(frozen=True, slots=True)
class WeightsWithdrawn(Event):
    """No version is wanted any more."""


@dataclass(frozen=True, slots=True)
class LimitsChanged(Event):
    """Limits of the rollout: copies to pull from the origin, and the rate each way."""

    planned_copies: int
    bytes_per_second: float | None


@dataclass(frozen=True, slots=True)
class PullersChanged(Event):
    """All instances that need the version, this one included, and where each is."""

    locations: dict[InstanceId, Location]


@dataclass(frozen=True, slots=True)
class NeighbourOpened(Event):
    """A weights stream to a neighbour has opened."""

    peer: InstanceId
    location: Location


@dataclass(frozen=True, slots=True)
class NeighbourClosed(Event):
    """The weights stream to a neighbour is gone."""

    peer: InstanceId


@dataclass(frozen=True, slots=True)
class NeighbourHasChunks(Event):
    """A neighbour holds `indexes`, and `exists` are held somewhere in its region.

    With `replaces` these are all that it holds, else they are added to what is known.
    """

    peer: InstanceId
    digest: Digest
    indexes: tuple[int, ...]
    known_in_region: tuple[int, ...] = ()
    replaces: bool = False


@dataclass(frozen=True, slots=True)
class ChunkRequested(Event):
    """A neighbour asks for a chunk."""

    peer: InstanceId
    digest: Digest
    index: int


@dataclass(frozen=True, slots=True)
class ChunkStored(Event):
    """A checked chunk is in the staging memory; `source` is empty for the origin."""

    digest: Digest
    index: int
    source: InstanceId


@dataclass(frozen=True, slots=True)
class ChunkFailed(Event):
    """A chunk was refused, lost or corrupted on its way from `source`."""

    digest: Digest
    index: int
    source: InstanceId


@dataclass(frozen=True, slots=True)
class ChunkSent(Event):
    """An upload to a neighbour has ended."""

    peer: InstanceId


@dataclass(frozen=True, slots=True)
class WeightsTick(Event):
    """Time has passed."""


class WeightsAction(Action):
    """Base class of the actions of a `WeightsController`."""

    __slots__ = ()


@dataclass(frozen=True, slots=True)
class PullChunk(WeightsAction):
    """Pull a chunk from the origin."""

    digest: Digest
    index: int


@dataclass(frozen=True, slots=True)
class RequestChunk(WeightsAction):
    """Ask a neighbour for a chunk."""

    peer: InstanceId
    digest: Digest
    index: int


@dataclass(frozen=True, slots=True)
class SendChunk(WeightsAction):
    """Send a neighbour a staged chunk after `delay` seconds, when the link has carried it."""

    peer: InstanceId
    digest: Digest
    index: int
    delay: float = 0.0


@dataclass(frozen=True, slots=True)
class RefuseChunk(WeightsAction):
    """Tell a neighbour that it must ask elsewhere."""

    peer: InstanceId
    digest: Digest
    index: int


@dataclass(frozen=True, slots=True)
class SendBitfield(WeightsAction):
    """Send a neighbour all chunks held, and all known to exist in the region."""

    peer: InstanceId
    digest: Digest
    bitfield: bytes
    known_in_region: bytes = b""


@dataclass(frozen=True, slots=True)
class SendHave(WeightsAction):
    """Tell a neighbour of chunks gained, and of chunks newly known to exist in the region."""

    peer: InstanceId
    digest: Digest
    indexes: tuple[int, ...]
    known_in_region: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class FinishWeights(WeightsAction):
    """All chunks of the version are staged."""

    digest: Digest


def pack_bitfield(indexes: set[int], length: int) -> bytes:
    """Return a bitfield, lowest bit first.

    >>> pack_bitfield({0, 9}, 10)
    b'\\x01\\x02'
    """
    bits = bytearray((length + 7) // 8)
    for index in indexes:
        bits[index // 8] |= 1 << (index % 8)
    return bytes(bits)


def unpack_bitfield(bits: bytes) -> tuple[int, ...]:
    """Return the indexes set in a bitfield.

    >>> unpack_bitfield(b"\\x01\\x02")
    (0, 9)
    """
    indexes = []
    for position, byte in enumerate(bits):
        for bit in range(8):
            if byte >> bit & 1:
                indexes.append(position * 8 + bit)
    return tuple(indexes)
