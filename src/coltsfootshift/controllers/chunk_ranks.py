"""Ranks the instances and regions that fetch each chunk, and chooses neighbours to dial."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Collection

from coltsfootshift.controllers.chunks import Location
from coltsfootshift.controllers.rings import rank_by_hash
from coltsfootshift.ids import Digest, InstanceId

__all__ = ["ChunkRanks", "choose_neighbours", "split_neighbours"]

NEIGHBOUR_RINGS = 8
MIX_FACTOR = 0x9E3779B97F4A7C15  # 2**64 divided by the golden ratio (Fibonacci hashing)
MASK_64 = (1 << 64) - 1


class ChunkRanks:
    """Ranks of one instance for every chunk of a version, within its region.

    The regions are ordered separately for each chunk. The region of the weight store comes first.
    If that region is not known, each region comes first in proportion to its number of instances,
    so that all instances pull about the same number of chunks from the origin. Every other region
    fetches the chunk from its predecessor, so that a chunk enters each region once and the load
    is spread over the links between regions.

    Within a region the instance of rank 0 fetches the chunk, and the next rank takes over if it
    fails. Rank 0 goes to the instances in turn, in the order in which `choose_neighbours` matches
    partners for the same `key`. The instances of rank 0 in all regions are therefore partners, and
    a chunk passes from region to region without having to spread within each of them first. The
    further ranks, and rank 0 in the place of a lost instance, follow by rendezvous hashing.
    """

    def __init__(
        self,
        own: InstanceId,
        locations: dict[InstanceId, Location],
        digest: Digest,
        chunks: int,
        store_region: str = "",
        key: str = "",
        lost: Collection[InstanceId] = (),
    ) -> None:
        self._sizes: dict[str, int] = {}
        for location in locations.values():
            self._sizes[location.region] = self._sizes.get(location.region, 0) + 1
        self._regions = sorted(self._sizes)
        self._store_region = store_region if store_region in self._regions else ""
        self._digest = digest
        region = locations[own].region if own in locations else ""
        order = _order_by_region(locations, key).get(region, [])
        turns = max(self._sizes.values(), default=1)
        self.ranks, self.leaders = _rank_chunks(own, order, turns, digest, chunks, lost)
        self.source_regions: list[str] = []
        self.region_positions: list[int] = []
        for index in range(chunks):
            regions = self._order_regions(index)
            position = regions.index(region) if region in regions else 0
            self.region_positions.append(position)
            self.source_regions.append(regions[position - 1] if position else "")

    def _order_regions(self, index: int) -> list[str]:
        if len(self._regions) < 2:
            return self._regions
        order = sorted(self._regions, key=lambda region: self._score_region(index, region))
        if self._store_region:
            order.remove(self._store_region)
            order.insert(0, self._store_region)
        return order

    def _score_region(self, index: int, region: str) -> float:
        """Return the weighted rendezvous hash score of a region; the lowest score comes first."""
        uniform = (_hash_name(f"{self._digest}/{index}/{region}") + 1) / (MASK_64 + 2)
        return -math.log(uniform) / self._sizes[region]


def _rank_chunks(
    own: InstanceId,
    order: list[InstanceId],
    turns: int,
    digest: Digest,
    chunks: int,
    lost: Collection[InstanceId],
) -> tuple[list[int], list[InstanceId]]:
    """Return the rank of `own` and the instance of rank 0 for each chunk index.

    `order` lists the instances of the region, and `turns` is the size of the largest region.
    """
    seeds = {name: _hash_name(name) for name in order if name not in lost}
    first_turn = _hash_name(digest) % turns
    ranks, leaders = [], []
    for index in range(chunks):
        salt = _hash_name(f"{digest}/{index}")
        scores = {name: _mix_hash(seed, salt) for name, seed in seeds.items()}
        if order:
            in_turn = order[(first_turn + index) % turns % len(order)]
            if in_turn in scores:
                scores[in_turn] = MASK_64 + 1
        own_score = scores.get(own, -1)
        ranks.append(sum(1 for score in scores.values() if score > own_score))
        leaders.append(max(scores, key=scores.__getitem__, default=own))
    return ranks, leaders


def _order_by_region(
    locations: dict[InstanceId, Location], key: str
) -> dict[str, list[InstanceId]]:
    regions: dict[str, list[str]] = {}
    for name, location in locations.items():
        regions.setdefault(location.region, []).append(name)
    orders = {}
    for region, names in regions.items():
        orders[region] = [InstanceId(name) for name in rank_by_hash(key, names)]
    return orders


def choose_neighbours(
    own: InstanceId, locations: dict[InstanceId, Location], key: str
) -> list[str]:
    """Return the peers that this instance dials.

    These are its successors on several hash rings within its region and one partner in each other
    region. Partners are matched by position in hash order, so that incoming connections are
    spread evenly. If two instances choose each other, only the first by name dials, because a
    stream carries chunks both ways.

    >>> here, there = Location("north", "n-1"), Location("west", "w-1")
    >>> choose_neighbours("a", {"a": here, "b": here, "c": there}, "kit")
    ['b', 'c']
    >>> choose_neighbours("b", {"a": here, "b": here, "c": there}, "kit")
    ['c']
    """
    return split_neighbours(own, locations, key)[0]


def split_neighbours(
    own: InstanceId, locations: dict[InstanceId, Location], key: str
) -> tuple[list[str], list[str]]:
    """Return the peers that this instance dials, and those that it has chosen and that dial it.

    >>> here = Location("north", "n-1")
    >>> split_neighbours("b", {"a": here, "b": here, "c": here}, "kit")
    (['c'], ['a'])
    """
    if own not in locations:
        return [], []
    orders = _order_by_region(locations, key)
    names: list[str] = [*orders[locations[own].region]]
    rings = _build_rings(names, key)
    dialled: list[str] = []
    awaited: list[str] = []
    for peer in _list_candidates(own, locations, rings, orders):
        mutual = own in _list_candidates(peer, locations, rings, orders)
        peers = awaited if mutual and peer < own else dialled
        if peer not in peers:
            peers.append(peer)
    return dialled, awaited


def _build_rings(names: list[str], key: str) -> list[list[str]]:
    """Return the orders in which each instance chooses its successor.

    In a small region the orders are those in which each instance is followed by each other one: one
    with fewer neighbours finds idle links less often, and is complete later.
    """
    if len(names) > 2 * NEIGHBOUR_RINGS + 1:
        return [rank_by_hash(f"{key}/{ring}", names) for ring in range(NEIGHBOUR_RINGS)]
    return [[first, second] for first in names for second in names if first < second]


def _list_candidates(
    own: str,
    locations: dict[InstanceId, Location],
    rings: list[list[str]],
    orders: dict[str, list[InstanceId]],
) -> list[str]:
    """Return the successors of an instance on its rings, then its partners in other regions."""
    chosen: list[str] = []
    for ring in rings:
        if own in ring:
            successor = ring[(ring.index(own) + 1) % len(ring)]
            if successor != own:
                chosen.append(successor)
    region = locations[InstanceId(own)].region
    position = orders[region].index(InstanceId(own))
    for other in sorted(orders):
        if other != region:
            chosen.append(orders[other][position % len(orders[other])])
    return chosen


def _hash_name(name: str) -> int:
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big")


def _mix_hash(seed: int, salt: int) -> int:
    value = ((seed ^ salt) * MIX_FACTOR) & MASK_64
    return ((value ^ (value >> 29)) * MIX_FACTOR) & MASK_64
