"""The Twisted reactor, driven by a monotonic clock that also counts suspended time."""

from __future__ import annotations

import time
from typing import Any

from coltsfootshift.loop import reactor

__all__ = ["clock_reactor", "read_clock"]


def read_clock() -> float:
    """Return the seconds since the system booted, including the time it was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


# By default the reactor uses the time of day; a jump of it would fire or delay all timers.
reactor.seconds = read_clock
clock_reactor: Any = reactor
