"""What processes tell each other of endpoints and requests, apart from the platform's tables."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from math import inf

from coltsfootshift.gateway.crashes import (
    Crash,
    CrashEvidence,
    Suspect,
    Suspicion,
)
from coltsfootshift.gateway.endpoint_limits import EndpointLimits, NamedLimit
from coltsfootshift.ids import ServiceName, SuspectId
from coltsfootshift.logs import get_logger
from coltsfootshift.messages import (
    CrashRow,
    EndpointLimitReport,
    EndpointLimitRow,
    Message,
    SuspicionReport,
    SuspicionRow,
)

__all__ = ["BeliefAnswer", "SharedBeliefs"]

logger = get_logger("gateway.beliefs")


@dataclass(frozen=True, slots=True)
class BeliefAnswer:
    """What follows from a message: news for the other peers, and a reply to the sender."""

    relay: Message | None = None
    reply: Message | None = None


class SharedBeliefs:
    """What this process and its peers have seen of endpoints and requests.

    A process sends what it has seen at once to all peers, and everything that it knows to a new
    peer, so that a process that restarts or joins learns it from any of them. Messages state ages,
    not times, since the clocks of processes differ.
    """

    def __init__(self, judges_from: float = -inf) -> None:
        self.crashes = CrashEvidence(judges_from)
        self.limits = EndpointLimits()

    def __repr__(self) -> str:
        return f"SharedBeliefs({self.crashes!r}, {self.limits!r})"

    def list_messages(self, now: float) -> list[Message]:
        """Return messages that tell everything to a new peer."""
        messages: list[Message] = []
        report = self._make_report([item.suspect for item in self.crashes.list_all(now)], now)
        if report is not None:
            messages.append(report)
        limits = self.limits.list_all()
        if limits:
            messages.append(_make_limit_report(limits, now))
        return messages

    def record_limit(self, endpoint: str, rate: float | None, now: float) -> Message | None:
        """Record what an endpoint names in a response; return what the peers have to know."""
        limit = NamedLimit(endpoint, rate, now)
        changed = self.limits.record(limit)
        if changed:
            self._log_limit(limit, "here", now)
        if changed or self.limits.claim_confirmation(endpoint, now):
            return _make_limit_report([limit], now)
        return None

    def record_crash(
        self,
        endpoint: str,
        service: ServiceName,
        begun: Iterable[tuple[Suspect, ...]],
        now: float,
    ) -> Message | None:
        """Record the end of an endpoint under requests; return what the peers have to know."""
        changed = self.crashes.record_crash(endpoint, service, begun, now)
        self._log_changes(changed, "here", now)
        return self._make_report(changed, now)

    def record_survival(
        self, suspects: tuple[Suspect, ...], begun_at: float, now: float
    ) -> Message | None:
        """Record that an endpoint survived a request; return what the peers have to know."""
        cleared = self.crashes.record_survival(suspects, begun_at, now)
        self._log_changes(cleared, "here", now)
        return self._make_report(cleared, now)

    def receive(self, message: Message, source: str, now: float) -> BeliefAnswer:
        """Merge what a peer has told."""
        if isinstance(message, EndpointLimitReport):
            return self._receive_limits(message, source, now)
        assert isinstance(message, SuspicionReport)
        return self._receive_suspicions(message, source, now)

    def _receive_limits(
        self, message: EndpointLimitReport, source: str, now: float
    ) -> BeliefAnswer:
        changed = []
        for row in message.rows:
            if row.rate is not None and not 0 <= row.rate < inf:
                logger.warning("limit ignored", extra={"limit": row.rate, "source": source})
                continue
            limit = NamedLimit(row.endpoint, row.rate, now - max(0.0, row.age))
            if self.limits.record(limit):
                self._log_limit(limit, source, now)
                changed.append(limit)
        return BeliefAnswer(relay=_make_limit_report(changed, now) if changed else None)

    def _receive_suspicions(
        self, message: SuspicionReport, source: str, now: float
    ) -> BeliefAnswer:
        news, known_better = [], []
        for row in message.rows:
            suspect = SuspectId(row.suspect)
            if self.crashes.merge(_read_row(row, now), now):
                news.append(suspect)
            if self._knows_better(row, now):
                known_better.append(suspect)
        self._log_changes(news, source, now)
        return BeliefAnswer(self._make_report(news, now), self._make_report(known_better, now))

    def _knows_better(self, row: SuspicionRow, now: float) -> bool:
        """Return whether the sender of a row lacks a decision or a survival that is known here."""
        suspicion = self.crashes.get(SuspectId(row.suspect))
        if suspicion is not None:
            return suspicion.quarantined and not row.quarantined
        survived_at = self.crashes.get_survival(SuspectId(row.suspect), now)
        return row.survived_age is None and survived_at is not None

    def _make_report(self, suspects: list[SuspectId], now: float) -> SuspicionReport | None:
        rows = []
        for suspect in suspects:
            suspicion = self.crashes.get(suspect) or Suspicion(suspect, False)
            rows.append(self._make_row(suspicion, now))
        return SuspicionReport(rows, now) if rows else None

    def _make_row(self, suspicion: Suspicion, now: float) -> SuspicionRow:
        survived_at = self.crashes.get_survival(suspicion.suspect, now)
        crashes = []
        for crash in suspicion.crashes.values():
            crashes.append(CrashRow(crash.endpoint, max(0.0, now - crash.at), crash.request))
        return SuspicionRow(
            suspicion.suspect,
            suspicion.repeats,
            crashes,
            None if survived_at is None else max(0.0, now - survived_at),
            suspicion.quarantined,
        )

    def _log_limit(self, limit: NamedLimit, source: str, now: float) -> None:
        row = {"endpoint": limit.endpoint, "limit": limit.rate}
        age = round(now - limit.at, 3)
        logger.info("endpoint limit changed", extra={**row, "age": age, "source": source})

    def _log_changes(self, suspects: list[SuspectId], source: str, now: float) -> None:
        """Log changed suspicions; those without crashes have been cleared."""
        for suspect in suspects:
            suspicion = self.crashes.get(suspect)
            row: dict[str, object] = {"suspect": suspect, "state": "cleared", "source": source}
            if suspicion is not None:
                row["state"] = "quarantined" if suspicion.quarantined else "suspected"
                row["crashes"] = sorted(suspicion.crashes)
                row["age"] = round(now - suspicion.last_at, 3)
            logger.info("suspicion changed", extra=row)


def _read_row(row: SuspicionRow, now: float) -> Suspicion:
    crashes = {}
    for crash in row.crashes:
        crashes[crash.endpoint] = Crash(crash.endpoint, now - max(0.0, crash.age), crash.request)
    survived_at = -inf if row.survived_age is None else now - max(0.0, row.survived_age)
    suspect = SuspectId(row.suspect)
    return Suspicion(suspect, row.repeats, crashes, survived_at, row.quarantined)


def _make_limit_report(limits: Iterable[NamedLimit], now: float) -> EndpointLimitReport:
    rows = [EndpointLimitRow(item.endpoint, item.rate, max(0.0, now - item.at)) for item in limits]
    return EndpointLimitReport(rows, now)
