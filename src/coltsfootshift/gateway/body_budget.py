"""Decides which callers' request bodies are read while many of them are in memory."""

from __future__ import annotations

import os
from collections import OrderedDict
from typing import Generic, TypeVar

__all__ = ["MAX_SMALL_BODY_BYTES", "BodyBudget", "compute_max_bytes"]

# While a body is read and sent to an endpoint, it and its copies take up to six times its size.
MAX_MEMORY_SHARE = 0.08
MAX_BODIES_BYTES = 32 * 1024 * 1024
MAX_SMALL_BODY_BYTES = 16 * 1024  # such a body is read in any case

_Holder = TypeVar("_Holder")


def compute_max_bytes(memory_bytes: int | None = None) -> int:
    """Return how many bytes of bodies a process may read at once.

    `memory_bytes` is the memory of the machine; by default the system is asked for it.

    >>> compute_max_bytes(100_000_000), compute_max_bytes(10**12)
    (8000000, 33554432)
    """
    if memory_bytes is None:
        memory_bytes = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
    return min(MAX_BODIES_BYTES, int(memory_bytes * MAX_MEMORY_SHARE))


class BodyBudget(Generic[_Holder]):
    """Reserves memory for request bodies, in order of arrival, before they are read.

    Load pattern: many callers send bodies of several megabytes at once. Each is within the limit
    of a single body, but together they exceed the memory of the process. Those that do not fit
    wait in their callers' sockets. A body whose length is not known beforehand reserves the limit
    of a single body.

    >>> budget = BodyBudget(max_bytes=100_000)
    >>> [budget.reserve(name, 49_000) for name in ("a", "b", "c")], budget.reserve("d", 1_000)
    ([True, True, False], True)
    >>> budget.release("a"), budget.size
    (['c'], 99000)
    """

    def __init__(self, max_bytes: int) -> None:
        self.size = 0
        self._max_bytes = max_bytes
        self._reserved: dict[_Holder, int] = {}
        self._waiting: OrderedDict[_Holder, int] = OrderedDict()

    def reserve(self, holder: _Holder, size: int) -> bool:
        """Return whether a body of `size` bytes may be read now; otherwise the holder waits.

        A body above the whole budget is read alone.
        """
        if size > MAX_SMALL_BODY_BYTES and (self._waiting or not self._fits(size)):
            self._waiting[holder] = size
            return False
        self._grant(holder, size)
        return True

    def release(self, holder: _Holder) -> list[_Holder]:
        """Free what a holder has reserved; return those that waited and may read now."""
        self._waiting.pop(holder, None)
        self.size -= self._reserved.pop(holder, 0)
        granted = []
        while self._waiting:
            first, size = next(iter(self._waiting.items()))
            if not self._fits(size):
                break
            del self._waiting[first]
            self._grant(first, size)
            granted.append(first)
        return granted

    def _fits(self, size: int) -> bool:
        return self.size == 0 or self.size + size <= self._max_bytes

    def _grant(self, holder: _Holder, size: int) -> None:
        self._reserved[holder] = self._reserved.get(holder, 0) + size
        self.size += size
