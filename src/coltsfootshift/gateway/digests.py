"""Cache of chunk digests, and the order in which agents request them from the origin."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from coltsfootshift.controllers.rings import rank_by_hash
from coltsfootshift.ids import Digest, InstanceId

__all__ = ["DigestCache"]

# An origin accepts only some tens of connections, and agents need them for chunks as well.
AGENTS_PER_TURN = 4
TURN_SECONDS = 0.5  # time for a response of the origin and two hops between agents
# A chunk may be corrupted in transit, but the same one is unlikely to be corrupted twice.
MAX_MISMATCHES = 2


class DigestCache:
    """Caches the chunk digests of versions, received from the origin or from neighbours.

    All agents learn of a new version at about the same time, but the origin accepts few
    connections. The first `AGENTS_PER_TURN` agents, ranked by hash, therefore read the digests
    at once and forward them to their neighbours; the next group reads them `TURN_SECONDS` later
    if it has received none, and so on. Digests from the origin may be corrupted as well: after
    `MAX_MISMATCHES` mismatches of the same chunk from the origin they are read again.

    >>> cache = DigestCache(InstanceId("a"))
    >>> cache.set_instances(["a"])
    >>> cache.may_ask_origin(Digest("m@2"), 0.0), cache.add(Digest("m@2"), [b"1"], from_origin=True)
    (True, True)
    >>> cache.find(Digest("m@2"))
    [b'1']
    """

    def __init__(self, own: InstanceId) -> None:
        self._own = own
        self._instances: tuple[str, ...] = ()
        self._digests: dict[Digest, list[bytes]] = {}
        self._suspect: set[Digest] = set()
        self._mismatches: Counter[tuple[Digest, int]] = Counter()

    def __repr__(self) -> str:
        return f"DigestCache({self._own!r}, known={sorted(self._digests)})"

    def set_instances(self, instances: Iterable[str]) -> None:
        """Set the agents that fetch the same versions, including this one."""
        self._instances = tuple(instances)

    def find(self, label: Digest) -> list[bytes] | None:
        """Return the SHA-256 digests of a version's chunks, or None if they are unknown."""
        return self._digests.get(label)

    def may_ask_origin(self, label: Digest, waited: float) -> bool:
        """Return whether this agent may read the digests from the origin.

        `waited` is the time in seconds since this agent started to wait for them.
        """
        if label in self._suspect or self._own not in self._instances:
            return True
        rank = rank_by_hash(label, list(self._instances)).index(self._own)
        return waited >= rank // AGENTS_PER_TURN * TURN_SECONDS

    def add(self, label: Digest, digests: list[bytes], from_origin: bool) -> bool:
        """Add the digests of a version and return whether to forward them to neighbours.

        Digests from neighbours are ignored if the version's are cached or were dropped.
        """
        if not from_origin and (label in self._digests or label in self._suspect):
            return False
        self._suspect.discard(label)
        self._digests[label] = digests
        return True

    def record_mismatch(self, label: Digest, index: int) -> bool:
        """Record that a chunk from the origin did not match its digest.

        Returns whether the digests were dropped, so that they must be read from the origin again.
        """
        self._mismatches[label, index] += 1
        if self._mismatches[label, index] < MAX_MISMATCHES:
            return False
        del self._mismatches[label, index]
        self._digests.pop(label, None)
        self._suspect.add(label)
        return True

    def forget_others(self, label: Digest) -> None:
        """Drop the digests of all versions but `label`."""
        self._digests = {name: held for name, held in self._digests.items() if name == label}
        self._suspect &= {label}
        self._mismatches.clear()
