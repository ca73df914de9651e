"""How many bytes wait in the outgoing buffer of a transport."""

from __future__ import annotations

from twisted.internet.interfaces import IPushProducer
from zope.interface import implementer

__all__ = ["Backlog"]


@implementer(IPushProducer)
class Backlog:
    """Counts what was sent while the transport's buffer is above its mark.

    The transport pauses a producer once its buffer is above its mark (64 KiB) and resumes it when
    the buffer is empty. `size` is what was added between the two, in bytes.
    """

    def __init__(self) -> None:
        self.size = 0
        self._paused = False

    def record_sent(self, amount: int) -> None:
        """Bytes were handed to the transport."""
        if self._paused:
            self.size += amount

    def pauseProducing(self) -> None:
        """The transport's buffer is above its mark."""
        self._paused = True

    def resumeProducing(self) -> None:
        """The transport's buffer is empty."""
        self._paused = False
        self.size = 0

    def stopProducing(self) -> None:
        """The connection is gone."""
        self.resumeProducing()
