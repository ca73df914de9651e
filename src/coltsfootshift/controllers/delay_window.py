"""How much may be on its way to a peer, so that it hardly delays what shares the links."""

from __future__ import annotations

from collections import deque

__all__ = ["MAX_PART_BYTES", "STALL_SECONDS", "DelayWindow"]

# Takes 8 ms at 0.5 Mbit/s.
MIN_PART_BYTES = 512
MAX_PART_BYTES = 4096
# A lower target lengthens transfers over links of their full width: chunks cross several agents.
TARGET_DELAY_SECONDS = 0.1
INITIAL_WINDOW_BYTES = 32 * MAX_PART_BYTES
MAX_WINDOW_BYTES = 64 * MAX_PART_BYTES
STALL_DECREASE = 0.5
DELAY_SAMPLES = 3  # the least of which counts: processes read late what has arrived
# Without an acknowledgement for this long, what was on its way counts as lost.
STALL_SECONDS = 3.0


class DelayWindow:
    """A congestion window that follows the measured queuing delay, as LEDBAT (RFC 6817) does.

    Load pattern: weights are sent at the configured rate of a link that has become narrow or
    carries others' traffic. Whatever is beyond its rate waits in its queue, and requests and
    cancellations wait behind it. The window grows by at most one part for each round trip while
    the delay is below `TARGET_DELAY_SECONDS`; while it is above, it shrinks within a round trip to
    what the target allows. Sizes are in bytes, times in seconds.

    >>> window = DelayWindow(initial_bytes=16_384)
    >>> window.record_sent(4096, 0.0)
    >>> window.may_send(4096), window.may_send(16_384)
    (True, False)
    >>> window.record_received(4096, 0.2, 0.4)
    >>> window.size
    14336.0
    """

    def __init__(self, initial_bytes: int = INITIAL_WINDOW_BYTES) -> None:
        self.size: float = initial_bytes
        self.in_flight = 0
        self._acknowledges = False
        self._delays: deque[float] = deque(maxlen=DELAY_SAMPLES)
        self._heard_at = 0.0

    def __repr__(self) -> str:
        return f"DelayWindow(size={self.size:.0f}, in_flight={self.in_flight})"

    def choose_part_bytes(self) -> int:
        """Return the size of the next part; small ones let others pass on a narrow link."""
        return int(min(MAX_PART_BYTES, max(MIN_PART_BYTES, self.size / 2)))

    def may_send(self, size: int) -> bool:
        """Return whether a part of this size may be sent now."""
        return self.in_flight == 0 or self.in_flight + size <= self.size

    def record_sent(self, size: int, now: float) -> None:
        """Record that a part was sent."""
        if self.in_flight == 0:
            self._heard_at = now
        self.in_flight += size

    def record_received(self, size: int, delay: float, now: float) -> None:
        """Record that the peer has received a part, which waited `delay` seconds in queues."""
        self._acknowledges = True
        self._heard_at = now
        self._delays.append(delay)
        delay = min(self._delays)
        if delay <= TARGET_DELAY_SECONDS:
            growth = 1.0 - max(0.0, delay) / TARGET_DELAY_SECONDS
            self.size += growth * size * min(1.0, MAX_PART_BYTES / self.size)
            self.size = min(self.size, MAX_WINDOW_BYTES)
        else:
            # All parts of one round trip together shrink the window to what the target allows.
            self.size -= size * (1.0 - TARGET_DELAY_SECONDS / delay)
            self.size = max(self.size, MIN_PART_BYTES)
        self.in_flight = max(0, self.in_flight - size)

    def record_lost(self, size: int) -> None:
        """Record that parts on their way will not be acknowledged."""
        self.in_flight = max(0, self.in_flight - size)

    def check_stall(self, now: float) -> bool:
        """Return whether acknowledgements have failed to come; the window is open again then.

        A peer of an older version of the program never sends any.
        """
        if self.in_flight == 0 or now - self._heard_at < STALL_SECONDS:
            return False
        self.in_flight = 0
        if not self._acknowledges:
            return True
        self.size = max(self.size * STALL_DECREASE, MIN_PART_BYTES)
        return True
