"""Decides when this instance fetches chunks into its region, and from where."""

from __future__ import annotations

from collections.abc import Container, Iterable, Iterator

from coltsfootshift.controllers.chunk_availability import ChunkAvailability
from coltsfootshift.controllers.chunk_ranks import ChunkRanks
from coltsfootshift.controllers.chunks import Location
from coltsfootshift.ids import Digest, InstanceId

__all__ = ["PullPlan"]

MIN_TAKEOVER_SECONDS = 2.0
TAKEOVER_CHUNKS = 16
MIN_LOST_LIMIT = 2
# How long the next rank waits for a chunk to cross into the region once it can be fetched: some
# times the transfer of a chunk, which may wait behind others.
MIN_CROSSING_SECONDS = 1.0
CROSSING_CHUNKS = 10
LOST_SHARE_DIVISOR = 8
LOST_CLOSED_SECONDS = 0.5  # a stream that was only interrupted is open again by then


class PullPlan:
    """Schedule by which this instance fetches chunks into its region.

    Takeover timeouts are measured from the last time any new chunk became known in the region,
    so that a slow origin neither delays takeovers nor triggers them too early. On timeout, if the
    rank 0 instances of all missing chunks are few, they are considered lost and the remaining
    instances are ranked again. If they are many, this instance may be partitioned or the origin
    down; then one further rank takes over per interval.
    """

    def __init__(self, own: InstanceId, region: str, store_region: str) -> None:
        self.takeover_seconds = MIN_TAKEOVER_SECONDS
        self.progress_at = 0.0
        self.stored_at = 0.0
        self.failed_at = float("-inf")
        self._own = own
        self._region = region
        self._store_region = store_region
        self._locations: dict[InstanceId, Location] = {}
        self._lost: set[InstanceId] = set()
        self._ranks = ChunkRanks(own, {}, Digest(""), 0)
        self._planned_copies = 1
        self._planned_pulls: list[tuple[float, int]] = []
        self._key = ""
        self._began_at = 0.0
        self._crossing_seconds = MIN_CROSSING_SECONDS
        self._outside_since: dict[int, float] = {}
        self._closed_at: dict[InstanceId, float] = {}
        self._origin_chunk_seconds = 0.0

    def begin(self, availability: ChunkAvailability, now: float, age: float = 0.0) -> None:
        """Reset the schedule for a version whose transfer could begin `age` seconds ago."""
        self._began_at = now - age
        self.progress_at = now
        self.stored_at = now
        self.failed_at = float("-inf")
        self._lost = set()
        self._outside_since = {}
        self._compute_ranks(availability)

    def set_locations(
        self, locations: dict[InstanceId, Location], availability: ChunkAvailability, key: str = ""
    ) -> bool:
        """Set the instances that need the version; return whether the ranks were recomputed."""
        if locations == self._locations and key == self._key:
            return False
        self._locations = dict(locations)
        self._key = key
        if availability.complete:
            return False
        self._compute_ranks(availability)
        return True

    def set_limits(
        self, planned_copies: int, chunk_seconds: float, origin_chunk_seconds: float = 0.0
    ) -> None:
        """Set the number of copies to pull from the origin and the transfer times of a chunk.

        `chunk_seconds` is that over this instance's link; a longer one lengthens the takeover
        timeout. The origin sends one chunk every `origin_chunk_seconds` to all instances together.
        """
        self._origin_chunk_seconds = origin_chunk_seconds
        self._planned_copies = max(1, planned_copies)
        self.takeover_seconds = max(MIN_TAKEOVER_SECONDS, TAKEOVER_CHUNKS * chunk_seconds)
        self._crossing_seconds = max(MIN_CROSSING_SECONDS, CROSSING_CHUNKS * chunk_seconds)
        self._list_planned_pulls()

    def record_reconnected(self, peer: InstanceId, availability: ChunkAvailability) -> None:
        """Rank an instance again that was considered lost and has reconnected."""
        self._closed_at.pop(peer, None)
        if peer in self._lost:
            self._lost.discard(peer)
            self._compute_ranks(availability)

    def record_closed(self, peer: InstanceId, now: float) -> None:
        """Record that the stream to a neighbour has closed."""
        location = self._locations.get(peer)
        if location is not None and location.region == self._region:
            self._closed_at[peer] = now

    def reset_timers(self, now: float) -> None:
        """Restart the takeover timeouts, which a pause of this process has made meaningless."""
        self.progress_at = now
        self.stored_at = now
        self._outside_since = dict.fromkeys(self._outside_since, now)
        self._closed_at = dict.fromkeys(self._closed_at, now)

    def record_outside(self, indexes: Iterable[int], now: float) -> None:
        """Record that a neighbour in another region holds these chunks."""
        for index in indexes:
            self._outside_since.setdefault(index, now)

    def move_to_end(self, index: int, now: float) -> None:
        """Move a failed pull to the end of the schedule."""
        self.failed_at = now
        for row in [row for row in self._planned_pulls if row[1] == index]:
            self._planned_pulls.remove(row)
            self._planned_pulls.append(row)

    def detect_lost(self, availability: ChunkAvailability, pulling: bool, now: float) -> None:
        """Consider instances lost if they are few.

        These are neighbours whose streams stay closed and, on timeout, the rank 0 instances of all
        missing chunks.
        """
        closed = set()
        for peer, closed_at in self._closed_at.items():
            if now - closed_at >= LOST_CLOSED_SECONDS and peer in self._locations:
                closed.add(peer)
        if not closed <= self._lost and len(closed | self._lost) <= self._limit_lost():
            self._lost |= closed
            self._compute_ranks(availability)
        timed_out = now - self.progress_at >= self.takeover_seconds
        if not timed_out or pulling or now - self.failed_at < self.takeover_seconds:
            return
        absent = set()
        for index in availability.list_missing():
            if index not in availability.known_in_region and not availability.holders[index]:
                absent.add(self._ranks.leaders[index])
        if not absent or self._own in absent or len(absent) > self._limit_lost():
            return
        self._lost |= absent
        self.progress_at = now
        self._compute_ranks(availability)

    def _limit_lost(self) -> int:
        """Return how many instances may be considered lost at once.

        This is at least one, and otherwise at most half of the other instances in the region.
        """
        others = (
            sum(1 for location in self._locations.values() if location.region == self._region) - 1
        )
        limit = max(MIN_LOST_LIMIT, others // LOST_SHARE_DIVISOR)
        return max(1, min(limit, others // 2))

    def list_planned(
        self, availability: ChunkAvailability, requested: Container[int], now: float
    ) -> Iterator[int]:
        """Yield the chunks that this instance is to pull from the origin by now."""
        for due_after, index in self._planned_pulls:
            if now < self._began_at + due_after:
                continue
            if index in availability.held or index in requested:
                continue
            if self._ranks.ranks[index] == 0:
                if index not in availability.known_in_region:
                    yield index
            elif not availability.holders[index]:
                yield index

    def list_takeovers(
        self, availability: ChunkAvailability, requested: Container[int], now: float
    ) -> Iterator[int]:
        """Yield missing chunks without a known holder that this instance should take over now."""
        since_progress = now - self.progress_at
        since_stored = now - self.stored_at
        if since_progress < self.takeover_seconds:
            return
        for index in availability.list_missing():
            if index in requested or availability.holders[index]:
                continue
            intervals = self._ranks.ranks[index] + self._ranks.region_positions[index]
            elapsed = (
                since_stored - self.takeover_seconds
                if index in availability.known_in_region
                else since_progress
            )
            if elapsed >= intervals * self.takeover_seconds:
                yield index

    def may_fetch_from(self, index: int, region: str, known_in_region: bool, now: float) -> bool:
        """Return whether this instance may fetch a chunk from a region.

        Its own region is always allowed. A chunk not yet known in the region may be fetched from
        the preceding region in the chunk's order once the rank of this instance is due, and from
        any region after another interval. Ranks become due one after the other, since the instances
        before may be lost: without progress, and also from the time on at which the chunk could be
        fetched. A chunk that exists in the region may be fetched from elsewhere only after a longer
        time without progress here.
        """
        if region == self._region:
            return True
        rank = self._ranks.ranks[index]
        since_progress = now - self.progress_at
        if known_in_region:
            return now - self.stored_at >= (rank + 2) * self.takeover_seconds
        since_outside = now - self._outside_since.get(index, now)
        intervals = rank if region == self._ranks.source_regions[index] else rank + 1
        if since_outside >= intervals * self._crossing_seconds:
            return True
        return since_progress >= intervals * self.takeover_seconds

    def _compute_ranks(self, availability: ChunkAvailability) -> None:
        self._ranks = ChunkRanks(
            self._own,
            self._locations,
            availability.digest,
            availability.chunks,
            self._store_region,
            self._key,
            self._lost,
        )
        self._list_planned_pulls()

    def _list_planned_pulls(self) -> None:
        """List the pulls within the planned copies, and after how many seconds each is due.

        All instances pull in the order of the chunks, as fast as the origin can send them. If all
        pulled at once, the origin would divide its bandwidth among all chunks, and none would be
        complete, and could be passed on, until nearly all are.
        """
        pulls = []
        for index, rank in enumerate(self._ranks.ranks):
            if self._ranks.region_positions[index] == 0 and rank < self._planned_copies:
                earlier = rank * len(self._ranks.ranks) + index
                pulls.append((earlier * self._origin_chunk_seconds, rank, index))
        self._planned_pulls = [(due_after, index) for due_after, _, index in sorted(pulls)]
