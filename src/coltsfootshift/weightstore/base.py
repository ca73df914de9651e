"""Abstract interface between an agent and the weight store."""

from __future__ import annotations

from abc import ABC, abstractmethod

from twisted.internet.defer import Deferred

from coltsfootshift.errors import ColtsfootshiftError
from coltsfootshift.ids import Digest
from coltsfootshift.weightstore.manifest import Manifest

__all__ = ["WeightStore", "WeightStoreError"]


class WeightStoreError(ColtsfootshiftError):
    """The weight store did not respond, or its response was invalid."""


class WeightStore(ABC):
    """A rate-limited source of weights."""

    @abstractmethod
    def read_manifest(self, digest: Digest) -> Deferred[Manifest]:
        """Return the verified manifest of a digest; fails with `WeightStoreError`."""

    @abstractmethod
    def read_chunk(self, digest: Digest, index: int) -> Deferred[bytes]:
        """Return one chunk without verifying it; fails with `WeightStoreError`."""
