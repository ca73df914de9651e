"""The event loop on a clock that neither jumps with the time of day nor stops in a suspension."""

from __future__ import annotations

import time
from typing import Any

from coltsfootshift.loop import reactor

__all__ = ["clock_reactor", "read_clock"]


def read_clock() -> float:
    """Return the seconds since the machine started, suspended time included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


# The loop reads the time of day by default; a jump would fire or hold back all its timers.
reactor.seconds = read_clock
clock_reactor: Any = reactor
