"""Decides how a process keeps its copy of a platform table current.

The table comes from watches on the platform and from differences that peers send.
"""

from __future__ import annotations

from coltsfootshift.catalogue.table import RecordTable, find_problem
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

STATE_RESEND_SECONDS = 5.0
REQUEST_TIMEOUT_SECONDS = 1.0
PLATFORM_RETRY_FIRST_SECONDS = 0.2
PLATFORM_RETRY_MAX_SECONDS = 2.0
MAX_DOUBLINGS = 8
MIN_WATCH_SECONDS = 1.0
TAKEOVER_SECONDS = 1.5
TAKEOVER_STEP_SECONDS = 0.3
FIRST_READ_DEFER_SECONDS = 1.0


class TableController(Controller[TableAction]):
    """Follows one platform table.

    The first group of watchers in each region keeps a watch open on the platform. A later group
    takes over when no earlier group has received an answer for a while, and stops once one has.
    Every process notifies its peers when its revision rises, requests the difference from a peer
    that is ahead, and reports how recently the platform answered the watchers. A revision
    lower than the current one is never applied.

    A gated table withholds its first records until peers have reported their revisions, so that a
    process that starts while the platform is stale does not put old records in force. All tables
    of a process share one `Freshness`, because the same watchers read them from one platform.
    """

    def __init__(self, table: RecordTable, freshness: Freshness, gated: bool = False) -> None:
        self.table = table
        self.freshness = freshness
        self.platform_revision = 0
        self._gate = SettlingGate(open_at_once=not gated)
        self._withheld: dict[str, VersionedRecord] = {}
        self._peers: dict[InstanceId, int] = {}
        self._pending_request: tuple[InstanceId, float] | None = None
        self._group: int | None = None
        self._group_changed_at = 0.0
        self._watching = False
        self._watch_open = False
        self._watch_number = 0
        self._watch_due = 0.0
        self._failures = 0
        self._resend_at = 0.0
        self._first_read_at: float | None = None
        self._first_read_interval = 0.0

    def __repr__(self) -> str:
        return f"TableController({self.table!r}, watching={self._watching})"

    @property
    def watching(self) -> bool:
        """Whether this process keeps a watch open on the platform."""
        return self._watching

    @property
    def settled(self) -> bool:
        """Whether the records of this table are in force."""
        return self._gate.is_open

    def handle(self, event: Event, now: float) -> list[TableAction]:
        """Handle an event and return the resulting actions."""
        actions = self._dispatch(event, now)
        actions += self._open_gate(now)
        if self.freshness.needs_sending():
            actions.append(SendStates())
        return actions

    def _dispatch(self, event: Event, now: float) -> list[TableAction]:
        if isinstance(event, PlatformAnswered):
            return self._apply_platform_answer(event, now)
        if isinstance(event, PlatformFailed):
            return self._retry_platform(event, now)
        if isinstance(event, (RevisionReceived, StateReceived)):
            return self._record_peer_revision(event, now)
        if isinstance(event, PeerDisconnected):
            return self._remove_peer(event.peer, now)
        if isinstance(event, DifferenceRequested):
            return [
                SendDifference(event.peer, self.table.make_difference(event.after, event.floor))
            ]
        if isinstance(event, DifferenceReceived):
            return self._apply_peer_difference(event, now)
        return self._dispatch_own(event, now)

    def _dispatch_own(self, event: Event, now: float) -> list[TableAction]:
        if isinstance(event, TableTick):
            return self._tick(now)
        if isinstance(event, WatchRankChanged):
            return self._set_rank(event.rank, now)
        if isinstance(event, PeerCountChanged):
            self._gate.expected_peers = event.count
            return []
        if isinstance(event, StatesSent):
            self.freshness.record_sent()
            self._resend_at = now + STATE_RESEND_SECONDS
            return []
        if isinstance(event, TableStarted):
            self._first_read_at = now + event.delay
            self._first_read_interval = event.interval
            return []
        if isinstance(event, ProcessResumed):
            return self._resume(now)
        raise TypeError(f"unexpected event {event!r}")

    def _set_rank(self, rank: int | None, now: float) -> list[TableAction]:
        group = find_rank_group(rank)
        if group != self._group:
            self._group = group
            self._group_changed_at = now
        return self._update_watching(now)

    def _update_watching(self, now: float) -> list[TableAction]:
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
        since = self._group_changed_at if newest is None else max(newest, self._group_changed_at)
        return now - since > TAKEOVER_SECONDS + self._group * TAKEOVER_STEP_SECONDS

    def _watch(self, delay: float, now: float) -> WatchPlatform:
        """Open a watch after `delay` seconds.

        If it returns nothing new, the next one does not start before `_watch_due`.
        """
        delay = max(0.0, delay)
        self._watch_open = True
        self._watch_number += 1
        self._watch_due = now + delay + MIN_WATCH_SECONDS
        return WatchPlatform(self.table.revision, delay, self._watch_number)

    def _apply_platform_answer(self, event: PlatformAnswered, now: float) -> list[TableAction]:
        difference = event.difference
        newer = difference.revision > self.table.revision
        if newer and find_problem(difference):
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
            self._schedule_first_read(now)
            return actions
        actions.append(self._watch(0.0 if actions else self._watch_due - now, now))
        return actions

    def _retry_platform(self, event: PlatformFailed, now: float) -> list[TableAction]:
        if event.number != self._watch_number:
            return []
        self._watch_open = False
        if not self._watching:
            self._schedule_first_read(now)
            return []
        delay = min(PLATFORM_RETRY_FIRST_SECONDS * 2**self._failures, PLATFORM_RETRY_MAX_SECONDS)
        self._failures = min(self._failures + 1, MAX_DOUBLINGS)
        return [self._watch(delay, now)]

    def _schedule_first_read(self, now: float) -> None:
        if self._first_read_at is not None:
            self._first_read_at = now + self._first_read_interval

    def _record_peer_revision(
        self, event: RevisionReceived | StateReceived, now: float
    ) -> list[TableAction]:
        self._peers[event.peer] = event.revision
        if isinstance(event, StateReceived):
            self._gate.record_report(event.peer, event.settled)
        actions: list[TableAction] = []
        if event.revision < self.table.revision:
            actions.append(SendNotice(event.peer, self.table.revision))
        return actions + self._request_difference(now)

    def _remove_peer(self, peer: InstanceId, now: float) -> list[TableAction]:
        self._peers.pop(peer, None)
        self._gate.record_disconnected(peer)
        if self._pending_request is not None and self._pending_request[0] == peer:
            self._pending_request = None
        return self._request_difference(now)

    def _apply_peer_difference(self, event: DifferenceReceived, now: float) -> list[TableAction]:
        problem = find_problem(event.difference)
        if problem:
            self._peers.pop(event.peer, None)
            return [RefusePeer(event.peer, f"sent a difference that {problem}")]
        if self._pending_request is not None and self._pending_request[0] == event.peer:
            self._pending_request = None
        self._peers[event.peer] = max(event.difference.revision, self._peers.get(event.peer, 0))
        return self._apply(event.difference, event.peer) + self._request_difference(now)

    def _apply(self, difference: Difference, source: str) -> list[TableAction]:
        if not self.table.accepts(difference):
            return []
        records = self.table.apply(difference)
        actions: list[TableAction] = []
        if self._gate.is_open:
            actions.append(ApplyRecords(records, source))
        else:
            self._withheld.update((record.key, record) for record in records)
        for peer, revision in self._peers.items():
            if revision < self.table.revision:
                actions.append(SendNotice(peer, self.table.revision))
        return actions

    def _open_gate(self, now: float) -> list[TableAction]:
        """Put the withheld records in force once peers are not expected to send newer ones."""
        if self._gate.is_open or self.table.revision == 0:
            return []
        highest = max(self._peers.values(), default=0)
        if not self._gate.try_open(self.table.revision, highest, now):
            return []
        records = list(self._withheld.values())
        self._withheld.clear()
        return [ApplyRecords(records, "start"), SendStates()]

    def _request_difference(self, now: float) -> list[TableAction]:
        """Request the difference from the peer that is furthest ahead, one request at a time."""
        if (
            self._pending_request is not None
            and now - self._pending_request[1] < REQUEST_TIMEOUT_SECONDS
        ):
            return []
        timed_out = self._pending_request[0] if self._pending_request is not None else None
        self._pending_request = None
        best: InstanceId | None = None
        for peer, revision in self._peers.items():
            if revision <= self.table.revision or peer == timed_out:
                continue
            if best is None or revision > self._peers[best]:
                best = peer
        if best is None:
            return []
        self._pending_request = (best, now)
        return [RequestDifference(best, self.table.revision, self.table.floor)]

    def _tick(self, now: float) -> list[TableAction]:
        actions = self._request_difference(now) + self._update_watching(now) + self._read_first(now)
        if now >= self._resend_at:
            self._resend_at = now + STATE_RESEND_SECONDS
            actions.append(SendStates())
        return actions

    def _read_first(self, now: float) -> list[TableAction]:
        """Read the platform if neither peers nor a watch have delivered any records yet."""
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
        """Discard the state received from other processes, which is outdated after a pause."""
        self.freshness.forget()
        self._gate.close(now)
        self._peers.clear()
        self._pending_request = None
        self._group_changed_at = now
        self._watch_open = False
        self._watch_number += 1
        return self._update_watching(now) + [SendStates()]
