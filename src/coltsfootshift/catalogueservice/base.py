"""What the system reads at the platform."""

from __future__ import annotations

from abc import ABC, abstractmethod

from twisted.internet.defer import Deferred

from coltsfootshift.errors import ColtsfootshiftError
from coltsfootshift.messages import Difference

__all__ = ["CATALOGUE_TABLE", "INSTANCES_TABLE", "Platform", "PlatformError"]

CATALOGUE_TABLE = "catalogue"
INSTANCES_TABLE = "instances"


class PlatformError(ColtsfootshiftError):
    """The platform did not answer, or its answer made no sense."""


class Platform(ABC):
    """The platform's configuration service: it is read and watched, never written."""

    @abstractmethod
    def watch(self, table: str, after: int) -> Deferred[Difference]:
        """Return the records of a table above a revision, waiting a while where there are none.

        A table that is not held yet (`after` is 0) is answered at once and whole. The answer's
        revision may be below `after` where the platform is stale. Fails with `PlatformError`.
        """
