"""Combines the platform's instance list, which lags behind, with the state of streams."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct

from coltsfootshift.controllers.notices import NoticeStore
from coltsfootshift.ids import InstanceId
from coltsfootshift.messages import InstanceNotice, NoticedState, VersionedRecord
from coltsfootshift.settings import Address

__all__ = ["InstanceRecord", "Membership"]


class InstanceRecord(Struct, frozen=True):
    """An instance in the platform's list; `service` is empty for an entry."""

    instance: str
    role: Literal["entry", "agent"]
    region: str
    failure_domain: str
    peers: Address
    operators: Address
    state: Literal["live", "leaving"]
    service: str = ""
    callers: Address | None = None
    weight: Annotated[int, Meta(ge=1)] = 1


class Membership:
    """The instances that this process knows, and which of them accept new work.

    An instance is leaving if the list says so, or if it has announced it on a stream and no new
    incarnation of it has connected since. Entries and the agents of each service are indexed, so
    that the cost of a change does not depend on the number of instances.
    """

    def __init__(self, own: InstanceId) -> None:
        self._own = own
        self._records: dict[InstanceId, InstanceRecord] = {}
        self._entries: dict[InstanceId, InstanceRecord] = {}
        self._agents: dict[str, dict[InstanceId, InstanceRecord]] = {}
        self._announced_leaving: dict[InstanceId, str] = {}
        self._connected: dict[InstanceId, int] = {}
        self.notices = NoticeStore(own)

    def __len__(self) -> int:
        return len(self._records)

    def apply(self, changed: list[VersionedRecord]) -> list[str]:
        """Apply changed records of the instance list; return error texts for invalid records."""
        problems = []
        for record in changed:
            instance = InstanceId(record.key)
            if not record.value:
                self._remove(instance)
                self._announced_leaving.pop(instance, None)
                self.notices.forget(instance)
                continue
            try:
                self._put(instance, msgspec.json.decode(record.value, type=InstanceRecord))
            except msgspec.DecodeError as error:
                problems.append(f"instance {record.key}: {error}")
        return problems

    def record_connected(self, instance: InstanceId, incarnation: str) -> None:
        """Record that a stream to this instance has opened."""
        self._connected[instance] = self._connected.get(instance, 0) + 1
        if self._announced_leaving.get(instance) not in (None, incarnation):
            del self._announced_leaving[instance]

    def record_disconnected(self, instance: InstanceId) -> None:
        """Record that a stream to this instance has closed."""
        count = self._connected.get(instance, 0) - 1
        if count > 0:
            self._connected[instance] = count
            return
        self._connected.pop(instance, None)

    def record_leaving(self, instance: InstanceId, incarnation: str) -> None:
        """Record that this incarnation of the instance has announced that it is leaving."""
        self._announced_leaving[instance] = incarnation

    def merge_notice(self, notice: InstanceNotice) -> list[InstanceNotice]:
        """Merge a peer's notice about an instance; return the notices to send to all peers."""
        instance = InstanceId(notice.instance)
        if instance != self._own and instance not in self._records:
            return []
        changed_notices = self.notices.merge(notice)
        if changed_notices and notice.state is NoticedState.LIVE:
            self._announced_leaving.pop(instance, None)
        return changed_notices

    def report_unreachable(self, instance: InstanceId) -> list[InstanceNotice]:
        """Record that this process cannot reach an instance; return notices for all peers."""
        return self.notices.report(instance, NoticedState.UNREACHABLE)

    def is_connected(self, instance: InstanceId) -> bool:
        """Return whether a stream to the instance is open now."""
        return instance in self._connected

    def is_leaving(self, instance: InstanceId) -> bool:
        """Return whether the instance must not get new work."""
        record = self._records.get(instance)
        if instance in self._announced_leaving:
            return True
        if self.notices.find_state(instance) is NoticedState.LEAVING:
            return True
        return record is not None and record.state == "leaving"

    def find(self, instance: InstanceId) -> InstanceRecord | None:
        """Return the record of an instance, or None."""
        return self._records.get(instance)

    def count_entries(self) -> int:
        """Return the number of entries in the list, including those that are leaving."""
        return len(self._entries)

    def list_all(self) -> list[InstanceRecord]:
        """Return all records, sorted by instance."""
        return [self._records[instance] for instance in sorted(self._records)]

    def list_entries(self) -> list[InstanceRecord]:
        """Return the entries that accept new work, sorted by instance."""
        rows = []
        for instance in sorted(self._entries):
            if self.is_leaving(instance):
                continue
            rows.append(self._entries[instance])
        return rows

    def list_entries_for_callers(self) -> list[InstanceRecord]:
        """Return the entries that accept callers, including leaving ones, sorted by instance."""
        rows = [self._entries[instance] for instance in sorted(self._entries)]
        return [row for row in rows if row.callers is not None]

    def is_unreachable(self, instance: InstanceId) -> bool:
        """Return whether the instance has been reported as unreachable."""
        return self.notices.find_state(instance) is NoticedState.UNREACHABLE

    def list_agents(self, service: str) -> list[InstanceRecord]:
        """Return the agents of a service, including leaving ones, sorted by instance."""
        agents = self._agents.get(service, {})
        return [agents[instance] for instance in sorted(agents)]

    def _put(self, instance: InstanceId, record: InstanceRecord) -> None:
        self._remove(instance)
        self._records[instance] = record
        if record.role == "entry":
            self._entries[instance] = record
            return
        self._agents.setdefault(record.service, {})[instance] = record

    def _remove(self, instance: InstanceId) -> None:
        record = self._records.pop(instance, None)
        if record is None:
            return
        self._entries.pop(instance, None)
        agents = self._agents.get(record.service, {})
        agents.pop(instance, None)
        if not agents:
            self._agents.pop(record.service, None)
