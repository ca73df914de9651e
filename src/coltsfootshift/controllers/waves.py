"""Decides whose turn it is to load, so that enough replicas keep serving meanwhile."""

from __future__ import annotations

from dataclasses import dataclass

from coltsfootshift.controllers.rings import rank_by_hash
from coltsfootshift.ids import Digest, InstanceId

__all__ = ["ServingState", "LoadWaves"]

WAVE_TIMEOUT_SECONDS = 4.0
DIGEST_LETTERS = 12


@dataclass(frozen=True, slots=True)
class ServingState:
    """What an instance says that its engine serves; `digest` is cut short, empty for nothing.

    `sequence` rises with every change and every start of the instance's agent.
    """

    instance: InstanceId
    sequence: int
    digest: str


class LoadWaves:
    """Lets at most (replicas - minimum) instances load at a time, without a leader.

    All instances have one order for a version, by hash. An instance may load once all but the
    last `width` before it serve the version. One that makes no progress is passed over after a
    timeout, and then no longer counts as a replica. An engine that serves nothing may load at
    any time.
    """

    def __init__(self, own: InstanceId) -> None:
        self._own = own
        self._states: dict[InstanceId, ServingState] = {}
        self._instances: tuple[InstanceId, ...] = ()
        self._min_serving = 0
        self._wanted = ""
        self._order: list[str] = []
        self._lost: set[str] = set()
        self._changed_at = 0.0

    def __repr__(self) -> str:
        return f"LoadWaves(wanted={self._wanted!r}, instances={len(self._instances)})"

    @property
    def states(self) -> list[ServingState]:
        """The latest state of each instance that is still listed."""
        return [self._states[name] for name in self._instances if name in self._states]

    def set_instances(self, instances: tuple[InstanceId, ...], least: int, now: float) -> None:
        """The replicas of the service, and how many of them must keep serving."""
        self._min_serving = least
        if instances == self._instances:
            return
        self._instances = instances
        self._changed_at = now
        for name in set(self._states) - set(instances):
            del self._states[name]
        self._rank()

    def set_wanted(self, digest: Digest, now: float) -> None:
        """The version that all replicas are to serve."""
        wanted = shorten_digest(digest)
        if wanted == self._wanted:
            return
        self._wanted = wanted
        self._lost = set()
        self._changed_at = now
        self._rank()

    def note(self, state: ServingState, now: float) -> bool:
        """Take the state of an instance; return whether it is newer than what was known."""
        held = self._states.get(state.instance)
        if held is not None and held.sequence >= state.sequence:
            return False
        self._states[state.instance] = state
        self._lost.discard(state.instance)
        self._changed_at = now
        return True

    def may_load(self, now: float) -> bool:
        """Return whether it is this instance's turn to load the wanted version."""
        own = self._states.get(self._own)
        if own is None or not own.digest or self._own not in self._order:
            return True
        if now - self._changed_at >= WAVE_TIMEOUT_SECONDS:
            self._pass_over(now)
        return self._own in self._list_turn() and self._count_serving() >= self._floor()

    def _rank(self) -> None:
        self._order = rank_by_hash(self._wanted, list(self._instances))

    def _list_turn(self) -> list[str]:
        """Return the instances whose turn it is now, those that are loading included."""
        replicas = [name for name in self._order if name not in self._lost]
        width = max(1, len(replicas) - self._min_serving)
        waiting = [name for name in replicas if not self._is_done(name)]
        if self._own in self._lost:
            waiting.insert(0, self._own)
        return waiting[:width]

    def _pass_over(self, now: float) -> None:
        for name in self._list_turn():
            if name != self._own:
                self._lost.add(name)
        self._changed_at = now

    def _is_done(self, name: str) -> bool:
        state = self._states.get(InstanceId(name))
        return state is not None and state.digest == self._wanted

    def _count_serving(self) -> int:
        """Return how many other instances are known to serve any version."""
        count = 0
        for name, state in self._states.items():
            if name != self._own and state.digest:
                count += 1
        return count

    def _floor(self) -> int:
        """Return how many others must serve; fewer where there are not enough replicas."""
        return min(self._min_serving, max(0, len(self._order) - len(self._lost) - 1))


def shorten_digest(digest: str) -> str:
    """Return the first letters of a digest, enough to tell versions apart.

    >>> shorten_digest("0123456789abcdef")
    '0123456789ab'
    """
    return digest[:DIGEST_LETTERS]
