"""The filter chain, which admits or refuses requests, and the state of a request."""

from __future__ import annotations

import hashlib
from abc import ABC, abstractmethod
from dataclasses import dataclass, field

from coltsfootshift.catalogue.model import RequestClass, ServiceEntry, TeamEntry
from coltsfootshift.decisions import DecisionTrace
from coltsfootshift.ids import InstanceId, RequestId, TicketId
from coltsfootshift.outcomes import NotRun, Outcome

__all__ = ["PRIORITIES", "Exchange", "FilterChain", "RequestFilter"]

PRIORITIES: dict[RequestClass, int] = {"urgent": 0, "standard": 1, "batch": 2}
FINGERPRINT_BYTES = 16


@dataclass(slots=True)
class Exchange:
    """The state of one request at an entry; times are in monotonic seconds."""

    request: RequestId
    service: str
    operation: str
    team: str
    requested_class: str
    body: bytes
    arrived_at: float
    deadline_seconds: float | None = None
    ticket: TicketId = TicketId("")
    service_entry: ServiceEntry | None = None
    team_entry: TeamEntry | None = None
    priority: int = PRIORITIES["standard"]
    deadline: float = 0.0
    idempotent: bool = False
    attempts: int = 0
    refused_suspect: bool = False
    suspect_refusals: int = 0
    tried: list[InstanceId] = field(default_factory=list)
    trace: DecisionTrace = field(init=False)

    def __post_init__(self) -> None:
        self.trace = DecisionTrace(
            self.request, self.service, self.team, self.arrived_at, self.operation
        )

    def count_runs(self) -> int:
        """Return the number of attempts that count towards the limit.

        Attempts refused because another suspect was running at the endpoint do not count.
        """
        return self.attempts - self.suspect_refusals

    def fingerprint(self) -> bytes:
        """Return a digest of service, operation and body, which identifies repeated requests."""
        digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
        digest.update(f"{self.service}/{self.operation}/".encode())
        digest.update(self.body)
        return digest.digest()


class RequestFilter(ABC):
    """One check of a request. It depends only on its own state, the exchange and the time."""

    @abstractmethod
    def admit(self, exchange: Exchange, now: float) -> NotRun | None:
        """Return a refusal, or None to admit the request."""

    def release(self, exchange: Exchange, outcome: Outcome, now: float) -> None:
        """Release what `admit` acquired; called once for each exchange that it admitted.

        By default there is nothing to release.
        """
        return


class FilterChain:
    """Runs filters in order and releases them in reverse order."""

    def __init__(self, filters: list[RequestFilter]) -> None:
        self._filters = filters

    def __repr__(self) -> str:
        names = [type(item).__name__ for item in self._filters]
        return f"FilterChain({names})"

    def admit(self, exchange: Exchange, now: float) -> NotRun | None:
        """Run all filters; if one refuses, release those before it and return the refusal."""
        for position, item in enumerate(self._filters):
            refusal = item.admit(exchange, now)
            if refusal is None:
                continue
            exchange.trace.add_step(now, type(item).__name__, f"refused: {refusal.reason}")
            self._release_before(position, exchange, refusal, now)
            return refusal
        exchange.trace.add_step(now, "FilterChain", f"admitted with priority {exchange.priority}")
        return None

    def release(self, exchange: Exchange, outcome: Outcome, now: float) -> None:
        """Release all filters, last first."""
        self._release_before(len(self._filters), exchange, outcome, now)

    def _release_before(
        self, position: int, exchange: Exchange, outcome: Outcome, now: float
    ) -> None:
        for item in reversed(self._filters[:position]):
            item.release(exchange, outcome, now)
