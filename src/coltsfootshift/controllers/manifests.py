"""Decides from whom the manifest of a wanted version is read."""

from __future__ import annotations

from dataclasses import dataclass

from coltsfootshift.controllers.base import Action, Controller, Event
from coltsfootshift.controllers.rings import rank_by_hash
from coltsfootshift.ids import Digest, InstanceId

__all__ = [
    "ManifestController",
    "ManifestFailed",
    "ManifestReceived",
    "ManifestTick",
    "ManifestWanted",
    "PeerHasManifest",
    "ReadManifest",
    "RequestManifest",
]

STORE_STEP_SECONDS = 0.5
LATEST_STORE_SECONDS = 5.0
PEER_TIMEOUT_SECONDS = 2.0
STORE_RETRY_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class ManifestWanted(Event):
    """The manifest of a digest is needed, as by all of these instances; none for no digest."""

    digest: Digest
    instances: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class PeerHasManifest(Event):
    """A neighbour speaks of a digest, so that it has the manifest."""

    peer: InstanceId
    digest: Digest


@dataclass(frozen=True, slots=True)
class ManifestFailed(Event):
    """A peer or, where `peer` is empty, the store gave no valid manifest."""

    peer: InstanceId


@dataclass(frozen=True, slots=True)
class ManifestReceived(Event):
    """The manifest is here and checked."""


@dataclass(frozen=True, slots=True)
class ManifestTick(Event):
    """Time has passed."""


@dataclass(frozen=True, slots=True)
class RequestManifest(Action):
    """Ask a neighbour for the manifest."""

    peer: InstanceId
    digest: Digest


@dataclass(frozen=True, slots=True)
class ReadManifest(Action):
    """Read the manifest at the store."""

    digest: Digest


class ManifestController(Controller[Action]):
    """Asks peers first; the first in rank reads the store at once, each next one a step later."""

    def __init__(self, own: InstanceId) -> None:
        self._own = own
        self._digest = Digest("")
        self._needed = False
        self._knows: dict[InstanceId, Digest] = {}
        self._failed: set[InstanceId] = set()
        self._busy_until = 0.0
        self._store_at = 0.0

    def __repr__(self) -> str:
        return f"ManifestController(digest={self._digest!r}, needed={self._needed})"

    def handle(self, event: Event, now: float) -> list[Action]:
        """Take an event and return the actions that follow."""
        if isinstance(event, ManifestWanted):
            self._want(event, now)
        elif isinstance(event, PeerHasManifest):
            self._knows[event.peer] = event.digest
        elif isinstance(event, ManifestFailed):
            self._fail(event.peer, now)
        elif isinstance(event, ManifestReceived):
            self._needed = False
        elif not isinstance(event, ManifestTick):
            raise TypeError(f"unexpected event {event!r}")
        return self._decide(now)

    def forget(self, peer: InstanceId) -> None:
        """A neighbour is gone."""
        self._knows.pop(peer, None)

    def _want(self, event: ManifestWanted, now: float) -> None:
        self._digest = event.digest
        self._needed = bool(event.digest)
        self._failed = set()
        self._busy_until = 0.0
        order = rank_by_hash(event.digest, list(event.instances))
        rank = order.index(self._own) if self._own in order else 0
        self._store_at = now + min(rank * STORE_STEP_SECONDS, LATEST_STORE_SECONDS)

    def _fail(self, peer: InstanceId, now: float) -> None:
        self._busy_until = 0.0
        if peer:
            self._failed.add(peer)
            return
        self._store_at = now + STORE_RETRY_SECONDS
        self._failed = set()

    def _decide(self, now: float) -> list[Action]:
        if not self._needed or now < self._busy_until:
            return []
        for peer in sorted(self._knows):
            if self._knows[peer] != self._digest or peer in self._failed:
                continue
            self._busy_until = now + PEER_TIMEOUT_SECONDS
            self._failed.add(peer)
            return [RequestManifest(peer, self._digest)]
        if now < self._store_at:
            return []
        self._busy_until = now + PEER_TIMEOUT_SECONDS
        self._store_at = now + STORE_RETRY_SECONDS
        return [ReadManifest(self._digest)]
