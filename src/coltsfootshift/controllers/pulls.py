"""When a chunk may be brought into this region, and by whom."""

from __future__ import annotations

from collections.abc import Container, Iterator

from coltsfootshift.controllers.chunk_availability import ChunkAvailability
from coltsfootshift.controllers.chunk_ranks import ChunkRanks
from coltsfootshift.controllers.chunks import Location
from coltsfootshift.ids import Digest, InstanceId

__all__ = ["PullPlan"]

TAKE_OVER_SECONDS = 2.0
TAKE_OVER_CHUNKS = 16
LOST_AT_ONCE = 2
LOST_SHARE = 8


class PullPlan:
    """The turns of this instance to bring chunks into its region.

    The clock of all take-overs is the time since anything new was heard of in the region, so that
    a slow origin holds none of them up and starts none too early. Once it runs out, and only few
    instances owe all that is missing, these count as lost: the next in rank are first from then
    on. Where many owe, this instance may be cut off or the origin down; then turns come one rank
    an interval.
    """

    def __init__(self, own: InstanceId, region: str, store_region: str) -> None:
        self.takeover_seconds = TAKE_OVER_SECONDS
        self.progress_at = 0.0
        self.stored_at = 0.0
        self.failed_at = float("-inf")
        self._own = own
        self._region = region
        self._store_region = store_region
        self._locations: dict[InstanceId, Location] = {}
        self._lost: set[InstanceId] = set()
        self._duties = ChunkRanks(own, {}, Digest(""), 0)
        self._planned_copies = 1
        self._own_pulls: list[int] = []

    def begin(self, holdings: ChunkAvailability, now: float) -> None:
        """Start over for a version."""
        self.progress_at = now
        self.stored_at = now
        self.failed_at = float("-inf")
        self._lost = set()
        self._assign(holdings)

    def set_locations(
        self, places: dict[InstanceId, Location], holdings: ChunkAvailability
    ) -> bool:
        """Take the instances that need the version; return whether they have changed."""
        if places == self._locations:
            return False
        self._locations = dict(places)
        if holdings.complete:
            return False
        self._assign(holdings)
        return True

    def set_limits(self, planned_copies: int, chunk_seconds: float) -> None:
        """Take the copies planned from the origin; slow chunks make take-overs wait longer."""
        self._planned_copies = max(1, planned_copies)
        self.takeover_seconds = max(TAKE_OVER_SECONDS, TAKE_OVER_CHUNKS * chunk_seconds)
        self._list_own()

    def note_reconnected(self, peer: InstanceId, holdings: ChunkAvailability) -> None:
        """An instance that counted as lost is connected."""
        if peer in self._lost:
            self._lost.discard(peer)
            self._assign(holdings)

    def reset_timers(self, now: float) -> None:
        """After a pause of this process nobody is overdue."""
        self.progress_at = now
        self.stored_at = now

    def move_to_end(self, index: int, now: float) -> None:
        """Let other pulls go before one that failed."""
        self.failed_at = now
        if index in self._own_pulls:
            self._own_pulls.remove(index)
            self._own_pulls.append(index)

    def detect_lost(self, holdings: ChunkAvailability, pulling: bool, now: float) -> None:
        """Count the few instances as lost that owe all that is missing."""
        overdue = now - self.progress_at >= self.takeover_seconds
        if not overdue or pulling or now - self.failed_at < self.takeover_seconds:
            return
        owing = set()
        for index in holdings.list_missing():
            if index not in holdings.known_in_region and not holdings.holders[index]:
                owing.add(self._duties.leaders[index])
        if not owing or self._own in owing or len(owing) > self._count_most_lost():
            return
        self._lost |= owing
        self.progress_at = now
        self._assign(holdings)

    def _count_most_lost(self) -> int:
        """Return how many instances may count as lost at once: never most of the region."""
        others = sum(1 for place in self._locations.values() if place.region == self._region) - 1
        most = max(LOST_AT_ONCE, others // LOST_SHARE)
        return max(1, min(most, others // 2))

    def list_planned(self, holdings: ChunkAvailability, asked: Container[int]) -> Iterator[int]:
        """Yield the chunks that this instance pulls from the origin as planned."""
        for index in self._own_pulls:
            if index in holdings.held or index in asked:
                continue
            if self._duties.ranks[index] == 0:
                if index not in holdings.known_in_region:
                    yield index
            elif not holdings.holders[index]:
                yield index

    def list_takeovers(
        self, holdings: ChunkAvailability, asked: Container[int], now: float
    ) -> Iterator[int]:
        """Yield missing chunks that nobody has brought in, once this instance's turn has come."""
        idle = now - self.progress_at
        stuck = now - self.stored_at
        if idle < self.takeover_seconds:
            return
        for index in holdings.list_missing():
            if index in asked or holdings.holders[index]:
                continue
            turn = self._duties.ranks[index] + self._duties.region_positions[index]
            waited = stuck - self.takeover_seconds if index in holdings.known_in_region else idle
            if waited >= turn * self.takeover_seconds:
                yield index

    def may_fetch_from(self, index: int, region: str, exists: bool, now: float) -> bool:
        """Return whether this instance may take a chunk from a region.

        Its own region always; another only for a chunk that has not come into the region, where
        it is this instance's turn, and from the region before in the chunk's order. After a
        further interval without progress any region will do.
        """
        if region == self._region:
            return True
        rank = self._duties.ranks[index]
        idle = now - self.progress_at
        if exists:
            return now - self.stored_at >= (rank + 2) * self.takeover_seconds
        if idle < rank * self.takeover_seconds:
            return False
        if region == self._duties.source_regions[index]:
            return True
        return idle >= (rank + 1) * self.takeover_seconds

    def _assign(self, holdings: ChunkAvailability) -> None:
        places = {name: place for name, place in self._locations.items() if name not in self._lost}
        self._duties = ChunkRanks(
            self._own, places, holdings.digest, holdings.chunks, self._store_region
        )
        self._list_own()

    def _list_own(self) -> None:
        """List the chunks that the budget lets this instance pull at once, first in rank first."""
        pulls = []
        for index, rank in enumerate(self._duties.ranks):
            if self._duties.region_positions[index] == 0 and rank < self._planned_copies:
                pulls.append((rank, index))
        self._own_pulls = [index for _, index in sorted(pulls)]
