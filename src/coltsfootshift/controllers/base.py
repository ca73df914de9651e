"""Base classes of the controllers, which make decisions without I/O, clocks or randomness."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Generic, TypeVar

__all__ = ["Action", "Controller", "Event"]


class Event:
    """Base class of the inputs of a controller."""

    __slots__ = ()


class Action:
    """Base class of the outputs of a controller, which its driver carries out."""

    __slots__ = ()


ActionT = TypeVar("ActionT", bound=Action)


class Controller(ABC, Generic[ActionT]):
    """A state machine that turns typed events and the time into lists of typed actions.

    Times are in seconds on a monotonic clock. A controller opens no sockets, reads no clock and
    creates no random source, so tests can drive it without a reactor.
    """

    @abstractmethod
    def handle(self, event: Event, now: float) -> list[ActionT]:
        """Process an event and return the resulting actions in order."""
