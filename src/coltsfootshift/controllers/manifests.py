"""Decides whether to fetch the manifest of a wanted version from a peer or from the store."""

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

STORE_DELAY_PER_RANK_SECONDS = 0.5
MAX_STORE_DELAY_SECONDS = 5.0
PEER_TIMEOUT_SECONDS = 2.0
STORE_RETRY_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class ManifestWanted(Event):
    """A manifest is wanted, also by all of `instances`; an empty digest means none is wanted."""

    digest: Digest
    instances: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class PeerHasManifest(Event):
    """A neighbour announced chunks of a digest, which implies that it has the manifest."""

    peer: InstanceId
    digest: Digest


@dataclass(frozen=True, slots=True)
class ManifestFailed(Event):
    """A peer, or the store if `peer` is empty, did not return a valid manifest."""

    peer: InstanceId


@dataclass(frozen=True, slots=True)
class ManifestReceived(Event):
    """The manifest was received and verified."""


@dataclass(frozen=True, slots=True)
class ManifestTick(Event):
    """Periodic tick."""


@dataclass(frozen=True, slots=True)
class RequestManifest(Action):
    """Request the manifest from a neighbour."""

    peer: InstanceId
    digest: Digest


@dataclass(frozen=True, slots=True)
class ReadManifest(Action):
    """Read the manifest from the store."""

    digest: Digest


class ManifestController(Controller[Action]):
    """Fetches a manifest from peers, or from the store if no peer has it.

    The instance of rank 0 may read the store at once. Each further rank waits longer, up to a
    limit, so that the store is not read by all instances at the same time.
    """

    def __init__(self, own: InstanceId) -> None:
        self._own = own
        self._digest = Digest("")
        self._needed = False
        self._peer_digests: dict[InstanceId, Digest] = {}
        self._failed: set[InstanceId] = set()
        self._request_timeout_at = 0.0
        self._store_read_at = 0.0

    def __repr__(self) -> str:
        return f"ManifestController(digest={self._digest!r}, needed={self._needed})"

    def handle(self, event: Event, now: float) -> list[Action]:
        """Process an event and return the resulting actions."""
        if isinstance(event, ManifestWanted):
            self._set_wanted(event, now)
        elif isinstance(event, PeerHasManifest):
            self._peer_digests[event.peer] = event.digest
        elif isinstance(event, ManifestFailed):
            self._record_failure(event.peer, now)
        elif isinstance(event, ManifestReceived):
            self._needed = False
        elif not isinstance(event, ManifestTick):
            raise TypeError(f"unexpected event {event!r}")
        return self._decide(now)

    def remove_peer(self, peer: InstanceId) -> None:
        """Remove a disconnected neighbour."""
        self._peer_digests.pop(peer, None)

    def _set_wanted(self, event: ManifestWanted, now: float) -> None:
        self._digest = event.digest
        self._needed = bool(event.digest)
        self._failed = set()
        self._request_timeout_at = 0.0
        order = rank_by_hash(event.digest, list(event.instances))
        rank = order.index(self._own) if self._own in order else 0
        self._store_read_at = now + min(
            rank * STORE_DELAY_PER_RANK_SECONDS, MAX_STORE_DELAY_SECONDS
        )

    def _record_failure(self, peer: InstanceId, now: float) -> None:
        self._request_timeout_at = 0.0
        if peer:
            self._failed.add(peer)
            return
        self._store_read_at = now + STORE_RETRY_SECONDS
        self._failed = set()

    def _decide(self, now: float) -> list[Action]:
        if not self._needed or now < self._request_timeout_at:
            return []
        for peer in sorted(self._peer_digests):
            if self._peer_digests[peer] != self._digest or peer in self._failed:
                continue
            self._request_timeout_at = now + PEER_TIMEOUT_SECONDS
            self._failed.add(peer)
            return [RequestManifest(peer, self._digest)]
        if now < self._store_read_at:
            return []
        self._request_timeout_at = now + PEER_TIMEOUT_SECONDS
        self._store_read_at = now + STORE_RETRY_SECONDS
        return [ReadManifest(self._digest)]
