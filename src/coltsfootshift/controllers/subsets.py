"""Chooses a bounded, balanced and stable subset of agents that an entry connects to."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, field
from heapq import nlargest
from math import ceil

__all__ = ["SubsetTable", "count_entries_for"]

MIN_ENTRIES_PER_AGENT = 6
MIN_AGENTS_PER_ENTRY = 8
HASH_BYTES = 7
PRIME = (1 << 61) - 1


def count_entries_for(agents: int, entries: int) -> int:
    """Return the number of entries that connect to each agent of a service.

    It is large enough that an agent stays reachable when entries fail, and that each entry has a
    choice of agents if the service has few.

    >>> count_entries_for(agents=5, entries=4), count_entries_for(agents=4700, entries=430)
    (4, 6)
    """
    needed = ceil(entries * MIN_AGENTS_PER_ENTRY / max(1, agents))
    return min(entries, max(MIN_ENTRIES_PER_AGENT, needed))


@dataclass(slots=True)
class _Agent:
    hash: int
    ranking: list[str] = field(default_factory=list)


class SubsetTable:
    """Maps every agent of one service to the entries that connect to it, by rendezvous hashing.

    Exactly `count_entries_for` entries connect to each agent, all processes compute the same
    result, and the agents are spread about evenly over the entries. Adding or removing an entry
    affects only the agents that it connects to; adding or removing an agent affects no other.

    >>> table = SubsetTable("entry-1")
    >>> table.update(agents=["a", "b"], entries=["entry-1", "entry-2"])
    >>> table.list_chosen()
    ['a', 'b']
    """

    def __init__(self, own: str) -> None:
        self._own = own
        self._count = 0
        self._entries: dict[str, int] = {}
        self._agents: dict[str, _Agent] = {}

    def __repr__(self) -> str:
        return f"SubsetTable({self._own!r}, agents={len(self._agents)}, count={self._count})"

    def update(self, agents: Iterable[str], entries: Iterable[str]) -> None:
        """Replace the lists of agents and entries; only rankings that change are recomputed."""
        wanted_agents = set(agents)
        wanted_entries = set(entries)
        for name in self._agents.keys() - wanted_agents:
            del self._agents[name]
        removed = self._entries.keys() - wanted_entries
        added = wanted_entries - self._entries.keys()
        for name in removed:
            del self._entries[name]
        for name in added:
            self._entries[name] = _hash(name)
        count = count_entries_for(len(wanted_agents), len(wanted_entries))
        grown = count > self._count
        self._count = count
        for agent in self._agents.values():
            if grown or not removed.isdisjoint(agent.ranking):
                self._rank(agent)
                continue
            if added:
                self._insert(agent, added)
        for name in wanted_agents - self._agents.keys():
            self._agents[name] = _Agent(_hash(name))
            self._rank(self._agents[name])

    def list_chosen(self) -> list[str]:
        """Return the agents that this entry connects to, sorted by name."""
        chosen = []
        for name, agent in self._agents.items():
            if self._own in agent.ranking:
                chosen.append(name)
        return sorted(chosen)

    def _rank(self, agent: _Agent) -> None:
        own = agent.hash
        scored = [(own * value % PRIME, name) for name, value in self._entries.items()]
        agent.ranking = [name for _, name in nlargest(self._count, scored)]

    def _insert(self, agent: _Agent, added: Iterable[str]) -> None:
        candidates = [*agent.ranking, *added]
        scored = [(agent.hash * self._entries[name] % PRIME, name) for name in candidates]
        agent.ranking = [name for _, name in nlargest(self._count, scored)]


def _hash(name: str) -> int:
    digest = hashlib.blake2b(name.encode(), digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest)
