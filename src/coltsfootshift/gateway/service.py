"""The request path of an entry: admission, queueing, placement and refusals."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from functools import partial
from math import isfinite
from random import Random
from typing import Any

from twisted.internet.task import LoopingCall
from twisted.python.failure import Failure

from coltsfootshift.controllers.quarantine import Standing
from coltsfootshift.gateway.beliefs import SharedBeliefs
from coltsfootshift.gateway.budget import RetryBudget
from coltsfootshift.gateway.callers import ConnectionEnd, IncomingRequest, RequestHandler
from coltsfootshift.gateway.calls import (
    AttemptTerms,
    Dialect,
    RequestError,
    RequestHead,
    ResponseHead,
)
from coltsfootshift.gateway.checks import (
    Admission,
    Check,
    CrashCheck,
    Denied,
    KeyCheck,
    LimitCheck,
    RouteCheck,
)
from coltsfootshift.gateway.cold_guard import ColdGuard
from coltsfootshift.gateway.crashes import Suspect
from coltsfootshift.gateway.endpoint_limits import compute_share
from coltsfootshift.gateway.endpoint_list import EngineStatus
from coltsfootshift.gateway.endpoint_notices import EndpointNotices
from coltsfootshift.gateway.evacuation_monitor import EvacuationMonitor
from coltsfootshift.gateway.exchange import Exchange, ExchangeOwner
from coltsfootshift.gateway.holding import HeldBytes, compute_max_held_bytes
from coltsfootshift.gateway.homes import HOMELESS_REASON, FullHomes, HomeRules, RequestsAheadByHome
from coltsfootshift.gateway.links import ConnectionPool
from coltsfootshift.gateway.load_reports import LoadReportCounter, find_highest_slowdown
from coltsfootshift.gateway.model import CallerLimits, EndpointRecord, RouteKind, ServiceSpec
from coltsfootshift.gateway.placement import EndpointState, Placement, forecast_slots
from coltsfootshift.gateway.stopping import StopSchedule
from coltsfootshift.gateway.table_cache import Table, TableCache
from coltsfootshift.gateway.versions import (
    MIN_START_SECONDS,
    VERSION_MARGIN_SECONDS,
    WITHDRAWAL_MARGIN_SECONDS,
    find_first_limit,
)
from coltsfootshift.gateway.waiting import QueuedRequest, ServiceQueue, Turn, draw_retry_after
from coltsfootshift.ids import FailureDomain, InstanceId, RequestId, ServiceName
from coltsfootshift.logs import get_logger
from coltsfootshift.messages import Message
from coltsfootshift.metrics import Metrics
from coltsfootshift.outcomes import NotRun, Unknown
from coltsfootshift.settings import Address

__all__ = ["Gateway", "GatewayBounds"]

TICK_SECONDS = 0.02  # bounds the delay in noticing a free slot or an expired queued request
POOL_CHECK_SECONDS = 0.25  # an expired connection is not used, whether closed yet or not
LATE_TICK_SECONDS = 0.15  # a tick that is later than this is logged, and waits for what to read
# A deadline below this share of the longest seen on the route indicates a caller's retry.
RETRY_DEADLINE_RATIO = 0.9
CONNECTION_SHARE = 0.8  # of an endpoint's connections; the rest is for undiscovered entries
STATUS_UNAVAILABLE = 503
MAX_LATE_WAIT_SECONDS = 1.0  # maximum wait of a late request that has not run, from its arrival
# A request that reached no endpoint waits for up to this share of its time, and this much longer
# than another late one: endpoints that fell silent together are soon back.
UNREACHED_WAIT_SHARE = 1 / 3
MAX_EXTRA_WAIT_SECONDS = 1.0
# A request that was passed on waits this long for an endpoint that it has not tried. It is more
# than the pauses between events that callers accept.
MAX_AVOID_SECONDS = 0.5
LOWEST_PRIORITY = 9  # endpoints accept 0, the most urgent, to 9
# The connections to an endpoint that has ended close within this time.
LOSS_SETTLE_SECONDS = 0.1
LEAVING_REASON = "this entry is leaving"

logger = get_logger("gateway")


@dataclass(frozen=True, slots=True)
class GatewayBounds:
    """Limits set by the deployment, in seconds.

    The exceptions are `budget_ratio`, the share of requests that may be retried, and
    `budget_allowance`, the number of retries allowed beyond it. In any one second a cold endpoint
    may get `cold_excess` times the rate of its service, and `cold_allowance` requests more; this
    binds a process from its start. The other limits do not apply to one that has been up for less
    than `contact_within`.
    """

    contact_within: float
    revoke_within: float
    version_within: float
    budget_ratio: float
    budget_allowance: float
    budget_window: float
    config_within: float
    cold_excess: float = 1.0
    cold_allowance: float = 0.0


@dataclass(slots=True)
class _PendingLoss:
    """Connections to one endpoint that were lost within moments, and what had just begun there."""

    pool: ConnectionPool
    service: ServiceName
    begun: list[tuple[Suspect, ...]] = field(default_factory=list)
    requests: list[RequestId] = field(default_factory=list)


class Gateway(RequestHandler, ExchangeOwner):
    """Routes callers' requests to endpoints and returns the responses.

    `notify_peers` is called with messages for the other processes. `regions` maps each failure
    domain to its region.
    """

    def __init__(
        self,
        reactor: Any,
        tables: TableCache,
        dialect: Dialect,
        domain: FailureDomain,
        source: str,
        bounds: GatewayBounds,
        metrics: Metrics,
        rng: Random,
        beliefs: SharedBeliefs | None = None,
        regions: Mapping[str, str] | None = None,
    ) -> None:
        self.reactor = reactor
        self.tables = tables
        self.metrics = metrics
        self._homes = HomeRules(tables, metrics, regions or {}, domain, bounds.config_within)
        self.held_bytes = HeldBytes(compute_max_held_bytes())
        self.beliefs = beliefs or SharedBeliefs()
        self.notify_peers: Callable[[Message], None] | None = None
        self._stop_schedule: StopSchedule | None = None
        self._dialect = dialect
        self._source = source
        self._bounds = bounds
        self._rng = rng
        self._crash_check = CrashCheck(self.beliefs.crashes)
        self._checks: list[Check] = [
            RouteCheck(rng, bounds.config_within),
            KeyCheck(bounds.revoke_within, bounds.config_within),
            LimitCheck(),
            self._crash_check,
        ]
        self._placement = Placement(domain, rng)
        self._budget = RetryBudget(
            bounds.budget_ratio, bounds.budget_allowance, bounds.budget_window, reactor.seconds()
        )
        self._states: dict[InstanceId, EndpointState] = {}
        excess = (bounds.cold_excess, bounds.cold_allowance)
        self.cold = ColdGuard(*excess, self._states, metrics, reactor.seconds())
        self.cold.list_evacuated = tables.evacuations.list_out
        self._pools: dict[InstanceId, ConnectionPool] = {}
        self._by_service: dict[ServiceName, list[EndpointState]] = {}
        self._queues: dict[ServiceName, ServiceQueue] = {}
        self._exchanges: set[Exchange] = set()
        self._losses: dict[str, _PendingLoss] = {}
        self._notices = EndpointNotices()
        self._evacuation_monitor = EvacuationMonitor(
            tables, metrics, reactor.seconds, self._exchanges
        )
        self._longest_deadlines: dict[str, float] = {}
        self._entry_count = 1
        self._own = InstanceId("")
        self._entries: tuple[str, ...] = (self._own,)
        self._ticked_at = reactor.seconds()
        self._tick_delay = 0.0
        self._stopped = False
        self._pools_checked_at = reactor.seconds()
        self._loop = LoopingCall(self._tick)
        self._loop.clock = reactor
        metrics.add_gauge("exchanges_open", lambda: float(len(self._exchanges)))
        metrics.add_gauge("answer_bytes_held", lambda: float(self.held_bytes.size))
        metrics.add_gauge("exchanges_waiting", self._count_waiting)
        self._load_reports = LoadReportCounter(metrics)
        metrics.add_gauge(
            "endpoint_slowdown_highest", lambda: find_highest_slowdown(self._states.values())
        )
        metrics.add_gauge(
            "links_dialled", lambda: float(sum(p.dialled for p in self._pools.values()))
        )

    def start(self) -> None:
        """Start the periodic task."""
        self._ticked_at = self.reactor.seconds()
        self._loop.start(TICK_SECONDS, now=False).addErrback(self._restart)

    def leave(self, schedule: StopSchedule) -> None:
        """Refuse new requests from some time on, and answer all in time for the process to stop."""
        self._stop_schedule = schedule
        delay = schedule.answer_by - self.reactor.seconds()
        self.reactor.callLater(max(0.0, delay), self._answer_unfinished)

    def break_off(self) -> None:
        """End the requests in flight, so that begun responses do not look complete."""
        self._stopped = True
        for exchange in list(self._exchanges):
            exchange.give_up(LEAVING_REASON)

    @property
    def limits(self) -> CallerLimits:
        """The limits for callers in the current catalogue."""
        return self.tables.catalogue.limits if self.tables.catalogue else CallerLimits()

    @property
    def closing(self) -> bool:
        """Whether this entry is leaving, so that keep-alive connections are closed."""
        return self._stop_schedule is not None

    @property
    def stopped(self) -> bool:
        """Whether the requests in flight have been ended since this process stops."""
        return self._stopped

    @property
    def unfinished(self) -> int:
        """The number of requests in flight or queued."""
        return len(self._exchanges)

    def set_entries(self, own: str, entries: Sequence[str]) -> None:
        """Set which entries, with this one, share the endpoints and the retry budget."""
        self._own, self._entries = InstanceId(own), tuple(entries)
        self._entry_count = max(1, len(entries))
        self._budget.set_entry_count(self._entry_count)
        self.apply_limits()
        self.refresh()

    def apply_limits(self) -> None:
        """Divide the known limits of endpoints among the entries anew."""
        now = self.reactor.seconds()
        for state in self._states.values():
            self._apply_limit(state, now)

    def refresh(self) -> None:
        """Rebuild the routing state from the cached tables."""
        by_service: dict[ServiceName, list[EndpointState]] = {}
        catalogue = self.tables.catalogue
        latest_starts: dict[Address, int] = {}
        for record in self.tables.endpoints.values():
            latest_starts[record.address] = max(latest_starts.get(record.address, 0), record.born)
        for name, record in self.tables.endpoints.items():
            spec = catalogue.services.get(record.service) if catalogue else None
            if spec is None:
                continue
            state = self._update_state(name, record, spec)
            if record.leaving or self._notices.is_leaving(record.incarnation):
                continue
            if self.tables.evacuations.is_out(record.failure_domain):
                continue
            # An endpoint that started later at the same address has taken the place of this one,
            # whose record stays until its lease expires.
            if record.born >= latest_starts[record.address]:
                by_service.setdefault(record.service, []).append(state)
        for name in [name for name in self._states if name not in self.tables.endpoints]:
            del self._states[name]
            self._pools.pop(name).close()
        self._by_service = by_service
        now = self.reactor.seconds()
        for domain in self._evacuation_monitor.update(now):
            self._evacuation_ended(domain, now)
        self._dispatch_all_queues()
        start_count = partial(RequestsAheadByHome, self._homes, self._by_service, now)
        self._evacuation_monitor.refuse_unserved(
            self._queues, self._list_awaited, start_count, self._entry_count, now
        )

    def handle_request(self, incoming: IncomingRequest) -> None:
        """Check a request, then place it on an endpoint or queue it, or respond with a refusal."""
        now = self.reactor.seconds()
        self.metrics.count("calls")
        if self.cold.check(now):
            self.apply_limits()
        try:
            head = self._dialect.parse_request(incoming.method, incoming.target, incoming.headers)
        except RequestError as error:
            logger.info("invalid request", extra={"cause": str(error), "status": error.status})
            incoming.respond(error.status, [], b"")
            return
        incoming.request = head.request
        admission = Admission(head, incoming.arrived_at, incoming.body)
        if self._stop_schedule is not None and now > self._stop_schedule.admit_until:
            self._answer_refusal(incoming, head, NotRun(LEAVING_REASON, retry_after=0.0))
            return
        for check in self._checks:
            decision = check.find_refusal(admission, self.tables, now)
            if isinstance(decision, Denied):
                self._deny(incoming, head, decision)
                return
            if decision is not None:
                self._answer_refusal(incoming, head, decision)
                return
        exchange = Exchange(self, incoming, admission)
        self._exchanges.add(exchange)
        self._budget.record_request(exchange.service.name, now)
        self._dispatch_queue(exchange.service.name, Turn.INTERRUPTED)
        if not self._place(exchange, now):
            self._enqueue(exchange, now)

    def record_connection_end(self, end: ConnectionEnd) -> None:
        """Count how a caller's connection ended; log it if a request lacks part of its answer.

        A process that stood still first runs its periodic task and then reads what has arrived,
        so that the delay of the last run is logged as well.
        """
        if not end.incomplete:
            self.metrics.count("caller_connections_ended_idle")
            return
        self.metrics.count(f"caller_connections_ended_by_{end.ended_by.value}")
        now = self.reactor.seconds()
        request = end.request
        logger.info(
            "caller connection ended",
            extra={
                "request": "" if request is None else request.request,
                "ended_by": end.ended_by.value,
                "cause": end.cause,
                "head_sent": request is not None and request.head_sent,
                "answer_bytes": end.answer_bytes,
                "unsent_bytes": end.unsent_bytes,
                "unread": end.unread,
                "connection_reused": end.reused,
                "since_tick": round(now - self._ticked_at, 3),
                "tick_delay": round(self._tick_delay, 3),
                "seconds": None if request is None else round(now - request.arrived_at, 3),
            },
        )

    def reschedule(self, exchange: Exchange) -> bool:
        """Place a failed request on another endpoint, or queue it.

        Returns False if endpoints may end under the request, the retry budget is spent, no endpoint
        can serve the request (before this entry stops) or has been reached, or the request has
        ended.
        """
        now = self.reactor.seconds()
        if self._may_end_endpoints(exchange, now):
            self.metrics.count("retries_of_suspects")
            return _log_no_retry(exchange, "endpoints may end under it")
        states = self._list_candidates(exchange, now)
        if not states and self._find_turn(exchange) is Turn.INTERRUPTED:
            states = self._list_loading(exchange, now)
        if not states:
            reason = self._homes.explain(exchange.homes, "no endpoint can serve it", now)
            return _log_no_retry(exchange, reason)
        if self._is_unreachable(exchange, states, now):
            return _log_no_retry(exchange, "no endpoint has been reached in time")
        # A request that has reached no endpoint is not sent again, but for the first time.
        spends = exchange.arrivals > 0
        if exchange.spent_at is not None:  # for a dial that was withdrawn
            self._budget.postpone(exchange.service.name, exchange.spent_at, now)
        elif spends and not self._try_spend(exchange, now):
            self.metrics.count("retries_over_budget")
            return _log_no_retry(exchange, "the retry budget is spent")
        self.metrics.count("retries")
        exchange.spent_at = now if spends else None
        if not self._place(exchange, now):
            self._enqueue(exchange, now, exchange.spent_at)
        return not exchange.ended

    def reserve_place(self, exchange: Exchange) -> EndpointState | None:
        """Return another endpoint than the attempted one that takes an exchange now, else None.

        An endpoint that may be silent as well is none. A retry is taken from the budget only if
        there is an endpoint.
        """
        now = self.reactor.seconds()
        if exchange.attempted is None or self._may_end_endpoints(exchange, now):
            return None
        candidates = self._list_candidates(exchange, now)
        states = [state for state in candidates if not state.may_be_silent(now)]
        attempted = {exchange.attempted.record.endpoint}
        state = self._choose(exchange, states, attempted, now)
        if state is None or not self._try_spend(exchange, now):
            return None
        self.metrics.count("retries")
        return state

    def send_attempt(self, exchange: Exchange, state: EndpointState) -> None:
        """Send an exchange to an endpoint that takes it."""
        self._send(exchange, state, self.reactor.seconds())

    def draw_retry_after(self, exchange: Exchange) -> float:
        """Return the seconds after which the caller of an unplaced request should retry.

        Another entry may place what this one can't end before it stops.
        """
        if self._stop_schedule is not None:
            return 0.0
        left = exchange.admission.expires_at - self.reactor.seconds()
        return draw_retry_after(left, 0.0, self._rng)

    def record_response_start(self, predicted: float, elapsed: float) -> None:
        """Record the time to the start of a response and the error of its prediction."""
        self.metrics.observe("start_seconds", elapsed)
        self.metrics.observe("start_error_seconds", abs(elapsed - predicted))

    def record_limit(self, state: EndpointState, head: ResponseHead) -> None:
        """Keep to the limit that an endpoint names, from its next request on."""
        if head.rate_limit is None and not head.succeeded:
            return  # a rejection need not name the limit that the endpoint has
        now = self.reactor.seconds()
        message = self.beliefs.record_limit(state.record.incarnation, head.rate_limit, now)
        if message is not None and self.notify_peers is not None:
            self.notify_peers(message)
        self._apply_limit(state, now)

    def record_notices(self, state: EndpointState, head: ResponseHead) -> None:
        """Keep requests from an endpoint that leaves, or that wants none for a while."""
        self._load_reports.record(state, head.load)
        now = self.reactor.seconds()
        name, service = state.record.incarnation, state.record.service
        self.cold.record_word(state.record, head.cold_for, now)
        if head.status == STATUS_UNAVAILABLE and head.retry_after is not None:
            self._notices.record_pause(name, head.request, now + head.retry_after, now)
            current = self._states.get(state.record.endpoint)  # the record may have been replaced
            if current is not None and current.record.incarnation == name:
                current.paused_until = max(current.paused_until, now + head.retry_after)
        if head.leaving and self._notices.record_leaving(name, head.request, now):
            states = self._by_service.get(service, [])
            self._by_service[service] = [s for s in states if s.record.incarnation != name]

    def measure_silence(self, state: EndpointState) -> float | None:
        """Return the seconds since an endpoint last sent this process anything, None if never."""
        pool = self._pools.get(state.record.endpoint)
        if pool is None or pool.received_at is None:
            return None
        return round(self.reactor.seconds() - pool.received_at, 3)

    def record_loss(self, exchange: Exchange, state: EndpointState, begun: bool) -> None:
        """Record a lost connection, and judge shortly after whether the endpoint has ended."""
        record = state.record
        pool = self._pools.get(record.endpoint)
        if pool is None:
            return
        name = record.incarnation
        loss = self._losses.get(name)
        if loss is None:
            loss = self._losses[name] = _PendingLoss(pool, record.service)
            self.reactor.callLater(LOSS_SETTLE_SECONDS, self._judge_loss, name)
        if begun:
            loss.begun.append(exchange.admission.suspects)
            loss.requests.append(exchange.request)

    def record_unread_cut(self) -> None:
        """Count a response that an endpoint ended after its caller left it unread."""
        self.metrics.count("answers_cut_unread")

    def record_survival(self, exchange: Exchange, begun_at: float) -> None:
        """Clear what a request has in common with others of the suspicion to end endpoints."""
        now = self.reactor.seconds()
        self._tell(self.beliefs.record_survival(exchange.admission.suspects, begun_at, now))

    def end_quarantined(self) -> None:
        """End the requests in quarantine that no endpoint has begun, as far as known.

        Those that wait to run again are ended as soon as endpoints may end under them.
        """
        now = self.reactor.seconds()
        for exchange in list(self._exchanges):
            if exchange.queue_entry is not None and self._may_end_endpoints(exchange, now):
                exchange.refuse(self._crash_check.make_refusal(exchange.admission, now))
                continue
            standing = self.beliefs.crashes.find_standing(exchange.admission.suspects, now)
            if standing is Standing.QUARANTINED:
                exchange.withdraw(self._crash_check.make_refusal(exchange.admission, now))

    def record_end(self, exchange: Exchange, outcome: str) -> None:
        """Remove an ended exchange and dispatch the next queued request of its service."""
        now = self.reactor.seconds()
        self._exchanges.discard(exchange)
        if exchange.queue_entry is not None:
            exchange.queue_entry.open = False
        self.metrics.observe("exchange_seconds", now - exchange.admission.arrived_at)
        logger.info(
            "request ended",
            extra={
                "request": exchange.request,
                "route": exchange.route.name,
                "outcome": outcome,
                "runs": exchange.possible_runs,
                "sends": exchange.send_count,
                "version": exchange.version,
                "seconds": round(now - exchange.admission.arrived_at, 3),
            },
        )
        self.reactor.callLater(0, self._dispatch_queue, exchange.service.name)

    def send_refusal(self, exchange: Exchange, outcome: NotRun | Unknown) -> None:
        """Send the refusal of a failed request to its caller."""
        self._answer_refusal(exchange.incoming, exchange.admission.head, outcome)

    def update_engine_status(self, address: Address, status: EngineStatus) -> None:
        """Apply an agent's report of which version its engine serves and whether it is loading."""
        changed = self.tables.update_engine_status(address, status)
        for name in changed:
            row = {"endpoint": name, "version": status.version, "loading": status.loading}
            logger.info("engine told", extra=row)
        if changed:
            self.refresh()

    def _list_prospects(self, exchange: Exchange, now: float) -> list[EndpointState]:
        """Return the endpoints that may serve a request, now or once they have loaded."""
        return self._list_candidates(exchange, now) or self._list_loading(exchange, now)

    def _list_awaited(self, exchange: Exchange, now: float) -> list[EndpointState]:
        """Return the prospects of a request that waits, which may be for a confirmation."""
        states = self._by_service.get(exchange.service.name, [])
        prospects = self._list_prospects(exchange, now)
        return prospects or self._homes.list_awaited(states, exchange.homes, now)

    def _evacuation_ended(self, domain: FailureDomain, now: float) -> None:
        """Use the endpoints of a failure domain again whose evacuation has ended."""
        states = [s for s in self._states.values() if s.record.failure_domain == domain]
        logger.info("endpoints used again", extra={"domain": domain, "endpoints": len(states)})
        self.cold.record_evacuation_end(domain, now)
        self.apply_limits()

    def _judge_loss(self, name: str) -> None:
        """Record the end of an endpoint that has closed all of this entry's connections."""
        loss = self._losses.pop(name)
        ended = not loss.pool.connected
        logger.info(
            "endpoint lost",
            extra={"endpoint": name, "ended": ended, "begun": loss.requests},
        )
        if ended:
            self.metrics.count("endpoints_ended")
            now = self.reactor.seconds()
            self._tell(self.beliefs.record_crash(name, loss.service, loss.begun, now))

    def _tell(self, message: Message | None) -> None:
        """Send the peers what has changed in the beliefs, and act on it here."""
        if message is None:
            return
        if self.notify_peers is not None:
            self.notify_peers(message)
        self.end_quarantined()

    def _apply_limit(self, state: EndpointState, now: float) -> None:
        limit = self.beliefs.limits.get_rate(state.record.incarnation)
        cold = self.cold.find_share(state.record, now)
        if limit is None and state.rate_limit is None and cold is None:
            return
        share = 0.0
        if limit is not None:
            share = compute_share(limit, state.record.endpoint, self._own, self._entries)
        state.limit_rate(limit, share, now, cold)

    def _answer_unfinished(self) -> None:
        """End the requests without a response; responses that have begun may still complete."""
        for exchange in list(self._exchanges):
            if not exchange.response_started:
                exchange.give_up(LEAVING_REASON)

    def _update_state(
        self, name: InstanceId, record: EndpointRecord, spec: ServiceSpec
    ) -> EndpointState:
        state = self._states.get(name)
        if state is not None and (
            state.record.born != record.born or state.record.address != record.address
        ):
            self._pools.pop(name).close()
            state = None
        now = self.reactor.seconds()
        turned_cold = self.cold.record_endpoint(record, spec, state is None, now)
        if state is None:
            state = EndpointState(record, spec.engine, self._rng)
            self._states[name] = state
            state.paused_until = self._notices.get_pause_end(record.incarnation)
            self._apply_limit(state, now)
            self._pools[name] = ConnectionPool(
                self.reactor, record.address, self._dialect, self._source
            )
            count_no_answer = partial(self.metrics.count, "answers_not_http")
            self._pools[name].count_no_answer = count_no_answer
        state.update_record(record)
        if turned_cold:
            self._apply_limit(state, now)
        state.spec = spec.engine
        share = int(CONNECTION_SHARE * spec.max_connections / self._entry_count)
        self._pools[name].max_open = max(1, share)
        return state

    def _list_usable(self, exchange: Exchange) -> list[EndpointState]:
        """Return the endpoints of a request's service that it may be sent to."""
        states = self._by_service.get(exchange.service.name, [])
        return self._homes.select(states, exchange.homes, self.reactor.seconds())

    def _list_candidates(self, exchange: Exchange, now: float) -> list[EndpointState]:
        """Return the endpoints that may serve a request and can end it before this entry stops."""
        states = self._list_usable(exchange)
        if self._stop_schedule is not None:
            states = self._list_ending_in_time(states, exchange, self._stop_schedule, now)
        if exchange.service.engine is None:
            return states
        model = exchange.admission.head.model
        limits: dict[int, float] = {}
        candidates = []
        for state in states:
            version = state.record.versions.get(model)
            if version is None or exchange.version not in (None, version):
                continue
            if version not in limits:
                limits[version] = self._find_limit(exchange, version)
            if self._begins_in_time(state, exchange, limits[version], now):
                candidates.append(state)
        return candidates

    def _begins_in_time(
        self, state: EndpointState, exchange: Exchange, limit: float, now: float
    ) -> bool:
        """Return whether an engine probably begins a request before it would be withdrawn again.

        `limit` is when the version that the engine serves may begin nothing more.
        """
        withdrawn_at = limit - WITHDRAWAL_MARGIN_SECONDS
        if now + MIN_START_SECONDS >= withdrawn_at:
            return False
        if not isfinite(limit):
            return True
        return now + state.predict_start(exchange.size, now) < withdrawn_at

    def _list_loading(self, exchange: Exchange, now: float) -> list[EndpointState]:
        """Return the engines that are loading; they serve again within a second.

        None of them loads the version of a begun answer if a newer one has been published.
        """
        wanted = self.tables.wanted_versions.get(exchange.admission.head.model, [])
        if exchange.version is not None and wanted and wanted[-1].version > exchange.version:
            return []
        states = self._list_usable(exchange)
        if self._stop_schedule is not None:
            states = self._list_ending_in_time(states, exchange, self._stop_schedule, now)
        return [state for state in states if state.record.loading]

    def _list_ending_in_time(
        self,
        states: list[EndpointState],
        exchange: Exchange,
        schedule: StopSchedule,
        now: float,
    ) -> list[EndpointState]:
        in_time = []
        for state in states:
            if schedule.allows_start(_predict_duration(exchange, state, now), now):
                in_time.append(state)
        return in_time

    def _find_min_version(self, exchange: Exchange, now: float, margin: float) -> int:
        """Return the oldest version that may begin a request `margin` seconds from now, 0 for any.

        Each published version has its own limit. Publishing another version while the previous one
        is being loaded does not postpone the previous one's limit.
        """
        bounds = self._bounds
        for wanted in reversed(self.tables.wanted_versions.get(exchange.admission.head.model, [])):
            limit = wanted.compute_limit(bounds.version_within, bounds.contact_within)
            if now >= limit - margin:
                return wanted.version
        return 0

    def _find_limit(self, exchange: Exchange, served: int) -> float:
        """Return when a served version may begin nothing more, infinite if no newer one is known.

        This is in seconds of this process's clock.
        """
        wanted = self.tables.wanted_versions.get(exchange.admission.head.model, [])
        bounds = self._bounds
        return find_first_limit(wanted, served, bounds.version_within, bounds.contact_within)

    def _measure_time_to_limit(self, exchange: Exchange, served: int, now: float) -> float | None:
        """Return the seconds until a served version is outdated; None if no newer one is known."""
        limit = self._find_limit(exchange, served)
        return round(limit - now, 3) if isfinite(limit) else None

    def _place(self, exchange: Exchange, now: float) -> bool:
        states = self._list_candidates(exchange, now)
        state = self._choose(exchange, states, self._list_avoided(exchange, states, now), now)
        if state is None:
            return False
        self._send(exchange, state, now)
        return True

    def _choose(
        self,
        exchange: Exchange,
        states: list[EndpointState],
        avoided: set[InstanceId],
        now: float,
    ) -> EndpointState | None:
        open_states = [s for s in states if not self._pools[s.record.endpoint].full]
        late = self._is_likely_retry(exchange) and self._find_turn(exchange) is not Turn.INTERRUPTED
        priority = exchange.admission.priority
        return self._placement.choose(open_states, exchange.size, avoided, late, now, priority)

    def _try_spend(self, exchange: Exchange, now: float) -> bool:
        """Take a retry from the budget; others leave some of it to those with a claim."""
        claims = 0
        if not exchange.has_retry_claim:
            for other in self._exchanges:
                claims += other.has_retry_claim and other.service.name == exchange.service.name
        return self._budget.try_spend(exchange.service.name, now, claims)

    def _may_end_endpoints(self, exchange: Exchange, now: float) -> bool:
        """Return whether endpoints may end under a further attempt."""
        standing = self.beliefs.crashes.find_standing(exchange.admission.suspects, now)
        if standing is Standing.QUARANTINED:
            return True
        return standing is Standing.SUSPECT and exchange.possible_runs > 0

    def _list_avoided(
        self, exchange: Exchange, states: list[EndpointState], now: float
    ) -> set[InstanceId]:
        """Return the endpoints that were tried, or none if no other takes the request in time.

        If none has taken it for `MAX_AVOID_SECONDS`, only those are avoided that may be gone.
        """
        if not exchange.tried:
            return set()
        queued = exchange.queue_entry
        interrupted = queued is not None and queued.turn is Turn.INTERRUPTED
        waits_since = queued.spent_at if interrupted else None
        if waits_since is not None and now > waits_since + MAX_AVOID_SECONDS:
            gone = {state.record.endpoint for state in states if state.ejected}
            return exchange.tried & gone
        latest = self._find_latest(exchange, states, now) if queued is None else queued.latest
        for state in states:
            if state.record.endpoint not in exchange.tried and state.paused_until <= latest:
                return exchange.tried
        return set()

    def _send(self, exchange: Exchange, state: EndpointState, now: float) -> None:
        admission, record = exchange.admission, state.record
        min_version = self._find_min_version(exchange, now, VERSION_MARGIN_SECONDS)
        served = record.versions.get(admission.head.model)
        terms = AttemptTerms(
            endpoint=record.endpoint,
            team=admission.team.name,
            time_left=max(0.001, self._find_end(admission) - now),
            priority=min(admission.priority, LOWEST_PRIORITY),
            version=exchange.version or (served if min_version else None),
            resume_after=exchange.resume_after,
        )
        self.cold.count_sent(state)
        head, body = admission.head, exchange.incoming.body
        headers = self._dialect.build_attempt_headers(head, terms, len(body))
        logger.info(
            "request placed",
            extra={
                "request": exchange.request,
                "endpoint": record.endpoint,
                "waited": round(now - admission.arrived_at, 3),
                "own": state.own_in_flight,
                "load": round(state.estimate_load(now), 1),
                "predicted": round(state.predict_start(exchange.size, now), 3),
                "time_left": round(terms.time_left, 3),
                "version": served,
                "min_version": min_version,
                "version_due_in": self._measure_time_to_limit(exchange, served or 0, now),
                "limit": state.rate_limit,
                "parts": head.shared_parts,
            },
        )
        # A refusal that the endpoint writes again must not be taken for that of this attempt.
        new_connection = (
            exchange.route.kind is RouteKind.NON_IDEMPOTENT or record.endpoint in exchange.tried
        )
        receiver = exchange.start_attempt(state)
        outbound = self._pools[record.endpoint].send(
            head.method, head.target, headers, body, exchange.request, receiver, new_connection
        )
        exchange.set_outbound(outbound)

    def _find_end(self, admission: Admission) -> float:
        """Return when a request ends at the latest."""
        if self._stop_schedule is None:
            return admission.expires_at
        return min(admission.expires_at, self._stop_schedule.answer_by)

    def _enqueue(self, exchange: Exchange, now: float, spent_at: float | None = None) -> None:
        admission = exchange.admission
        queue = self._queues.setdefault(exchange.service.name, ServiceQueue(self._rng))
        states = self._list_prospects(exchange, now)
        if not states and self._stop_schedule is not None:
            exchange.refuse(NotRun(LEAVING_REASON, retry_after=0.0))
            return
        if not states:
            left = admission.expires_at - now
            retry_after = draw_retry_after(left, float("inf"), self._rng)
            reason = self._homes.explain(exchange.homes, "no endpoint serves the request", now)
            exchange.refuse(NotRun(reason, retry_after=retry_after))
            return
        self.cold.count_put_off(states)
        queued = QueuedRequest(
            exchange,
            admission.priority,
            self._find_latest(exchange, states, now),
            admission.expires_at,
            self._find_turn(exchange),
            spent_at,
        )
        weigh = self._homes.weigh_others(self._by_service, queued, now)
        refusal = queue.offer(queued, forecast_slots(states, self._entry_count, now), now, weigh)
        if refusal is not None:
            exchange.refuse(refusal)
            return
        exchange.queue_entry = queued

    def _find_turn(self, exchange: Exchange) -> Turn:
        if exchange.possible_runs > 0:
            return Turn.INTERRUPTED
        if exchange.send_count > 0 or self._is_likely_retry(exchange):
            return Turn.LATE
        return Turn.NEW

    def _find_latest(self, exchange: Exchange, states: list[EndpointState], now: float) -> float:
        """Return the latest time to send a request that waits, in seconds of this clock.

        A new one can then meet its latency objective. A late one gives its caller time to return.
        One that was passed on and may run again can still be finished: what it has waited for is
        lost otherwise, and its caller may have part of the answer.
        """
        admission, turn = exchange.admission, self._find_turn(exchange)
        if turn is Turn.INTERRUPTED:
            durations = [state.predict_shortest(exchange.rest) for state in states]
            return self._find_end(admission) - min(durations, default=0.0)
        if turn is Turn.LATE:
            longest = MAX_LATE_WAIT_SECONDS + self._find_extra_wait(exchange)
            return min(admission.expires_at, admission.arrived_at + longest)
        objective = exchange.route.latency_objective
        start = min(state.predict_start(exchange.size, now) for state in states)
        return admission.arrived_at + objective - min(start, objective / 2)

    def _find_extra_wait(self, exchange: Exchange) -> float:
        """Return how much longer a request may wait than another late one, in seconds."""
        if not exchange.send_count or exchange.arrivals:
            return 0.0
        admission = exchange.admission
        time_given = admission.expires_at - admission.arrived_at
        extra = UNREACHED_WAIT_SHARE * time_given - MAX_LATE_WAIT_SECONDS
        return max(0.0, min(MAX_EXTRA_WAIT_SECONDS, extra))

    def _is_unreachable(self, exchange: Exchange, states: list[EndpointState], now: float) -> bool:
        """Return whether a request has reached none of the endpoints for as long as it may wait."""
        if exchange.arrivals or not all(state.ejected for state in states):
            return False
        return now > self._find_latest(exchange, states, now)

    def _is_likely_retry(self, exchange: Exchange) -> bool:
        """Return whether the request is probably a retry by its caller.

        A retrying caller keeps its overall deadline, so that the time left is shorter than the
        longest deadline seen on the route.
        """
        deadline = exchange.admission.head.deadline
        if deadline is None:
            return False
        name = exchange.route.name
        longest = max(self._longest_deadlines.get(name, 0.0), deadline)
        self._longest_deadlines[name] = longest
        return deadline < RETRY_DEADLINE_RATIO * longest

    def _estimate_pause(self, exchange: Exchange, now: float) -> float:
        """Return for how many seconds all endpoints that can serve a request are paused."""
        ends = [state.paused_until for state in self._list_candidates(exchange, now)]
        return max(0.0, min(ends, default=0.0) - now)

    def _tick(self) -> None:
        now = self.reactor.seconds()
        delay = now - self._ticked_at - TICK_SECONDS
        self._ticked_at = now
        self._tick_delay = delay
        self.tables.record_running(now)
        if delay <= LATE_TICK_SECONDS:
            self._check_requests()
            return
        self.metrics.count("loop_stalls")
        logger.warning("event loop stalled", extra={"seconds": round(delay, 3)})
        # This process stood still. The reactor calls what is due before it reads what has arrived
        # meanwhile, so that all endpoints would seem to have been silent. It also finds connections
        # open then, on which nothing may be sent that is to be withdrawn.
        self._withdraw_outdated(now, only_unsent=True)
        self._follow_homes(now)
        if self.cold.check(now):
            self.apply_limits()
        self.reactor.callLater(0, self._check_requests)

    def _check_requests(self) -> None:
        """Refuse, move and withdraw requests as due, and send those that wait for a place."""
        now = self.reactor.seconds()
        estimate_pause = None
        if self._notices.has_pauses(now):
            estimate_pause = partial(self._estimate_pause, now=now)
        for queue in self._queues.values():
            for queued, refusal in list(queue.expire(now, estimate_pause)):
                queued.item.guard(queued.item.refuse, refusal)
        if self._stop_schedule is not None:
            self._refuse_outlasting(self._stop_schedule, now)
        self._end_without_version(now)
        self._follow_homes(now)
        for exchange in list(self._exchanges):
            exchange.guard(exchange.check_stall, now)
        self._withdraw_outdated(now)
        if now - self._pools_checked_at >= POOL_CHECK_SECONDS:
            self._pools_checked_at = now
            for pool in self._pools.values():
                pool.close_expired(now)
        if self.cold.check(now) or self.beliefs.limits.remove_expired(now):
            self.apply_limits()
        if self.tables.remove_expired(now):
            self.refresh()
        listed = (record.incarnation for record in self.tables.endpoints.values())
        self._notices.remove_expired(now, listed)
        self._dispatch_all_queues()

    def _withdraw_outdated(self, now: float, only_unsent: bool = False) -> None:
        """Withdraw the requests that engines might begin after the limit of their version."""
        min_versions: dict[str, int] = {}
        for exchange in list(self._exchanges):
            if exchange.attempted is None or exchange.service.engine is None:
                continue
            if only_unsent and exchange.sent:
                continue
            model = exchange.admission.head.model
            if model not in min_versions:
                min_versions[model] = self._find_min_version(
                    exchange, now, WITHDRAWAL_MARGIN_SECONDS
                )
            exchange.guard(exchange.withdraw_outdated, min_versions[model], now)

    def _restart(self, failure: Failure) -> None:
        """Log a failure of the periodic task, and start it again: all requests depend on it."""
        logger.error("periodic task failed", extra={"cause": failure.getTraceback()})
        self.start()

    def _refuse_outlasting(self, schedule: StopSchedule, now: float) -> None:
        """Refuse the queued requests that could not end before this entry stops."""
        for exchange in list(self._exchanges):
            if exchange.queue_entry is None:
                continue
            states = self._list_usable(exchange)
            durations = (_predict_duration(exchange, state, now) for state in states)
            if not any(schedule.allows_start(duration, now) for duration in durations):
                exchange.refuse(NotRun(LEAVING_REASON, retry_after=0.0))

    def _end_without_version(self, now: float) -> None:
        """End the waiting answers that nothing can go on with, as their version is gone."""
        for exchange in list(self._exchanges):
            if exchange.queue_entry is None or exchange.version is None:
                continue
            if exchange.service.engine is None:
                continue
            if not self._list_prospects(exchange, now):
                reason = f"no endpoint of version {exchange.version} is left"
                exchange.refuse(NotRun(reason, retry_after=0.0))

    def _follow_homes(self, now: float) -> None:
        """Refuse what waits for homes that have gone, and withdraw what has not left for them."""
        for exchange in self._homes.list_homeless(self._exchanges, self._by_service):
            refusal = NotRun(HOMELESS_REASON, retry_after=self.draw_retry_after(exchange))
            self.metrics.count("refused_without_home")
            exchange.guard(exchange.refuse, refusal)
        for exchange in self._homes.list_unsent_abroad(self._exchanges, now):
            exchange.guard(exchange.withdraw_unsent, "its endpoint is no home any more")

    def _dispatch_all_queues(self) -> None:
        for name in self._queues:
            self._dispatch_queue(name)

    def _dispatch_queue(self, name: ServiceName, last: Turn = Turn.LATE) -> None:
        """Send queued requests while endpoints have free slots, up to the turn `last`.

        An interrupted request that avoids endpoints, or needs a version, holds up no others. One
        whose homes are full holds up only those that have no other homes.
        """
        queue = self._queues.get(name)
        if queue is None:
            return
        now = self.reactor.seconds()
        passed = None
        full = FullHomes(self._homes, now)
        while (queued := queue.peek(passed, full.accept)) is not None and queued.turn <= last:
            if queued.item.guard(self._place, queued.item, now):
                queued.open = False
                queued.item.queue_entry = None
                if queued.spent_at is not None:
                    self._budget.postpone(name, queued.spent_at, now)
                    queued.item.spent_at = now
            elif full.pass_over(queued) and self._has_place(name, now):
                passed = queued
            else:
                return

    def _has_place(self, name: ServiceName, now: float) -> bool:
        """Return whether any endpoint of a service takes a request now."""
        for state in self._by_service.get(name, []):
            if state.has_capacity(now) and not self._pools[state.record.endpoint].full:
                return True
        return False

    def _count_waiting(self) -> float:
        return float(sum(len(queue) for queue in self._queues.values()))

    def _deny(self, incoming: IncomingRequest, head: RequestHead, denied: Denied) -> None:
        self.metrics.count(f"denied_{denied.status}")
        version = self.tables.catalogue.version if self.tables.catalogue else None
        logger.info(
            "request denied",
            extra={
                "request": head.request,
                "cause": denied.reason,
                "status": denied.status,
                "catalogue": version,
            },
        )
        incoming.respond(denied.status, [], b"")

    def _answer_refusal(
        self, incoming: IncomingRequest, head: RequestHead, outcome: NotRun | Unknown
    ) -> None:
        self.metrics.count(f"refused_{outcome.status}")
        now = self.reactor.seconds()
        logger.info(
            "request refused",
            extra={
                "request": head.request,
                "cause": outcome.reason,
                "status": outcome.status,
                "retry_after": getattr(outcome, "retry_after", None),
                "catalogue": self.tables.catalogue.version if self.tables.catalogue else None,
                "catalogue_age": self._round_age(Table.OPERATOR, now),
                "endpoints_age": self._round_age(Table.ENDPOINTS, now),
            },
        )
        incoming.respond(
            outcome.status, self._dialect.build_refusal_headers(head.request, outcome), b""
        )

    def _round_age(self, table: Table, now: float) -> float | None:
        age = self.tables.measure_age(table, now)
        return round(age, 2) if isfinite(age) else None


def _log_no_retry(exchange: Exchange, cause: str) -> bool:
    """Log why a failed request is not sent again; return False."""
    logger.info("request not retried", extra={"request": exchange.request, "cause": cause})
    return False


def _predict_duration(exchange: Exchange, state: EndpointState, now: float) -> float:
    """Return the expected seconds from sending to the end of a response.

    One that was passed on and waits to run again gets a place before it is sent.
    """
    if exchange.possible_runs > 0:
        return state.predict_shortest(exchange.rest)
    return state.predict_duration(exchange.size, now)
