"""Tracks which neighbours hold which chunks of one version."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from coltsfootshift.controllers.chunks import Location
from coltsfootshift.ids import Digest, InstanceId

__all__ = ["ChunkAvailability", "Neighbour"]


@dataclass(slots=True)
class Neighbour:
    """A connected neighbour: its location, its version and the chunks of that version it holds.

    `mismatches` counts the corrupted chunks in a row that it has sent. `former` are the chunks of
    this instance's version that it held before it turned to another one, and still passes on.
    """

    location: Location
    digest: Digest = Digest("")
    held: set[int] = field(default_factory=set)
    requests_in_flight: int = 0
    uploads: int = 0
    avoid_until: float = 0.0
    mismatches: int = 0
    former: set[int] = field(default_factory=set)


class ChunkAvailability:
    """Holders of each chunk among the neighbours, and chunks known to exist in the region.

    The sets are updated incrementally, so that choosing a chunk does not iterate over all pairs
    of chunks and neighbours.
    """

    def __init__(self, digest: Digest, chunks: int, held: Iterable[int]) -> None:
        self.digest = digest
        self.chunks = chunks
        self.held = set(held)
        self.known_in_region = set(self.held)
        self.holders: list[set[InstanceId]] = [set() for _ in range(chunks)]
        self.available: set[int] = set()
        self.gained: set[int] = set()
        self.newly_known: set[int] = set()

    @property
    def complete(self) -> bool:
        """Whether every chunk is staged here."""
        return len(self.held) == self.chunks

    def list_missing(self) -> list[int]:
        """Return the indexes of the chunks not staged here, in ascending order."""
        return [index for index in range(self.chunks) if index not in self.held]

    def add_holder(self, peer: InstanceId, indexes: Iterable[int]) -> None:
        """Record that a neighbour holds these chunks; out-of-range indexes are ignored."""
        for index in indexes:
            if not 0 <= index < self.chunks:
                continue
            self.holders[index].add(peer)
            if index not in self.held:
                self.available.add(index)

    def remove_holder(self, peer: InstanceId, indexes: Iterable[int]) -> None:
        """Record that a neighbour no longer holds these chunks or has disconnected.

        A chunk without a known holder counts as absent from the region until it is reported again.
        """
        for index in indexes:
            if not 0 <= index < self.chunks:
                continue
            self.holders[index].discard(peer)
            if self.holders[index]:
                continue
            self.available.discard(index)
            if index not in self.held:
                self.known_in_region.discard(index)

    def mark_in_region(self, indexes: Iterable[int]) -> bool:
        """Record that chunks exist in the region; return whether any of them is newly known."""
        new = {index for index in indexes if 0 <= index < self.chunks} - self.known_in_region
        self.known_in_region |= new
        self.newly_known |= new
        return bool(new)

    def add_held(self, index: int) -> None:
        """Record that a chunk is staged here."""
        self.held.add(index)
        self.known_in_region.add(index)
        self.available.discard(index)
        self.gained.add(index)

    def take_changes(self) -> tuple[tuple[int, ...], tuple[int, ...]]:
        """Return the chunks staged and the chunks newly known in the region since the last call."""
        gained, newly_known = self.gained, self.newly_known - self.gained
        self.gained, self.newly_known = set(), set()
        return tuple(sorted(gained)), tuple(sorted(newly_known))
