"""What is known of where the chunks of one version are."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from coltsfootshift.controllers.chunks import Location
from coltsfootshift.ids import Digest, InstanceId

__all__ = ["ChunkAvailability", "Neighbour"]


@dataclass(slots=True)
class Neighbour:
    """A connected neighbour: its place, the version it speaks of and what it holds of that."""

    location: Location
    digest: Digest = Digest("")
    held: set[int] = field(default_factory=set)
    requests_in_flight: int = 0
    uploads: int = 0
    avoid_until: float = 0.0


class ChunkAvailability:
    """Holders of each chunk among the neighbours, and what exists in the region.

    Sets are kept up to date with every event, so that choosing a chunk never walks over
    chunks and neighbours together.
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
        """Whether every chunk is held."""
        return len(self.held) == self.chunks

    def list_missing(self) -> list[int]:
        """Return the chunks not held, in order."""
        return [index for index in range(self.chunks) if index not in self.held]

    def add_holder(self, peer: InstanceId, indexes: Iterable[int]) -> None:
        """A neighbour holds these chunks."""
        for index in indexes:
            if not 0 <= index < self.chunks:
                continue
            self.holders[index].add(peer)
            if index not in self.held:
                self.available.add(index)

    def remove_holder(self, peer: InstanceId, indexes: Iterable[int]) -> None:
        """A neighbour holds these chunks no more, or is gone.

        A chunk whose last known holder is gone counts as not existing until it is heard of again.
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
        """Chunks exist in the region; return whether any was not known to."""
        new = {index for index in indexes if 0 <= index < self.chunks} - self.known_in_region
        self.known_in_region |= new
        self.newly_known |= new
        return bool(new)

    def add_held(self, index: int) -> None:
        """A chunk is staged here."""
        self.held.add(index)
        self.known_in_region.add(index)
        self.available.discard(index)
        self.gained.add(index)

    def take_changes(self) -> tuple[tuple[int, ...], tuple[int, ...]]:
        """Return chunks gained and chunks learnt of since the last call."""
        gained, learnt = self.gained, self.newly_known - self.gained
        self.gained, self.newly_known = set(), set()
        return tuple(sorted(gained)), tuple(sorted(learnt))
