"""To which agents an entry that none of them has dialled makes itself known."""

from __future__ import annotations

from collections.abc import Sequence
from math import inf

__all__ = ["IntroductionPlanner"]

# An agent that knows the entry has dialled it by then, if it keeps a connection to it at all.
FIRST_AFTER_SECONDS = 1.5
ROUND_SECONDS = 1.0  # a connection opens or times out
FIRST_PAUSE_SECONDS = 1.0
MAX_PAUSE_SECONDS = 30.0  # a handshake and a list of the entries for each agent of a round
AGENTS_PER_ROUND = 2


class IntroductionPlanner:
    """Dials some agents for a moment, in turn and ever less often, until an agent dials this entry.

    Load pattern: all entries that the seeds name are lost, and all agents start anew with these
    seeds. Agents know nobody then, while an entry reads from the store where the engines are. One
    agent that is told of the entry tells its neighbours. In a fleet that has more entries than its
    agents keep connections to, some entries have no agent; they go on at the longest pause.

    >>> planner = IntroductionPlanner()
    >>> agents = ["a", "b", "c"]
    >>> [planner.choose(agents, False, now) for now in (0.0, 1.5, 2.4, 2.5, 3.5)]
    [[], ['a', 'b'], ['a', 'b'], [], ['c', 'a']]
    >>> planner.choose(agents, True, 3.6)
    []
    """

    def __init__(self) -> None:
        self._reset()

    def _reset(self) -> None:
        self._tried: dict[str, int] = {}
        self._chosen: list[str] = []
        self._pause = FIRST_PAUSE_SECONDS
        self._next_round_at = inf
        self._round_ends_at = -inf

    def __repr__(self) -> str:
        return f"IntroductionPlanner(chosen={self._chosen!r}, pause={self._pause})"

    def choose(self, agents: Sequence[str], is_known: bool, now: float) -> list[str]:
        """Return the agents to dial, of all that may run, the preferred ones first.

        `is_known` tells whether an agent has dialled this entry and is connected.
        """
        if is_known:
            self._reset()
            return []
        if self._next_round_at == inf:
            self._next_round_at = now + FIRST_AFTER_SECONDS
        if now >= self._next_round_at and agents:
            self._begin_round(agents, now)
        if now >= self._round_ends_at:
            self._chosen = []
        return [name for name in self._chosen if name in agents]

    def _begin_round(self, agents: Sequence[str], now: float) -> None:
        self._tried = {name: self._tried.get(name, 0) for name in agents}
        self._chosen = sorted(agents, key=lambda name: self._tried[name])[:AGENTS_PER_ROUND]
        for name in self._chosen:
            self._tried[name] += 1
        self._round_ends_at = now + ROUND_SECONDS
        self._next_round_at = self._round_ends_at + self._pause
        self._pause = min(2 * self._pause, MAX_PAUSE_SECONDS)
