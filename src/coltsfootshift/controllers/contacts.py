"""Which of the known entries a process keeps connections to, and tries when it has none."""

from __future__ import annotations

from collections.abc import Mapping, Set
from dataclasses import dataclass
from enum import IntEnum
from math import inf

from coltsfootshift.controllers.rings import rank_by_hash

__all__ = ["ContactChooser", "Preference"]

# A connection normally opens within some round trips.
CONNECT_SECONDS = 1.0
# Until a process without any connection tries more entries at once than it wants to keep.
SEARCH_AFTER_SECONDS = 0.4
MAX_SEARCHED = 32
MAX_FORMER = 64


class Preference(IntEnum):
    """How likely an address is that of a live entry nearby; lower is better."""

    NEAR = 0
    LIVE = 1
    SEED = 2
    FORMER = 3


@dataclass(slots=True)
class _Contact:
    """A known address; `chosen_at` is None while it is not chosen.

    `failures` counts for how many periods of `CONNECT_SECONDS` in a row it was chosen without a
    connection.
    """

    preference: Preference
    failures: int = 0
    chosen_at: float | None = None


class ContactChooser:
    """Chooses entries by preference, then by a hash, so that processes spread over them.

    Load pattern: many entries are lost for good, and processes that start know the seeds only,
    which may be stale. An entry that cannot be reached loses its place to the others, in turn and
    without end. A process without any connection tries up to `MAX_SEARCHED` at once. Entries that
    have not been heard of for long are tried last, and never forgotten below `MAX_FORMER`.
    `own` is the name of this process, `limit` how many connections it keeps. At most `max_former`
    former entries are tried by a process that has a connection.

    >>> chooser = ContactChooser("agent", limit=1)
    >>> known = {"a": Preference.SEED, "b": Preference.SEED}
    >>> first = chooser.choose(known, frozenset(), 0.0)
    >>> len(first), len(chooser.choose(known, frozenset(), 0.5))
    (1, 2)
    >>> chooser.choose(known, {"b"}, 1.0), chooser.choose(known, {"b"}, 9.0)
    (['b'], ['b'])
    """

    def __init__(self, own: str, limit: int, max_former: int = 0) -> None:
        self._own = own
        self._limit = limit
        self._max_former = max_former
        self._contacts: dict[str, _Contact] = {}
        self._ranks: dict[str, int] = {}
        self._alone_since: float | None = None

    def __repr__(self) -> str:
        return f"ContactChooser({self._own!r}, known={sorted(self._contacts)})"

    def choose(self, live: Mapping[str, Preference], connected: Set[str], now: float) -> list[str]:
        """Return the names of the entries to connect to; `live` are those known now.

        Names of earlier calls that are missing from `live` count as former entries.
        """
        self._update_known(live)
        self._count_failures(connected, now)
        if connected:
            self._alone_since = None
        elif self._alone_since is None:
            self._alone_since = now
        chosen = self._list_best(now)
        for name, contact in self._contacts.items():
            if name not in chosen:
                contact.chosen_at = None
            elif contact.chosen_at is None:
                contact.chosen_at = now
        return chosen

    def _update_known(self, live: Mapping[str, Preference]) -> None:
        for name, preference in live.items():
            contact = self._contacts.get(name)
            if contact is None:
                self._contacts[name] = _Contact(preference)
                continue
            if contact.preference > Preference.LIVE >= preference:
                contact.failures = 0
            contact.preference = preference
        former = [name for name in self._contacts if name not in live]
        for name in former[: max(0, len(former) - MAX_FORMER)]:
            del self._contacts[name]
        for name in former[max(0, len(former) - MAX_FORMER) :]:
            self._contacts[name].preference = Preference.FORMER

    def _count_failures(self, connected: Set[str], now: float) -> None:
        for name, contact in self._contacts.items():
            if name in connected:
                contact.failures = 0
                contact.chosen_at = now
            elif contact.chosen_at is not None and now - contact.chosen_at >= CONNECT_SECONDS:
                contact.failures += 1
                contact.chosen_at = now

    def _list_best(self, now: float) -> list[str]:
        if not self._contacts.keys() <= self._ranks.keys():
            ranked = rank_by_hash(self._own, [*self._contacts])
            self._ranks = {name: rank for rank, name in enumerate(ranked)}
        ranks = self._ranks

        def rate(name: str) -> tuple[float, int, int]:
            contact = self._contacts[name]
            return contact.failures, contact.preference, ranks[name]

        ordered = sorted(self._contacts, key=rate)
        since = inf if self._alone_since is None else self._alone_since
        if now - since >= SEARCH_AFTER_SECONDS:
            return ordered[: max(self._limit, MAX_SEARCHED)]
        chosen, former = [], 0
        for name in ordered:
            if self._contacts[name].preference is Preference.FORMER:
                former += 1
                if former > self._max_former and self._alone_since is None:
                    continue
            chosen.append(name)
        return chosen[: self._limit]
