"""The agent: the process beside an engine that brings it weights."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from coltsfootshift.controllers.chunks import Location
from coltsfootshift.gateway.engines import LocalEngine, VersionOrigin
from coltsfootshift.gateway.nodes import GatewayNode, NodeConfig
from coltsfootshift.gateway.rollout import RolloutTask
from coltsfootshift.gateway.roster import Roster
from coltsfootshift.gateway.stopping import StopSchedule
from coltsfootshift.gateway.table_cache import ItemDecoder
from coltsfootshift.ids import Purpose, Role, ServiceName
from coltsfootshift.messages import EngineNotice
from coltsfootshift.settings import Address

__all__ = ["GatewayAgent"]


class GatewayAgent(GatewayNode):
    """Transfers weights to the engine on its instance and orders the engine to load them."""

    role = Role.AGENT

    def __init__(
        self,
        reactor: Any,
        config: NodeConfig,
        decoder: ItemDecoder,
        engine: LocalEngine,
        engine_address: Address,
        make_origin: Callable[[Address], VersionOrigin],
        service: ServiceName,
        regions: dict[str, str],
        link_mbps: float,
        version_within: float,
        contact_within: float,
    ) -> None:
        super().__init__(reactor, config, decoder, Roster(None), listens_for_entries=False)
        self._engine_address = engine_address
        self.rollout = RolloutTask(
            self.context,
            self.tables,
            engine,
            make_origin,
            config.peers,
            service,
            Location(config.region, config.failure_domain),
            regions,
            link_mbps,
            version_within,
            contact_within,
            self.metrics,
            self.rng,
            self._report_engine_status,
        )
        self.rollout.share_entries(self.fleet.list_entries, self.fleet.learn_entries)

    def tables_changed(self) -> None:
        """Notify the rollout task of the changed tables."""
        self.rollout.refresh()

    def start_role(self) -> None:
        """Listen for other agents and for entries, and start the rollout task."""
        self.listener.register(Purpose.WEIGHTS, self.rollout)
        self.listener.register(Purpose.ENTRIES, self.fleet)
        self.rollout.start(self.started_ms)

    def stop_new_work(self, schedule: StopSchedule) -> None:
        """Do nothing: other agents request chunks in flight from another source."""

    def count_unfinished(self) -> int:
        """Return 0: an agent has no work that must be finished before it stops."""
        return 0

    def can_stop(self, schedule: StopSchedule, now: float) -> bool:
        """Return True: an agent can stop immediately."""
        return True

    def _report_engine_status(self, model: str, version: int, loading: bool, born: int) -> None:
        address = self._engine_address
        notice = EngineNotice(
            address.host, address.port, born, model, version, loading, self.reactor.seconds()
        )
        self.fleet.send_engine_status(notice)
