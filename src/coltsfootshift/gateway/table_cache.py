"""A local cache of the platform's tables, with the time at which each was last confirmed."""

from __future__ import annotations

from abc import ABC, abstractmethod
from bisect import bisect_left
from dataclasses import dataclass, field, replace
from enum import Enum
from math import inf, isfinite

from coltsfootshift.gateway.model import EndpointRecord, GatewayCatalogue
from coltsfootshift.ids import InstanceId
from coltsfootshift.logs import get_logger
from coltsfootshift.settings import Address

__all__ = [
    "EngineStatus",
    "Item",
    "ItemDecoder",
    "TableCache",
    "Table",
    "TableAnswer",
    "TableConsumer",
    "WantedVersion",
]

# Live endpoints whose leases expired in an outage of the store re-register within this time.
LEASE_EXPIRY_GRACE_SECONDS = 2.0
MAX_VERSIONS_PER_MODEL = 16  # the latest versions of a model; their deadlines may still be pending
ENGINE_STATUS_TTL_SECONDS = 3.0  # the engine's 1.2 s heartbeat to the store plus the store's lag
MAX_STOP_SECONDS = 0.5  # a shorter stop is within the margin that entries keep to a version's limit
# A table that was confirmed within this time before a change has been followed without a break.
MAX_OBSERVED_AGE_SECONDS = 2.0
MAX_SHARED_AGE_SECONDS = 60.0  # the limit of a version published before has passed
MIN_LOGGED_CORRECTION_SECONDS = 0.1  # of the time of a publication; smaller ones are transit times
MIN_OUTAGE_SECONDS = 1.0  # leases do not expire in a shorter outage of the store

logger = get_logger("gateway.knowledge")


class Table(Enum):
    """The tables of the platform's store that this system reads."""

    OPERATOR = "operator"
    ENDPOINTS = "endpoints"


@dataclass(frozen=True, slots=True)
class Item:
    """One item of a table; `value` is None if it was deleted at `revision`."""

    key: str
    revision: int
    value: bytes | None


@dataclass(frozen=True, slots=True)
class TableAnswer:
    """The store's answer for a table; `complete` if `items` is the whole table.

    `revision` is the store's revision at the moment of the answer. `confirmed_at` is a time on
    this process's clock, in seconds, that is not later than that moment.
    """

    table: Table
    items: tuple[Item, ...]
    revision: int
    complete: bool
    confirmed_at: float


@dataclass(frozen=True, slots=True)
class WantedVersion:
    """A published version of a model's weights, and when this process learnt of it.

    `at_start` is set if the version was in the first answer that the process received; `learnt_at`
    is the start time of the process in that case. `followed` is set if this process ran without a
    break since the store last confirmed that the version was not published, at `unpublished_at`;
    `learnt_at` then stands for the publication. Otherwise it is when the process went on after the
    break. `reported_at` is the earliest time of publication reported by other processes, and
    `held_since` the earliest time since which any process, this one included, is known to have the
    version, so that it was published before; infinite if unknown. Times are in seconds of this
    process's clock.
    """

    model: str
    version: int
    learnt_at: float
    at_start: bool = False
    followed: bool = True
    unpublished_at: float = -inf
    reported_at: float = inf
    held_since: float = inf

    @property
    def published_by(self) -> float | None:
        """The time by which the version was published, None if only bounds of it are known.

        The answer of the store may have taken long to arrive here, so that the earliest process
        that had the version counts.

        >>> WantedVersion("m", 2, learnt_at=6.0, reported_at=1.5).published_by
        1.5
        >>> WantedVersion("m", 2, learnt_at=6.0, held_since=5.2).published_by
        5.2
        >>> WantedVersion("m", 2, learnt_at=6.0, at_start=True).published_by
        >>> WantedVersion("m", 2, learnt_at=6.0, followed=False, unpublished_at=0.5).published_by
        """
        if self.followed and not self.at_start:
            return min(self.learnt_at, self.reported_at, self.held_since)
        return self.reported_at if isfinite(self.reported_at) else None

    def compute_limit(self, version_within: float, contact_within: float) -> float:
        """Return when requests may no longer start on an older version.

        It is `version_within` after the publication, whenever this process learnt of it. If nobody
        knows that time, it counts from the last moment at which the version was known not to be
        published, but not before `contact_within` after the start or stop of this process, from
        which on it is held to the limits.

        >>> WantedVersion("m", 2, learnt_at=6.0, reported_at=1.5).compute_limit(8.0, 3.0)
        9.5
        >>> stopped = WantedVersion("m", 2, learnt_at=6.0, followed=False, unpublished_at=0.5)
        >>> stopped.compute_limit(8.0, 3.0)
        9.0
        """
        if self.published_by is not None:
            return self.published_by + version_within
        limit = max(self.unpublished_at + version_within, self.learnt_at + contact_within)
        return limit if self.at_start else min(limit, self.held_since + version_within)

    @property
    def known_by(self) -> float:
        """The earliest time at which a process is known to have had the version.

        >>> WantedVersion("m", 2, learnt_at=0.5, at_start=True, held_since=1.0).known_by
        1.0
        """
        learnt_at = inf if self.at_start else self.learnt_at
        return min(learnt_at, self.reported_at, self.held_since)

    @property
    def observed(self) -> bool:
        """Whether `learnt_at` is close enough to the publication to be reported to others."""
        if self.at_start or not self.followed:
            return False
        return self.learnt_at - self.unpublished_at <= MAX_OBSERVED_AGE_SECONDS


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


