"""What an entry does about evacuations of failure domains, and what operators see of them."""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping, Sequence
from functools import partial

from coltsfootshift.gateway.exchange import Exchange
from coltsfootshift.gateway.placement import EndpointState, forecast_slots
from coltsfootshift.gateway.table_cache import TableCache
from coltsfootshift.gateway.waiting import RequestsAhead, ServiceQueue, SlotForecast
from coltsfootshift.ids import FailureDomain, ServiceName
from coltsfootshift.logs import get_logger
from coltsfootshift.metrics import Metrics

__all__ = ["EvacuationMonitor"]

logger = get_logger("gateway.evacuations")


class EvacuationMonitor:
    """Notices which evacuations begin and end, empties the domains and shows them to operators.

    A request that has not left this process for an evacuated domain goes elsewhere. What has been
    sent may have begun, and ends where it is.
    """

    def __init__(
        self,
        tables: TableCache,
        metrics: Metrics,
        read_time: Callable[[], float],
        exchanges: Collection[Exchange],
    ) -> None:
        self._tables = tables
        self._metrics = metrics
        self._read_time = read_time
        self._exchanges = exchanges
        self._out: dict[FailureDomain, float] = {}
        self._lifts: dict[FailureDomain, float] = {}
        self._emptied: set[ServiceName] = set()  # whose queues have not been forecast anew
        metrics.add_gauge("failure_domains_evacuated", lambda: float(len(self._out)))
        metrics.add_gauge("evacuated_requests_running", self._count_all_requests)

    def update(self, now: float) -> list[FailureDomain]:
        """Notice what has changed since the last call; return the domains that are back."""
        out = self._tables.evacuations.list_out()
        begun = [domain for domain, since in out.items() if self._out.get(domain) != since]
        # An evacuation may have begun and ended since the last call.
        lifts = self._tables.evacuations.list_lifts()
        ended = [name for name, at in lifts.items() if self._lifts.get(name) != at]
        ended = [domain for domain in ended if domain not in out]
        self._lifts = lifts
        for domain in ended:
            self._show_end(domain, now - self._out.pop(domain, lifts[domain]))
        for domain in begun:
            self._out[domain] = out[domain]
            self._show_begin(domain, out[domain], now)
        for exchange in list(self._exchanges) if begun else ():
            state = exchange.attempted
            if state is not None and state.record.failure_domain in begun:
                exchange.guard(exchange.withdraw_unsent, "the failure domain is evacuated")
        for record in self._tables.endpoints.values():
            if record.failure_domain in begun:
                self._emptied.add(record.service)
        return ended

    def refuse_unserved(
        self,
        queues: Mapping[ServiceName, ServiceQueue],
        list_prospects: Callable[[Exchange, float], Sequence[EndpointState]],
        start_count: Callable[[ServiceName], RequestsAhead],
        entry_count: int,
        now: float,
    ) -> None:
        """Refuse what waits and gets no place in time without the endpoints of the domains.

        `list_prospects` returns the endpoints that may serve a request, which `entry_count` entries
        share. `start_count` returns a new count of the requests ahead for the queue of a service.
        """

        def forecast(exchange: Exchange) -> SlotForecast | None:
            states = list_prospects(exchange, now)
            return forecast_slots(states, entry_count, now) if states else None

        emptied, self._emptied = self._emptied, set()
        for name, queue in queues.items():
            if name not in emptied:
                continue
            for queued, refusal in list(queue.recheck(forecast, start_count(name), now)):
                queued.item.guard(queued.item.refuse, refusal)

    def _show_begin(self, domain: FailureDomain, since: float, now: float) -> None:
        listed = [record.failure_domain for record in self._tables.endpoints.values()]
        logger.info(
            "failure domain evacuated",
            extra={
                "domain": domain,
                "known_for": round(now - since, 3),
                "endpoints": listed.count(domain),
                "running": self._count_requests(domain),
            },
        )
        self._metrics.add_gauge(
            f"evacuation_seconds_{domain}", lambda: round(self._read_time() - since, 3)
        )
        self._metrics.add_gauge(
            f"evacuation_requests_{domain}", partial(self._count_requests, domain)
        )

    def _show_end(self, domain: FailureDomain, seconds: float) -> None:
        running = self._count_requests(domain)
        row = {"domain": domain, "out_for": round(seconds, 3), "running": running}
        logger.info("failure domain back in service", extra=row)
        self._metrics.remove_gauge(f"evacuation_seconds_{domain}")
        self._metrics.remove_gauge(f"evacuation_requests_{domain}")

    def _list_attempted(self) -> list[FailureDomain]:
        """Return the failure domain of each attempt in progress."""
        states = [exchange.attempted for exchange in self._exchanges]
        return [state.record.failure_domain for state in states if state is not None]

    def _count_requests(self, domain: FailureDomain) -> float:
        return float(self._list_attempted().count(domain))

    def _count_all_requests(self) -> float:
        return float(sum(domain in self._out for domain in self._list_attempted()))
