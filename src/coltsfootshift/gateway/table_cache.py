"""A local cache of the platform's tables, with the time at which each was last confirmed."""

from __future__ import annotations

import hashlib
from abc import ABC, abstractmethod
from bisect import bisect_left
from dataclasses import dataclass, field, replace
from enum import Enum
from math import inf, isfinite

from coltsfootshift.gateway.endpoint_list import (
    LEASE_EXPIRY_GRACE_SECONDS,
    EndpointList,
    EngineStatus,
)
from coltsfootshift.gateway.evacuations import Evacuations
from coltsfootshift.gateway.item_values import ValueHistory
from coltsfootshift.gateway.model import EndpointRecord, GatewayCatalogue
from coltsfootshift.ids import FailureDomain, InstanceId
from coltsfootshift.logs import get_logger
from coltsfootshift.settings import Address

__all__ = [
    "Item",
    "ItemDecoder",
    "TableCache",
    "Table",
    "TableAnswer",
    "TableConsumer",
    "TablePosition",
    "WantedVersion",
]

MAX_VERSIONS_PER_MODEL = 16  # the latest versions of a model; their deadlines may still be pending
MAX_STOP_SECONDS = 0.5  # a change that is learnt after a shorter stop counts as followed
# A table that was confirmed within this time before a change has been followed without a break.
MAX_OBSERVED_AGE_SECONDS = 2.0
MAX_SHARED_AGE_SECONDS = 60.0  # the limit of a version published before has passed
MAX_ANSWER_DELAY_SECONDS = 1.0  # on a link that is full of copies of a large catalogue
MIN_LOGGED_CORRECTION_SECONDS = 0.1  # of the time of a publication; smaller ones are transit times
# What a store lacks that came back from an older copy is written again within about 2 s.
REWRITE_SECONDS = 3.0
CONTENT_DIGEST_BYTES = 8
MIN_OUTAGE_SECONDS = 1.0  # leases do not expire in a shorter outage of the store

logger = get_logger("gateway.knowledge")


class Table(Enum):
    """The tables of the platform's store that this system reads."""

    OPERATOR = "operator"
    ENDPOINTS = "endpoints"


@dataclass(frozen=True, slots=True, order=True)
class TablePosition:
    """A point in the history of the store: a revision within an era.

    A store that comes back from an older copy of itself begins a new era. Its revisions go back and
    are given out again for other changes, so that they are ordered within one era only.

    >>> TablePosition(era=2, revision=90) > TablePosition(era=1, revision=120)
    True
    """

    era: int = 0
    revision: int = 0


@dataclass(frozen=True, slots=True)
class Item:
    """One item of a table as it was in `era`; `value` is None if it was deleted at `revision`."""

    key: str
    revision: int
    value: bytes | None
    era: int = 0

    @property
    def position(self) -> TablePosition:
        """The point in the store's history at which the item was written."""
        return TablePosition(self.era, self.revision)


@dataclass(frozen=True, slots=True)
class TableAnswer:
    """The store's answer for a table; `complete` if `items` is the whole table.

    `revision` is the store's revision at the moment of the answer, in `era`. `confirmed_at` is a
    time on this process's clock, in seconds, that is not later than that moment.
    """

    table: Table
    items: tuple[Item, ...]
    revision: int
    complete: bool
    confirmed_at: float
    era: int = 0

    @property
    def position(self) -> TablePosition:
        """The point in the store's history at which it answered."""
        return TablePosition(self.era, self.revision)


