"""Which neighbours an agent dials, of those that it exchanges chunks with."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

__all__ = ["NeighbourDials"]

# Agents that know each other's engines dial each other within this time.
DIAL_WITHIN_SECONDS = 2.0


class NeighbourDials:
    """Dials its own share of the neighbours, and each other one that does not dial it in time.

    Load pattern: an agent has restarted with stale seeds, so that it knows neither an entry nor its
    neighbours. Of two agents that choose each other the first by name dials, so that nobody would
    dial that agent, and tell it which entries live, if it is the first of all of its pairs. Once it
    dials itself it is no longer dialled: a slow link would have either end replace a stream that
    the other one has dialled, with the chunks on their way.

    >>> dials = NeighbourDials()
    >>> dials.update(["b"], ["a"])
    >>> [dials.choose({}, now) for now in (0.0, 1.9, 2.0)]
    [['b'], ['b'], ['b', 'a']]
    >>> dials.choose({"a": True}, 2.1), dials.choose({"a": False}, 2.2)
    (['b', 'a'], ['b'])
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

    def choose(self, streams: Mapping[str, bool], now: float) -> list[str]:
        """Return the neighbours to dial.

        `streams` holds those with an open stream, and whether this agent has dialled it.
        """
        for name, since in self._missing_since.items():
            if name in streams:
                self._missing_since[name] = None
                if not streams[name]:
                    self._overdue.discard(name)
                continue
            if since is None:
                self._missing_since[name] = now
            elif now - since >= DIAL_WITHIN_SECONDS:
                self._overdue.add(name)
        return [*self._dialled, *sorted(self._overdue)]
