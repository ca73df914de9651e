"""Makes an entry known to agents that know no entry."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from random import Random

from twisted.internet.task import LoopingCall

from coltsfootshift.controllers.introductions import IntroductionPlanner
from coltsfootshift.controllers.rings import rank_by_hash
from coltsfootshift.gateway.fleet import FleetTask
from coltsfootshift.gateway.table_cache import TableCache
from coltsfootshift.ids import FailureDomain, InstanceId, Purpose
from coltsfootshift.logs import get_logger
from coltsfootshift.settings import Address
from coltsfootshift.streams import Dialer, StreamContext

__all__ = ["AgentIntroductions"]

TICK_SECONDS = 0.5

logger = get_logger("gateway.introductions")


class AgentIntroductions:
    """Dials agents beside the listed engines while no agent has dialled this entry.

    The table of endpoints says on which instances there are engines, and agents listen on the same
    port everywhere. A dialled agent receives the known entries and dials one itself.
    `regions` maps each failure domain to its region; agents of the own region are dialled first.
    """

    def __init__(
        self,
        context: StreamContext,
        tables: TableCache,
        fleet: FleetTask,
        agent_port: int,
        regions: Mapping[str, str],
        is_leaving: Callable[[], bool],
        rng: Random,
    ) -> None:
        self._context = context
        self._tables = tables
        self._fleet = fleet
        self._agent_port = agent_port
        self._regions = regions
        self._is_leaving = is_leaving
        self._planner = IntroductionPlanner()
        self._dialer = Dialer(context, Purpose.ENTRIES, fleet, rng)
        self._loop = LoopingCall(self._tick)
        self._loop.clock = context.reactor

    def start(self) -> None:
        """Start the periodic task."""
        self._loop.start(TICK_SECONDS, now=False)

    def _tick(self) -> None:
        is_known = self._is_leaving() or self._fleet.is_dialled_by_agent()
        agents = {} if is_known else self._list_agents()
        chosen = self._planner.choose(list(agents), is_known, self._context.reactor.seconds())
        targets = {InstanceId(name): agents[name] for name in chosen}
        if targets.keys() - self._dialer.targets:
            logger.info("introduced to agents", extra={"agents": chosen})
        self._dialer.set_targets(targets)

    def _list_agents(self) -> dict[str, Address]:
        """Return the addresses of agents by their names, the preferred ones first."""
        own = self._context.make_hello(Purpose.ENTRIES)
        catalogue = self._tables.catalogue
        found: dict[str, tuple[Address, FailureDomain]] = {}
        for record in self._tables.endpoints.values():
            service = catalogue.services.get(record.service) if catalogue else None
            if service is None or service.engine is None:
                continue
            address = Address(record.address.host, self._agent_port)
            found[f"{address.host}:{address.port}"] = (address, record.failure_domain)
        ranked = rank_by_hash(own.instance, list(found))
        ranked.sort(key=lambda name: self._regions.get(found[name][1]) != own.region)
        return {name: found[name][0] for name in ranked}
