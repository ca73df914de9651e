"""Chooses a bounded set of peers for a process, and its rank among the watchers."""

from __future__ import annotations

from coltsfootshift.controllers.membership import InstanceRecord
from coltsfootshift.controllers.rings import HashRing
from coltsfootshift.ids import InstanceId

__all__ = ["PeerSelector"]

REGION_RING_COUNT = 2
GLOBAL_RING_COUNT = 2
UNREACHABLE_SECONDS = 15.0
NO_INSTANCES: frozenset[str] = frozenset()


class PeerSelector:
    """Selects the successors of a process on hash rings.

    Rings over its own region keep most traffic off the links between regions; rings over all
    instances connect the regions. If a successor is unreachable, the next reachable instance on
    that ring is dialled as well, so that a process stays connected when all its neighbours fail
    together.
    """

    def __init__(self, own: InstanceId, region: str) -> None:
        self._own = own
        self._region = region
        self._regions: dict[InstanceId, str] = {}
        self._region_rings = [HashRing(f"mesh/near/{ring}") for ring in range(REGION_RING_COUNT)]
        self._global_rings = [HashRing(f"mesh/wide/{ring}") for ring in range(GLOBAL_RING_COUNT)]
        self._watchers = HashRing("watchers")
        self._unreachable: dict[InstanceId, float] = {}

    def __len__(self) -> int:
        return len(self._regions)

    def put(self, record: InstanceRecord) -> None:
        """Add an instance, or move it to another region."""
        instance = InstanceId(record.instance)
        held = self._regions.get(instance)
        if held == record.region:
            return
        if held is not None:
            self.remove(instance)
        self._regions[instance] = record.region
        for ring in self._list_rings(record.region):
            ring.add(instance)

    def remove(self, instance: InstanceId) -> None:
        """Remove an instance."""
        region = self._regions.pop(instance, None)
        if region is None:
            return
        self._unreachable.pop(instance, None)
        for ring in self._list_rings(region):
            ring.remove(instance)

    def mark_unreachable(self, instance: InstanceId, now: float) -> None:
        """Mark an instance as unreachable for `UNREACHABLE_SECONDS`."""
        self._unreachable[instance] = now + UNREACHABLE_SECONDS

    def mark_reachable(self, instance: InstanceId) -> None:
        """Mark an instance as reachable again."""
        self._unreachable.pop(instance, None)

    def has_expired(self, now: float) -> bool:
        """Return whether the unreachable mark of an instance has expired."""
        return any(until <= now for until in self._unreachable.values())

    def choose(self, now: float) -> list[InstanceId]:
        """Return the peers to dial, those on the rings of the region first.

        An unreachable successor stays in the list, so that it is dialled again when it is back,
        and the next reachable instance on its ring is added.
        """
        for instance, until in list(self._unreachable.items()):
            if until <= now:
                del self._unreachable[instance]
        avoid = frozenset(self._unreachable)
        chosen: list[InstanceId] = []
        for ring in self._region_rings + self._global_rings:
            for excluded in (NO_INSTANCES, avoid):
                name = ring.find_successor(self._own, excluded)
                if name is not None and name not in chosen:
                    chosen.append(InstanceId(name))
        return chosen

    def count_reachable(self, chosen: list[InstanceId]) -> int:
        """Return the number of chosen peers that are not marked as unreachable."""
        return sum(1 for name in chosen if name not in self._unreachable)

    def is_unreachable(self, instance: InstanceId) -> bool:
        """Return whether an instance is marked as unreachable."""
        return instance in self._unreachable

    def find_watch_rank(self) -> int | None:
        """Return this process's rank among its region's watchers, or None if it is not listed."""
        return self._watchers.find_rank(self._own)

    def _list_rings(self, region: str) -> list[HashRing]:
        if region != self._region:
            return self._global_rings
        return [*self._region_rings, *self._global_rings, self._watchers]
