"""Interfaces of an agent to the engine on its instance and to the origin of weights."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Mapping
from dataclasses import dataclass

from twisted.internet.defer import Deferred

from coltsfootshift.errors import ColtsfootshiftError

__all__ = ["EngineReport", "LocalEngine", "OrderResult", "PortError", "VersionOrigin"]


class PortError(ColtsfootshiftError):
    """The engine or the origin did not respond, or responded unexpectedly.

    `status` is the HTTP status of the response, or 0 if there was none.
    """

    def __init__(self, text: str, status: int = 0) -> None:
        super().__init__(text)
        self.status = status


@dataclass(frozen=True, slots=True)
class EngineReport:
    """State reported by an engine.

    `versions` maps each model to its completely loaded version, and `busy` is set while a load
    order is in progress. `accepted_orders` counts the orders accepted since the engine started;
    `born` is that start time in Unix milliseconds.
    """

    versions: Mapping[str, int]
    busy: bool
    accepted_orders: int
    born: int


@dataclass(frozen=True, slots=True)
class OrderResult:
    """Whether the engine accepted an order, and the HTTP status of its response."""

    accepted: bool
    status: int


class LocalEngine(ABC):
    """A model engine on the same instance.

    Its staging memory holds one copy of each model, whose integrity the engine does not verify.
    """

    @abstractmethod
    def read_report(self) -> Deferred[EngineReport]:
        """Return the engine's current state; fails with `PortError`."""

    @abstractmethod
    def list_staged(self, model: str) -> Deferred[frozenset[int]]:
        """Return the indexes of the staged chunks of a model."""

    @abstractmethod
    def read_staged(self, model: str, index: int) -> Deferred[bytes]:
        """Return the bytes of a staged chunk."""

    @abstractmethod
    def stage(self, model: str, index: int, data: bytes) -> Deferred[None]:
        """Stage a chunk, replacing any staged chunk with the same index."""

    @abstractmethod
    def load(
        self,
        model: str,
        version: int,
        fencing: int,
        expected_orders: int,
        abort: bool,
        valid_until: float,
    ) -> Deferred[OrderResult]:
        """Order the engine to load the staged chunks of a version.

        The engine refuses the order unless it has accepted exactly `expected_orders` orders since
        its start. With `abort` it terminates the running requests at once; otherwise it finishes
        them first. `fencing` is the fencing number of the order. The order is not sent after
        `valid_until`, in seconds of the reactor's clock; it then fails with `PortError`.
        """

    @abstractmethod
    def reset_connections(self) -> None:
        """Use new connections, after an answer that may have been that of another request.

        A second copy of an answer, late on a connection in use, moves all that follow by one.
        """


class VersionOrigin(ABC):
    """The origin of weights; its bandwidth is costly, so agents read as little as possible."""

    @abstractmethod
    def read_digests(self, model: str, version: int) -> Deferred[list[bytes]]:
        """Return the SHA-256 digests of a version's chunks; fails with `PortError`."""

    @abstractmethod
    def read_chunk(self, model: str, version: int, index: int) -> Deferred[bytes]:
        """Return the bytes of a chunk without verifying its digest; fails with `PortError`."""

    @abstractmethod
    def reset_connections(self) -> None:
        """Use new connections, as `LocalEngine.reset_connections` does."""
