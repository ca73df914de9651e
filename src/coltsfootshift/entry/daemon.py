"""The entry daemon: accepts callers' requests and runs them at agents."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import defopt

from coltsfootshift.controllers.membership import InstanceRecord
from coltsfootshift.controllers.quarantine import Quarantine
from coltsfootshift.entry.attempts import RequestRunner
from coltsfootshift.entry.directory import Directory, DirectoryHandler, EntryStatus
from coltsfootshift.entry.dispatch import Dispatcher
from coltsfootshift.entry.http_server import CallerHttpServer
from coltsfootshift.entry.peering import EntryPeering
from coltsfootshift.entry.suspects import SuspectSharing
from coltsfootshift.entry.work import WorkTask
from coltsfootshift.filters.base import FilterChain
from coltsfootshift.filters.deadline import DeadlineFilter
from coltsfootshift.filters.identity import IdentityFilter
from coltsfootshift.filters.limits import LimitsFilter
from coltsfootshift.filters.quarantine import QuarantineFilter
from coltsfootshift.ids import InstanceId, Purpose, Role
from coltsfootshift.node import Node, run_daemon
from coltsfootshift.settings import EntrySettings

__all__ = ["EntryNode", "main"]

DRAIN_MARGIN_SECONDS = 1.0


class EntryNode(Node):
    """An entry process: serves callers over HTTP and runs their requests at agents."""

    role = Role.ENTRY
    settings: EntrySettings

    def start_role(self) -> None:
        """Connect to agents and other entries and start the HTTP server for callers."""
        own_id = InstanceId(self.settings.instance)
        self.work = WorkTask(self.context, self.mesh, own_id, self.rng)
        self.peering = EntryPeering(self.context, self.mesh, own_id, self.rng)
        self.listener.register(Purpose.ENTRIES, self.peering)
        self.peering.start()
        self.dispatcher = Dispatcher(self.reactor, self.work, self.metrics)
        quarantine = Quarantine()
        self.suspects = SuspectSharing(self.reactor, self.peering, quarantine, self.metrics)
        chain = FilterChain(
            [
                IdentityFilter(self.mesh.view),
                DeadlineFilter(),
                QuarantineFilter(quarantine),
                LimitsFilter(self.peering.limits),
            ]
        )
        self.http_server = CallerHttpServer(
            self.reactor,
            chain,
            FilterChain([IdentityFilter(self.mesh.view)]),
            RequestRunner(self.reactor, self.work, self.dispatcher, self.suspects, self.metrics),
            self.work,
            self.metrics,
            self._make_directory(),
            lambda: self.mesh.is_ready,
            self.decisions,
        )
        self.http_server.listen(self.settings.callers.host, self.settings.callers.port)

    def _make_directory(self) -> DirectoryHandler:
        settings = self.settings
        own_record = InstanceRecord(
            instance=settings.instance,
            role="entry",
            region=settings.region,
            failure_domain=settings.failure_domain,
            peers=settings.peers,
            operators=settings.operators,
            state="live",
            callers=settings.callers,
        )
        directory = Directory(own_record, settings.region, settings.directory_lifetime)
        return DirectoryHandler(
            directory, self._list_entry_statuses, lambda: self.leaving, self.rng
        )

    def _list_entry_statuses(self) -> list[EntryStatus]:
        membership = self.mesh.membership
        statuses = []
        for record in membership.list_entries_for_callers():
            instance = InstanceId(record.instance)
            leaving = membership.is_leaving(instance)
            statuses.append(EntryStatus(record, leaving, membership.is_unreachable(instance)))
        return statuses

    @property
    def min_drain_seconds(self) -> float:
        """Minimum drain time in seconds: callers cache the directory for its lifetime."""
        return self.settings.directory_lifetime + DRAIN_MARGIN_SECONDS

    def stop_new_work(self) -> None:
        """Refuse new requests with a retryable `not_run`."""
        self.http_server.leaving = True

    def count_unfinished(self) -> int:
        """Return the number of callers' requests in progress."""
        return self.http_server.in_progress

    def end_unfinished(self) -> None:
        """Answer the requests in progress, so that none is cut without an outcome."""
        self.http_server.end_unfinished()

    def describe_role(self) -> dict[str, Any]:
        """Return the connected endpoints, limit shares, suspects and queues for the status page."""
        rows = {}
        now = self.reactor.seconds()
        for instance, endpoint in self.work.endpoints.endpoints.items():
            rows[instance] = {
                "service": endpoint.service,
                "own": endpoint.own_in_flight,
                "usable": endpoint.usable,
                "estimate": round(endpoint.estimate(now), 3),
                "digest": endpoint.report.digest if endpoint.report else "",
                "serving": endpoint.report.serving if endpoint.report else False,
            }
        return {
            "endpoints": rows,
            "shares": self.peering.describe(),
            "suspects": self.suspects.describe(),
            "queues": self.dispatcher.describe(),
        }


def run(*, settings: Path) -> None:
    """Run an entry until SIGTERM or SIGINT, then drain it.

    :param settings: JSON file with the settings of this process
    """
    run_daemon(settings, EntrySettings, EntryNode)


def main() -> None:
    """Entry point of `coltsfootshift-entry`."""
    defopt.run(run, cli_options="all")


if __name__ == "__main__":
    main()
