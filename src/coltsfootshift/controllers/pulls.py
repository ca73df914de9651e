"""When a chunk may be brought into this region, and by whom."""

from __future__ import annotations

from collections.abc import Container, Iterator

from coltsfootshift.controllers.chunks import Place
from coltsfootshift.controllers.duties import Duties
from coltsfootshift.controllers.holdings import Holdings
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
        self.take_over = TAKE_OVER_SECONDS
        self.grew_at = 0.0
        self.stored_at = 0.0
        self.failed_at = float("-inf")
        self._own = own
        self._region = region
        self._store_region = store_region
        self._places: dict[InstanceId, Place] = {}
        self._lost: set[InstanceId] = set()
        self._duties = Duties(own, {}, Digest(""), 0)
        self._planned_copies = 1
        self._own_pulls: list[int] = []

    def begin(self, holdings: Holdings, now: float) -> None:
        """Start over for a version."""
        self.grew_at = now
        self.stored_at = now
        self.failed_at = float("-inf")
        self._lost = set()
        self._assign(holdings)

    def set_places(self, places: dict[InstanceId, Place], holdings: Holdings) -> bool:
        """Take the instances that need the version; return whether they have changed."""
        if places == self._places:
            return False
        self._places = dict(places)
        if holdings.whole:
            return False
        self._assign(holdings)
        return True

    def set_limits(self, planned_copies: int, chunk_seconds: float) -> None:
        """Take the copies planned from the origin; slow chunks make take-overs wait longer."""
        self._planned_copies = max(1, planned_copies)
        self.take_over = max(TAKE_OVER_SECONDS, TAKE_OVER_CHUNKS * chunk_seconds)
        self._list_own()

    def note_back(self, peer: InstanceId, holdings: Holdings) -> None:
        """An instance that counted as lost is connected."""
        if peer in self._lost:
            self._lost.discard(peer)
            self._assign(holdings)

    def forget_pause(self, now: float) -> None:
        """After a pause of this process nobody is overdue."""
        self.grew_at = now
        self.stored_at = now

    def put_last(self, index: int, now: float) -> None:
        """Let other pulls go before one that failed."""
        self.failed_at = now
        if index in self._own_pulls:
            self._own_pulls.remove(index)
            self._own_pulls.append(index)

    def check_lost(self, holdings: Holdings, pulling: bool, now: float) -> None:
        """Count the few instances as lost that owe all that is missing."""
        overdue = now - self.grew_at >= self.take_over
        if not overdue or pulling or now - self.failed_at < self.take_over:
            return
        owing = set()
        for index in holdings.list_missing():
            if index not in holdings.exists and not holdings.holders[index]:
                owing.add(self._duties.leaders[index])
        if not owing or self._own in owing or len(owing) > self._count_most_lost():
            return
        self._lost |= owing
        self.grew_at = now
        self._assign(holdings)

    def _count_most_lost(self) -> int:
        """Return how many instances may count as lost at once: never most of the region."""
        others = sum(1 for place in self._places.values() if place.region == self._region) - 1
        most = max(LOST_AT_ONCE, others // LOST_SHARE)
        return max(1, min(most, others // 2))

    def list_due(self, holdings: Holdings, asked: Container[int]) -> Iterator[int]:
        """Yield the chunks that this instance pulls from the origin as planned."""
        for index in self._own_pulls:
            if index in holdings.held or index in asked:
                continue
            if self._duties.ranks[index] == 0:
                if index not in holdings.exists:
                    yield index
            elif not holdings.holders[index]:
                yield index

    def list_late(self, holdings: Holdings, asked: Container[int], now: float) -> Iterator[int]:
        """Yield missing chunks that nobody has brought in, once this instance's turn has come."""
        idle = now - self.grew_at
        stuck = now - self.stored_at
        if idle < self.take_over:
            return
        for index in holdings.list_missing():
            if index in asked or holdings.holders[index]:
                continue
            turn = self._duties.ranks[index] + self._duties.positions[index]
            waited = stuck - self.take_over if index in holdings.exists else idle
            if waited >= turn * self.take_over:
                yield index

    def may_cross(self, index: int, region: str, exists: bool, now: float) -> bool:
        """Return whether this instance may take a chunk from a region.

        Its own region always; another only for a chunk that has not come into the region, where
        it is this instance's turn, and from the region before in the chunk's order. After a
        further interval without progress any region will do.
        """
        if region == self._region:
            return True
        rank = self._duties.ranks[index]
        idle = now - self.grew_at
        if exists:
            return now - self.stored_at >= (rank + 2) * self.take_over
        if idle < rank * self.take_over:
            return False
        if region == self._duties.previous[index]:
            return True
        return idle >= (rank + 1) * self.take_over

    def _assign(self, holdings: Holdings) -> None:
        places = {name: place for name, place in self._places.items() if name not in self._lost}
        self._duties = Duties(
            self._own, places, holdings.digest, holdings.chunks, self._store_region
        )
        self._list_own()

    def _list_own(self) -> None:
        """List the chunks that the budget lets this instance pull at once, first in rank first."""
        pulls = []
        for index, rank in enumerate(self._duties.ranks):
            if self._duties.positions[index] == 0 and rank < self._planned_copies:
                pulls.append((rank, index))
        self._own_pulls = [index for _, index in sorted(pulls)]
