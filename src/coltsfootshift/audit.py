"""Audit trail of catalogue changes: old and new value, and when the change took effect."""

from __future__ import annotations

import json
import math
import time
from collections import deque
from dataclasses import asdict, dataclass

from coltsfootshift.logs import get_logger

__all__ = ["AuditRecord", "AuditTrail"]

MAX_RECORDS = 2_000
MAX_CHARACTERS = 8_000_000

logger = get_logger("audit")


@dataclass(frozen=True, slots=True)
class AuditRecord:
    """One change of a catalogue entry; `at` is wall time in seconds since the epoch.

    `before` and `after` are JSON texts, empty if there is no entry. `problem` is the reason if the
    new text was rejected, and empty otherwise.
    """

    at: float
    key: str
    revision: int
    owner: str
    before: str
    after: str
    source: str
    problem: str


class AuditTrail:
    """The latest changes applied by this process, oldest first, in bounded memory."""

    def __init__(self) -> None:
        self._records: deque[AuditRecord] = deque()
        self._character_count = 0

    def __len__(self) -> int:
        return len(self._records)

    def add(
        self,
        key: str,
        revision: int,
        before: bytes,
        after: bytes,
        source: str,
        problem: str = "",
    ) -> None:
        """Record a change and write it to the log."""
        record = AuditRecord(
            at=time.time(),
            key=key,
            revision=revision,
            owner=_find_owner(after or before),
            before=before.decode(errors="replace"),
            after=after.decode(errors="replace"),
            source=source,
            problem=problem,
        )
        self._append(record)
        logger.info("catalogue entry changed", extra=asdict(record))

    def _append(self, record: AuditRecord) -> None:
        """Append a record and drop the oldest ones beyond the limits."""
        self._records.append(record)
        self._character_count += _count_characters(record)
        while len(self._records) > MAX_RECORDS or self._exceeds_max_characters():
            self._character_count -= _count_characters(self._records.popleft())

    def _exceeds_max_characters(self) -> bool:
        return self._character_count > MAX_CHARACTERS and len(self._records) > 1

    def list_records(
        self, key: str = "", owner: str = "", since: float = 0.0, until: float = math.inf
    ) -> list[dict]:
        """Return the records that match all filters, oldest first; times are wall seconds."""
        rows = []
        for record in self._records:
            if key and record.key != key:
                continue
            if owner and record.owner != owner:
                continue
            if not since <= record.at <= until:
                continue
            rows.append(asdict(record))
        return rows


def _count_characters(record: AuditRecord) -> int:
    return len(record.before) + len(record.after)


def _find_owner(text: bytes) -> str:
    try:
        value = json.loads(text)
    except ValueError:
        return ""
    return str(value.get("owner", "")) if isinstance(value, dict) else ""
