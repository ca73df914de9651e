"""The agent daemon and its command-line entry point."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import defopt

from coltsfootshift.agent.weights import WeightsTask
from coltsfootshift.agent.work import AgentWorkTask
from coltsfootshift.controllers.load import find_report_interval
from coltsfootshift.engines.base import EndpointStatus
from coltsfootshift.engines.http import HttpEndpoint
from coltsfootshift.ids import InstanceId, Purpose, Role
from coltsfootshift.node import Node, run_daemon
from coltsfootshift.settings import AgentSettings
from coltsfootshift.weightstore.http import HttpWeightStore

__all__ = ["AgentNode", "main"]


class AgentNode(Node):
    """An agent process: passes requests to its endpoint and, for an engine, manages its weights."""

    role = Role.AGENT
    settings: AgentSettings

    @property
    def service(self) -> str:
        """The service that this agent's endpoint belongs to."""
        return self.settings.endpoint.service

    def start_role(self) -> None:
        """Start the work task and, for an engine, the weights task."""
        settings = self.settings
        own_id = InstanceId(settings.instance)
        endpoint = HttpEndpoint(self.reactor, settings.endpoint.url)
        self.work = AgentWorkTask(
            self.context, endpoint, settings.endpoint.service, own_id, self.incarnation
        )
        self.work.find_report_interval = self._find_report_interval
        self.weights: WeightsTask | None = None
        if settings.endpoint.kind == "engine":
            store = HttpWeightStore(self.reactor, settings.weight_store)
            self.weights = WeightsTask(self.context, self.mesh, endpoint, store, settings, self.rng)
            self.listener.register(Purpose.WEIGHTS, self.weights)
            self.work.on_status = self._forward_status
            self.weights.start()
        self.listener.register(Purpose.WORK, self.work)
        self.work.start()

    def stop_new_work(self) -> None:
        """Refuse new requests."""
        self.work.stop_new_work()

    def count_unfinished(self) -> int:
        """Return the number of unfinished requests at the endpoint."""
        return self.work.unfinished

    def describe_role(self) -> dict[str, Any]:
        """Return the state of the endpoint and its weights for the status page."""
        status = self.work.status
        row: dict[str, Any] = {"service": self.service, "tickets": len(self.work.ledger)}
        if status is not None:
            row["endpoint"] = {
                "running": status.running,
                "queued": status.queued,
                "capacity": status.capacity,
                "digest": status.digest,
                "serving": status.serving,
            }
        if self.weights is not None:
            row["weights"] = self.weights.describe()
        return row

    def _find_report_interval(self) -> float:
        membership = self.mesh.membership
        entries = membership.count_entries()
        return find_report_interval(len(membership) - entries, entries)

    def _forward_status(self, status: EndpointStatus) -> None:
        if self.weights is not None:
            self.weights.post(status)


def run(*, settings: Path) -> None:
    """Run an agent until SIGTERM or SIGINT, then drain it.

    :param settings: JSON file with the settings of this process
    """
    run_daemon(settings, AgentSettings, AgentNode)


def main() -> None:
    """Entry point of `coltsfootshift-agent`."""
    defopt.run(run, cli_options="all")


if __name__ == "__main__":
    main()