@dataclass(frozen=True, slots=True)
class WantedVersion:
    """A published version of a model's weights, and when this process learnt of it.

    `at_start` is set if the version was in the first answer that the process received; `learnt_at`
    is the start time of the process in that case. `followed` is set if this process ran without a
    break since the store last confirmed that the version was not published, at `unpublished_at`;
    `learnt_at` then stands for the publication. Otherwise it is when the process started or went on
    after the break. `reported_at` is the earliest time of publication reported by other processes,
    and `held_since` the earliest time since which any process, this one included, is known to have
    the version, so that it was published before; infinite if unknown. `unpublished_at` is the
    latest time at which any process knows that it was not. Times are in seconds of this process's
    clock.
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

        It is `version_within` after the publication, whenever this process learnt of it. Answers
        of the store may have been delayed on their way to all processes, so that the publication
        is taken to be `MAX_ANSWER_DELAY_SECONDS` before the earliest of them had the version, but
        not before the last moment at which it was known not to be published. If nobody knows by
        when it was, the limit counts from that moment, but not before `contact_within` after the
        start or stop of this process, from which on it is held to the limits.

        >>> WantedVersion("m", 2, learnt_at=6.0, reported_at=1.5).compute_limit(8.0, 3.0)
        9.5
        >>> stopped = WantedVersion("m", 2, learnt_at=6.0, followed=False, unpublished_at=0.5)
        >>> stopped.compute_limit(8.0, 3.0)
        9.0
        >>> WantedVersion("m", 2, learnt_at=6.0, unpublished_at=5.1).compute_limit(8.0, 3.0)
        13.1
        >>> WantedVersion("m", 2, learnt_at=6.0, unpublished_at=1.0).compute_limit(8.0, 3.0)
        13.0
        """
        latest = self.published_by
        if latest is not None and isfinite(self.unpublished_at):
            earliest = max(latest - MAX_ANSWER_DELAY_SECONDS, self.unpublished_at)
            return min(latest, earliest) + version_within
        if latest is not None:
            return latest + version_within
        limit = max(self.unpublished_at + version_within, self.learnt_at + contact_within)
        return limit if self.at_start else min(limit, self.held_since + version_within)

    @property
    def known_by(self) -> float:
        """The earliest time at which a process is known to have had the version.

        The start of this process and the end of a break may be before the publication.

        >>> WantedVersion("m", 2, learnt_at=0.5, at_start=True, held_since=1.0).known_by
        1.0
        >>> WantedVersion("m", 2, learnt_at=0.5, followed=False, held_since=1.0).known_by
        1.0
        """
        learnt_at = self.learnt_at if self.followed and not self.at_start else inf
        return min(learnt_at, self.reported_at, self.held_since)

    @property
    def observed(self) -> bool:
        """Whether `learnt_at` is close enough to the publication to be reported to others."""
        if self.at_start or not self.followed:
            return False
        return self.learnt_at - self.unpublished_at <= MAX_OBSERVED_AGE_SECONDS


class TableConsumer(ABC):
    """Chooses what to read from the store and handles the answers."""

    @abstractmethod
    def choose_start(self, table: Table) -> TablePosition | None:
        """Return the position after which to read changes, or None to read nothing for now."""

    @abstractmethod
    def handle_answer(self, answer: TableAnswer) -> None:
        """Handle an answer of the store."""

    @abstractmethod
    def record_contact(self, reached: bool, seconds: float = inf) -> None:
        """Record whether the store has answered, and how long that took if it did so at once."""

    def count_readers(self) -> int:
        """Return how many processes, this one included, may be probing the store."""
        return 1


class ItemDecoder(ABC):
    """Decodes items of the store; the methods return None for items of another kind."""

    @abstractmethod
    def read_catalogue(self, item: Item) -> GatewayCatalogue | None:
        """Return the catalogue in an item of the operator table."""

    @abstractmethod
    def read_version(self, item: Item) -> tuple[str, int] | None:
        """Return the model and version published in an item of the operator table."""

    def read_evacuation(self, item: Item) -> FailureDomain | None:
        """Return the failure domain that an item of the operator table evacuates.

        The item's value does not matter.
        """
        return None

    @abstractmethod
    def read_endpoint(self, item: Item) -> EndpointRecord | None:
        """Return the record in an item of the endpoint table."""


@dataclass(frozen=True, slots=True)
class _OperatorContent:
    """A decoded item of the operator: a catalogue, or the published version of a model."""

    version: int
    catalogue: GatewayCatalogue | None = None
    model: str = ""


