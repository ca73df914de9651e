"""Estimates the unsent bytes in the send buffer of a transport."""

from __future__ import annotations

from twisted.internet.interfaces import IPushProducer
from zope.interface import implementer

__all__ = ["Backlog"]


@implementer(IPushProducer)
class Backlog:
    """Counts the bytes written while the transport's send buffer is above its high-water mark.

    The transport pauses a producer once its buffer is above the mark (64 KiB) and resumes it when
    the buffer is empty. `size` is the number of bytes written in between.
    """

    def __init__(self) -> None:
        self.size = 0
        self._paused = False

    def record_sent(self, amount: int) -> None:
        """Record bytes written to the transport."""
        if self._paused:
            self.size += amount

    def pauseProducing(self) -> None:
        """Start counting: the buffer is above its high-water mark."""
        self._paused = True

    def resumeProducing(self) -> None:
        """Reset the count: the buffer is empty."""
        self._paused = False
        self.size = 0

    def stopProducing(self) -> None:
        """Reset the count: the connection is closed."""
        self.resumeProducing()
