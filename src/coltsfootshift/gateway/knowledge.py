"""What this process knows of the platform's tables, since when, and what may be done with it."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass, field, replace
from enum import Enum

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

LEASE_EXPIRY_GRACE_SECONDS = (
    2.0  # entries that lapsed with the store away are back within this time
)
MAX_VERSIONS_PER_MODEL = 16  # versions of a model whose time to be served may still run
ENGINE_STATUS_TTL_SECONDS = (
    3.0  # an engine's heartbeat to the store, 1.2 s, and what the store lags
)
MIN_OUTAGE_SECONDS = 1.0  # a shorter silence of the store lets no entry lapse

logger = get_logger("gateway.knowledge")


class Table(Enum):
    """The parts of the platform's store that this system reads."""

    OPERATOR = "operator"
    ENDPOINTS = "endpoints"


@dataclass(frozen=True, slots=True)
class Item:
    """One item of a table; `value` is None where it was removed at `revision`."""

    key: str
    revision: int
    value: bytes | None


@dataclass(frozen=True, slots=True)
class TableAnswer:
    """What the store said of a table; `complete` where `items` are all of it.

    `revision` is the store's at that moment and `confirmed_at` a time of this process's clock
    that is not later than that moment.
    """

    table: Table
    items: tuple[Item, ...]
    revision: int
    complete: bool
    confirmed_at: float


@dataclass(frozen=True, slots=True)
class WantedVersion:
    """A version of a model's weights that engines are to serve, and when this was learnt.

    `at_start` is set where a process found it on its first read: how long ago it was named is
    not known then, and `learnt_at` is when the process started.
    """

    model: str
    version: int
    learnt_at: float
    at_start: bool = False


@dataclass(frozen=True, slots=True)
class EngineStatus:
    """What an agent says of its engine: the version it serves, 0 for none, and if it loads.

    `born` tells the starts of an engine apart; `noted_at` is when this process was told.
    """

    born: int
    model: str
    version: int
    loading: bool
    noted_at: float


class TableConsumer(ABC):
    """Says what to read of the store and takes the answers."""

    @abstractmethod
    def choose_start_revision(self, table: Table) -> int | None:
        """Return the revision after which to read changes, None to read nothing for now."""

    @abstractmethod
    def handle_answer(self, answer: TableAnswer) -> None:
        """Take an answer of the store."""


class ItemDecoder(ABC):
    """Turns items of the store into the product's types; None for an item that holds none."""

    @abstractmethod
    def read_catalogue(self, item: Item) -> GatewayCatalogue | None:
        """Return the catalogue of an operator's item."""

    @abstractmethod
    def read_version(self, item: Item) -> tuple[str, int] | None:
        """Return the model and the version that an operator's item names."""

    @abstractmethod
    def read_endpoint(self, item: Item) -> EndpointRecord | None:
        """Return the record of an endpoint's item."""


@dataclass(slots=True)
class _TableState:
    revision: int = 0
    confirmed_at: float = float("-inf")
    regained_at: float = float("-inf")
    items: dict[str, Item] = field(default_factory=dict)