@dataclass(slots=True)
class _TableState:
    """One cached table.

    `retained` holds the keys of the operator's items that are newer here than in a store that has
    come back from an older copy, until they have been written again. They are expected to be
    written by `complete_from`. `lifted` holds those of the evacuations in such a store that were
    lifted before, until they are removed again.
    """

    position: TablePosition = TablePosition()
    confirmed_at: float = float("-inf")
    reconnected_at: float = float("-inf")
    items: dict[str, Item] = field(default_factory=dict)
    retained: set[str] = field(default_factory=set)
    lifted: set[str] = field(default_factory=set)
    complete_from: float = float("-inf")
    content: bytes | None = None

    def digest_content(self) -> bytes:
        """Return a digest of the keys and positions of the items, computed once for each change."""
        if self.content is None:
            digest = hashlib.sha256()
            for key, item in sorted(self.items.items()):
                digest.update(f"{key}\0{item.era}\0{item.revision}\0".encode())
            self.content = digest.digest()[:CONTENT_DIGEST_BYTES]
        return self.content

    def record_contact(self, now: float) -> None:
        """Record whether an answer of the store is the first after an outage."""
        if now - self.confirmed_at > MIN_OUTAGE_SECONDS + LEASE_EXPIRY_GRACE_SECONDS:
            self.reconnected_at = now

    def renew(self, confirmed_at: float, now: float) -> None:
        """Record a confirmation of the store.

        A store that came back and still lacks what it once had confirms nothing for a while: it may
        lack later changes, too.
        """
        if not (self.retained or self.lifted) or now >= self.complete_from:
            self.confirmed_at = max(self.confirmed_at, confirmed_at)


