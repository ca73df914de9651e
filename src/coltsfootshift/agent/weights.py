"""The weights task of an agent, which fetches, stages and activates model weights.

It exchanges chunks with neighbours, reads the rest from the weight store, stages them in the
engine and has the engine load complete versions.
"""

from __future__ import annotations

from random import Random
from typing import Any

from twisted.internet.task import LoopingCall
from twisted.python.failure import Failure

from coltsfootshift.agent.loading import EngineLoader
from coltsfootshift.agent.lock import PortLock
from coltsfootshift.agent.manifests import ManifestReader
from coltsfootshift.agent.staging import Staging
from coltsfootshift.catalogue.model import ModelEntry
from coltsfootshift.controllers.activation import (
    ActivationPhase,
    EngineReported,
    PeerServingChanged,
    ReplicasChanged,
    VersionStaged,
    VersionWanted,
    VersionWithdrawn,
)
from coltsfootshift.controllers.base import Event
from coltsfootshift.controllers.chunk_ranks import choose_neighbours
from coltsfootshift.controllers.chunks import (
    ORIGIN,
    ChunkFailed,
    ChunkRequested,
    ChunkSent,
    ChunkStored,
    FinishWeights,
    LimitsChanged,
    Location,
    NeighbourClosed,
    NeighbourHasChunks,
    NeighbourOpened,
    PullChunk,
    PullersChanged,
    RefuseChunk,
    RequestChunk,
    SendBitfield,
    SendChunk,
    SendHave,
    WeightsTick,
    WeightsWanted,
    WeightsWithdrawn,
    unpack_bitfield,
)
from coltsfootshift.controllers.rings import rank_by_hash
from coltsfootshift.controllers.waves import ServingState
from coltsfootshift.controllers.weights import WeightsController
from coltsfootshift.engines.base import EndpointStatus, ModelEngine
from coltsfootshift.ids import Digest, InstanceId, Purpose
from coltsfootshift.logs import get_logger
from coltsfootshift.mesh import CatalogueChanged, InstancesChanged, MeshTask
from coltsfootshift.messages import (
    Bitfield,
    ChunkData,
    ChunkRefused,
    ChunkRequest,
    Have,
    Leaving,
    ManifestData,
    ManifestRequest,
    Message,
    ServingNotice,
    ServingRow,
)
from coltsfootshift.settings import AgentSettings
from coltsfootshift.streams import Dialer, PeerStream, StreamContext, StreamOwner
from coltsfootshift.tasks import Task
from coltsfootshift.weightstore.base import WeightStore
from coltsfootshift.weightstore.manifest import Manifest

__all__ = ["WeightsTask"]

TICK_INTERVAL_SECONDS = 0.1
ANNOUNCE_DELAY_SECONDS = 0.02  # collects changes into one message per neighbour
RESERVED_ORIGIN_COPIES = 1  # for chunks corrupted or lost in transit

logger = get_logger("agent.weights")


