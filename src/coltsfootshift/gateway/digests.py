"""Cache of chunk digests, and when agents read them from the origin."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from math import inf

from coltsfootshift.controllers.chunks import ORIGIN
from coltsfootshift.controllers.rings import rank_by_hash
from coltsfootshift.ids import Digest, InstanceId

__all__ = ["DigestCache"]

# An origin accepts only some tens of connections, and agents need them for chunks as well.
AGENTS_PER_TURN = 4
TURN_SECONDS = 0.5  # time for a response of the origin and two hops between agents
# Lists kept of a version: the sound one, and those that may have been corrupted on their way from
# the origin to one of the agents.
MAX_LISTS = 8
MAX_LISTS_PER_PEER = 4
# A chunk that still does not match after a read is at fault itself for at least this long.
RECHECK_SECONDS = 1.0


class DigestCache:
    """Caches the lists of chunk digests of versions, received from the origin or from neighbours.

    All agents learn of a new version at about the same time, but the origin accepts few
    connections. The first `AGENTS_PER_TURN` agents, ranked by hash, therefore read the digests
    at once and forward them to their neighbours; the next group reads them `TURN_SECONDS` later
    if it has received none, and so on.

    A list may be corrupted on its way, so no list replaces another. Every agent forwards each list
    that is new to it, and a chunk is correct if it matches any of them: a corrupted digest matches
    no chunk. A chunk that matches none casts doubt on the lists. If it comes from the origin, this
    agent, which fetches the chunk for the others, reads the list again at once; if it comes from
    a neighbour, which has verified it by a list that may still be on its way, agents read it in
    turns, as above.

    >>> cache = DigestCache(InstanceId("a"))
    >>> cache.set_instances(["a"])
    >>> label = Digest("m@2")
    >>> cache.should_read(label, 0.0, 0.0), cache.add(label, [b"1"])
    (True, True)
    >>> cache.matches(label, 0, b"2"), cache.add(label, [b"2"]), cache.matches(label, 0, b"2")
    (False, True, True)
    """

    def __init__(self, own: InstanceId) -> None:
        self._own = own
        self._instances: tuple[str, ...] = ()
        self._lists: dict[Digest, list[list[bytes]]] = {}
        self._from_peer: Counter[InstanceId] = Counter()
        self._doubted_at = inf
        self._doubted_by_origin = False
        self._read_at = -inf

    def __repr__(self) -> str:
        return f"DigestCache({self._own!r}, known={sorted(self._lists)})"

    def set_instances(self, instances: Iterable[str]) -> None:
        """Set the agents that fetch the same versions, including this one."""
        self._instances = tuple(instances)

    def find(self, label: Digest) -> list[bytes] | None:
        """Return the first list of a version's SHA-256 digests, or None if there is none."""
        lists = self._lists.get(label)
        return lists[0] if lists else None

    def list_all(self, label: Digest) -> list[list[bytes]]:
        """Return all lists of a version."""
        return list(self._lists.get(label, ()))

    def matches(self, label: Digest, index: int, digest: bytes) -> bool:
        """Return whether the SHA-256 digest of a chunk is in one of the version's lists."""
        for known in self._lists.get(label, ()):
            if index < len(known) and known[index] == digest:
                return True
        return False

    def should_read(self, label: Digest, waited: float, now: float) -> bool:
        """Return whether this agent should read the digests from the origin now.

        `waited` is the time in seconds since this agent started to wait for them.
        """
        if label not in self._lists:
            return waited >= self._find_turn(label)
        if now < self._read_at + RECHECK_SECONDS:
            return False
        if self._doubted_by_origin:
            return True
        return now >= self._doubted_at + self._find_turn(label)

    def add(self, label: Digest, digests: list[bytes], peer: InstanceId = ORIGIN) -> bool:
        """Add a list of a version; return whether it is new, so that neighbours need it.

        `peer` is the neighbour that sent it, `ORIGIN` if this agent has read it.
        """
        lists = self._lists.setdefault(label, [])
        if digests in lists:
            return False
        if peer != ORIGIN:
            if len(lists) >= MAX_LISTS or self._from_peer[peer] >= MAX_LISTS_PER_PEER:
                return False
            self._from_peer[peer] += 1
        elif len(lists) >= MAX_LISTS:
            lists.pop()
        lists.append(digests)
        self._clear_doubt()
        return True

    def record_read(self, now: float) -> None:
        """Record that the digests have been read from the origin."""
        self._read_at = now
        self._clear_doubt()

    def record_mismatch(self, source: InstanceId, now: float) -> None:
        """Record that a chunk from `source` matches no list."""
        self._doubted_at = min(self._doubted_at, now)
        self._doubted_by_origin = self._doubted_by_origin or source == ORIGIN

    def forget_others(self, label: Digest) -> None:
        """Drop the digests of all versions but `label`."""
        self._lists = {name: held for name, held in self._lists.items() if name == label}
        self._from_peer.clear()
        self._read_at = -inf
        self._clear_doubt()

    def _clear_doubt(self) -> None:
        self._doubted_at = inf
        self._doubted_by_origin = False

    def _find_turn(self, label: Digest) -> float:
        """Return for how many seconds this agent leaves it to others to read the digests."""
        if self._own not in self._instances:
            return 0.0
        rank = rank_by_hash(label, list(self._instances)).index(self._own)
        return rank // AGENTS_PER_TURN * TURN_SECONDS
