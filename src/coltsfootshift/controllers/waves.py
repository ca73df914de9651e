"""Orders the loads of replicas in waves, so that enough replicas keep serving."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from coltsfootshift.controllers.chunks import Location
from coltsfootshift.controllers.rings import rank_by_hash
from coltsfootshift.ids import Digest, InstanceId

__all__ = ["ServingState", "LoadWaves", "order_loads"]

WAVE_TIMEOUT_SECONDS = 4.0
DIGEST_PREFIX_LENGTH = 12


def order_loads(locations: Mapping[InstanceId, Location], key: str) -> list[InstanceId]:
    """Return the instances in the order in which their engines load, the same in every process.

    Every region has its share in each part of the order, so that no region is left without an
    engine that serves.

    >>> here, there = Location("north", "n-1"), Location("west", "w-1")
    >>> [name[0] for name in order_loads({"n1": here, "n2": here, "w1": there, "w2": there}, "k")]
    ['n', 'w', 'n', 'w']
    """
    regions: dict[str, list[str]] = {}
    for name, location in locations.items():
        regions.setdefault(location.region, []).append(name)
    ranked = []
    for region, names in regions.items():
        for position, ranked_name in enumerate(rank_by_hash(key, names)):
            ranked.append(((position + 0.5) / len(names), region, ranked_name))
    return [InstanceId(name) for _, _, name in sorted(ranked)]


@dataclass(frozen=True, slots=True)
class ServingState:
    """The version that an engine serves, as announced by its instance.

    `digest` is shortened, and empty if the engine serves nothing. `sequence` increases with every
    change and with every start of the instance's agent.
    """

    instance: InstanceId
    sequence: int
    digest: str


class LoadWaves:
    """Lets at most (replicas - minimum) instances load at a time, without a leader.

    All instances know the same order. The first instances in it that do not serve the version yet
    form the current wave, and an instance loads when it is in
    that wave. An instance that makes no progress is skipped after a timeout and no longer counts
    as a replica. An engine that serves nothing may load at any time.
    """

    def __init__(self, own: InstanceId) -> None:
        self._own = own
        self._states: dict[InstanceId, ServingState] = {}
        self._instances: tuple[InstanceId, ...] = ()
        self._min_serving = 0
        self._wanted = ""
        self._skipped: set[InstanceId] = set()
        self._progress_at = 0.0

    def __repr__(self) -> str:
        return f"LoadWaves(wanted={self._wanted!r}, instances={len(self._instances)})"

    @property
    def states(self) -> list[ServingState]:
        """The latest known state of each current replica."""
        return [self._states[name] for name in self._instances if name in self._states]

    def set_instances(
        self, instances: tuple[InstanceId, ...], min_serving: int, now: float
    ) -> None:
        """Set the replicas of the service in the order in which they load.

        `min_serving` is how many of them must keep serving.
        """
        self._min_serving = min_serving
        if instances == self._instances:
            return
        self._instances = instances
        self._progress_at = now
        for name in set(self._states) - set(instances):
            del self._states[name]

    def set_wanted(self, digest: Digest, now: float) -> None:
        """Set the version that all replicas should serve."""
        wanted = shorten_digest(digest)
        if wanted == self._wanted:
            return
        self._wanted = wanted
        self._skipped = set()
        self._progress_at = now

    def record(self, state: ServingState, now: float) -> bool:
        """Record the state of an instance; return whether it is newer than the known state."""
        previous = self._states.get(state.instance)
        if previous is not None and previous.sequence >= state.sequence:
            return False
        self._states[state.instance] = state
        self._skipped.discard(state.instance)
        self._progress_at = now
        return True

    def may_load(self, now: float) -> bool:
        """Return whether this instance may load the wanted version now."""
        own = self._states.get(self._own)
        if own is None or not own.digest or self._own not in self._instances:
            return True
        if now - self._progress_at >= WAVE_TIMEOUT_SECONDS:
            self._skip_stalled(now)
        return (
            self._own in self._list_current_wave()
            and self._count_serving() >= self._compute_floor()
        )

    def _list_current_wave(self) -> list[InstanceId]:
        """Return the instances of the current wave, including those that are loading."""
        replicas = [name for name in self._instances if name not in self._skipped]
        width = max(1, len(replicas) - self._min_serving)
        waiting = [name for name in replicas if not self._serves_wanted(name)]
        if self._own in self._skipped:
            waiting.insert(0, self._own)
        return waiting[:width]

    def _skip_stalled(self, now: float) -> None:
        for name in self._list_current_wave():
            if name != self._own:
                self._skipped.add(name)
        self._progress_at = now

    def _serves_wanted(self, name: InstanceId) -> bool:
        state = self._states.get(name)
        return state is not None and state.digest == self._wanted

    def _count_serving(self) -> int:
        """Return how many other instances are known to serve any version."""
        count = 0
        for name, state in self._states.items():
            if name != self._own and state.digest:
                count += 1
        return count

    def _compute_floor(self) -> int:
        """Return how many other instances must serve, capped by the remaining replicas."""
        return min(self._min_serving, max(0, len(self._instances) - len(self._skipped) - 1))


def shorten_digest(digest: str) -> str:
    """Return a prefix of a digest that is long enough to distinguish versions.

    >>> shorten_digest("0123456789abcdef")
    '0123456789ab'
    """
    return digest[:DIGEST_PREFIX_LENGTH]