class WeightsTask(Task, StreamOwner):
    """Makes the engine serve the version that the catalogue specifies."""

    def __init__(
        self,
        context: StreamContext,
        mesh: MeshTask,
        engine: ModelEngine,
        store: WeightStore,
        settings: AgentSettings,
        rng: Random,
    ) -> None:
        super().__init__(context.reactor)
        own_id = InstanceId(settings.instance)
        location = Location(settings.region, settings.failure_domain)
        self._context = context
        self._mesh = mesh
        self._engine = engine
        self._store = store
        self._service = settings.endpoint.service
        self._own = own_id
        self._region = settings.region
        self._staging = Staging(engine)
        lock = PortLock(context.reactor, settings.peers.host, settings.endpoint.lock_port)
        self._loader = EngineLoader(
            own_id,
            context.reactor,
            context.metrics,
            engine,
            lock,
            self._recover_staged,
            lambda: mesh.is_ready,
        )
        self._loader.on_changed = lambda: context.reactor.callLater(
            ANNOUNCE_DELAY_SECONDS, self._announce_states
        )
        self._controller = WeightsController(own_id, rng, location, settings.weight_store_region)
        self._manifests = ManifestReader(
            own_id, context.reactor, context.metrics, store, self._send, self._receive_manifest
        )
        self._dialer = Dialer(context, Purpose.WEIGHTS, self, rng)
        self._streams: dict[InstanceId, PeerStream] = {}
        self._manifest: Manifest | None = None
        self._other_versions_staged = False
        self._recovering = Digest("")
        self._wanted = Digest("")
        self._loop = LoopingCall(self._tick)
        self._loop.clock = context.reactor
        mesh.subscribe(self)

    def start(self) -> None:
        """Start the periodic ticks."""
        self._loop.start(TICK_INTERVAL_SECONDS, now=False)

    def describe(self) -> dict[str, Any]:
        """Return the state of the weights for the status page."""
        return {
            "phase": self._loader.controller.phase.value,
            "wanted": self._wanted,
            "serving": self._loader.controller.serving,
            "share": round(self._controller.share, 4),
            "neighbours": sorted(self._streams),
        }

    def handle(self, message: Any) -> None:
        """Handle changes of the mesh and status reports of the engine."""
        if isinstance(message, CatalogueChanged):
            self._apply_catalogue()
        elif isinstance(message, InstancesChanged):
            self._choose_neighbours()
        elif isinstance(message, EndpointStatus):
            self._loader.handle_event(EngineReported(message))
            self._drop_other_versions()

    def stream_opened(self, stream: PeerStream) -> None:
        """Add a neighbour; a new stream replaces an older one of the same peer."""
        previous = self._streams.get(stream.peer_id)
        if previous is not None:
            previous.abort("replaced by a newer stream")
            self._handle_event(NeighbourClosed(stream.peer_id))
        self._streams[stream.peer_id] = stream
        hello = stream.peer
        assert hello is not None
        location = Location(hello.region, hello.failure_domain)
        self._handle_event(NeighbourOpened(stream.peer_id, location))
        self._send_states(stream.peer_id, self._loader.controller.waves.states)

    def stream_closed(self, stream: PeerStream, reason: str) -> None:
        """Remove a neighbour, unless a newer stream has replaced this one."""
        if self._streams.get(stream.peer_id) is not stream:
            return
        del self._streams[stream.peer_id]
        self._manifests.remove_peer(stream.peer_id)
        self._handle_event(NeighbourClosed(stream.peer_id))

    def stream_received(self, stream: PeerStream, message: Message) -> None:
        """Dispatch a message of a neighbour to the controller responsible for it."""
        peer = stream.peer_id
        if isinstance(message, Bitfield):
            self._handle_bitfield(peer, message)
        elif isinstance(message, Have):
            digest = Digest(message.digest)
            exists = tuple(message.exists)
            self._handle_event(NeighbourHasChunks(peer, digest, tuple(message.indexes), exists))
        elif isinstance(message, ChunkRequest):
            self._handle_event(ChunkRequested(peer, Digest(message.digest), message.index))
        elif isinstance(message, ChunkRefused):
            self._handle_event(ChunkFailed(Digest(message.digest), message.index, peer))
        elif isinstance(message, ChunkData):
            self._receive_chunk(Digest(message.digest), message.index, message.data, peer)
        elif isinstance(message, ManifestRequest):
            self._send_manifest(stream, message)
        elif isinstance(message, ManifestData):
            self._manifests.receive_data(message, peer)
        elif isinstance(message, ServingNotice):
            self._handle_serving_notice(message)
        elif not isinstance(message, Leaving):
            stream.abort(f"sent {type(message).__name__} on a weights stream")

    def _tick(self) -> None:
        self._loader.tick()
        self._manifests.tick()
        self._handle_event(WeightsTick())
        if self._loader.controller.phase is ActivationPhase.LOADING:
            self._poll_load()

    def _poll_load(self) -> None:
        """Poll the engine's status often during a load, since other replicas wait for its end."""
        deferred = self._engine.read_status()
        deferred.addCallbacks(self.post, lambda failure: None)

    def _announce_states(self) -> None:
        changed = self._loader.take_changed_states()
        for peer in self._streams if changed else ():
            self._send_states(peer, changed)

    def _apply_catalogue(self) -> None:
        service = self._mesh.view.find_service(self._service)
        model = self._mesh.view.find_model(service.model or "") if service else None
        revision = self._mesh.view.revision
        self._update_replicas()
        if model is None:
            self._loader.handle_event(VersionWithdrawn(revision))
            self._set_wanted(Digest(""))
            return
        self._handle_event(_read_limits(model))
        digest = Digest(model.digest)
        self._loader.handle_event(VersionWanted(digest, revision))
        self._set_wanted(digest)

    def _set_wanted(self, digest: Digest) -> None:
        if digest == self._wanted:
            return
        self._wanted = digest
        if not digest:
            logger.info("version withdrawn")
            self._handle_event(WeightsWithdrawn())
        else:
            self._context.metrics.count("versions_wanted")
            logger.info("version wanted", extra={"digest": digest})
        if self._manifest is not None and self._manifest.digest == digest:
            self._recover(self._manifest)
            return
        instances = tuple(row.instance for row in self._mesh.membership.list_agents(self._service))
        self._manifests.fetch(digest, instances)

    def _receive_manifest(self, manifest: Manifest) -> None:
        if manifest.digest != self._wanted or self._recovering == manifest.digest:
            return
        if self._manifest is not None and self._manifest.digest == manifest.digest:
            return
        self._manifests.mark_received()
        self._recover(manifest)

    def _recover(self, manifest: Manifest) -> None:
        """Determine which chunks of a version the engine already has, then fetch the rest."""
        self._recovering = manifest.digest
        deferred = self._staging.recover(manifest, self._manifest)
        deferred.addCallback(self._start_fetch, manifest)
        deferred.addErrback(self._handle_recovery_failure, manifest)

    def _start_fetch(self, staged: frozenset[int], manifest: Manifest) -> None:
        self._recovering = Digest("")
        if manifest.digest != self._wanted:
            return
        self._manifest = manifest
        self._context.metrics.count("chunks_recovered", len(staged))
        self._other_versions_staged = True
        self._drop_other_versions()
        wanted = WeightsWanted(manifest.digest, len(manifest.chunks), manifest.chunk_bytes, staged)
        self._handle_event(wanted)

    def _recover_staged(self, digest: Digest) -> None:
        """Fetch again the chunks of a version that the engine has lost."""
        self._handle_event(WeightsWithdrawn())
        if self._manifest is not None and self._manifest.digest == digest:
            self._recover(self._manifest)

    def _drop_other_versions(self) -> None:
        """Free the staging memory of other versions unless the engine may be loading one."""
        if (
            self._manifest is None
            or not self._other_versions_staged
            or not self._loader.controller.engine_idle
        ):
            return
        self._other_versions_staged = False
        self._staging.drop_other_versions(self._manifest.digest)

    def _handle_recovery_failure(self, failure: Failure, manifest: Manifest) -> None:
        self._context.metrics.count("recovery_failures")
        logger.warning(
            "staged chunks could not be recovered; fetching all chunks",
            extra={"problem": failure.getErrorMessage()},
        )
        self._start_fetch(frozenset(), manifest)

    def _send_manifest(self, stream: PeerStream, message: ManifestRequest) -> None:
        if self._manifest is not None and self._manifest.digest == message.digest:
            stream.send(ManifestData(message.digest, self._manifest.to_json()))

    def _handle_bitfield(self, peer: InstanceId, message: Bitfield) -> None:
        digest = Digest(message.digest)
        held = unpack_bitfield(message.bits)
        self._handle_event(
            NeighbourHasChunks(peer, digest, held, unpack_bitfield(message.exists), replaces=True)
        )
        self._manifests.record_peer(peer, digest)

    def _choose_neighbours(self) -> None:
        records = {row.instance: row for row in self._mesh.membership.list_agents(self._service)}
        locations = {}
        for name, row in records.items():
            locations[InstanceId(name)] = Location(row.region, row.failure_domain)
        peers = choose_neighbours(self._own, locations, self._service)
        self._dialer.set_targets({InstanceId(name): records[name].peers for name in peers})
        self._handle_event(PullersChanged(locations, self._service))
        self._update_replicas()

    def _update_replicas(self) -> None:
        service = self._mesh.view.find_service(self._service)
        rows = self._mesh.membership.list_agents(self._service)
        live = [row.instance for row in rows if row.state == "live"]
        names = tuple(InstanceId(name) for name in rank_by_hash(self._service, live))
        self._loader.handle_event(ReplicasChanged(names, service.min_live if service else 0))

    def _handle_serving_notice(self, message: ServingNotice) -> None:
        for row in message.rows:
            state = ServingState(InstanceId(row.instance), row.sequence, row.digest)
            self._loader.handle_event(PeerServingChanged(state))

    def _send_states(self, peer: InstanceId, states: list[ServingState]) -> None:
        rows = [ServingRow(state.instance, state.sequence, state.digest) for state in states]
        if rows:
            self._send(peer, ServingNotice(rows))

    def _handle_event(self, event: Event) -> None:
        for action in self._controller.handle(event, self.reactor.seconds()):
            self._perform(action)

    def _perform(self, action: Any) -> None:
        if isinstance(action, PullChunk):
            self._pull_chunk(action.digest, action.index)
        elif isinstance(action, RequestChunk):
            self._send(action.peer, ChunkRequest(action.digest, action.index))
        elif isinstance(action, SendChunk):
            self.reactor.callLater(max(0.0, action.delay), self._send_chunk, action)
        elif isinstance(action, RefuseChunk):
            self._context.metrics.count("chunks_refused")
            self._send(action.peer, ChunkRefused(action.digest, action.index))
        elif isinstance(action, SendBitfield):
            self._send(
                action.peer, Bitfield(action.digest, action.bitfield, action.known_in_region)
            )
        elif isinstance(action, SendHave):
            indexes, exists = list(action.indexes), list(action.known_in_region)
            self._send(action.peer, Have(action.digest, indexes, exists))
        elif isinstance(action, FinishWeights):
            self._finish_staging(action.digest)

    def _send(self, peer: InstanceId, message: Message) -> None:
        stream = self._streams.get(peer)
        if stream is not None:
            stream.send(message)

    def _pull_chunk(self, digest: Digest, index: int) -> None:
        self._context.metrics.count("origin_pulls")
        deferred = self._store.read_chunk(digest, index)
        deferred.addCallbacks(
            lambda data: self._receive_chunk(digest, index, data, ORIGIN),
            lambda failure: self._handle_event(ChunkFailed(digest, index, ORIGIN)),
        )

    def _receive_chunk(self, digest: Digest, index: int, data: bytes, source: InstanceId) -> None:
        """Verify and stage a chunk; it counts as held only once the engine has stored it."""
        manifest = self._manifest
        if manifest is None or manifest.digest != digest:
            return
        if not manifest.accepts(index, data):
            self._context.metrics.count("chunks_corrupted")
            self._handle_event(ChunkFailed(digest, index, source))
            return
        self._context.metrics.count("chunks_from_peers" if source else "chunks_from_origin")
        self._context.metrics.count("weight_bytes", len(data))
        self._count_cross_region_bytes(source, len(data))
        deferred = self._staging.put(digest, index, data)
        deferred.addCallbacks(
            lambda _: self._handle_event(ChunkStored(digest, index, source)),
            lambda failure: self._handle_event(ChunkFailed(digest, index, source)),
        )

    def _count_cross_region_bytes(self, source: InstanceId, amount: int) -> None:
        """Count bytes received from a peer in another region."""
        stream = self._streams.get(source)
        if stream is None or stream.peer is None or stream.peer.region == self._region:
            return
        self._context.metrics.count(f"weight_bytes_from_region_{stream.peer.region}", amount)

    def _send_chunk(self, action: SendChunk) -> None:
        deferred = self._staging.read_chunk(action.digest, action.index)
        deferred.addCallbacks(
            self._upload_chunk, self._refuse_chunk, callbackArgs=(action,), errbackArgs=(action,)
        )

    def _upload_chunk(self, data: bytes, action: SendChunk) -> None:
        self._context.metrics.count("chunks_sent")
        self._send(action.peer, ChunkData(action.digest, action.index, data))
        self._handle_event(ChunkSent(action.peer))

    def _refuse_chunk(self, failure: Failure, action: SendChunk) -> None:
        self._send(action.peer, ChunkRefused(action.digest, action.index))
        self._handle_event(ChunkSent(action.peer))

    def _finish_staging(self, digest: Digest) -> None:
        assert self._manifest is not None
        logger.info("version staged", extra={"digest": digest})
        self._loader.handle_event(VersionStaged(digest, len(self._manifest.chunks)))


def _read_limits(model: ModelEntry) -> LimitsChanged:
    """Return the transfer limits of a model.

    Class `origin` reads one copy from the origin regardless of the budget. Class `time` reads
    `origin_copies` less one copy, which is reserved for chunks corrupted or lost in transit.
    """
    limits = model.limits
    copies = 1
    if model.class_ == "time":
        copies = max(1, int(limits.origin_copies) - RESERVED_ORIGIN_COPIES)
    rate = limits.link_bytes_per_second
    return LimitsChanged(copies, rate * limits.link_share if rate else None)
