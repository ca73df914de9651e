"""Decides how one process follows a platform table: whom to ask, what to apply, whom to tell."""

from __future__ import annotations

from coltsfootshift.catalogue.table import RecordTable, find_fault
from coltsfootshift.controllers.base import Controller, Event
from coltsfootshift.controllers.freshness import Freshness, find_rank_group
from coltsfootshift.controllers.settling import SettlingGate
from coltsfootshift.controllers.tableevents import (
    ApplyRecords,
    DifferenceReceived,
    DifferenceRequested,
    PeerCountChanged,
    PeerDisconnected,
    PlatformAnswered,
    PlatformFailed,
    ProcessResumed,
    RefusePeer,
    RequestDifference,
    RevisionReceived,
    SendDifference,
    SendNotice,
    SendStates,
    StateReceived,
    StatesSent,
    TableAction,
    TableStarted,
    TableTick,
    WatchPlatform,
    WatchRankChanged,
)
from coltsfootshift.ids import InstanceId
from coltsfootshift.messages import Difference, VersionedRecord

__all__ = ["TableController"]

HEAL_SECONDS = 5.0
ASK_TIMEOUT_SECONDS = 1.0
PLATFORM_RETRY_FIRST_SECONDS = 0.2
PLATFORM_RETRY_MOST_SECONDS = 2.0
MOST_DOUBLINGS = 8
LEAST_WATCH_SECONDS = 1.0
TAKE_OVER_SECONDS = 1.5
TAKE_OVER_STEP_SECONDS = 0.3
FIRST_READ_DEFER_SECONDS = 1.0


