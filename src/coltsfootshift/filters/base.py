"""The filter chain: the order in which a request is checked, and undone."""

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
    """One request of a caller on its way through an entry; times are monotonic seconds."""

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
        """Return the attempts that were not put off because another suspect ran there."""
        return self.attempts - self.suspect_refusals

    def fingerprint(self) -> bytes:
        """Return the digest of service, operation and body, the same for every copy sent."""
        digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
        digest.update(f"{self.service}/{self.operation}/".encode())
        digest.update(self.body)
        return digest.digest()


class RequestFilter(ABC):
    """One check of a request; a pure decision on the exchange and the time."""

    @abstractmethod
    def admit(self, exchange: Exchange, now: float) -> NotRun | None:
        """Return why the request is refused, or None to pass it on."""

    def release(self, exchange: Exchange, outcome: Outcome, now: float) -> None:
        """Undo what `admit` took; called once for each exchange that this filter admitted.

        Most filters take nothing.
        """
        return


class FilterChain:
    """Filters in the order in which a request meets them."""

    def __init__(self, filters: list[RequestFilter]) -> None:
        self._filters = filters

    def __repr__(self) -> str:
        names = [type(item).__name__ for item in self._filters]
        return f"FilterChain({names})"

    def admit(self, exchange: Exchange, now: float) -> NotRun | None:
        """Pass the exchange through all filters; undo those passed where one refuses."""
        for position, item in enumerate(self._filters):
            refusal = item.admit(exchange, now)
            if refusal is None:
                continue
            exchange.trace.add_step(now, type(item).__name__, f"refused: {refusal.reason}")
            self._release_from(position, exchange, refusal, now)
            return refusal
        exchange.trace.add_step(now, "FilterChain", f"admitted with priority {exchange.priority}")
        return None

    def release(self, exchange: Exchange, outcome: Outcome, now: float) -> None:
        """Undo all filters, last first."""
        self._release_from(len(self._filters), exchange, outcome, now)

    def _release_from(
        self, position: int, exchange: Exchange, outcome: Outcome, now: float
    ) -> None:
        for item in reversed(self._filters[:position]):
            item.release(exchange, outcome, now)
