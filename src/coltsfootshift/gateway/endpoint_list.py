"""The endpoints that the platform lists, and which of its records to believe after an outage."""

from __future__ import annotations

from dataclasses import dataclass, replace
from math import inf

from coltsfootshift.gateway.model import EndpointRecord
from coltsfootshift.ids import InstanceId
from coltsfootshift.logs import get_logger
from coltsfootshift.settings import Address

__all__ = ["EndpointList", "EngineStatus"]

# Live endpoints whose leases expired in an outage of the store re-register within this time. After
# the store came back from an older copy, they write their records again within it.
LEASE_EXPIRY_GRACE_SECONDS = 2.0
# The store removes the record of an endpoint that has not renewed it for three heartbeats of 1.2 s.
LEASE_SECONDS = 4.0
# A copy of the store is some seconds old; what left before it was made is not in it.
MAX_COPY_AGE_SECONDS = 60.0
ENGINE_STATUS_TTL_SECONDS = 3.0  # the engine's 1.2 s heartbeat to the store plus the store's lag

logger = get_logger("gateway.knowledge")


@dataclass(frozen=True, slots=True)
class EngineStatus:
    """The state of an engine as reported by its agent.

    `version` is the version served, 0 for none, and `loading` is whether the engine is loading
    one. `born` distinguishes the starts of an engine; `received_at` is when this process received
    the report, in seconds.
    """

    born: int
    model: str
    version: int
    loading: bool
    received_at: float


@dataclass(frozen=True, slots=True)
class _Deferred:
    """What the store says of an endpoint, believed from `until` on; no record means removed."""

    record: EndpointRecord | None
    until: float


class EndpointList:
    """The known endpoints by id.

    A record that is missing right after an outage may only have lost its lease, so the endpoint is
    kept for `LEASE_EXPIRY_GRACE_SECONDS`. A store that has come back from an older copy may list
    an endpoint in an earlier state, until the endpoint has written its record again; for as long,
    the newer record that is known here is kept. An incarnation that was gone before is not used
    until a lease of the copy must have expired.
    """

    def __init__(self) -> None:
        self.records: dict[InstanceId, EndpointRecord] = {}
        self._ids: dict[str, InstanceId] = {}
        self._deferred: dict[InstanceId, _Deferred] = {}
        self._departed: dict[str, float] = {}
        self._engine_statuses: dict[Address, EngineStatus] = {}

    def __repr__(self) -> str:
        return f"EndpointList({sorted(self.records)}, deferred={sorted(self._deferred)})"

    def put(self, key: str, record: EndpointRecord, now: float) -> None:
        """Apply a record that the store has received from its endpoint."""
        self._ids[key] = record.endpoint
        self._deferred.pop(record.endpoint, None)
        self.records[record.endpoint] = self._apply_engine_status(record, now)

    def put_from_copy(self, key: str, record: EndpointRecord, now: float) -> None:
        """Apply a record of a store that has come back from a copy, which may be outdated."""
        name = record.endpoint
        held = self.records.get(name)
        self._ids[key] = name
        deferred = self._deferred.get(name)
        if held is not None and deferred is not None and deferred.record is None:
            return  # it was missing before; if it lives, it writes its record again
        if held is None:
            departed_at = self._departed.get(record.incarnation)
            if departed_at is None or now - departed_at > MAX_COPY_AGE_SECONDS:
                self.put(key, record, now)
                return
            self._defer(name, record, now + LEASE_SECONDS, "departed")
            return
        if record.born > held.born:
            self.put(key, record, now)
            return
        if record.born < held.born:
            self._defer(name, None, now + LEASE_EXPIRY_GRACE_SECONDS, "earlier start")
            return
        if held.leaving:
            record = replace(record, leaving=True)
        self._deferred[name] = _Deferred(record, now + LEASE_EXPIRY_GRACE_SECONDS)

    def remove(self, key: str, now: float, reconnected_at: float = -inf) -> bool:
        """Remove the endpoint of a deleted or invalid record; return whether it was known.

        It is kept for a while if its lease may have expired in an outage of the store, which ended
        at `reconnected_at`.
        """
        name = self._ids.get(key)
        if name is None:
            return False
        cached = self.records.get(name)
        lease_may_have_expired = now - reconnected_at < LEASE_EXPIRY_GRACE_SECONDS
        if lease_may_have_expired and cached is not None and not cached.leaving:
            self._deferred[name] = _Deferred(None, reconnected_at + LEASE_EXPIRY_GRACE_SECONDS)
            return True
        self._deferred.pop(name, None)
        self._drop(name, now, "removed")
        return True

    def apply_deferred(self, now: float) -> bool:
        """Believe the records whose time has come; return whether there were any."""
        due = [name for name, deferred in self._deferred.items() if deferred.until <= now]
        for name in due:
            record = self._deferred.pop(name).record
            if record is None:
                self._drop(name, now, "lapsed")
                continue
            self.records[name] = self._apply_engine_status(record, now)
        return bool(due)

    def update_engine_status(self, address: Address, status: EngineStatus) -> list[InstanceId]:
        """Apply an agent's report of its engine; return the endpoints that it changes.

        The store reports the same state one heartbeat later. Until then the report takes
        precedence over the store's record.
        """
        self._engine_statuses[address] = status
        changed = []
        for name, record in self.records.items():
            updated = self._apply_engine_status(record, status.received_at)
            if updated != record:
                self.records[name] = updated
                changed.append(name)
        return changed

    def _defer(
        self, name: InstanceId, record: EndpointRecord | None, until: float, cause: str
    ) -> None:
        self._deferred[name] = _Deferred(record, until)
        logger.info(
            "record of an older copy not used yet",
            extra={"endpoint": name, "cause": cause, "known": name in self.records},
        )

    def _drop(self, name: InstanceId, now: float, cause: str) -> None:
        self._ids = {key: known for key, known in self._ids.items() if known != name}
        record = self.records.pop(name, None)
        if record is None:
            return
        for incarnation, departed_at in list(self._departed.items()):
            if now - departed_at <= MAX_COPY_AGE_SECONDS:
                break
            del self._departed[incarnation]
        self._departed[record.incarnation] = now
        logger.info("endpoint gone", extra={"endpoint": name, "cause": cause})

    def _apply_engine_status(self, record: EndpointRecord, now: float) -> EndpointRecord:
        status = self._engine_statuses.get(record.address)
        if status is None or status.born != record.born:
            return record
        if now - status.received_at > ENGINE_STATUS_TTL_SECONDS:
            del self._engine_statuses[record.address]
            return record
        versions = {
            name: served for name, served in record.versions.items() if name != status.model
        }
        if status.version and not status.loading:
            versions[status.model] = status.version
        return replace(record, versions=versions, loading=status.loading)
