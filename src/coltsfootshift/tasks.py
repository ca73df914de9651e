"""The base class of tasks, which own their sockets and state and communicate by messages."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import deque
from typing import Any

__all__ = ["Task"]


class Task(ABC):
    """A task that processes the messages of its mailbox.

    Messages are handled one at a time, in the order in which they were posted, and never inside
    the call to `post`. Two tasks therefore cannot re-enter each other.
    """

    def __init__(self, reactor: Any) -> None:
        self.reactor = reactor
        self._mailbox: deque[Any] = deque()
        self._scheduled = False

    def post(self, message: Any) -> None:
        """Queue a message for this task."""
        self._mailbox.append(message)
        if self._scheduled:
            return
        self._scheduled = True
        self.reactor.callLater(0, self._drain)

    @abstractmethod
    def handle(self, message: Any) -> None:
        """Handle one message."""

    def _drain(self) -> None:
        self._scheduled = False
        for _ in range(len(self._mailbox)):
            self.handle(self._mailbox.popleft())
        if self._mailbox and not self._scheduled:
            self._scheduled = True
            self.reactor.callLater(0, self._drain)