class TableController(Controller[TableAction]):
    """Follows one platform table.

    The first group of each region's watchers keeps a watch open at the platform; a later group
    takes over when no group before it has had an answer for a while, and stops once one has.
    Every process tells its peers when its revision rises, asks a peer that is ahead for the
    difference, and spreads how fresh the platform's confirmation is. A revision below the one
    held is never applied.

    A gated table holds its first records back until peers were heard, so that a process that
    starts while the platform is stale puts nothing old in force. All tables of a process share
    one `Freshness`, since the same watchers read them at the same platform.
    """

    def __init__(self, table: RecordTable, freshness: Freshness, gated: bool = False) -> None:
        self.table = table
        self.freshness = freshness
        self.platform_revision = 0
        self._gate = SettlingGate(open_at_once=not gated)
        self._held_back: dict[str, VersionedRecord] = {}
        self._peers: dict[InstanceId, int] = {}
        self._asked: tuple[InstanceId, float] | None = None
        self._group: int | None = None
        self._ranked_at = 0.0
        self._watching = False
        self._watch_open = False
        self._watch_number = 0
        self._watch_due = 0.0
        self._failures = 0
        self._heal_at = 0.0
        self._first_read_at: float | None = None
        self._first_read_spread = 0.0

    def __repr__(self) -> str:
        return f"TableController({self.table!r}, watching={self._watching})"

    @property
    def watching(self) -> bool:
        """Whether this process is one of the watchers at the platform."""
        return self._watching

    @property
    def settled(self) -> bool:
        """Whether what is held here is in force."""
        return self._gate.is_open

    def handle(self, event: Event, now: float) -> list[TableAction]:
        """Take an event and return the actions that follow."""
        actions = self._dispatch(event, now)
        actions += self._open_gate(now)
        if self.freshness.needs_sending():
            actions.append(SendStates())
        return actions

    def _dispatch(self, event: Event, now: float) -> list[TableAction]:
        if isinstance(event, PlatformAnswered):
            return self._take_platform(event, now)
        if isinstance(event, PlatformFailed):
            return self._retry_platform(event, now)
        if isinstance(event, (RevisionReceived, StateReceived)):
            return self._note_peer(event, now)
        if isinstance(event, PeerDisconnected):
            return self._forget_peer(event.peer, now)
        if isinstance(event, DifferenceRequested):
            return [
                SendDifference(event.peer, self.table.make_difference(event.after, event.floor))
            ]
        if isinstance(event, DifferenceReceived):
            return self._take_peer(event, now)
        return self._dispatch_own(event, now)

    def _dispatch_own(self, event: Event, now: float) -> list[TableAction]:
        if isinstance(event, TableTick):
            return self._tick(now)
        if isinstance(event, WatchRankChanged):
            return self._set_rank(event.rank, now)
        if isinstance(event, PeerCountChanged):
            self._gate.wanted = event.count
            return []
        if isinstance(event, StatesSent):
            self.freshness.note_sent()
            self._heal_at = now + HEAL_SECONDS
            return []
        if isinstance(event, TableStarted):
            self._first_read_at = now + event.delay
            self._first_read_spread = event.spread
            return []
        if isinstance(event, ProcessResumed):
            return self._resume(now)
        raise TypeError(f"unexpected event {event!r}")

    def _set_rank(self, rank: int | None, now: float) -> list[TableAction]:
        group = find_rank_group(rank)
        if group != self._group:
            self._group = group
            self._ranked_at = now
        return self._choose_watching(now)

    def _choose_watching(self, now: float) -> list[TableAction]:
        self._watching = self._must_watch(now)
        if not self._watching or self._watch_open:
            return []
        return [self._watch(0.0, now)]

    def _must_watch(self, now: float) -> bool:
        if self._group is None:
            return False
        if self._group == 0:
            return True
        newest = self.freshness.find_newest(self._group)
        since = self._ranked_at if newest is None else max(newest, self._ranked_at)
        return now - since > TAKE_OVER_SECONDS + self._group * TAKE_OVER_STEP_SECONDS

    def _watch(self, delay: float, now: float) -> WatchPlatform:
        """Open a watch; one that brings nothing is not followed by another before `_watch_due`."""
        delay = max(0.0, delay)
        self._watch_open = True
        self._watch_number += 1
        self._watch_due = now + delay + LEAST_WATCH_SECONDS
        return WatchPlatform(self.table.revision, delay, self._watch_number)

    def _take_platform(self, event: PlatformAnswered, now: float) -> list[TableAction]:
        difference = event.difference
        newer = difference.revision > self.table.revision
        if newer and find_fault(difference):
            return self._retry_platform(PlatformFailed(event.number), now)
        actions = self._apply(difference, "platform")
        if event.number != self._watch_number:
            return actions
        self._failures = 0
        self._watch_open = False
        self.platform_revision = difference.revision
        if self._group is not None:
            self.freshness.confirm(self._group, now)
        if not self._watching:
            self._plan_first_read(now)
            return actions
        actions.append(self._watch(0.0 if actions else self._watch_due - now, now))
        return actions

    def _retry_platform(self, event: PlatformFailed, now: float) -> list[TableAction]:
        if event.number != self._watch_number:
            return []
        self._watch_open = False
        if not self._watching:
            self._plan_first_read(now)
            return []
        delay = min(PLATFORM_RETRY_FIRST_SECONDS * 2**self._failures, PLATFORM_RETRY_MOST_SECONDS)
        self._failures = min(self._failures + 1, MOST_DOUBLINGS)
        return [self._watch(delay, now)]

    def _plan_first_read(self, now: float) -> None:
        if self._first_read_at is not None:
            self._first_read_at = now + self._first_read_spread

    def _note_peer(self, event: RevisionReceived | StateReceived, now: float) -> list[TableAction]:
        self._peers[event.peer] = event.revision
        if isinstance(event, StateReceived):
            self._gate.note_told(event.peer, event.settled)
        actions: list[TableAction] = []
        if event.revision < self.table.revision:
            actions.append(SendNotice(event.peer, self.table.revision))
        return actions + self._ask(now)

    def _forget_peer(self, peer: InstanceId, now: float) -> list[TableAction]:
        self._peers.pop(peer, None)
        self._gate.note_gone(peer)
        if self._asked is not None and self._asked[0] == peer:
            self._asked = None
        return self._ask(now)

    def _take_peer(self, event: DifferenceReceived, now: float) -> list[TableAction]:
        fault = find_fault(event.difference)
        if fault:
            self._peers.pop(event.peer, None)
            return [RefusePeer(event.peer, f"sent a difference that {fault}")]
        if self._asked is not None and self._asked[0] == event.peer:
            self._asked = None
        self._peers[event.peer] = max(event.difference.revision, self._peers.get(event.peer, 0))
        return self._apply(event.difference, event.peer) + self._ask(now)

    def _apply(self, difference: Difference, source: str) -> list[TableAction]:
        if not self.table.accepts(difference):
            return []
        records = self.table.apply(difference)
        actions: list[TableAction] = []
        if self._gate.is_open:
            actions.append(ApplyRecords(records, source))
        else:
            self._held_back.update((record.key, record) for record in records)
        for peer, revision in self._peers.items():
            if revision < self.table.revision:
                actions.append(SendNotice(peer, self.table.revision))
        return actions

    def _open_gate(self, now: float) -> list[TableAction]:
        """Put what was held back in force once nothing newer is to be expected from peers."""
        if self._gate.is_open or self.table.revision == 0:
            return []
        highest = max(self._peers.values(), default=0)
        if not self._gate.try_open(self.table.revision, highest, now):
            return []
        records = list(self._held_back.values())
        self._held_back.clear()
        return [ApplyRecords(records, "start"), SendStates()]

    def _ask(self, now: float) -> list[TableAction]:
        """Ask one peer that is ahead, the furthest one; one question at a time."""
        if self._asked is not None and now - self._asked[1] < ASK_TIMEOUT_SECONDS:
            return []
        late = self._asked[0] if self._asked is not None else None
        self._asked = None
        best: InstanceId | None = None
        for peer, revision in self._peers.items():
            if revision <= self.table.revision or peer == late:
                continue
            if best is None or revision > self._peers[best]:
                best = peer
        if best is None:
            return []
        self._asked = (best, now)
        return [RequestDifference(best, self.table.revision, self.table.floor)]

    def _tick(self, now: float) -> list[TableAction]:
        actions = self._ask(now) + self._choose_watching(now) + self._read_first(now)
        if now >= self._heal_at:
            self._heal_at = now + HEAL_SECONDS
            actions.append(SendStates())
        return actions

    def _read_first(self, now: float) -> list[TableAction]:
        """Read the platform where neither peers nor a watch have brought anything yet."""
        if self._first_read_at is None or now < self._first_read_at:
            return []
        if self.table.revision > 0:
            self._first_read_at = None
            return []
        if self._watch_open:
            return []
        if max(self._peers.values(), default=0) > 0:
            self._first_read_at = now + FIRST_READ_DEFER_SECONDS
            return []
        return [self._watch(0.0, now)]

    def _resume(self, now: float) -> list[TableAction]:
        """Treat all that was known of others as unknown: the process was paused."""
        self.freshness.forget()
        self._gate.close(now)
        self._peers.clear()
        self._asked = None
        self._ranked_at = now
        self._watch_open = False
        self._watch_number += 1
        return self._choose_watching(now) + [SendStates()]