class TableConsumer(ABC):
    """Chooses what to read from the store and handles the answers."""

    @abstractmethod
    def choose_start_revision(self, table: Table) -> int | None:
        """Return the revision after which to read changes, or None to read nothing for now."""

    @abstractmethod
    def handle_answer(self, answer: TableAnswer) -> None:
        """Handle an answer of the store."""


class ItemDecoder(ABC):
    """Decodes items of the store; the methods return None for items of another kind."""

    @abstractmethod
    def read_catalogue(self, item: Item) -> GatewayCatalogue | None:
        """Return the catalogue in an item of the operator table."""

    @abstractmethod
    def read_version(self, item: Item) -> tuple[str, int] | None:
        """Return the model and version published in an item of the operator table."""

    @abstractmethod
    def read_endpoint(self, item: Item) -> EndpointRecord | None:
        """Return the record in an item of the endpoint table."""


@dataclass(slots=True)
class _TableState:
    revision: int = 0
    confirmed_at: float = float("-inf")
    reconnected_at: float = float("-inf")
    items: dict[str, Item] = field(default_factory=dict)

    def renew(self, confirmed_at: float, now: float) -> None:
        """Record a confirmation of the store, and whether it is the first after an outage."""
        if now - self.confirmed_at > MIN_OUTAGE_SECONDS + LEASE_EXPIRY_GRACE_SECONDS:
            self.reconnected_at = now
        self.confirmed_at = max(self.confirmed_at, confirmed_at)


