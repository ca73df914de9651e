"""Ports of an agent: the engine on its own machine, and the origin of weights."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Mapping
from dataclasses import dataclass

from twisted.internet.defer import Deferred

from coltsfootshift.errors import ColtsfootshiftError

__all__ = ["EngineReport", "LocalEngine", "OrderResult", "PortError", "VersionOrigin"]


class PortError(ColtsfootshiftError):
    """The engine or the origin did not answer, or not as expected; `status` is 0 for none."""

    def __init__(self, text: str, status: int = 0) -> None:
        super().__init__(text)
        self.status = status


@dataclass(frozen=True, slots=True)
class EngineReport:
    """What an engine says of itself: whole versions by model, whether an order is in progress.

    `accepted_orders` counts the accepted orders since the engine's start at Unix millisecond `born`.
    """

    versions: Mapping[str, int]
    busy: bool
    accepted_orders: int
    born: int


@dataclass(frozen=True, slots=True)
class OrderResult:
    """Whether the engine follows an order, and the status that it gave."""

    accepted: bool
    status: int


class LocalEngine(ABC):
    """A model engine whose staging memory holds one copy of each model, unchecked."""

    @abstractmethod
    def read_report(self) -> Deferred[EngineReport]:
        """Return the engine's report; fails with `PortError`."""

    @abstractmethod
    def list_staged(self, model: str) -> Deferred[frozenset[int]]:
        """Return the indexes of the staged chunks."""

    @abstractmethod
    def read_staged(self, model: str, index: int) -> Deferred[bytes]:
        """Return a staged chunk."""

    @abstractmethod
    def stage(self, model: str, index: int, data: bytes) -> Deferred[None]:
        """Stage a chunk in place of the one with the same index."""

    @abstractmethod
    def load(
        self, model: str, version: int, fencing: int, expected_orders: int, abort: bool
    ) -> Deferred[OrderResult]:
        """Order the engine to load what is staged; refused unless it has accepted `expected_orders`.

        With `abort` the running requests end at once, else the engine finishes them first.
        """


class VersionOrigin(ABC):
    """The origin of weights; each byte that it sends is dear."""

    @abstractmethod
    def read_digests(self, model: str, version: int) -> Deferred[list[bytes]]:
        """Return the SHA-256 digests of a version's chunks; fails with `PortError`."""

    @abstractmethod
    def read_chunk(self, model: str, version: int, index: int) -> Deferred[bytes]:
        """Return the bytes of a chunk, unchecked; fails with `PortError`."""
