"""Who brings a chunk into a region first: ranks of instances and the order of regions."""

from __future__ import annotations

import hashlib
import math

from coltsfootshift.controllers.chunks import Location
from coltsfootshift.controllers.rings import rank_by_hash
from coltsfootshift.ids import Digest, InstanceId

__all__ = ["ChunkRanks", "choose_neighbours"]

NEIGHBOUR_RINGS = 8
MIX_FACTOR = 0x9E3779B97F4A7C15
MASK_64 = (1 << 64) - 1


class ChunkRanks:
    """The rank of one instance for every chunk of a version, within its region.

    For each chunk the regions have an order. The first is where the weight store is; where that is
    not known, a region comes first as often as its share of the instances, so that no instance
    pulls more chunks from the origin than another. Every further region takes
    it from the one before, so that a chunk crosses into each region once and the links between
    regions share the load. Within a region the instances are ranked by rendezvous hash: rank 0
    brings the chunk in, the next takes over.
    """

    def __init__(
        self,
        own: InstanceId,
        places: dict[InstanceId, Location],
        digest: Digest,
        chunks: int,
        store_region: str = "",
    ) -> None:
        self._sizes: dict[str, int] = {}
        for place in places.values():
            self._sizes[place.region] = self._sizes.get(place.region, 0) + 1
        self._regions = sorted(self._sizes)
        self._store_region = store_region if store_region in self._regions else ""
        self._digest = digest
        region = places[own].region if own in places else ""
        names = [name for name, place in places.items() if place.region == region]
        self.ranks, self.leaders = _rank_chunks(own, names, digest, chunks)
        self.source_regions: list[str] = []
        self.region_positions: list[int] = []
        for index in range(chunks):
            order = self._order_regions(index)
            position = order.index(region) if region in order else 0
            self.region_positions.append(position)
            self.source_regions.append(order[position - 1] if position else "")

    def _order_regions(self, index: int) -> list[str]:
        if len(self._regions) < 2:
            return self._regions
        order = sorted(self._regions, key=lambda region: self._draw_region(index, region))
        if self._store_region:
            order.remove(self._store_region)
            order.insert(0, self._store_region)
        return order

    def _draw_region(self, index: int, region: str) -> float:
        """Return a draw of weighted rendezvous hashing: the lowest comes first."""
        drawn = (_hash_name(f"{self._digest}/{index}/{region}") + 1) / (MASK_64 + 2)
        return -math.log(drawn) / self._sizes[region]


def _rank_chunks(
    own: InstanceId, names: list[InstanceId], digest: Digest, chunks: int
) -> tuple[list[int], list[InstanceId]]:
    """Return how many instances come before `own` and who comes first, by chunk index."""
    seeds = {name: _hash_name(name) for name in names}
    ranks, leaders = [], []
    for index in range(chunks):
        salt = _hash_name(f"{digest}/{index}")
        scores = {name: _mix(seed, salt) for name, seed in seeds.items()}
        own_score = scores.get(own, -1)
        ranks.append(sum(1 for score in scores.values() if score > own_score))
        leaders.append(max(scores, key=scores.__getitem__, default=own))
    return ranks, leaders


def choose_neighbours(own: InstanceId, places: dict[InstanceId, Location], key: str) -> list[str]:
    """Return whom this instance dials: rings within its region, one partner in each other region.

    Partners are matched by position in hash order, so that nobody is dialled by more than its
    share. Where two instances choose each other only the first by name dials, since streams carry
    chunks both ways.

    >>> here, there = Location("north", "n-1"), Location("west", "w-1")
    >>> choose_neighbours("a", {"a": here, "b": here, "c": there}, "kit")
    ['b', 'c']
    >>> choose_neighbours("b", {"a": here, "b": here, "c": there}, "kit")
    ['c']
    """
    if own not in places:
        return []
    regions: dict[str, list[str]] = {}
    for name, place in places.items():
        regions.setdefault(place.region, []).append(name)
    rings = _order_rings(regions[places[own].region], key)
    orders = {region: rank_by_hash(key, names) for region, names in regions.items()}
    peers = []
    for peer in _choose(own, places, rings, orders):
        mutual = own in _choose(peer, places, rings, orders)
        if peer not in peers and not (mutual and peer < own):
            peers.append(peer)
    return peers


def _order_rings(names: list[str], key: str) -> list[list[str]]:
    return [rank_by_hash(f"{key}/{ring}", names) for ring in range(NEIGHBOUR_RINGS)]


def _choose(
    own: str,
    places: dict[InstanceId, Location],
    rings: list[list[str]],
    orders: dict[str, list[str]],
) -> list[str]:
    """Return the successors of an instance on the rings that it is on, then its partners."""
    chosen = []
    for ring in rings:
        if own in ring:
            successor = ring[(ring.index(own) + 1) % len(ring)]
            if successor != own:
                chosen.append(successor)
    region = places[InstanceId(own)].region
    position = orders[region].index(own)
    for other in sorted(orders):
        if other != region:
            chosen.append(orders[other][position % len(orders[other])])
    return chosen


def _hash_name(name: str) -> int:
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big")


def _mix(seed: int, salt: int) -> int:
    value = ((seed ^ salt) * MIX_FACTOR) & MASK_64
    return ((value ^ (value >> 29)) * MIX_FACTOR) & MASK_64
