"""An outage of the store for some entries or all, with changes in it and right after it."""

from __future__ import annotations

import time
from collections.abc import Callable
from random import Random

from soak.ledger import STORE
from soak.members import Member, SoakFleet

OUTAGE_RANGE_SECONDS = (1.0, 8.0)
CHANGE_RANGE_SECONDS = (0.0, 1.0)  # after the return of the store
MODES = ("refuse", "stall", "hold", "hold_out", "hold_back")


class StoreOutage:
    """Refuses or silences the store for some entries or all, and changes routes beside that."""

    def __init__(self, fleet: SoakFleet, rng: Random) -> None:
        count = rng.randint(1, len(fleet.entries))
        self._entries = rng.sample(fleet.entries, rng.choice((count, len(fleet.entries))))
        self._mode = rng.choice(MODES)
        self._seconds = rng.uniform(*OUTAGE_RANGE_SECONDS)
        self._delay = rng.uniform(*CHANGE_RANGE_SECONDS)

    def __repr__(self) -> str:
        names = [member.name for member in self._entries]
        return f"StoreOutage({self._mode}, {names}, {self._seconds:.1f} s)"

    def play(self, fleet: SoakFleet, await_route: Callable[[Member, str, float], None]) -> None:
        """Play the outage; `await_route` expects that an entry serves a route by a time."""
        fleet.record_disruption(STORE, self._seconds)
        rules = [f"store/{member.name}" for member in self._entries]
        for rule in rules:
            fleet.proxy.set(rule, mode=self._mode)
        time.sleep(self._seconds / 2)
        fleet.routes.append(f"during-{len(fleet.routes)}")
        fleet.put_config()
        time.sleep(self._seconds / 2)
        for rule in rules:
            fleet.proxy.set(rule, mode="pass")
        returned_at = time.monotonic()
        for member in fleet.entries:
            await_route(member, fleet.routes[-1], returned_at)
        time.sleep(self._delay)
        fleet.routes.append(f"back-{len(fleet.routes)}")
        fleet.put_config()
        published_at = time.monotonic()
        for member in fleet.entries:
            await_route(member, fleet.routes[-1], published_at)
