"""The failure domains that the operator has taken out of service, and since when."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

from coltsfootshift.gateway.endpoint_list import MAX_COPY_AGE_SECONDS
from coltsfootshift.ids import FailureDomain

__all__ = ["Evacuations"]


@dataclass(slots=True)
class _Evacuation:
    """An item that evacuates a domain, as the store last had it; not in force while deferred.

    `highest` is the highest revision that it had in any era.
    """

    domain: FailureDomain
    era: int
    revision: int
    highest: int
    since: float
    deferred: bool = False


@dataclass(frozen=True, slots=True)
class _Lift:
    """The end of an evacuation; its item never had a higher revision than `revision`."""

    domain: FailureDomain
    revision: int
    lifted_at: float


class Evacuations:
    """Decides which failure domains are out of service.

    Load pattern: a domain is emptied under full load while the store comes back from an older copy
    of itself. The items of evacuations carry no number of the operator's that would tell which of
    two is newer. For the first seconds of an era of the store the known state stands: an evacuation
    that the copy lacks holds on, and one that was lifted, but that the copy still has, is deferred.
    The operator corrects the store meanwhile; after `settled_at` the store's state counts.

    Times are in seconds of the process's clock. Items are identified by their keys.

    >>> evacuations = Evacuations()
    >>> evacuations.begin_era(era=1, settled_at=3.0)
    >>> evacuations.record("domain/a", FailureDomain("a"), era=1, revision=7, now=5.0)
    True
    >>> evacuations.begin_era(era=2, settled_at=13.0)
    >>> evacuations.settle(12.9), evacuations.list_out()
    ([], {'a': 5.0})
    >>> evacuations.settle(13.0), evacuations.list_out()
    (['domain/a'], {})
    """

    def __init__(self) -> None:
        self._held: dict[str, _Evacuation] = {}
        self._lifts: dict[str, _Lift] = {}
        self._era = 0
        self._settled_at = -inf
        self._followed = (0, 0)
        self._refused: set[tuple[str, int]] = set()  # keys and their eras

    def __repr__(self) -> str:
        return f"Evacuations({self.list_out()!r})"

    def __contains__(self, key: str) -> bool:
        return key in self._held

    def begin_era(self, era: int, settled_at: float, followed: tuple[int, int] = (0, 0)) -> None:
        """Follow the store in an era; its state counts from `settled_at` on.

        `followed` is the era and revision up to which the store was followed before.
        """
        self._era = era
        self._settled_at = settled_at
        self._followed = followed
        self._refused.clear()

    def record(
        self,
        key: str,
        domain: FailureDomain,
        era: int,
        revision: int,
        now: float,
        copied: bool = False,
    ) -> bool:
        """Record an item that evacuates a domain; return whether it is news.

        `copied` is set if the item came with the copy of the store that began the era.
        """
        held = self._held.get(key)
        lift = self._lifts.get(key)
        is_recent = lift is not None and now - lift.lifted_at <= MAX_COPY_AGE_SECONDS
        was_lifted = lift is not None and is_recent and revision <= lift.revision
        if held is None:
            # What is not held up to the point at which an era was left had been removed there.
            was_removed = era == self._followed[0] and revision <= self._followed[1]
            if era < self._era and (was_removed or was_lifted or now >= self._settled_at):
                self._refused.add((key, era))
                return False
            self._held[key] = _Evacuation(
                domain, era, revision, revision, now, copied and was_lifted
            )
            return True
        if (era, revision) <= (held.era, held.revision):
            return False
        held.era, held.revision = era, revision
        held.highest = max(held.highest, revision)
        if held.deferred and not (copied and was_lifted):
            held.deferred, held.since = False, now
        return True

    def lift(self, key: str, now: float) -> None:
        """Record that the item of an evacuation was removed."""
        held = self._held.pop(key, None)
        if held is None or held.deferred:
            return
        previous = self._lifts.get(key)
        revision = held.highest if previous is None else max(previous.revision, held.highest)
        self._lifts[key] = _Lift(held.domain, revision, now)
        for old in [k for k, v in self._lifts.items() if now - v.lifted_at > MAX_COPY_AGE_SECONDS]:
            del self._lifts[old]

    def settle(self, now: float) -> list[str]:
        """Let the store's state count if it is time; return the keys of the items this changes.

        Evacuations that the store has lacked since the era began are lifted, and those that it has
        kept come into force.
        """
        if not self._held or now < self._settled_at:
            return []
        changed = []
        for key, held in list(self._held.items()):
            if held.era < self._era:
                changed.append(key)
                self.lift(key, now)
            elif held.deferred:
                changed.append(key)
                held.deferred, held.since = False, now
        return changed

    def accepts(self, key: str, era: int, now: float) -> bool:
        """Return whether an evacuation of an earlier era, which is not known here, may count.

        One that was refused since this era began is not asked for again.
        """
        if key in self._held or (key, era) in self._refused:
            return False
        return era < self._era and now < self._settled_at

    def is_out(self, domain: FailureDomain) -> bool:
        """Return whether a domain is out of service."""
        return any(held.domain == domain and not held.deferred for held in self._held.values())

    def is_deferred(self, key: str) -> bool:
        """Return whether the store has an evacuation that was lifted before."""
        held = self._held.get(key)
        return held is not None and held.deferred

    def list_out(self) -> dict[FailureDomain, float]:
        """Return the domains that are out of service, and since when this process knows that."""
        return {held.domain: held.since for held in self._held.values() if not held.deferred}

    def list_kept(self) -> dict[str, int]:
        """Return the keys and eras of the evacuations that the store has lost and that stand."""
        return {key: held.era for key, held in self._held.items() if held.era < self._era}

    def list_lifts(self) -> dict[FailureDomain, float]:
        """Return the domains whose evacuation has ended lately, and when it last did."""
        return {lift.domain: lift.lifted_at for lift in self._lifts.values()}

    def lifted_at(self, domain: FailureDomain) -> float | None:
        """Return when the latest evacuation of a domain ended, or None if none is known."""
        return self.list_lifts().get(domain)
