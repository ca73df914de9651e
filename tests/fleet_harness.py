"""Fakes of what the fleet task works with: its context, its observer and the streams to peers."""

from __future__ import annotations

from coltsfootshift.gateway.fleet import FleetObserver
from coltsfootshift.ids import InstanceId, Role
from coltsfootshift.messages import TableChangesRequest
from coltsfootshift.metrics import Metrics
from coltsfootshift.traffic import TrafficMeter


class Observer(FleetObserver):
    def __init__(self, reads=False):
        self._reads = reads

    def reads_store(self, table):
        return self._reads

    def tables_changed(self):
        pass

    def roster_changed(self):
        pass

    def engine_status_received(self, notice, transit_delay):
        pass


class Stream:
    """A stream to a peer that records the messages sent on it."""

    max_transit_seconds = 0.0
    transit_delay = 0.0
    peer_is_near = True

    def __init__(self, incarnation="1", peer_id="entry-2", role=Role.ENTRY):
        self.sent = []
        self.aborted = False
        self.peer_incarnation = incarnation
        self.peer_id = InstanceId(peer_id)
        self.peer_role = role.value

    def send(self, message):
        self.sent.append(message)

    def set_needed(self, needed):
        pass

    def abort(self, reason):
        self.aborted = True

    def count_requests(self):
        return sum(isinstance(message, TableChangesRequest) for message in self.sent)


class Context:
    def __init__(self, clock):
        self.reactor = clock
        self.traffic = TrafficMeter(Metrics())
