"""Rate limiting of a link; the time is passed as an argument."""

from __future__ import annotations

__all__ = ["Pacer"]


class Pacer:
    """Schedules bytes in FIFO order at a fixed rate; without a rate nothing is delayed.

    >>> pacer = Pacer(100.0)
    >>> pacer.reserve(50, now=0.0)
    0.5
    >>> pacer.reserve(50, now=0.0)
    1.0
    """

    def __init__(self, bytes_per_second: float | None = None) -> None:
        self.bytes_per_second = bytes_per_second
        self._free_at = 0.0

    def __repr__(self) -> str:
        return f"Pacer(bytes_per_second={self.bytes_per_second})"

    def measure_backlog(self, now: float) -> float:
        """Return the time in seconds until the queued bytes have been sent."""
        return max(0.0, self._free_at - now)

    def reserve(self, amount: int, now: float) -> float:
        """Queue `amount` bytes and return the time at which the last of them has been sent."""
        if not self.bytes_per_second:
            return now
        self._free_at = max(now, self._free_at) + amount / self.bytes_per_second
        return self._free_at

    def refund(self, amount: int) -> None:
        """Remove `amount` bytes from the queue that will not be sent."""
        if self.bytes_per_second:
            self._free_at -= amount / self.bytes_per_second
