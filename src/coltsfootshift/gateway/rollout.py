"""Rollout of weights on an agent: fetches, stages and loads versions, and serves chunks."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from math import inf
from random import Random
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from coltsfootshift.controllers.base import Event
from coltsfootshift.controllers.chunk_ranks import split_neighbours
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
    NeighboursTrusted,
    PullChunk,
    PullersChanged,
    RefuseChunk,
    RequestChunk,
    SendBitfield,
    SendChunk,
    SendHave,
    WeightsTick,
    WeightsWanted,
    unpack_bitfield,
)
from coltsfootshift.controllers.neighbour_dials import NeighbourDials
from coltsfootshift.controllers.verification import MAX_ENGINE_SILENCE_SECONDS, VerifiedChunks
from coltsfootshift.controllers.waves import LoadWaves, ServingState, order_loads
from coltsfootshift.controllers.weights import WeightsController
from coltsfootshift.gateway.digests import DigestCache
from coltsfootshift.gateway.engines import EngineReport, LocalEngine, PortError, VersionOrigin
from coltsfootshift.gateway.model import EngineSpec
from coltsfootshift.gateway.table_cache import TableCache
from coltsfootshift.gateway.transfers import ChunkTransfers
from coltsfootshift.gateway.versions import (
    LOAD_MARGIN_SECONDS,
    VersionSelector,
    find_first_limit,
)
from coltsfootshift.ids import Digest, InstanceId, Purpose, ServiceName
from coltsfootshift.logs import get_logger
from coltsfootshift.messages import (
    Bitfield,
    ChunkDigests,
    ChunkPart,
    ChunkRefused,
    ChunkRequest,
    EntryList,
    Have,
    Leaving,
    Message,
    PartReceived,
    ServingNotice,
    ServingRow,
)
from coltsfootshift.metrics import Metrics
from coltsfootshift.settings import Address
from coltsfootshift.streams import Dialer, PeerStream, StreamContext, StreamOwner

__all__ = ["EngineStateCallback", "RolloutTask"]

TICK_SECONDS = 0.1
REPORT_INTERVAL_SECONDS = 0.25  # short, as the request does not leave the instance
# An order without a response may have been accepted; the next reports show whether it was.
ORDER_RETRY_SECONDS = 1.0
LINK_SHARE = 0.92  # share for chunks; the rest is left to responses on the same link
MAX_REQUESTS_IN_FLIGHT = 4  # chunks in flight delay callers' requests on the same link
# The origin's link carries about three copies in the time that an agent's link carries one.
ORIGIN_COPIES = 2
MAX_DOUBTFUL_CHUNKS = 4  # kept in memory until the digests have been read again
MAX_VERIFICATIONS = 4  # passes over the staged chunks before a load is put off
MIN_SERVING_SHARE = 0.5  # share of the replicas that keep serving while the others load
# Agents that learn of a publication within this time share one schedule of the pulls from the
# origin. One that starts later follows a schedule of its own.
MAX_NEWS_AGE_SECONDS = 1.0
INITIAL_VERSION = 1  # wanted until an operator publishes another version
BITS_PER_MEGABIT = 1_000_000
BITS_PER_BYTE = 8

# Called with the model, its loaded version (0 for none), whether the engine is loading, and the
# engine's start time in Unix milliseconds.
EngineStateCallback = Callable[[str, int, bool, int], None]

logger = get_logger("gateway.rollout")


@dataclass(frozen=True, slots=True)
class _LoadOrder:
    """An order to load a version, which the engine accepts only after `accepted_orders` others.

    It was sent at `sent_at`, in seconds of the reactor's clock.
    """

    model: str
    version: int
    accepted_orders: int
    sent_at: float

    def may_be_accepted(self, report: EngineReport, now: float) -> bool:
        """Return whether an engine with this report may still accept the order."""
        waits = report.accepted_orders == self.accepted_orders
        return waits and now < self.sent_at + MAX_ENGINE_SILENCE_SECONDS


class RolloutTask(StreamOwner):
    """Stages the chunks of the wanted version, orders the load, and serves chunks to neighbours.

    A chunk is advertised to neighbours only once it matches its digest and the engine has staged
    it. Staged data may become corrupted, so all chunks are read back and verified right before
    the load is ordered. Engines load in waves, so that enough replicas keep serving. What an
    engine serves is taken from its reports, not from accepted orders; an engine that restarted
    without weights is loaded again.
    """

    def __init__(
        self,
        context: StreamContext,
        tables: TableCache,
        engine: LocalEngine,
        make_origin: Callable[[Address], VersionOrigin],
        own: Address,
        service: ServiceName,
        location: Location,
        regions: dict[str, str],
        link_mbps: float,
        version_within: float,
        contact_within: float,
        metrics: Metrics,
        rng: Random,
        notify_entries: EngineStateCallback,
    ) -> None:
        self.reactor = context.reactor
        self._context = context
        self._tables = tables
        self._engine = engine
        self._make_origin = make_origin
        self._own = name_agent(own.host, own.port)
        self._port = own.port
        self._service = service
        self._location = location
        self._regions = regions
        rate = LINK_SHARE * link_mbps * BITS_PER_MEGABIT / BITS_PER_BYTE
        self._transfers = ChunkTransfers(self.reactor, rate, self._send, self._record_sent)
        self._version_within = version_within
        self._contact_within = contact_within
        self._metrics = metrics
        self._notify_entries = notify_entries
        self._controller = WeightsController(
            self._own, rng, location, max_requests_in_flight=MAX_REQUESTS_IN_FLIGHT
        )
        self._waves = LoadWaves(self._own)
        self._digest_cache = DigestCache(self._own)
        self._dialer = Dialer(context, Purpose.WEIGHTS, self, rng)
        self._streams: dict[InstanceId, PeerStream] = {}
        self._addresses: dict[InstanceId, Address] = {}
        self._neighbour_dials = NeighbourDials()
        self._locations: dict[InstanceId, Location] = {}
        self._version_selector = VersionSelector()
        self._origin: tuple[Address, VersionOrigin] | None = None
        self._wanted: tuple[str, int] = ("", 0)
        self._wanted_at = 0.0
        self._published_at = 0.0
        self._digests: list[bytes] = []
        self._report: EngineReport | None = None
        self._reported_at = float("-inf")
        self._all_staged = False
        self._check_engine_staging = True
        self._step_running = False
        self._digests_requested = False
        self._doubtful_chunks: dict[int, bytes] = {}
        self._ordered_at = float("-inf")
        self._unanswered_order: _LoadOrder | None = None
        self._started_ms = 0
        self._announced: tuple[int, bool, int] | None = None
        self._announcements = 0
        self._list_entries: Callable[[], EntryList] = lambda: EntryList([])
        self._learn_entries: Callable[[EntryList], None] = lambda message: None
        self._loop = LoopingCall(self._tick)
        self._loop.clock = context.reactor

    def share_entries(
        self, list_entries: Callable[[], EntryList], learn_entries: Callable[[EntryList], None]
    ) -> None:
        """Tell neighbours which entries are known; one that has restarted may know stale seeds."""
        self._list_entries = list_entries
        self._learn_entries = learn_entries

    def start(self, started_ms: int) -> None:
        """Start the periodic work; `started_ms` is the process's start in Unix milliseconds."""
        self._started_ms = started_ms
        self._loop.start(TICK_SECONDS, now=True)

    def refresh(self) -> None:
        """Apply the current tables: choose neighbours and the wanted version."""
        self._choose_neighbours()
        self._choose_version()

    def stream_opened(self, stream: PeerStream) -> None:
        """Add a neighbour; a newer stream replaces the previous one of the same peer."""
        existing = self._streams.get(stream.peer_id)
        if existing is not None:
            existing.abort("replaced by a newer stream")
            self._dispatch(NeighbourClosed(stream.peer_id))
        self._streams[stream.peer_id] = stream
        assert stream.peer is not None
        location = Location(stream.peer.region, stream.peer.failure_domain)
        self._dispatch(NeighbourOpened(stream.peer_id, location))
        self._send_states([stream.peer_id], self._waves.states)
        self._send_digests(stream.peer_id)
        entries = self._list_entries()
        if entries.rows:
            stream.send(entries)

    def stream_closed(self, stream: PeerStream, reason: str) -> None:
        """Remove a neighbour, unless a newer stream has replaced this one."""
        if self._streams.get(stream.peer_id) is stream:
            del self._streams[stream.peer_id]
            self._transfers.remove_peer(stream.peer_id)
            self._dispatch(NeighbourClosed(stream.peer_id))

    def stream_received(self, stream: PeerStream, message: Message) -> None:
        """Handle a message from a neighbour."""
        peer = stream.peer_id
        if isinstance(message, Bitfield):
            held, exists = unpack_bitfield(message.bits), unpack_bitfield(message.exists)
            self._dispatch(
                NeighbourHasChunks(peer, Digest(message.digest), held, exists, replaces=True)
            )
        elif isinstance(message, Have):
            digest = Digest(message.digest)
            self._dispatch(
                NeighbourHasChunks(peer, digest, tuple(message.indexes), tuple(message.exists))
            )
        elif isinstance(message, ChunkRequest):
            self._dispatch(ChunkRequested(peer, Digest(message.digest), message.index))
        elif isinstance(message, ChunkRefused):
            self._dispatch(ChunkFailed(Digest(message.digest), message.index, peer))
        elif isinstance(message, ChunkPart):
            if message.sent_at:
                delay = stream.measure_transit_delay(message.sent_at)
                stream.send(PartReceived(len(message.data), delay))
            data = self._transfers.receive_part(peer, message)
            if data is not None:
                self._handle_chunk(message.digest, message.index, data, peer)
        elif isinstance(message, PartReceived):
            self._transfers.record_received(peer, message.size, message.delay)
        elif isinstance(message, ServingNotice):
            self._handle_states(message)
        elif isinstance(message, ChunkDigests):
            self._handle_digests(message, peer)
        elif isinstance(message, EntryList):
            self._learn_entries(message)
        elif not isinstance(message, Leaving):
            stream.abort(f"sent {type(message).__name__} on a weights stream")

    def message_invalid(self, stream: PeerStream, text: str) -> None:
        """Go on without an invalid message: a chunk that it belongs to is requested again."""
        logger.warning("invalid message ignored", extra={"peer": stream.peer_id, "cause": text})

    def _find_spec(self) -> EngineSpec | None:
        catalogue = self._tables.catalogue
        service = catalogue.services.get(self._service) if catalogue else None
        return service.engine if service else None

    def _find_origin(self) -> VersionOrigin | None:
        catalogue = self._tables.catalogue
        for service in catalogue.services.values() if catalogue else ():
            if service.origin is None:
                continue
            if self._origin is None or self._origin[0] != service.origin:
                self._origin = (service.origin, self._make_origin(service.origin))
            return self._origin[1]
        return None

    def _find_origin_mbps(self) -> float:
        catalogue = self._tables.catalogue
        for service in catalogue.services.values() if catalogue else ():
            if service.origin is not None:
                return service.origin_mbps
        return 0.0

    def _choose_neighbours(self) -> None:
        locations = {self._own: self._location}
        addresses: dict[InstanceId, Address] = {}
        for record in self._tables.endpoints.values():
            if record.service != self._service:
                continue
            name = name_agent(record.address.host, self._port)
            domain = record.failure_domain
            locations[name] = Location(self._regions.get(domain, ""), domain)
            addresses[name] = Address(record.address.host, self._port)
        # Most changes of the endpoints' table are of others, or of what an engine serves.
        if addresses == self._addresses and locations == self._locations:
            return
        self._addresses, self._locations = addresses, locations
        self._neighbour_dials.update(*split_neighbours(self._own, locations, self._service))
        self._dial_neighbours()
        order = order_loads(locations, self._service)
        min_serving = int(MIN_SERVING_SHARE * len(order))
        first = frozenset(order[: len(order) - min_serving])
        self._dispatch(PullersChanged(locations, self._service, first))
        self._digest_cache.set_instances(locations)
        self._waves.set_instances(tuple(order), min_serving, self.reactor.seconds())

    def _dial_neighbours(self) -> None:
        streams: dict[str, bool] = {name: stream.dialled for name, stream in self._streams.items()}
        names = self._neighbour_dials.choose(streams, self.reactor.seconds())
        targets = {InstanceId(name): self._addresses[InstanceId(name)] for name in names}
        self._dialer.set_targets(targets)

    def _choose_version(self) -> None:
        spec = self._find_spec()
        if spec is None or not spec.models:
            return
        model = spec.models[0]
        chosen = self._version_selector.choose(
            self._tables.wanted_versions.get(model, []), self.reactor.seconds()
        )
        wanted = (model, chosen.version if chosen else INITIAL_VERSION)
        if wanted == self._wanted:
            return
        self._wanted = wanted
        self._wanted_at = self.reactor.seconds()
        known_by = chosen.known_by if chosen else inf
        is_news = 0.0 <= self._wanted_at - known_by <= MAX_NEWS_AGE_SECONDS
        self._published_at = known_by if is_news else inf
        self._digest_cache.forget_others(label_version(*wanted))
        self._digests = []
        self._doubtful_chunks = {}
        self._transfers.start_version(label_version(*wanted))
        self._all_staged = False
        self._ordered_at = float("-inf")
        self._reported_at = float("-inf")
        self._waves.set_wanted(Digest(str(wanted[1])), self.reactor.seconds())
        logger.info("version wanted", extra={"model": model, "version": wanted[1]})

    def _tick(self) -> None:
        now = self.reactor.seconds()
        self._tables.record_running(now)
        self._dispatch(WeightsTick())
        self._dial_neighbours()
        self._choose_version()
        self._start_step()

    def _start_step(self) -> None:
        now = self.reactor.seconds()
        if now - self._reported_at < REPORT_INTERVAL_SECONDS or self._step_running:
            return
        self._reported_at = now
        self._step_running = True
        deferred = Deferred.fromCoroutine(self._advance())
        deferred.addErrback(self._log_failure)
        deferred.addBoth(self._finish_step)

    def _finish_step(self, _: Any) -> None:
        self._step_running = False

    def _log_failure(self, failure: Any) -> None:
        self._metrics.count("port_failures")
        logger.info("rollout step failed", extra={"cause": failure.getErrorMessage()})
        if not failure.check(PortError):
            logger.error("unexpected failure", extra={"trace": failure.getTraceback()})

    async def _advance(self) -> None:
        """Read the engine's report and take the next step towards serving the wanted version."""
        report = await self._engine.read_report()
        self._handle_report(report)
        model, version = self._wanted
        if not version or self._has_order_of_another_version(report):
            return
        if not self._digests:
            await self._start_version(model, version)
        elif not self._all_staged:
            self._check_digests(model, version)
        serving = report.versions.get(model)
        if serving == version or report.busy or not self._all_staged:
            return
        now = self.reactor.seconds()
        if now - self._ordered_at < ORDER_RETRY_SECONDS or not self._may_load(serving or 0, now):
            return
        verified = await self._verify_staged(model, version)
        # The process may have been suspended since the time was read, and its wave may be over.
        now = self.reactor.seconds()
        if verified is None or not self._may_load(serving or 0, now):
            return
        self._ordered_at = now
        self._unanswered_order = _LoadOrder(model, version, report.accepted_orders, now)
        result = await self._engine.load(
            model, version, version, report.accepted_orders, False, verified.valid_until
        )
        self._unanswered_order = None
        self._metrics.count("load_orders")
        logger.info(
            "load ordered",
            extra={
                "model": model,
                "version": version,
                "accepted": result.accepted,
                "status": result.status,
            },
        )
        if result.accepted:
            self._version_selector.record_order(version)
            self._announce(serving or 0, True, report.born)

    def _has_order_of_another_version(self, report: EngineReport) -> bool:
        """Return whether the engine may still load another version than the wanted one.

        It loads what is staged when it accepts the order, so that no chunk of the wanted version
        may be staged before.
        """
        order = self._unanswered_order
        if order is None or (order.model, order.version) == self._wanted:
            return False
        if order.may_be_accepted(report, self.reactor.seconds()):
            row = {"ordered": order.version, "wanted": self._wanted[1]}
            logger.info("next version waits for an order without an answer", extra=row)
            return True
        self._unanswered_order = None
        return False

    def _may_load(self, serving: int, now: float) -> bool:
        """Return whether this engine, which serves the version `serving`, may load now.

        It loads in its wave, or shortly before entries no longer send requests to it, so that
        waiting has no benefit. They stop at the earliest limit of all versions that are newer than
        the one served, not only of the one that it loads.
        """
        if self._waves.may_load(now):
            return True
        published = self._tables.wanted_versions.get(self._wanted[0], [])
        limit = find_first_limit(published, serving, self._version_within, self._contact_within)
        return now >= limit - LOAD_MARGIN_SECONDS

    def _handle_report(self, report: EngineReport) -> None:
        if self._report is not None and report.born != self._report.born:
            logger.info("engine restarted", extra={"born": report.born})
            self._version_selector.clear_orders()
            self._unanswered_order = None
            self._check_engine_staging = True
            self._all_staged = False
            self._digests = []
        self._report = report
        serving = report.versions.get(self._wanted[0], 0)
        # The order may have come from an earlier process, or its answer may have been lost.
        self._version_selector.record_order(serving)
        self._announce(serving, report.busy, report.born)

    def _announce(self, version: int, loading: bool, born: int) -> None:
        if self._announced == (version, loading, born):
            return
        self._announced = (version, loading, born)
        self._announcements += 1
        sequence = (self._started_ms << 20) + self._announcements
        digest = "" if loading else str(version or "")
        state = ServingState(self._own, sequence, digest)
        if self._waves.record(state, self.reactor.seconds()):
            self._send_states(list(self._streams), [state])
        self._notify_entries(self._wanted[0], version, loading, born)

    async def _start_version(self, model: str, version: int) -> None:
        """Obtain the digests, find the chunks already staged, and start to fetch the others."""
        label = label_version(model, version)
        if self._digest_cache.find(label) is None:
            await self._read_digests(model, version)
        digests = self._digest_cache.find(label)
        if not digests or self._wanted != (model, version):
            return
        held = await self._find_staged(model, digests)
        if self._wanted != (model, version):
            return
        spec = self._find_spec()
        assert spec is not None
        self._digests = digests
        origin_rate = self._find_origin_mbps() * BITS_PER_MEGABIT / BITS_PER_BYTE
        limits = LimitsChanged(ORIGIN_COPIES, self._transfers.rate, origin_rate or None)
        self._dispatch(limits)
        self._dispatch(WeightsWanted(Digest(""), 0))
        age = max(0.0, self.reactor.seconds() - self._published_at)
        self._dispatch(WeightsWanted(label, len(digests), spec.chunk_bytes, frozenset(held), age))
        logger.info(
            "version transfer started",
            extra={"model": model, "version": version, "held": len(held)},
        )

    async def _read_digests(self, model: str, version: int) -> None:
        """Read the digests from the origin if they are missing or in doubt, and it is the turn.

        Otherwise another agent reads them, and neighbours forward them.
        """
        label = label_version(model, version)
        origin = self._find_origin()
        now = self.reactor.seconds()
        waited = now - self._wanted_at
        if origin is None or not self._digest_cache.should_read(label, waited, now):
            return
        if self._digest_cache.find(label) is not None:
            logger.info("digests in doubt are read again", extra={"version": version})
            self._digest_cache.record_read(now)
        self._add_digests(label, await origin.read_digests(model, version), ORIGIN)

    def _check_digests(self, model: str, version: int) -> None:
        """Read the digests again if they are in doubt; the transfer goes on meanwhile."""
        if self._digests_requested:
            return
        self._digests_requested = True
        deferred = Deferred.fromCoroutine(self._read_digests(model, version))
        deferred.addErrback(self._log_failure)
        deferred.addBoth(self._finish_check)

    def _finish_check(self, _: Any) -> None:
        self._digests_requested = False

    def _handle_digests(self, message: ChunkDigests, peer: InstanceId) -> None:
        self._add_digests(Digest(message.label), message.digests, peer)

    def _add_digests(self, label: Digest, digests: list[bytes], source: InstanceId) -> None:
        """Add a list of digests and forward it if it is new."""
        spec = self._find_spec()
        if label != label_version(*self._wanted):
            return
        if not digests or (spec is not None and spec.chunks and len(digests) != spec.chunks):
            self._metrics.count("digest_lists_refused")
            logger.warning(
                "digests refused", extra={"source": source, "chunks": len(digests), "label": label}
            )
            return
        if not self._digest_cache.add(label, digests, source):
            return
        logger.info("digests received", extra={"version": self._wanted[1], "source": source})
        for peer in list(self._streams):
            if peer != source:
                self._send(peer, ChunkDigests(label, digests))
        doubtful, self._doubtful_chunks = self._doubtful_chunks, {}
        for index, data in doubtful.items():
            self._handle_chunk(label, index, data, ORIGIN)
        self._dispatch(NeighboursTrusted())
        self._reported_at = float("-inf")

    def _send_digests(self, peer: InstanceId) -> None:
        label = label_version(*self._wanted)
        for digests in self._digest_cache.list_all(label):
            self._send(peer, ChunkDigests(label, digests))

    async def _find_staged(self, model: str, digests: list[bytes]) -> set[int]:
        """Return the indexes of the chunks that are already staged.

        Reads the engine's staging memory only once for each start of the engine.
        """
        label = label_version(*self._wanted)
        held = self._transfers.list_matching(partial(self._digest_cache.matches, label))
        if not self._check_engine_staging:
            return held
        for index in sorted(await self._engine.list_staged(model)):
            if index >= len(digests):
                continue
            data = await self._engine.read_staged(model, index)
            if self._digest_cache.matches(label, index, hashlib.sha256(data).digest()):
                self._transfers.store(index, data)
                held.add(index)
        self._check_engine_staging = False
        return held

    async def _verify_staged(self, model: str, version: int) -> VerifiedChunks | None:
        """Read back the staged chunks until all have been found correct recently.

        Chunks may become corrupted after they have been read, while others are staged again or
        while the process is suspended. Returns None if that does not end soon, or if another
        version has become the wanted one meanwhile.
        """
        verified = VerifiedChunks(len(self._digests))
        for _ in range(MAX_VERIFICATIONS):
            due = verified.list_due(self.reactor.seconds())
            if not due:
                return verified
            for index in due:
                requested_at = self.reactor.seconds()
                is_correct = await self._repair_staged(model, index)
                if self._wanted != (model, version) or index >= len(self._digests):
                    return None
                if is_correct:
                    verified.record(index, requested_at)
        if not verified.list_due(self.reactor.seconds()):
            return verified
        logger.warning("staged chunks not verified in time", extra={"version": version})
        return None

    async def _repair_staged(self, model: str, index: int) -> bool:
        """Return whether a staged chunk is correct; if it is not, stage it again."""
        wanted = self._wanted
        data = b""
        try:
            data = await self._engine.read_staged(model, index)
        except PortError as error:
            logger.info("cannot read staged chunk", extra={"index": index, "cause": str(error)})
        label = label_version(*wanted)
        if self._digest_cache.matches(label, index, hashlib.sha256(data).digest()):
            return True
        if self._wanted != wanted:
            return False
        self._engine.reset_connections()
        self._metrics.count("chunks_staged_again")
        logger.warning(
            "staged chunk missing or corrupted; staging it again", extra={"index": index}
        )
        await self._engine.stage(model, index, self._transfers.get_chunk(index))
        return False

    def _dispatch(self, event: Event) -> None:
        for action in self._controller.handle(event, self.reactor.seconds()):
            self._perform(action)

    def _perform(self, action: Any) -> None:
        if isinstance(action, PullChunk):
            self._pull_from_origin(action)
        elif isinstance(action, RequestChunk):
            self._send(action.peer, ChunkRequest(action.digest, action.index))
        elif isinstance(action, SendChunk):
            spec = self._find_spec()
            self._transfers.schedule_send(action, spec.chunk_bytes if spec else 0)
        elif isinstance(action, RefuseChunk):
            self._send(action.peer, ChunkRefused(action.digest, action.index))
        elif isinstance(action, SendBitfield):
            self._send(
                action.peer, Bitfield(action.digest, action.bitfield, action.known_in_region)
            )
        elif isinstance(action, SendHave):
            indexes, exists = list(action.indexes), list(action.known_in_region)
            self._send(action.peer, Have(action.digest, indexes, exists))
        elif isinstance(action, FinishWeights):
            self._all_staged = True
            self._reported_at = float("-inf")
            self.reactor.callLater(0, self._start_step)
            logger.info("version staged", extra={"version": self._wanted[1]})

    def _pull_from_origin(self, action: PullChunk) -> None:
        origin = self._find_origin()
        if origin is None:
            self._dispatch(ChunkFailed(action.digest, action.index, ORIGIN))
            return
        self._metrics.count("origin_pulls")
        model, version = self._wanted
        deferred = origin.read_chunk(model, version, action.index)
        deferred.addCallbacks(
            lambda data: self._handle_chunk(action.digest, action.index, data, ORIGIN),
            lambda failure: self._record_failure(action.digest, action.index, ORIGIN, failure),
        )

    def _record_failure(self, digest: str, index: int, source: InstanceId, failure: Any) -> None:
        self._metrics.count("chunks_failed")
        logger.info(
            "chunk transfer or staging failed",
            extra={"index": index, "cause": failure.getErrorMessage()},
        )
        self._dispatch(ChunkFailed(Digest(digest), index, source))

    def _handle_chunk(self, digest: str, index: int, data: bytes, source: InstanceId) -> None:
        """Verify the digest of a chunk, stage it, and only then record it as stored."""
        model, version = self._wanted
        if digest != label_version(model, version) or index >= len(self._digests):
            return
        if not self._digest_cache.matches(Digest(digest), index, hashlib.sha256(data).digest()):
            self._record_mismatch(Digest(digest), index, data, source)
            return
        self._metrics.count("chunks_from_peers" if source else "chunks_from_origin")
        deferred = self._engine.stage(model, index, data)
        deferred.addCallbacks(
            lambda _: self._record_staged(digest, index, data, source),
            lambda failure: self._record_failure(digest, index, source, failure),
        )

    def _record_mismatch(self, digest: Digest, index: int, data: bytes, source: InstanceId) -> None:
        """Handle a chunk that matches no list of digests; either may be at fault.

        Chunks from the origin are kept until a further list arrives, since its bytes are costly.
        """
        self._metrics.count("chunks_corrupted")
        logger.info("chunk does not match its digest", extra={"index": index, "source": source})
        origin = self._find_origin()
        if source == ORIGIN and len(self._doubtful_chunks) < MAX_DOUBTFUL_CHUNKS:
            self._doubtful_chunks[index] = data
        if source == ORIGIN and origin is not None:
            origin.reset_connections()
        self._digest_cache.record_mismatch(source, self.reactor.seconds())
        self._reported_at = float("-inf")
        self._dispatch(ChunkFailed(digest, index, source, corrupted=True))

    def _record_staged(self, digest: str, index: int, data: bytes, source: InstanceId) -> None:
        if digest == label_version(*self._wanted):
            self._transfers.store(index, data)
            self._dispatch(ChunkStored(Digest(digest), index, source))

    def _record_sent(self, peer: InstanceId, sent: bool) -> None:
        if sent:
            self._metrics.count("chunks_sent")
        self._dispatch(ChunkSent(peer))

    def _handle_states(self, message: ServingNotice) -> None:
        changed = []
        for row in message.rows:
            state = ServingState(InstanceId(row.instance), row.sequence, row.digest)
            if state.instance != self._own and self._waves.record(state, self.reactor.seconds()):
                changed.append(state)
        self._send_states(list(self._streams), changed)

    def _send_states(self, peers: list[InstanceId], states: list[ServingState]) -> None:
        rows = [ServingRow(state.instance, state.sequence, state.digest) for state in states]
        for peer in peers if rows else ():
            self._send(peer, ServingNotice(rows))

    def _send(self, peer: InstanceId, message: Message) -> None:
        stream = self._streams.get(peer)
        if stream is not None:
            stream.send(message)


def name_agent(host: str, port: int) -> InstanceId:
    """Return the id of an agent among its peers, made from its listen address.

    >>> name_agent("10.1.0.42", 7700)
    '10.1.0.42-7700'
    """
    return InstanceId(f"{host}-{port}")


def label_version(model: str, version: int) -> Digest:
    """Return the label that identifies a version in messages about chunks.

    >>> label_version("m", 2)
    'm@2'
    """
    return Digest(f"{model}@{version}")
