"""A process's copy of a platform table, complete up to a revision."""

from __future__ import annotations

from bisect import bisect_right, insort

from coltsfootshift.messages import Difference, VersionedRecord

__all__ = ["RecordTable", "find_problem"]

MAX_TOMBSTONES = 10_000
CLEANUP_BATCH_RECORDS = 1_000
MAX_DIFFERENCE_BYTES = 4 * 1024 * 1024
RECORD_OVERHEAD_BYTES = 32
MAX_VALUE_BYTES = 1_100_000
MAX_KEY_BYTES = 512


class RecordTable:
    """Records of one table up to a revision.

    Two copies with the same revision are equal. Removed keys are kept as tombstones. When the
    oldest tombstones are dropped, `floor` rises to the newest revision dropped: an incremental
    difference is exact only from `floor` on, so a reader below it gets a complete one. A table
    holds no key that was removed at or below its floor.

    >>> table = RecordTable("catalogue")
    >>> step = Difference("catalogue", 2, 2, True, [VersionedRecord("team/a", 2, b"{}")])
    >>> [record.key for record in table.apply(step)]
    ['team/a']
    >>> table.revision
    2
    """

    def __init__(self, name: str, max_tombstones: int = MAX_TOMBSTONES) -> None:
        self.name = name
        self.revision = 0
        self.floor = 0
        self._max_tombstones = max_tombstones
        self._records: dict[str, VersionedRecord] = {}
        self._order: list[tuple[int, str]] = []
        self._tombstones: set[str] = set()

    def __repr__(self) -> str:
        return f"RecordTable({self.name!r}, revision={self.revision}, records={len(self._records)})"

    def __len__(self) -> int:
        return len(self._records)

    def get(self, key: str) -> VersionedRecord | None:
        """Return the record of a key, which may be a tombstone, or None."""
        return self._records.get(key)

    def list_records(self) -> list[VersionedRecord]:
        """Return all records that are not tombstones, sorted by key."""
        return [self._records[key] for key in sorted(self._records) if self._records[key].value]

    def accepts(self, difference: Difference) -> bool:
        """Return whether a difference is newer than this table and leaves no gap after it."""
        if difference.revision <= self.revision:
            return False
        return difference.complete or difference.after <= self.revision

    def apply(self, difference: Difference) -> list[VersionedRecord]:
        """Apply a difference accepted by `accepts` and return the changed records."""
        changed = []
        for record in difference.records:
            existing = self._records.get(record.key)
            if existing is not None and existing.revision >= record.revision:
                continue
            self._put(record)
            changed.append(record)
        if difference.complete:
            changed.extend(self._remove_absent(difference))
            self.floor = max(self.floor, difference.after)
        self.revision = difference.revision
        self._drop_tombstones()
        self._compact_order()
        return changed

    def put_fallback(self, key: str, fallback: bytes) -> None:
        """Store the last valid text of a record whose newest text failed validation."""
        record = self._records[key]
        self._records[key] = VersionedRecord(key, record.revision, record.value, fallback)

    def make_difference(self, after: int, floor: int = 0) -> Difference:
        """Return the records above revision `after`, or all records if tombstones are missing.

        `floor` is the floor of the reader's table. A difference above `MAX_DIFFERENCE_BYTES` is
        truncated: its revision is that of its last record, and the reader requests the rest from
        there. A table that holds only part of a truncated complete difference (its revision is
        below its floor) returns an empty difference, since it may lack records.
        """
        if self.revision < self.floor:
            return Difference(self.name, after, after, False, [])
        if after < self.floor and floor < self.floor:
            return self._make_complete(after)
        records, revision = self._collect(after)
        return Difference(self.name, after, revision, False, records)

    def _make_complete(self, after: int) -> Difference:
        if after > 0:
            all_records = list(self._records.values())
            return Difference(self.name, self.floor, self.revision, True, all_records)
        records, revision = self._collect(0)
        return Difference(self.name, self.floor, revision, True, records)

    def _collect(self, after: int) -> tuple[list[VersionedRecord], int]:
        """Return the records above `after` in order of revision, and the revision they reach."""
        records: list[VersionedRecord] = []
        size = 0
        start = bisect_right(self._order, (after, "\U0010ffff"))
        for revision, key in self._order[start:]:
            record = self._records.get(key)
            if record is None or record.revision != revision:
                continue
            size += len(key) + len(record.value) + len(record.fallback) + RECORD_OVERHEAD_BYTES
            if records and size > MAX_DIFFERENCE_BYTES and revision > records[-1].revision:
                return records, records[-1].revision
            records.append(record)
        return records, self.revision

    def _put(self, record: VersionedRecord) -> None:
        self._records[record.key] = record
        insort(self._order, (record.revision, record.key))
        if record.value:
            self._tombstones.discard(record.key)
        else:
            self._tombstones.add(record.key)

    def _remove_absent(self, difference: Difference) -> list[VersionedRecord]:
        present = {record.key for record in difference.records}
        removed = []
        for key, record in list(self._records.items()):
            if key in present or not record.value or record.revision > difference.revision:
                continue
            tombstone = VersionedRecord(key, difference.revision, b"")
            self._put(tombstone)
            removed.append(tombstone)
        return removed

    def _drop_tombstones(self) -> None:
        """Drop the oldest tombstones in batches, so that most calls of `apply` need no sort."""
        if len(self._tombstones) <= self._max_tombstones + CLEANUP_BATCH_RECORDS:
            return
        oldest = sorted(self._tombstones, key=lambda key: self._records[key].revision)
        for key in oldest[: len(oldest) - self._max_tombstones]:
            self.floor = max(self.floor, self._records[key].revision)
            del self._records[key]
            self._tombstones.discard(key)

    def _compact_order(self) -> None:
        if len(self._order) <= 2 * len(self._records) + CLEANUP_BATCH_RECORDS:
            return
        self._order = sorted((record.revision, key) for key, record in self._records.items())


def find_problem(difference: Difference) -> str:
    """Return why a difference is malformed, or an empty string if it is valid."""
    if difference.after < 0 or difference.revision < 0:
        return f"goes from revision {difference.after} to {difference.revision}"
    if not difference.complete and difference.revision < difference.after:
        return f"goes from revision {difference.after} to {difference.revision}"
    keys = set()
    for record in difference.records:
        if record.revision > difference.revision or record.revision < 1:
            return f"holds revision {record.revision} beyond its own {difference.revision}"
        if not difference.complete and record.revision <= difference.after:
            return f"holds revision {record.revision}, not above {difference.after}"
        if record.key in keys:
            return f"holds the key {record.key[:MAX_KEY_BYTES]!r} twice"
        if not record.key or len(record.key) > MAX_KEY_BYTES:
            return f"holds a key of {len(record.key)} characters"
        if max(len(record.value), len(record.fallback)) > MAX_VALUE_BYTES:
            return f"holds a value of more than {MAX_VALUE_BYTES} bytes"
        keys.add(record.key)
    return ""
