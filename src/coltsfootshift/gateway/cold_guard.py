"""Keeps the requests of this entry to what cold endpoints take."""

from __future__ import annotations

from collections.abc import Callable, Container, Iterable, Mapping
from math import inf

from coltsfootshift.gateway.coldness import ColdCause, Coldness
from coltsfootshift.gateway.endpoint_limits import (
    COLD_BURST_REQUESTS,
    compute_cold_share,
    compute_unsettled_share,
    draw_phase,
)
from coltsfootshift.gateway.endpoint_rate import ColdShare
from coltsfootshift.gateway.entry_view import EntryView, SeedContact
from coltsfootshift.gateway.model import EndpointRecord, ServiceSpec
from coltsfootshift.gateway.placement import EndpointState
from coltsfootshift.ids import FailureDomain, InstanceId, ServiceName
from coltsfootshift.logs import get_logger
from coltsfootshift.messages import ColdReport, ColdRow, EntryRow, Message, WarmReport
from coltsfootshift.metrics import Metrics

__all__ = ["ColdGuard"]

CHECK_SECONDS = 0.02  # a tick of the gateway
VIEW_CHECK_SECONDS = 0.1  # entries pass on each other's rows this often
# What makes an endpoint cold again takes longer than a pause of its scheduler.
MIN_SILENCE_SECONDS = 0.5
TELL_SECONDS = 0.5  # peers are told of a lasting silence this often
# An entry that hears of hardly anybody for longer has probably outlived the others: it is to serve
# on, and notices by itself what falls silent.
MAX_ABSENCE_SECONDS = 5.0
MAX_TOLD_WARM = 8192
MAX_TOLD_SECONDS = 600.0  # of coldness, by a peer

logger = get_logger("gateway.cold")


