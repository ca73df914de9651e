"""Timing of heartbeats: when to send the next one and when a peer counts as unreachable."""

from __future__ import annotations

from math import isfinite

from coltsfootshift.messages import Heartbeat
from coltsfootshift.settings import StreamTiming

__all__ = ["HeartbeatTimer"]

MAX_INTERVAL_SECONDS = 60.0
MAX_CLOCK_DRIFT = 200e-6  # seconds per second
MILLISECONDS_PER_SECOND = 1000


class HeartbeatTimer:
    """Heartbeat state of one stream; does no I/O and takes the time as an argument, in seconds.

    A stream that is in use, or needed by either end, sends a heartbeat after each
    `timing.heartbeat` without other messages. An idle stream that may slow down sends one every
    `timing.slow_heartbeat`. Each heartbeat states the time until the sender's next one, which
    sets the receiver's timeout. After a message is sent on a slowed-down stream, the peer must
    send something, such as a heartbeat, within `timing.silence`.

    >>> timer = HeartbeatTimer(StreamTiming(), may_slow_down=True, now=0.0)
    >>> timer.make_heartbeat(0.0).next_in, timer.make_heartbeat(9.0).next_in
    (1000, 10000)
    """

    def __init__(self, timing: StreamTiming, may_slow_down: bool, now: float) -> None:
        self._timing = timing
        self._may_slow_down = may_slow_down
        self._needed_here = False
        self._last_traffic_at = now
        self._sent_at = now
        self._announced_at = now + timing.heartbeat
        self._received_at = now
        self._overdue_at = now + timing.silence
        self._needed_by_peer = False
        self._min_offset: float | None = None
        self._offset_at = now
        self.transit_delay = 0.0

    def __repr__(self) -> str:
        return (
            f"HeartbeatTimer(may_slow_down={self._may_slow_down}, "
            f"sent_at={self._sent_at}, received_at={self._received_at})"
        )

    @property
    def received_at(self) -> float:
        """Time at which data last arrived."""
        return self._received_at

    def set_needed(self, needed: bool, now: float) -> None:
        """Set whether this end awaits messages; if so, the stream keeps the short interval."""
        if needed and not self._needed_here:
            self._expect_reply(now)
        self._needed_here = needed

    def record_sent(self, now: float, is_traffic: bool) -> None:
        """Record a message sent; `is_traffic` is false for heartbeats and handshake messages."""
        self._sent_at = now
        if not is_traffic:
            return
        self._announced_at = now + self._timing.heartbeat
        self._expect_reply(now)
        self._last_traffic_at = now

    def record_received(self, now: float, is_traffic: bool) -> None:
        """Record the arrival of data, which restarts the silence timeout."""
        self._received_at = now
        self._overdue_at = now + self._timing.silence
        if is_traffic:
            self._last_traffic_at = now

    def record_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        """Record a heartbeat received; its `next_in` can extend the silence timeout."""
        self.record_received(now, is_traffic=False)
        self._needed_by_peer = heartbeat.needed
        next_in = heartbeat.next_in / MILLISECONDS_PER_SECOND
        if next_in > self._timing.heartbeat:
            slack = self._timing.silence - self._timing.heartbeat
            self._overdue_at = now + min(next_in, MAX_INTERVAL_SECONDS) + slack

    def update_transit_delay(self, sent_at: float, now: float) -> None:
        """Estimate the transit delay of a message beyond the fastest one seen, in seconds.

        `sent_at` is on the sender's clock. The smallest difference between the two clocks seen so
        far stands for a message without delay; it is raised over time by `MAX_CLOCK_DRIFT`, since
        the clocks may drift apart.
        """
        if not isfinite(sent_at):
            return
        offset = now - sent_at
        if self._min_offset is None:
            self._min_offset = offset
        drift = (now - self._offset_at) * MAX_CLOCK_DRIFT
        self._min_offset = min(offset, self._min_offset + drift)
        self._offset_at = now
        self.transit_delay = offset - self._min_offset

    def make_heartbeat(self, now: float) -> Heartbeat:
        """Return a heartbeat to send now and schedule the next one."""
        interval = self._get_interval(now)
        self._announced_at = now + interval
        millis = round(interval * MILLISECONDS_PER_SECOND)
        return Heartbeat(sent_at=now, next_in=millis, needed=self._is_in_use(now))

    def is_overdue(self, now: float) -> bool:
        """Return whether the peer has been silent for too long."""
        return now >= self._overdue_at

    def is_heartbeat_due(self, now: float) -> bool:
        """Return whether a heartbeat must be sent now."""
        return now >= self._get_heartbeat_time(now)

    def compute_wait(self, now: float) -> float:
        """Return the time until the next heartbeat or the timeout, in seconds."""
        return max(0.0, min(self._get_heartbeat_time(now), self._overdue_at) - now)

    def compute_lateness(self, now: float) -> float:
        """Return for how long an expected message has been missing, in seconds."""
        return max(0.0, now - (self._overdue_at - self._timing.silence))

    def _expect_reply(self, now: float) -> None:
        if self._get_interval(now) > self._timing.heartbeat:
            self._overdue_at = min(self._overdue_at, now + self._timing.silence)

    def _get_heartbeat_time(self, now: float) -> float:
        return min(self._sent_at + self._get_interval(now), self._announced_at)

    def _is_in_use(self, now: float) -> bool:
        return self._needed_here or now - self._last_traffic_at < self._timing.silence

    def _get_interval(self, now: float) -> float:
        if not self._may_slow_down or self._needed_by_peer or self._is_in_use(now):
            return self._timing.heartbeat
        return max(self._timing.heartbeat, self._timing.slow_heartbeat)
