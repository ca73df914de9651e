"""Which agents ask the origin for a version's digests, and what is known of them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from coltsfootshift.controllers.rings import rank_by_hash
from coltsfootshift.ids import Digest, InstanceId

__all__ = ["DigestCache"]

AGENTS_PER_TURN = 4  # an origin accepts some tens of connections, and all agents also pull chunks
TURN_SECONDS = 0.5  # an answer of the origin, and a hop to each neighbour of a neighbour
MAX_MISMATCHES = 2  # a chunk may be spoilt on its way; the same one hardly twice


class DigestCache:
    """The digests of versions, learnt from the origin or from neighbours.

    Answers a fleet that learns of a version at one moment, before an origin that accepts few
    connections: the first few agents in the order by hash ask at once and pass the digests on;
    the next few ask when nothing has come for a while, and so on. The origin's answer may itself
    be spoilt: where it sends a chunk twice against its digest, the digests are read anew.

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
        self._known: dict[Digest, list[bytes]] = {}
        self._suspect: set[Digest] = set()
        self._mismatches: Counter[tuple[Digest, int]] = Counter()

    def __repr__(self) -> str:
        return f"DigestCache({self._own!r}, known={sorted(self._known)})"

    def set_instances(self, instances: Iterable[str]) -> None:
        """Take the agents that bring the same versions, this one among them."""
        self._instances = tuple(instances)

    def find(self, label: Digest) -> list[bytes] | None:
        """Return the digests of a version, None where they are not known."""
        return self._known.get(label)

    def may_ask_origin(self, label: Digest, waited: float) -> bool:
        """Return whether this agent asks the origin, `waited` seconds after it wanted them."""
        if label in self._suspect or self._own not in self._instances:
            return True
        rank = rank_by_hash(label, list(self._instances)).index(self._own)
        return waited >= rank // AGENTS_PER_TURN * TURN_SECONDS

    def add(self, label: Digest, digests: list[bytes], from_origin: bool) -> bool:
        """Take digests; return whether they are news, to be passed on."""
        if not from_origin and (label in self._known or label in self._suspect):
            return False
        self._suspect.discard(label)
        self._known[label] = digests
        return True

    def record_mismatch(self, label: Digest, index: int) -> bool:
        """A chunk of the origin did not match; return whether the digests are in doubt now."""
        self._mismatches[label, index] += 1
        if self._mismatches[label, index] < MAX_MISMATCHES:
            return False
        del self._mismatches[label, index]
        self._known.pop(label, None)
        self._suspect.add(label)
        return True

    def forget_others(self, label: Digest) -> None:
        """Drop all but one version."""
        self._known = {name: held for name, held in self._known.items() if name == label}
        self._suspect &= {label}
        self._mismatches.clear()
