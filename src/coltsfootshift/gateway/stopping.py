"""The times at which a leaving process refuses requests, gives final answers and stops."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["StopSchedule"]

# Requests that are admitted later could outlast the time to stop.
MAX_ADMIT_SECONDS = 2.0
MAX_ADMIT_SHARE = 1 / 4
# Callers keep using a cached address for about two lifetimes of a directory answer.
MAX_LISTEN_SECONDS = 4.0
MAX_LISTEN_SHARE = 1 / 2
# The first request on a connection that was opened before the port closed arrives within this.
MAX_IDLE_SECONDS = 0.5
MAX_IDLE_SHARE = 1 / 16
# Answers that are due at the end need time to be written; a process needs time to end.
MAX_ANSWER_MARGIN_SECONDS = 0.7
MAX_ANSWER_MARGIN_SHARE = 1 / 6
STOP_MARGIN_SHARE = 1 / 2  # of the margin for answers


@dataclass(frozen=True, slots=True)
class StopSchedule:
    """What a process may still do, and until when, after it was asked to stop at `began_at`.

    The platform kills the process `stop_within` seconds later. The times are in seconds of the
    clock of `began_at`.

    >>> schedule = StopSchedule(began_at=100.0, stop_within=8.0)
    >>> schedule.admit_until, schedule.listen_until, schedule.answer_by, schedule.stop_by
    (102.0, 104.0, 107.3, 107.65)
    """

    began_at: float
    stop_within: float

    @property
    def admit_until(self) -> float:
        """Until when new requests are admitted."""
        return self.began_at + min(MAX_ADMIT_SECONDS, MAX_ADMIT_SHARE * self.stop_within)

    @property
    def listen_until(self) -> float:
        """Until when callers may connect; those that have not moved yet are refused."""
        return self.began_at + min(MAX_LISTEN_SECONDS, MAX_LISTEN_SHARE * self.stop_within)

    @property
    def close_idle_at(self) -> float:
        """When connections without a request are closed."""
        return self.listen_until + min(MAX_IDLE_SECONDS, MAX_IDLE_SHARE * self.stop_within)

    def allows_start(self, duration: float, now: float) -> bool:
        """Return whether a request that is sent now, and lasts `duration` seconds, ends in time.

        >>> schedule = StopSchedule(began_at=100.0, stop_within=8.0)
        >>> schedule.allows_start(5.0, 102.0), schedule.allows_start(5.0, 103.0)
        (True, False)
        """
        return now + duration <= self.answer_by

    @property
    def answer_by(self) -> float:
        """When every request whose response has not begun gets a final answer."""
        return round(self.began_at + self.stop_within - self._answer_margin, 3)

    @property
    def stop_by(self) -> float:
        """When the process stops, even if responses that have begun are unfinished."""
        margin = STOP_MARGIN_SHARE * self._answer_margin
        return round(self.began_at + self.stop_within - margin, 3)

    @property
    def _answer_margin(self) -> float:
        return min(MAX_ANSWER_MARGIN_SECONDS, MAX_ANSWER_MARGIN_SHARE * self.stop_within)