class TableCache:
    """The latest known contents of the tables, and when the store confirmed them.

    Revisions only increase: an answer with an older revision than the cached one is ignored.
    Endpoints that disappear right after an outage of the store are kept for
    `LEASE_EXPIRY_GRACE_SECONDS`, because a live endpoint may have lost its lease in the outage.
    """

    def __init__(self, decoder: ItemDecoder, started_at: float = 0.0) -> None:
        self._started_at = started_at
        self.catalogue: GatewayCatalogue | None = None
        self.endpoints: dict[InstanceId, EndpointRecord] = {}
        self.wanted_versions: dict[str, list[WantedVersion]] = {}
        self._decoder = decoder
        self._tables = {table: _TableState() for table in Table}
        self._endpoint_ids: dict[str, InstanceId] = {}
        self._expiring: dict[InstanceId, float] = {}
        self._engine_statuses: dict[Address, EngineStatus] = {}
        self._is_first_answer = True
        self._ran_at = started_at
        self._resumed_at = float("-inf")

    def __repr__(self) -> str:
        version = self.catalogue.version if self.catalogue else None
        return f"TableCache(catalogue={version!r}, endpoints={len(self.endpoints)})"

    @property
    def complete(self) -> bool:
        """Whether a catalogue and the list of endpoints have been received."""
        listed = self._tables[Table.ENDPOINTS].revision > 0
        return self.catalogue is not None and listed

    def get_latest_version(self, model: str) -> WantedVersion | None:
        """Return the newest version published for a model, or None."""
        versions = self.wanted_versions.get(model)
        return versions[-1] if versions else None

    def get_revision(self, table: Table) -> int:
        """Return the revision of the cached table, 0 if it has not been received."""
        return self._tables[table].revision

    def measure_age(self, table: Table, now: float) -> float:
        """Return the seconds since the store last confirmed a table; infinite if it never has."""
        return now - self._tables[table].confirmed_at

    def record_running(self, now: float) -> None:
        """Record that the process runs; called often, so that a gap shows that it stood still."""
        stopped_for = now - self._ran_at
        self._ran_at = now
        if stopped_for > MAX_STOP_SECONDS:
            self._resumed_at = now

    def apply(self, answer: TableAnswer, now: float) -> bool:
        """Apply an answer of the store; return whether any item has changed."""
        state = self._tables[answer.table]
        if answer.revision < state.revision:
            logger.info(
                "outdated table answer ignored",
                extra={
                    "table": answer.table.value,
                    "told": answer.revision,
                    "held": state.revision,
                },
            )
            return False
        first = state.revision == 0
        previously_confirmed_at = state.confirmed_at
        self.record_running(now)
        state.revision = answer.revision
        state.renew(answer.confirmed_at, now)
        items = list(answer.items)
        if answer.complete:
            received_keys = {item.key for item in items}
            for key in list(state.items):
                if key not in received_keys:
                    items.append(Item(key, answer.revision, None))
        self._is_first_answer = first
        changed = False
        for item in items:
            cached = state.items.get(item.key)
            if cached is not None and item.revision <= cached.revision:
                continue
            changed = True
            if item.value is None:
                state.items.pop(item.key, None)
            else:
                state.items[item.key] = item
            self._apply_item(answer.table, item, now, previously_confirmed_at)
        return changed

    def confirm(self, table: Table, revision: int, confirmed_at: float) -> None:
        """Record that the store confirmed a revision to another process at `confirmed_at`.

        Ignored unless it is the revision that is cached here.
        """
        state = self._tables[table]
        if revision == state.revision:
            state.renew(confirmed_at, confirmed_at)

    def record_publication(
        self, model: str, version: int, published_at: float, observed: bool
    ) -> None:
        """Record since when another process has a version; `observed` if it saw the publication.

        The earliest time of each kind counts. A version that a newer one has replaced may be
        unknown here and is added, since its limit still counts. One that is newer than the cached
        table is ignored; it is reported again.
        """
        versions = self.wanted_versions.get(model, [])
        if not versions or version > versions[-1].version:
            return
        index = bisect_left(versions, version, key=lambda wanted: wanted.version)
        wanted = versions[index]
        if wanted.version != version:
            if len(versions) >= MAX_VERSIONS_PER_MODEL:
                return
            wanted = replace(wanted, version=version, followed=False, reported_at=inf)
            wanted = replace(wanted, held_since=published_at)
            versions.insert(index, wanted)
        known = wanted.published_by
        wanted = replace(wanted, held_since=min(wanted.held_since, published_at))
        if observed:
            wanted = replace(wanted, reported_at=min(wanted.reported_at, published_at))
        versions[index] = wanted
        if wanted.published_by is None or wanted.published_by == known:
            return
        if known is None or known - published_at > MIN_LOGGED_CORRECTION_SECONDS:
            logger.info(
                "publication time learnt from a peer",
                extra={
                    "model": model,
                    "version": version,
                    "observed": observed,
                    "age": round(self._ran_at - published_at, 3),
                    "earlier": None if known is None else round(known - published_at, 3),
                },
            )

    def list_shared_versions(self, now: float) -> list[WantedVersion]:
        """Return the versions that a process needs to know of if it missed their publication.

        A version is needed until the one that replaced it is due everywhere.
        """
        shared = []
        for versions in self.wanted_versions.values():
            for wanted, successor in zip(versions, (*versions[1:], versions[-1]), strict=True):
                if now - successor.known_by <= MAX_SHARED_AGE_SECONDS:
                    shared.append(wanted)
        return shared

    def list_items(self, table: Table, after: int) -> tuple[list[Item], list[str]]:
        """Return the items changed after a revision, and the keys of all items."""
        items = self._tables[table].items
        return [item for item in items.values() if item.revision > after], list(items)

    def merge_items(self, table: Table, items: list[Item], keys: list[str]) -> list[Item]:
        """Return the whole table: the given items, and the cached items of all other `keys`."""
        received = {item.key: item for item in items}
        cached = self._tables[table].items
        merged = []
        for key in keys:
            item = received.get(key) or cached.get(key)
            if item is not None:
                merged.append(item)
        return merged

    def update_engine_status(self, address: Address, status: EngineStatus) -> list[InstanceId]:
        """Apply an agent's report of its engine; return the endpoints that it changes.

        The store reports the same state one heartbeat later. Until then the report takes
        precedence over the store's record.
        """
        self._engine_statuses[address] = status
        changed = []
        for name, record in self.endpoints.items():
            updated = self._apply_engine_status(record, status.received_at)
            if updated != record:
                self.endpoints[name] = updated
                changed.append(name)
        return changed

    def remove_expired(self, now: float) -> bool:
        """Remove endpoints whose grace period is over; return whether there were any."""
        expired = [name for name, until in self._expiring.items() if until <= now]
        for name in expired:
            del self._expiring[name]
            self.endpoints.pop(name, None)
            logger.info("endpoint gone", extra={"endpoint": name, "cause": "lapsed"})
        return bool(expired)

    def _apply_item(
        self, table: Table, item: Item, now: float, previously_confirmed_at: float
    ) -> None:
        if table is Table.ENDPOINTS:
            self._apply_endpoint_item(item, now)
        elif item.value is not None:
            self._apply_operator_item(item, now, previously_confirmed_at)

    def _apply_operator_item(self, item: Item, now: float, previously_confirmed_at: float) -> None:
        catalogue = self._decoder.read_catalogue(item)
        if catalogue is not None:
            if self.catalogue is None or catalogue.version >= self.catalogue.version:
                self.catalogue = catalogue
                logger.info(
                    "catalogue in force",
                    extra={"version": catalogue.version, "revision": item.revision},
                )
            return
        published = self._decoder.read_version(item)
        if published is None:
            logger.warning("undecodable item ignored", extra={"key": item.key})
            return
        model, version = published
        cached = self.get_latest_version(model)
        if cached is not None and version <= cached.version:
            return
        at_start = self._is_first_answer
        versions = self.wanted_versions.setdefault(model, [])
        followed = self._resumed_at <= previously_confirmed_at
        since = now if followed else self._resumed_at
        if at_start:
            since = self._started_at
        wanted = WantedVersion(
            model,
            version,
            since,
            at_start,
            followed=followed,
            unpublished_at=previously_confirmed_at,
            held_since=now,
        )
        versions.append(wanted)
        del versions[:-MAX_VERSIONS_PER_MODEL]
        logger.info(
            "weights named",
            extra={
                "model": model,
                "version": version,
                "at_start": at_start,
                "followed": wanted.followed,
                "observed": wanted.observed,
                "revision": item.revision,
                "previous_age": _round_age(now - previously_confirmed_at),
            },
        )

    def _apply_endpoint_item(self, item: Item, now: float) -> None:
        record = self._decoder.read_endpoint(item) if item.value is not None else None
        name = record.endpoint if record else self._endpoint_ids.get(item.key)
        if name is None:
            if item.value is not None:
                logger.warning("undecodable item ignored", extra={"key": item.key})
            return
        if record is not None:
            self._endpoint_ids[item.key] = name
            self._expiring.pop(name, None)
            self.endpoints[name] = self._apply_engine_status(record, now)
            return
        reconnected_at = self._tables[Table.ENDPOINTS].reconnected_at
        cached = self.endpoints.get(name)
        lease_may_have_expired = (
            item.value is None and now - reconnected_at < LEASE_EXPIRY_GRACE_SECONDS
        )
        if lease_may_have_expired and cached is not None and not cached.leaving:
            self._expiring[name] = reconnected_at + LEASE_EXPIRY_GRACE_SECONDS
            return
        self._endpoint_ids.pop(item.key, None)
        self._expiring.pop(name, None)
        if self.endpoints.pop(name, None) is not None:
            logger.info("endpoint gone", extra={"endpoint": name, "revision": item.revision})

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


def _round_age(age: float) -> float | None:
    return round(age, 3) if isfinite(age) else None
