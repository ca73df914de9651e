"""The catalogue in force: typed entries, each from the last valid text of its key."""

from __future__ import annotations

from coltsfootshift.audit import AuditTrail
from coltsfootshift.catalogue.checks import CatalogueEntryError, check_entry
from coltsfootshift.catalogue.model import CatalogueEntry, ModelEntry, ServiceEntry, TeamEntry
from coltsfootshift.catalogue.table import RecordTable
from coltsfootshift.messages import VersionedRecord

__all__ = ["CatalogueView"]


class CatalogueView:
    """Typed entries in force, updated from the catalogue table of this process.

    `problems` maps the keys of invalid records to the reason.
    """

    def __init__(self, audit: AuditTrail) -> None:
        self._audit = audit
        self._entries: dict[str, CatalogueEntry] = {}
        self._texts: dict[str, bytes] = {}
        self.problems: dict[str, str] = {}
        self.revision = 0

    def apply(self, table: RecordTable, changed: list[VersionedRecord], source: str) -> list[str]:
        """Apply changed records and return the keys whose entry in force changed."""
        keys = []
        for record in changed:
            if self._apply_record(table, record, source):
                keys.append(record.key)
        self.revision = table.revision
        return keys

    def list_missing_fallbacks(self, table: RecordTable) -> dict[str, int]:
        """Return the revisions of invalid records that have no earlier text in force, by key."""
        missing = {}
        for key in self.problems:
            record = table.get(key)
            if key not in self._entries and record is not None:
                missing[key] = record.revision
        return missing

    def list_fallbacks(self, table: RecordTable, keys: list[str]) -> list[VersionedRecord]:
        """Return the records of `keys` that are invalid and have an earlier text in force."""
        records = []
        for key in keys:
            record = table.get(key)
            if key in self.problems and record is not None and record.fallback:
                records.append(record)
        return records

    def apply_fallbacks(self, table: RecordTable, records: list[VersionedRecord]) -> list[str]:
        """Apply earlier texts received from a peer; return the keys whose entry changed."""
        missing = self.list_missing_fallbacks(table)
        keys = []
        for record in records:
            if missing.get(record.key) != record.revision or not record.fallback:
                continue
            own = table.get(record.key)
            assert own is not None
            combined = VersionedRecord(record.key, own.revision, own.value, record.fallback)
            if self._apply_record(table, combined, "peer"):
                keys.append(record.key)
        return keys

    def find_service(self, name: str) -> ServiceEntry | None:
        """Return the entry of a service, or None."""
        entry = self._entries.get(f"service/{name}")
        return entry if isinstance(entry, ServiceEntry) else None

    def find_model(self, name: str) -> ModelEntry | None:
        """Return the entry of a model, or None."""
        entry = self._entries.get(f"model/{name}")
        return entry if isinstance(entry, ModelEntry) else None

    def find_team(self, name: str) -> TeamEntry | None:
        """Return the entry of a team, or None."""
        entry = self._entries.get(f"team/{name}")
        return entry if isinstance(entry, TeamEntry) else None

    def list_services(self) -> list[str]:
        """Return the names of all services in force, sorted."""
        prefix = "service/"
        return sorted(key[len(prefix) :] for key in self._entries if key.startswith(prefix))

    def list_keys(self) -> list[str]:
        """Return the keys of all entries in force, sorted."""
        return sorted(self._entries)

    def list_texts(self, kind: str) -> dict[str, str]:
        """Return the JSON text of each entry in force by key; an empty `kind` selects all kinds."""
        texts = {}
        for key in self.list_keys():
            if not kind or key.startswith(f"{kind}/"):
                texts[key] = self._texts[key].decode(errors="replace")
        return texts

    def _apply_record(self, table: RecordTable, record: VersionedRecord, source: str) -> bool:
        key = record.key
        before = self._texts.get(key, b"")
        self.problems.pop(key, None)
        if not record.value:
            self._entries.pop(key, None)
            self._texts.pop(key, None)
            self._audit.add(key, record.revision, before, b"", source)
            return bool(before)
        try:
            entry = check_entry(key, record.value)
        except CatalogueEntryError as error:
            return self._keep_fallback(table, record, source, str(error))
        self._entries[key] = entry
        self._texts[key] = record.value
        self._audit.add(key, record.revision, before, record.value, source)
        return True

    def _keep_fallback(
        self, table: RecordTable, record: VersionedRecord, source: str, problem: str
    ) -> bool:
        key = record.key
        self.problems[key] = problem
        before = self._texts.get(key, b"")
        self._audit.add(key, record.revision, before, record.value, source, problem)
        fallback = record.fallback or before
        table.put_fallback(key, fallback)
        if not fallback or fallback == before:
            return False
        try:
            self._entries[key] = check_entry(key, fallback)
        except CatalogueEntryError:
            return False
        self._texts[key] = fallback
        return True
