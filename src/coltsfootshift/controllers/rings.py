"""Hash rings over instances, updated incrementally as instances are added and removed."""

from __future__ import annotations

import hashlib
from bisect import bisect_left, insort

__all__ = ["HashRing", "choose_ring_peers", "rank_by_hash"]

HASH_BYTES = 8


class HashRing:
    """Instances ordered by hash, in the same order in every process that knows the same instances.

    A change costs one hash and one insertion into a sorted list.

    >>> ring = HashRing("mesh/0")
    >>> for name in ("a", "b", "c"):
    ...     ring.add(name)
    >>> sorted({ring.find_successor(name, frozenset()) for name in ("a", "b", "c")})
    ['a', 'b', 'c']
    """

    def __init__(self, key: str) -> None:
        self._key = key
        self._order: list[tuple[bytes, str]] = []

    def __len__(self) -> int:
        return len(self._order)

    def add(self, instance: str) -> None:
        """Add an instance if it is not in the ring yet."""
        item = (_hash(self._key, instance), instance)
        position = bisect_left(self._order, item)
        if position < len(self._order) and self._order[position] == item:
            return
        insort(self._order, item)

    def remove(self, instance: str) -> None:
        """Remove an instance if it is in the ring."""
        item = (_hash(self._key, instance), instance)
        position = bisect_left(self._order, item)
        if position < len(self._order) and self._order[position] == item:
            del self._order[position]

    def find_successor(self, own: str, avoid: frozenset[str]) -> str | None:
        """Return the next instance after `own` that is not in `avoid`, or None."""
        start = bisect_left(self._order, (_hash(self._key, own), own))
        count = len(self._order)
        for step in range(count):
            name = self._order[(start + step) % count][1]
            if name == own or name in avoid:
                continue
            return name
        return None

    def find_rank(self, instance: str) -> int | None:
        """Return the position of an instance from zero, or None if it is not in the ring."""
        item = (_hash(self._key, instance), instance)
        position = bisect_left(self._order, item)
        if position < len(self._order) and self._order[position] == item:
            return position
        return None

    def list_first(self, count: int) -> list[str]:
        """Return the first `count` instances in hash order."""
        return [name for _, name in self._order[:count]]


def rank_by_hash(key: str, instances: list[str]) -> list[str]:
    """Return the instances in rendezvous hash order for a key, the same in every process."""
    return sorted(instances, key=lambda instance: _hash(key, instance), reverse=True)


def choose_ring_peers(own: str, instances: list[str], rings: int, key: str) -> list[str]:
    """Return the successors of an instance on `rings` hash rings, without duplicates.

    Every ring contains all instances, so that their union is connected and every instance is
    dialled by at most `rings` others. Each process computes this without coordination.

    >>> choose_ring_peers("a", ["a", "b"], 3, "mesh")
    ['b']
    """
    peers: list[str] = []
    if own not in instances:
        return peers
    for ring in range(rings):
        successor = _find_next(f"{key}/{ring}", own, instances)
        if successor is None or successor in peers:
            continue
        peers.append(successor)
    return peers


def _find_next(key: str, own: str, instances: list[str]) -> str | None:
    """Return the instance with the lowest hash above that of `own`, else the lowest of all."""
    own_item = (_hash(key, own), own)
    above: tuple[bytes, str] | None = None
    lowest: tuple[bytes, str] | None = None
    for name in instances:
        if name == own:
            continue
        item = (_hash(key, name), name)
        if lowest is None or item < lowest:
            lowest = item
        if item > own_item and (above is None or item < above):
            above = item
    found = above or lowest
    return found[1] if found else None


def _hash(key: str, instance: str) -> bytes:
    return hashlib.blake2b(f"{key}/{instance}".encode(), digest_size=HASH_BYTES).digest()
