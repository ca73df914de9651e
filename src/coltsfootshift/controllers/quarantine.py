"""Tracks requests that were in flight when endpoints crashed.

A request is identified by its fingerprint. A request in flight at one crash is a suspect; it is
retried only on an endpoint that runs no other suspect. A request in flight at two crashes is
quarantined. Each crash has an id, so that several copies of a request in flight at the same crash
count once. A suspect is cleared when it gets a complete answer.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

__all__ = ["Quarantine", "Standing", "Suspect"]

CRASHES_TO_QUARANTINE = 2
SUSPECT_SECONDS = 300.0
QUARANTINE_SECONDS = 1800.0
MAX_SUSPECTS = 4096


class Standing(Enum):
    """Whether a request is suspected of crashing endpoints."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@dataclass(slots=True)
class Suspect:
    """The crashes during which a request was in flight.

    The record expires at `until`, in monotonic seconds.
    """

    fingerprint: bytes
    service: str
    until: float
    crashes: set[str] = field(default_factory=set)

    @property
    def standing(self) -> Standing:
        """The standing that follows from the number of crashes."""
        if len(self.crashes) >= CRASHES_TO_QUARANTINE:
            return Standing.QUARANTINED
        return Standing.SUSPECT


class Quarantine:
    """Suspects of all services at one entry, limited in number and lifetime.

    >>> quarantine = Quarantine()
    >>> quarantine.record_crashes(b"f", "kit", ["engine-1/1"], now=0.0).standing
    <Standing.SUSPECT: 'suspect'>
    >>> quarantine.record_crashes(b"f", "kit", ["engine-1/1"], now=0.0).standing
    <Standing.SUSPECT: 'suspect'>
    >>> quarantine.record_crashes(b"f", "kit", ["engine-2/1"], now=0.0).standing
    <Standing.QUARANTINED: 'quarantined'>
    """

    def __init__(self) -> None:
        self._suspects: OrderedDict[bytes, Suspect] = OrderedDict()

    def __len__(self) -> int:
        return len(self._suspects)

    def find_standing(self, fingerprint: bytes, now: float) -> Standing:
        """Return the standing of a request."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return Standing.CLEAR
        if suspect.until <= now:
            del self._suspects[fingerprint]
            return Standing.CLEAR
        return suspect.standing

    def record_crashes(
        self,
        fingerprint: bytes,
        service: str,
        crashes: Iterable[str],
        now: float,
        remaining: float | None = None,
    ) -> Suspect:
        """Record crashes during which a request was in flight.

        `remaining` is the remaining lifetime in seconds if another entry has reported them.
        """
        suspect = self._suspects.pop(fingerprint, None)
        if suspect is None or suspect.until <= now:
            suspect = Suspect(fingerprint, service, now)
        suspect.crashes.update(crashes)
        seconds = QUARANTINE_SECONDS
        if suspect.standing is Standing.SUSPECT:
            seconds = SUSPECT_SECONDS
        suspect.until = max(suspect.until, now + (seconds if remaining is None else remaining))
        self._suspects[fingerprint] = suspect
        self._evict(now)
        return suspect

    def clear(self, fingerprint: bytes) -> bool:
        """Remove a suspect that got a complete answer; return False for quarantined requests."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.standing is Standing.QUARANTINED:
            return False
        del self._suspects[fingerprint]
        return True

    def list_suspects(self, now: float) -> list[Suspect]:
        """Return all suspects that have not expired, least recently updated first."""
        return [suspect for suspect in self._suspects.values() if suspect.until > now]

    def describe(self, now: float) -> list[dict[str, Any]]:
        """Return rows for the status page, quarantined requests first."""
        rows = []
        for suspect in self.list_suspects(now):
            rows.append(
                {
                    "fingerprint": suspect.fingerprint.hex(),
                    "service": suspect.service,
                    "standing": suspect.standing.value,
                    "crashes": sorted(suspect.crashes),
                    "seconds_left": round(suspect.until - now, 1),
                }
            )
        return sorted(rows, key=lambda row: str(row["standing"]))

    def _evict(self, now: float) -> None:
        """Evict expired records when over the limit, then suspects, then quarantined requests."""
        if len(self._suspects) <= MAX_SUSPECTS:
            return
        for fingerprint, suspect in list(self._suspects.items()):
            if suspect.until <= now:
                del self._suspects[fingerprint]
        for wanted in (Standing.SUSPECT, Standing.QUARANTINED):
            for fingerprint, suspect in list(self._suspects.items()):
                if len(self._suspects) <= MAX_SUSPECTS:
                    return
                if suspect.standing is wanted:
                    del self._suspects[fingerprint]