class TableCache:
    """The latest known contents of the tables, and when the store confirmed them.

    An answer from an earlier point in the store's history than the cached table is ignored. A
    store that has come back from an older copy of itself is followed in its new era, but nothing
    older replaces what is known: catalogues and published versions are ordered by the operator's
    own version numbers, which only increase, endpoints by what they can have become since
    (`EndpointList`), and evacuations by what is known until the operator has corrected the store
    (`Evacuations`).
    """

    def __init__(self, decoder: ItemDecoder, started_at: float = 0.0) -> None:
        self._started_at = started_at
        self.catalogue: GatewayCatalogue | None = None
        self.endpoint_list = EndpointList()
        self.evacuations = Evacuations()
        self.operator_values = ValueHistory()
        self.wanted_versions: dict[str, list[WantedVersion]] = {}
        self._decoder = decoder
        self._tables = {table: _TableState() for table in Table}
        self._operator_versions: dict[str, int] = {}
        self._is_first_answer = True
        self._ran_at = started_at
        self._resumed_at = started_at

    def __repr__(self) -> str:
        version = self.catalogue.version if self.catalogue else None
        return f"TableCache(catalogue={version!r}, endpoints={len(self.endpoints)})"

    @property
    def endpoints(self) -> dict[InstanceId, EndpointRecord]:
        """The records of the known endpoints."""
        return self.endpoint_list.records

    @property
    def complete(self) -> bool:
        """Whether a catalogue and the list of endpoints have been received."""
        listed = self._tables[Table.ENDPOINTS].position > TablePosition()
        return self.catalogue is not None and listed

    def get_latest_version(self, model: str) -> WantedVersion | None:
        """Return the newest version published for a model, or None."""
        versions = self.wanted_versions.get(model)
        return versions[-1] if versions else None

    def get_position(self, table: Table) -> TablePosition:
        """Return the position of the cached table, the lowest one if it has not been received."""
        return self._tables[table].position

    def get_operator_versions(self) -> dict[str, int]:
        """Return the operator's version of each cached item of the operator table, by key.

        An evacuation has no version. One that the store has lost is listed with its era.
        """
        return {**self._operator_versions, **self.evacuations.list_kept()}

    def lacks_version(self, key: str, version: int, now: float) -> bool:
        """Return whether a peer's version of an operator's item is newer than the one known."""
        if self._decoder.read_evacuation(Item(key, 0, b"")) is not None:
            return self.evacuations.accepts(key, version, now)
        return version > self._operator_versions.get(key, -1)

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
        if answer.position < state.position:
            return self._apply_outdated(answer, state, now)
        self._is_first_answer = state.position == TablePosition()
        restored = answer.era > state.position.era and not self._is_first_answer
        if restored and not answer.complete:
            logger.warning("changes of another era ignored", extra=_make_row(answer, state))
            return False
        if restored:
            self._begin_era(answer, state, now)
        elif self._is_first_answer and answer.table is Table.OPERATOR:
            self.evacuations.begin_era(answer.era, now + REWRITE_SECONDS)
        previously_confirmed_at = state.confirmed_at
        self.record_running(now)
        state.record_contact(now)
        state.position = answer.position
        if answer.items or answer.complete:
            state.content = None
        changed = self._settle_evacuations(now)
        for item in self._list_changes(answer, state):
            if answer.table is Table.OPERATOR:
                changed |= self._apply_operator_item(
                    item, state, now, previously_confirmed_at, restored
                )
            else:
                changed |= self._apply_endpoint_item(item, state, now, restored)
        state.renew(answer.confirmed_at, now)
        return changed

    def confirm(self, table: Table, position: TablePosition, confirmed_at: float) -> None:
        """Record that the store confirmed a position to another process at `confirmed_at`.

        Ignored unless it is the position of the table that is cached here.
        """
        state = self._tables[table]
        if position == state.position:
            state.record_contact(confirmed_at)
            state.renew(confirmed_at, confirmed_at)

    def record_publication(
        self,
        model: str,
        version: int,
        published_at: float,
        observed: bool,
        unpublished_at: float | None = None,
    ) -> None:
        """Record since when another process has a version; `observed` if it saw the publication.

        `unpublished_at` is the latest time at which it knows that the version was not published.
        An earlier build does not tell it; unless it saw the publication, it may then report a time
        of before the publication, which counts only if this process has missed the version. The
        tightest bounds count. A version that a newer one has replaced may be unknown here and is
        added, since its limit still counts. One that is newer than the cached table is ignored; it
        is reported again.
        """
        versions = self.wanted_versions.get(model, [])
        if not versions or version > versions[-1].version:
            return
        index = bisect_left(versions, version, key=lambda wanted: wanted.version)
        wanted = versions[index]
        if wanted.version != version:
            if len(versions) >= MAX_VERSIONS_PER_MODEL:
                return
            followed = wanted.followed and unpublished_at is not None
            wanted = replace(wanted, version=version, followed=followed, reported_at=inf)
            wanted = replace(wanted, held_since=published_at)
            versions.insert(index, wanted)
        known = wanted.published_by
        if unpublished_at is not None:
            wanted = replace(
                wanted,
                held_since=min(wanted.held_since, published_at),
                unpublished_at=max(wanted.unpublished_at, unpublished_at),
            )
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

    def list_items(self, table: Table, after: TablePosition) -> tuple[list[Item], list[str]]:
        """Return the items changed after a position, and the keys of all items."""
        items = self._tables[table].items
        return [item for item in items.values() if item.position > after], list(items)

    def digest_content(self, table: Table) -> bytes:
        """Return a digest of the keys and positions of a table's items."""
        return self._tables[table].digest_content()

    def merge_items(
        self, table: Table, items: list[Item], keys: list[str]
    ) -> tuple[list[Item], list[str]]:
        """Return the given items and the cached items of all other `keys`, and the missing keys."""
        received = {item.key: item for item in items}
        cached = self._tables[table].items
        merged, missing = [], []
        for key in keys:
            item = received.get(key) or cached.get(key)
            if item is None:
                missing.append(key)
            else:
                merged.append(item)
        return merged, missing

    def update_engine_status(self, address: Address, status: EngineStatus) -> list[InstanceId]:
        """Apply an agent's report of its engine; return the endpoints that it changes."""
        return self.endpoint_list.update_engine_status(address, status)

    def remove_expired(self, now: float) -> bool:
        """Apply what was deferred until now; return whether there was anything."""
        settled = self._settle_evacuations(now)
        return self.endpoint_list.apply_deferred(now) or settled

    def _apply_outdated(self, answer: TableAnswer, state: _TableState, now: float) -> bool:
        """Take from an outdated answer only the operator's items that are newer than those known.

        A process that has not noticed yet that the store came back from an older copy still has
        what the copy lacks.
        """
        logger.info("outdated table answer ignored", extra=_make_row(answer, state))
        changed = False
        if answer.table is not Table.OPERATOR:
            return changed
        for item in answer.items:
            domain = self._read_evacuation(item, state)
            if domain is not None:
                changed |= item.era < state.position.era and self._apply_evacuation(
                    item, domain, state, now
                )
                continue
            content = self._decode_operator_item(item)
            if content is None or content.version <= self._operator_versions.get(item.key, -1):
                continue
            changed = True
            state.retained.add(item.key)
            state.complete_from = now + REWRITE_SECONDS
            self._store_operator_item(item, content, state, now, state.confirmed_at)
        return changed

    def _begin_era(self, answer: TableAnswer, state: _TableState, now: float) -> None:
        """Follow a store that has come back from an older copy of itself."""
        logger.warning("store came back from an older copy", extra=_make_row(answer, state))
        state.reconnected_at = now
        if answer.table is Table.OPERATOR:
            state.complete_from = now + REWRITE_SECONDS
            state.retained = {key for key in state.items if self._is_retained(key)}
            followed = (state.position.era, state.position.revision)
            self.evacuations.begin_era(answer.era, state.complete_from, followed)

    def _is_retained(self, key: str) -> bool:
        """Return whether a cached item stays although a store that came back lacks it."""
        if key in self.evacuations:
            return not self.evacuations.is_deferred(key)
        return key in self._operator_versions

    def _list_changes(self, answer: TableAnswer, state: _TableState) -> list[Item]:
        """Return the items of an answer and, if it is complete, the removal of all others.

        An item of the operator that a store lacks after it came back is not removed, since it is
        written again.
        """
        items = list(answer.items)
        if not answer.complete:
            return items
        received = {item.key for item in items}
        for key in list(state.items):
            if key not in received and key not in state.retained:
                items.append(Item(key, answer.revision, None, answer.era))
        return items

    def _apply_operator_item(
        self,
        item: Item,
        state: _TableState,
        now: float,
        previously_confirmed_at: float,
        restored: bool,
    ) -> bool:
        """Apply an item unless a newer one of its key is known; return whether it has changed."""
        cached = state.items.get(item.key)
        if item.value is None:
            if cached is None or item.position <= cached.position:
                return False
            del state.items[item.key]
            state.retained.discard(item.key)
            state.lifted.discard(item.key)
            self.evacuations.lift(item.key, now)
            return True
        domain = self._read_evacuation(item, state)
        if domain is not None:
            return self._apply_evacuation(item, domain, state, now, restored)
        if cached is not None and cached.value == item.value:
            state.retained.discard(item.key)
            return False
        content = self._decode_operator_item(item)
        known = self._operator_versions.get(item.key)
        if content is None:
            logger.warning("undecodable item ignored", extra={"key": item.key})
            if known is not None or (cached is not None and item.position <= cached.position):
                return False
            state.items[item.key] = item
            return True
        row = {"key": item.key, "told": content.version, "held": known, "era": item.era}
        if known is not None and content.version < known:
            logger.info("older version of an item ignored", extra=row)
            return False
        if content.version == known and cached is not None and item.position <= cached.position:
            return False
        state.retained.discard(item.key)
        self._store_operator_item(item, content, state, now, previously_confirmed_at)
        return True

    def _store_operator_item(
        self,
        item: Item,
        content: _OperatorContent,
        state: _TableState,
        now: float,
        previously_confirmed_at: float,
    ) -> None:
        state.items[item.key] = item
        state.content = None
        if item.value is not None:
            self.operator_values.record(item.value)
        self._operator_versions[item.key] = content.version
        if content.catalogue is not None:
            self.catalogue = content.catalogue
            row = {"version": content.version, "revision": item.revision, "era": item.era}
            logger.info("catalogue in force", extra=row)
        else:
            self._add_version(content, item, now, previously_confirmed_at)

    def _read_evacuation(self, item: Item, state: _TableState) -> FailureDomain | None:
        """Return the domain that an item evacuates; one that is cached as another kind has none."""
        if item.key in state.items and item.key not in self.evacuations:
            return None
        return self._decoder.read_evacuation(item)

    def _apply_evacuation(
        self,
        item: Item,
        domain: FailureDomain,
        state: _TableState,
        now: float,
        restored: bool = False,
    ) -> bool:
        """Apply an item that evacuates a domain; return whether it is news."""
        key = item.key
        if not self.evacuations.record(key, domain, item.era, item.revision, now, restored):
            return False
        row = {"domain": domain, "revision": item.revision, "era": item.era}
        logger.info("evacuation told", extra=row)
        state.items[key] = item
        state.content = None
        for keys, is_member in (
            (state.retained, item.era < state.position.era),
            (state.lifted, self.evacuations.is_deferred(key)),
        ):
            if is_member:
                keys.add(key)
            else:
                keys.discard(key)
        return True

    def _settle_evacuations(self, now: float) -> bool:
        """Let the store's evacuations count if it is time; return whether that changes any."""
        state = self._tables[Table.OPERATOR]
        changed = self.evacuations.settle(now)
        for key in changed:
            state.lifted.discard(key)
            if key in self.evacuations:
                continue
            state.items.pop(key, None)
            state.retained.discard(key)
            state.content = None
            logger.warning("evacuation not written again, lifted", extra={"key": key})
        return bool(changed)

    def _decode_operator_item(self, item: Item) -> _OperatorContent | None:
        catalogue = self._decoder.read_catalogue(item)
        if catalogue is not None:
            return _OperatorContent(catalogue.version, catalogue=catalogue)
        published = self._decoder.read_version(item)
        if published is None:
            return None
        return _OperatorContent(published[1], model=published[0])

    def _add_version(
        self, content: _OperatorContent, item: Item, now: float, previously_confirmed_at: float
    ) -> None:
        """Record the publication of a version, unless it or a newer one is known."""
        model, version = content.model, content.version
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
                "era": item.era,
                "previous_age": _round_age(now - previously_confirmed_at),
            },
        )

    def _apply_endpoint_item(
        self, item: Item, state: _TableState, now: float, restored: bool
    ) -> bool:
        """Apply an endpoint's item; return whether it is newer than the cached one."""
        cached = state.items.get(item.key)
        if cached is not None and item.position <= cached.position:
            return False
        if item.value is None:
            state.items.pop(item.key, None)
            self.endpoint_list.remove(item.key, now, state.reconnected_at)
            return True
        state.items[item.key] = item
        record = self._decoder.read_endpoint(item)
        if record is not None and restored:
            self.endpoint_list.put_from_copy(item.key, record, now)
        elif record is not None:
            self.endpoint_list.put(item.key, record, now)
        elif not self.endpoint_list.remove(item.key, now):
            logger.warning("undecodable item ignored", extra={"key": item.key})
        return True


def _make_row(answer: TableAnswer, state: _TableState) -> dict[str, object]:
    """Return the fields of a log line that compares an answer with the cached table."""
    return {
        "table": answer.table.value,
        "told": answer.revision,
        "told_era": answer.era,
        "held": state.position.revision,
        "held_era": state.position.era,
    }


def _round_age(age: float) -> float | None:
    return round(age, 3) if isfinite(age) else None
