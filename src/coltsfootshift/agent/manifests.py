"""Fetches and verifies the manifest of the wanted version, preferably from peers."""

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
    """Performs the actions of the manifest controller.

    `on_manifest` is called with each verified manifest.
    """

    def __init__(
        self,
        own: InstanceId,
        reactor: Any,
        metrics: Metrics,
        store: WeightStore,
        send: Callable[[InstanceId, Message], None],
        on_manifest: Callable[[Manifest], None],
    ) -> None:
        self._controller = ManifestController(own)
        self._reactor = reactor
        self._metrics = metrics
        self._store = store
        self._send = send
        self._on_manifest = on_manifest

    def fetch(self, digest: Digest, instances: tuple[str, ...]) -> None:
        """Fetch the manifest of a digest, or stop fetching if the digest is empty.

        `instances` are the agents of the service that may be fetching the same manifest.
        """
        self._handle_event(ManifestWanted(digest, instances))

    def tick(self) -> None:
        """Retry requests that have timed out; called periodically."""
        self._handle_event(ManifestTick())

    def record_peer(self, peer: InstanceId, digest: Digest) -> None:
        """Record that a neighbour has the manifest of a digest."""
        self._handle_event(PeerHasManifest(peer, digest))

    def remove_peer(self, peer: InstanceId) -> None:
        """Remove a neighbour whose stream has closed."""
        self._controller.remove_peer(peer)

    def mark_received(self) -> None:
        """Record that the wanted manifest was received; stops further requests for it."""
        self._handle_event(ManifestReceived())

    def receive_data(self, message: ManifestData, peer: InstanceId) -> None:
        """Verify a manifest received from a neighbour and pass it on."""
        try:
            manifest = Manifest.from_json(Digest(message.digest), message.text)
        except ManifestError:
            self._record_failure(peer)
            return
        self._on_manifest(manifest)

    def _handle_event(self, event: Event) -> None:
        for action in self._controller.handle(event, self._reactor.seconds()):
            if isinstance(action, RequestManifest):
                self._send(action.peer, ManifestRequest(action.digest))
            elif isinstance(action, ReadManifest):
                self._read_from_store(action.digest)

    def _read_from_store(self, digest: Digest) -> None:
        self._metrics.count("manifest_reads")
        deferred = self._store.read_manifest(digest)
        deferred.addCallbacks(self._on_manifest, self._handle_store_failure)

    def _handle_store_failure(self, failure: Failure) -> None:
        self._record_failure(ORIGIN)

    def _record_failure(self, peer: InstanceId) -> None:
        self._metrics.count("manifest_failures")
        self._handle_event(ManifestFailed(peer))
