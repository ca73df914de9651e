"""Which neighbours an agent dials, of those that it exchanges chunks with."""

from __future__ import annotations

from collections.abc import Container, Iterable

__all__ = ["NeighbourDials"]

# Agents that know each other's engines dial each other within this time.
DIAL_WITHIN_SECONDS = 2.0


class NeighbourDials:
    """Dials its own share of the neighbours, and each other one that does not dial it in time.

    Load pattern: an agent has restarted with stale seeds, so that it knows neither an entry nor its
    neighbours. Of two agents that choose each other the first by name dials, so that nobody would
    dial that agent, and tell it which entries live, if it is the first of all of its pairs. Once
    dialled, a neighbour stays among the targets: a stream of its own replaces this one.

    >>> dials = NeighbourDials()
    >>> dials.update(["b"], ["a"])
    >>> dials.choose({"b"}, 0.0), dials.choose({"b"}, 1.9), dials.choose({"b"}, 2.0)
    (['b'], ['b'], ['b', 'a'])
    """

    def __init__(self) -> None:
        self._dialled: list[str] = []
        self._missing_since: dict[str, float | None] = {}
        self._overdue: set[str] = set()

    def __repr__(self) -> str:
        return f"NeighbourDials({self._dialled!r}, overdue={sorted(self._overdue)})"

    def update(self, dialled: Iterable[str], awaited: Iterable[str]) -> None:
        """Replace the neighbours: those that this agent dials, and those that dial it."""
        self._dialled = list(dialled)
        self._missing_since = {name: self._missing_since.get(name) for name in awaited}
        self._overdue &= self._missing_since.keys()

    def choose(self, connected: Container[str], now: float) -> list[str]:
        """Return the neighbours to dial; `connected` are those with an open stream."""
        for name, since in self._missing_since.items():
            if name in connected:
                self._missing_since[name] = None
                continue
            if since is None:
                self._missing_since[name] = now
            elif now - since >= DIAL_WITHIN_SECONDS:
                self._overdue.add(name)
        return [*self._dialled, *sorted(self._overdue)]