class ColdGuard:
    """Believes endpoints to be cold or warm, and divides what the cold ones take.

    It brings together the evidence (`Coldness`), who else sends (`EntryView`) and the division of
    a rate (`endpoint_limits`), writes the logs and keeps the metrics. Without a service that has a
    cold rate it does nothing. A cold endpoint may get its rate times `excess`, and `allowance`
    requests more, in any one second. `states` holds the current endpoints and is read only.
    `read_entries` returns the rows of the live entries and how many seeds are among them,
    `list_evacuated` the failure domains that are out of service.
    """

    def __init__(
        self,
        excess: float,
        allowance: float,
        states: Mapping[InstanceId, EndpointState],
        metrics: Metrics,
        now: float,
    ) -> None:
        self.view = EntryView("", now)
        self.read_entries: Callable[[], tuple[Iterable[EntryRow], SeedContact]] | None = None
        self.notify_peers: Callable[[Message], None] | None = None
        self.list_evacuated: Callable[[], Container[FailureDomain]] = tuple
        self._excess = excess
        self._allowance = allowance
        self._states = states
        self._metrics = metrics
        self._coldness = Coldness()
        self._services: dict[ServiceName, ServiceSpec] = {}
        self._changed = False
        self._checked_at = self._view_checked_at = self._out_since = now
        self._absence_recorded_at = -inf
        self._told_at: dict[str, float] = {}
        self._known_warm: dict[str, float] = {}
        metrics.add_gauge("endpoints_cold", lambda: float(len(self._coldness)))
        metrics.add_gauge("entry_view_settled", lambda: float(self.view.settled))

    def __repr__(self) -> str:
        return f"ColdGuard({self._coldness!r}, {self.view!r})"

    def find_share(self, record: EndpointRecord, now: float) -> ColdShare | None:
        """Return this entry's share of what a cold endpoint takes, None if the endpoint is warm."""
        spec = self._services.get(record.service)
        if spec is None or not self._coldness.is_cold(record.incarnation, now):
            return None
        rate, bound = spec.cold_rate, spec.cold_rate * self._excess + self._allowance
        view, name = self.view, record.endpoint
        if not view.settled:
            share = compute_unsettled_share(rate, bound)
            return ColdShare(rate, share, COLD_BURST_REQUESTS, draw_phase(view.own, name))
        share = compute_cold_share(rate, bound, name, view.own, view.names)
        return ColdShare(rate, share, COLD_BURST_REQUESTS if share else 0.0)

    def record_endpoint(
        self, record: EndpointRecord, spec: ServiceSpec, is_new: bool, now: float
    ) -> bool:
        """Take in a record of the store; return whether the endpoint is cold now but was not.

        `is_new` is set if this incarnation was not in the table until now.
        """
        if not (spec.cold_rate > 0.0 and spec.cold_seconds > 0.0):
            self._changed |= self._services.pop(spec.name, None) is not None
            self._coldness.forget(record.incarnation)
            return False
        if not self._services:
            self.view.observe(now)
            self._out_since = now
        self._changed |= self._services.get(spec.name) != spec
        self._services[spec.name] = spec
        if is_new and self._is_told_warm(record.incarnation, now):
            is_new = False
            self._coldness.watch(record)
        if not self._coldness.record_endpoint(record, spec, is_new, now):
            return False
        self._log_cold(record.incarnation, now)
        return True

    def record_word(self, record: EndpointRecord, cold_for: float | None, now: float) -> None:
        """Take in what a response says of how long its endpoint stays cold."""
        if cold_for is None or record.service not in self._services:
            return
        if self._coldness.record_word(record.incarnation, cold_for, now):
            self._changed = True
            if cold_for > 0.0:
                self._log_cold(record.incarnation, now)

    def record_evacuation_end(self, domain: FailureDomain, now: float) -> None:
        """Treat the endpoints of a failure domain as cold once its evacuation has ended."""
        for record, spec in self._list_tracked():
            if record.failure_domain == domain:
                self._record(record, ColdCause.EVACUATION, spec.cold_seconds, now)

    def receive(self, report: ColdReport, now: float) -> ColdReport | None:
        """Take in what a peer has found; return what other peers may not have heard of."""
        tracked = {record.incarnation: (record, spec) for record, spec in self._list_tracked()}
        news = []
        for row in report.rows:
            record, spec = tracked.get(row.endpoint, (None, None))
            if record is None or spec is None or row.seconds <= 0.0:
                continue
            seconds = min(row.seconds, spec.cold_seconds)
            known = self._coldness.get(row.endpoint)
            was_until = known.until if known is not None else now
            self._record(record, ColdCause.PEER, seconds, now)
            known = self._coldness.get(row.endpoint)
            if known is not None and known.until > was_until + TELL_SECONDS / 2:
                news.append(ColdRow(row.endpoint, seconds))
        return ColdReport(news, now) if news else None

    def make_warm_report(self, now: float) -> WarmReport | None:
        """Return which endpoints are known to be warm, for an entry that has just started.

        An entry that may itself miss what makes endpoints cold says nothing, and nobody knows it of
        those that get no requests.
        """
        if not self.view.settled or self.view.isolated:
            return None
        names, evacuated = [], self.list_evacuated()
        for state in self._states.values():
            name = state.record.incarnation
            if state.record.service not in self._services or state.ejected:
                continue
            if state.record.failure_domain in evacuated:
                continue
            if self._coldness.get(name) is None:
                names.append(name)
        return WarmReport(names, now) if names else None

    def receive_warm(self, report: WarmReport, now: float) -> None:
        """Take in which endpoints a peer knows to be warm.

        Load pattern: part of the fleet restarts under load. It would serve next to nothing until
        what it does not know has become warm, while the others, who do know, take its callers.
        """
        if len(self._known_warm) > MAX_TOLD_WARM:
            self._known_warm.clear()
        for name in report.endpoints[:MAX_TOLD_WARM]:
            self._known_warm[name] = now
            self._changed |= self._coldness.record_warm(name, now)

    def check(self, now: float) -> bool:
        """Bring beliefs and shares up to date; return whether limits are to be applied anew."""
        if not self._services or now - self._checked_at < CHECK_SECONDS / 2:
            return self._take_changed()
        self._checked_at = now
        self._changed |= self._check_view(now)
        self._record_silent(now)
        for item in self._coldness.remove_warm(now):
            self._changed = True
            logger.info(
                "endpoint warm",
                extra={"endpoint": item.incarnation, "cause": item.cause.value},
            )
        return self._take_changed()

    def count_sent(self, state: EndpointState) -> None:
        """Count a request that is sent to a cold endpoint."""
        if state.cold:
            self._metrics.count("requests_to_cold")

    def count_put_off(self, states: Iterable[EndpointState]) -> None:
        """Count a request that has to wait or is refused while its endpoints are cold."""
        if any(state.cold for state in states):
            self._metrics.count("placements_put_off_by_cold")

    def _take_changed(self) -> bool:
        changed, self._changed = self._changed, False
        return changed

    def _list_tracked(self) -> list[tuple[EndpointRecord, ServiceSpec]]:
        tracked = []
        for state in self._states.values():
            spec = self._services.get(state.record.service)
            if spec is not None:
                tracked.append((state.record, spec))
        return tracked

    def _check_view(self, now: float) -> bool:
        paused = changed = self.view.observe(now)
        if now - self._view_checked_at >= VIEW_CHECK_SECONDS and self.read_entries is not None:
            self._view_checked_at = now
            rows, seeds = self.read_entries()
            changed |= self.view.update(rows, seeds, now)
            self._coldness.keep_only({record.incarnation for record, _ in self._list_tracked()})
        self._check_absence(paused, now)
        return changed

    def _check_absence(self, paused: bool, now: float) -> None:
        """Treat all endpoints as cold while this entry may miss what makes them so."""
        is_out = paused or self.view.isolated or not self.view.settled
        if paused or not is_out:
            self._out_since = now
        if paused or self.view.settled:
            self._known_warm.clear()
        if not is_out or now - self._out_since > MAX_ABSENCE_SECONDS:
            return
        if not paused and now - self._absence_recorded_at < VIEW_CHECK_SECONDS:
            return
        self._absence_recorded_at = now
        for record, spec in self._list_tracked():
            if not self._is_told_warm(record.incarnation, now):
                self._record(record, ColdCause.ABSENCE, spec.cold_seconds, now)

    def _is_told_warm(self, incarnation: str, now: float) -> bool:
        """Return whether a peer has just said that an endpoint is warm.

        Until this entry has settled, it hears of silent endpoints from the same peer.
        """
        told_at = self._known_warm.get(incarnation)
        return told_at is not None and now - told_at <= MAX_ABSENCE_SECONDS

    def _record_silent(self, now: float) -> None:
        """Treat endpoints as cold that have been silent for long, and tell the peers."""
        rows = []
        for state in self._states.values():
            record = state.record
            spec = self._services.get(record.service)
            if spec is None or state.measure_silence(now) < MIN_SILENCE_SECONDS:
                continue
            self._record(record, ColdCause.SILENCE, spec.cold_seconds, now)
            if now - self._told_at.get(record.incarnation, -inf) >= TELL_SECONDS:
                self._told_at[record.incarnation] = now
                rows.append(ColdRow(record.incarnation, spec.cold_seconds))
        if rows and self.notify_peers is not None:
            self.notify_peers(ColdReport(rows, now))
        if not rows:
            late = [name for name, at in self._told_at.items() if now - at > MAX_TOLD_SECONDS]
            for name in late:
                del self._told_at[name]

    def _record(self, record: EndpointRecord, cause: ColdCause, seconds: float, now: float) -> None:
        if self._coldness.record(record.incarnation, cause, seconds, now):
            self._changed = True
            self._log_cold(record.incarnation, now)

    def _log_cold(self, incarnation: str, now: float) -> None:
        item = self._coldness.get(incarnation)
        assert item is not None
        logger.info(
            "endpoint cold",
            extra={
                "endpoint": incarnation,
                "cause": item.cause.value,
                "seconds": round(item.until - now, 3),
                "settled": self.view.settled,
                "entries": len(self.view.names),
            },
        )
