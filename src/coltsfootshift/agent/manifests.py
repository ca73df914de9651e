"""Reads the manifest of the wanted version, from peers first, and checks it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.python.failure import Failure

from coltsfootshift.controllers.base import Event
from coltsfootshift.controllers.chunks import ORIGIN
from coltsfootshift.controllers.manifests import (
    ManifestController,
    ManifestFailed,
    ManifestReceived,
    ManifestTick,
    ManifestWanted,
    PeerHasManifest,
    ReadManifest,
    RequestManifest,
)
from coltsfootshift.ids import Digest, InstanceId
from coltsfootshift.messages import ManifestData, ManifestRequest, Message
from coltsfootshift.metrics import Metrics
from coltsfootshift.weightstore.base import WeightStore
from coltsfootshift.weightstore.manifest import Manifest, ManifestError

__all__ = ["ManifestReader"]


class ManifestReader:
    """Carries out what the manifest controller decides; `take` gets each checked manifest."""

    def __init__(
        self,
        own: InstanceId,
        reactor: Any,
        metrics: Metrics,
        store: WeightStore,
        send: Callable[[InstanceId, Message], None],
        take: Callable[[Manifest], None],
    ) -> None:
        self._controller = ManifestController(own)
        self._reactor = reactor
        self._metrics = metrics
        self._store = store
        self._send = send
        self._take = take

    def want(self, digest: Digest, instances: tuple[str, ...]) -> None:
        """Read the manifest of a digest; of none where it is empty."""
        self._tell(ManifestWanted(digest, instances))

    def tick(self) -> None:
        """Go on where an answer is overdue."""
        self._tell(ManifestTick())

    def note_peer(self, peer: InstanceId, digest: Digest) -> None:
        """A neighbour speaks of a digest."""
        self._tell(PeerHasManifest(peer, digest))

    def forget_peer(self, peer: InstanceId) -> None:
        """A neighbour is gone."""
        self._controller.remove_peer(peer)

    def settle(self) -> None:
        """The manifest was taken."""
        self._tell(ManifestReceived())

    def take_data(self, message: ManifestData, peer: InstanceId) -> None:
        """Check a manifest that a neighbour sent."""
        try:
            manifest = Manifest.from_json(Digest(message.digest), message.text)
        except ManifestError:
            self._fail(peer)
            return
        self._take(manifest)

    def _tell(self, event: Event) -> None:
        for action in self._controller.handle(event, self._reactor.seconds()):
            if isinstance(action, RequestManifest):
                self._send(action.peer, ManifestRequest(action.digest))
            elif isinstance(action, ReadManifest):
                self._read(action.digest)

    def _read(self, digest: Digest) -> None:
        self._metrics.count("manifest_reads")
        deferred = self._store.read_manifest(digest)
        deferred.addCallbacks(self._take, self._lose)

    def _lose(self, failure: Failure) -> None:
        self._fail(ORIGIN)

    def _fail(self, peer: InstanceId) -> None:
        self._metrics.count("manifest_failures")
        self._tell(ManifestFailed(peer))
