"""Interface for reading the platform's tables."""

from __future__ import annotations

from abc import ABC, abstractmethod

from twisted.internet.defer import Deferred

from coltsfootshift.errors import ColtsfootshiftError
from coltsfootshift.messages import Difference

__all__ = ["CATALOGUE_TABLE", "INSTANCES_TABLE", "Platform", "PlatformError"]

CATALOGUE_TABLE = "catalogue"
INSTANCES_TABLE = "instances"


class PlatformError(ColtsfootshiftError):
    """The platform did not respond, or its response was malformed."""


class Platform(ABC):
    """The platform's configuration service, which this system only reads."""

    @abstractmethod
    def watch(self, table: str, after: int) -> Deferred[Difference]:
        """Return the records of a table above a revision, by long polling.

        If there are none, the platform waits for a limited time before it responds. With `after` 0
        (no copy of the table yet) it returns the complete table at once. The returned revision may
        be below `after` if the platform is stale. Fails with `PlatformError`.
        """