class TableCache:
    """The tables as last learnt, and the age of that.

    Revisions only rise: an answer that is older than what is held changes nothing. Endpoints that
    vanish right after an outage of the store are kept for `LEASE_EXPIRY_GRACE_SECONDS`, since their
    entries may have lapsed although they live.
    """

    def __init__(self, decoder: ItemDecoder, started_at: float = 0.0) -> None:
        self._started_at = started_at
        self.catalogue: GatewayCatalogue | None = None
        self.endpoints: dict[InstanceId, EndpointRecord] = {}
        self.wanted_versions: dict[str, list[WantedVersion]] = {}
        self._decoder = decoder
        self._tables = {table: _TableState() for table in Table}
        self._endpoint_ids: dict[str, InstanceId] = {}
        self._lapsed: dict[InstanceId, float] = {}
        self._notes: dict[Address, EngineStatus] = {}
        self._first_answer = True

    def __repr__(self) -> str:
        version = self.catalogue.version if self.catalogue else None
        return f"TableCache(catalogue={version!r}, endpoints={len(self.endpoints)})"

    @property
    def complete(self) -> bool:
        """Whether a catalogue and the list of endpoints have been learnt."""
        listed = self._tables[Table.ENDPOINTS].revision > 0
        return self.catalogue is not None and listed

    def get_latest_version(self, model: str) -> WantedVersion | None:
        """Return the newest version named for a model."""
        named = self.wanted_versions.get(model)
        return named[-1] if named else None

    def get_revision(self, table: Table) -> int:
        """Return the store's revision that a table is known at, 0 for none."""
        return self._tables[table].revision

    def measure_age(self, table: Table, now: float) -> float:
        """Return the seconds since the store last confirmed a table."""
        return now - self._tables[table].confirmed_at

    def apply(self, answer: TableAnswer, now: float) -> bool:
        """Take an answer of the store; return whether anything has changed."""
        state = self._tables[answer.table]
        if answer.revision < state.revision:
            logger.info(
                "older answer ignored",
                extra={
                    "table": answer.table.value,
                    "told": answer.revision,
                    "held": state.revision,
                },
            )
            return False
        first = state.revision == 0
        if now - state.confirmed_at > MIN_OUTAGE_SECONDS + LEASE_EXPIRY_GRACE_SECONDS:
            state.regained_at = now
        state.revision = answer.revision
        state.confirmed_at = max(state.confirmed_at, answer.confirmed_at)
        items = list(answer.items)
        if answer.complete:
            told = {item.key for item in items}
            for key in list(state.items):
                if key not in told:
                    items.append(Item(key, answer.revision, None))
        self._first_answer = first
        changed = False
        for item in items:
            held = state.items.get(item.key)
            if held is not None and item.revision <= held.revision:
                continue
            changed = True
            if item.value is None:
                state.items.pop(item.key, None)
            else:
                state.items[item.key] = item
            self._take(answer.table, item, now)
        return changed

    def confirm(self, table: Table, revision: int, confirmed_at: float) -> None:
        """Another process had this very revision confirmed by the store at that time."""
        state = self._tables[table]
        if revision == state.revision:
            state.confirmed_at = max(state.confirmed_at, confirmed_at)

    def list_items(self, table: Table, after: int) -> tuple[list[Item], list[str]]:
        """Return the items changed after a revision, and the keys of all items."""
        items = self._tables[table].items
        return [item for item in items.values() if item.revision > after], list(items)

    def merge_items(self, table: Table, items: list[Item], keys: list[str]) -> list[Item]:
        """Return a whole table: the items told, and those held for the other keys told."""
        told = {item.key: item for item in items}
        held = self._tables[table].items
        whole = []
        for key in keys:
            item = told.get(key) or held.get(key)
            if item is not None:
                whole.append(item)
        return whole

    def update_engine_status(self, address: Address, note: EngineStatus) -> list[InstanceId]:
        """Take what an agent says of its engine; return the endpoints that this changes.

        The store tells the same a heartbeat later, so until then its records are the older news.
        """
        self._notes[address] = note
        changed = []
        for name, record in self.endpoints.items():
            told = self._apply_note(record, note.noted_at)
            if told != record:
                self.endpoints[name] = told
                changed.append(name)
        return changed

    def remove_expired(self, now: float) -> bool:
        """Forget the endpoints whose hold is over; return whether there were any."""
        over = [name for name, until in self._lapsed.items() if until <= now]
        for name in over:
            del self._lapsed[name]
            self.endpoints.pop(name, None)
            logger.info("endpoint gone", extra={"endpoint": name, "cause": "lapsed"})
        return bool(over)

    def _take(self, table: Table, item: Item, now: float) -> None:
        if table is Table.ENDPOINTS:
            self._take_endpoint(item, now)
        elif item.value is not None:
            self._take_operator(item, now)

    def _take_operator(self, item: Item, now: float) -> None:
        catalogue = self._decoder.read_catalogue(item)
        if catalogue is not None:
            if self.catalogue is None or catalogue.version >= self.catalogue.version:
                self.catalogue = catalogue
                logger.info(
                    "catalogue in force",
                    extra={"version": catalogue.version, "revision": item.revision},
                )
            return
        told = self._decoder.read_version(item)
        if told is None:
            logger.warning("item not understood", extra={"key": item.key})
            return
        model, version = told
        held = self.get_latest_version(model)
        if held is not None and version <= held.version:
            return
        at_start = self._first_answer
        named = self.wanted_versions.setdefault(model, [])
        since = self._started_at if at_start else now
        named.append(WantedVersion(model, version, since, at_start))
        del named[:-MAX_VERSIONS_PER_MODEL]
        logger.info(
            "weights named", extra={"model": model, "version": version, "at_start": at_start}
        )

    def _take_endpoint(self, item: Item, now: float) -> None:
        record = self._decoder.read_endpoint(item) if item.value is not None else None
        name = record.endpoint if record else self._endpoint_ids.get(item.key)
        if name is None:
            if item.value is not None:
                logger.warning("item not understood", extra={"key": item.key})
            return
        if record is not None:
            self._endpoint_ids[item.key] = name
            self._lapsed.pop(name, None)
            self.endpoints[name] = self._apply_note(record, now)
            return
        regained_at = self._tables[Table.ENDPOINTS].regained_at
        held = self.endpoints.get(name)
        may_have_lapsed = item.value is None and now - regained_at < LEASE_EXPIRY_GRACE_SECONDS
        if may_have_lapsed and held is not None and not held.leaving:
            self._lapsed[name] = regained_at + LEASE_EXPIRY_GRACE_SECONDS
            return
        self._endpoint_ids.pop(item.key, None)
        self._lapsed.pop(name, None)
        if self.endpoints.pop(name, None) is not None:
            logger.info("endpoint gone", extra={"endpoint": name, "revision": item.revision})

    def _apply_note(self, record: EndpointRecord, now: float) -> EndpointRecord:
        note = self._notes.get(record.address)
        if note is None or note.born != record.born:
            return record
        if now - note.noted_at > ENGINE_STATUS_TTL_SECONDS:
            del self._notes[record.address]
            return record
        versions = {name: held for name, held in record.versions.items() if name != note.model}
        if note.version and not note.loading:
            versions[note.model] = note.version
        return replace(record, versions=versions, loading=note.loading)
