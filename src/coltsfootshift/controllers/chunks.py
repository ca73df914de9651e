"""Events and actions of the chunk exchange between agents."""

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
    "NeighboursTrusted",
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
    """Region and failure domain of an instance."""

    region: str
    failure_domain: str


@dataclass(frozen=True, slots=True)
class WeightsWanted(Event):
    """A version is wanted: `chunks` chunks of `chunk_bytes` bytes; those in `held` are staged.

    `age` is how long ago the transfer of the version could begin anywhere, in seconds.
    """

    digest: Digest
    chunks: int
    chunk_bytes: int = 0
    held: frozenset[int] = frozenset()
    age: float = 0.0


@dataclass(frozen=True, slots=True)
class WeightsWithdrawn(Event):
    """No version is wanted."""


@dataclass(frozen=True, slots=True)
class LimitsChanged(Event):
    """The limits of the rollout changed.

    `planned_copies` is the number of copies to pull from the origin. `bytes_per_second` limits
    uploads and downloads separately, and `origin_bytes_per_second` is what the origin sends to all
    instances together; None means no limit.
    """

    planned_copies: int
    bytes_per_second: float | None
    origin_bytes_per_second: float | None = None


@dataclass(frozen=True, slots=True)
class PullersChanged(Event):
    """The set of instances that need the version changed; it includes this instance.

    `key` is the one with which neighbours are chosen. Requests of the instances in `first` are
    answered before those of the others.
    """

    locations: dict[InstanceId, Location]
    key: str = ""
    first: frozenset[InstanceId] = frozenset()


@dataclass(frozen=True, slots=True)
class NeighbourOpened(Event):
    """A weights stream to a neighbour opened."""

    peer: InstanceId
    location: Location


@dataclass(frozen=True, slots=True)
class NeighbourClosed(Event):
    """The weights stream to a neighbour closed."""

    peer: InstanceId


@dataclass(frozen=True, slots=True)
class NeighboursTrusted(Event):
    """What neighbours sent before may have been correct: the digests have changed."""


@dataclass(frozen=True, slots=True)
class NeighbourHasChunks(Event):
    """A neighbour holds the chunks `indexes`; `known_in_region` are held somewhere in its region.

    If `replaces` is set, `indexes` is the complete set; otherwise it extends the known set.
    """

    peer: InstanceId
    digest: Digest
    indexes: tuple[int, ...]
    known_in_region: tuple[int, ...] = ()
    replaces: bool = False


@dataclass(frozen=True, slots=True)
class ChunkRequested(Event):
    """A neighbour requested a chunk."""

    peer: InstanceId
    digest: Digest
    index: int


@dataclass(frozen=True, slots=True)
class ChunkStored(Event):
    """A verified chunk is in staging memory; `source` is empty for the origin."""

    digest: Digest
    index: int
    source: InstanceId


@dataclass(frozen=True, slots=True)
class ChunkFailed(Event):
    """A chunk from `source` was refused, lost or, if `corrupted` is set, did not match."""

    digest: Digest
    index: int
    source: InstanceId
    corrupted: bool = False


@dataclass(frozen=True, slots=True)
class ChunkSent(Event):
    """An upload to a neighbour ended."""

    peer: InstanceId


@dataclass(frozen=True, slots=True)
class WeightsTick(Event):
    """Periodic tick."""


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
    """Request a chunk from a neighbour."""

    peer: InstanceId
    digest: Digest
    index: int


@dataclass(frozen=True, slots=True)
class SendChunk(WeightsAction):
    """Send a staged chunk to a neighbour, `delay` seconds from now to respect the upload rate."""

    peer: InstanceId
    digest: Digest
    index: int
    delay: float = 0.0


@dataclass(frozen=True, slots=True)
class RefuseChunk(WeightsAction):
    """Refuse a chunk request, so that the neighbour requests the chunk elsewhere."""

    peer: InstanceId
    digest: Digest
    index: int


@dataclass(frozen=True, slots=True)
class SendBitfield(WeightsAction):
    """Send a neighbour all chunks held here and all known to exist in the region."""

    peer: InstanceId
    digest: Digest
    bitfield: bytes
    known_in_region: bytes = b""


@dataclass(frozen=True, slots=True)
class SendHave(WeightsAction):
    """Announce to a neighbour the chunks newly staged or newly known to exist in the region."""

    peer: InstanceId
    digest: Digest
    indexes: tuple[int, ...]
    known_in_region: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class FinishWeights(WeightsAction):
    """All chunks of the version are staged."""

    digest: Digest


def pack_bitfield(indexes: set[int], length: int) -> bytes:
    """Encode indexes as a bitfield of `length` bits, least significant bit first.

    >>> pack_bitfield({0, 9}, 10)
    b'\\x01\\x02'
    """
    bits = bytearray((length + 7) // 8)
    for index in indexes:
        bits[index // 8] |= 1 << (index % 8)
    return bytes(bits)


def unpack_bitfield(bits: bytes) -> tuple[int, ...]:
    """Return the indexes of the bits set in a bitfield, in ascending order.

    >>> unpack_bitfield(b"\\x01\\x02")
    (0, 9)
    """
    indexes = []
    for position, byte in enumerate(bits):
        for bit in range(8):
            if byte >> bit & 1:
                indexes.append(position * 8 + bit)
    return tuple(indexes)
