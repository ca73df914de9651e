"""What endpoints state about themselves in their responses to this entry."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from coltsfootshift.logs import get_logger

__all__ = ["EndpointNotices"]

MAX_NOTICES = 8192
# The store's record of an endpoint that leaves may vanish and come back within this time.
RETENTION_SECONDS = 3600.0
SWEEP_SECONDS = 1.0

logger = get_logger("gateway.notices")


class EndpointNotices:
    """Which incarnations of endpoints have said that they leave.

    The latest response of an endpoint is newer than the store's record and than what peers tell,
    which still call the endpoint ready for seconds. Notices are kept apart from the records, since
    a record may vanish and come back. They bind this entry only and are not told to peers: an
    endpoint states them in each of its responses, and requests of an entry that has received none
    are still welcome there.

    >>> notices = EndpointNotices()
    >>> notices.record_leaving("e-1/1700", "r-1", now=10.0)
    True
    >>> notices.is_leaving("e-1/1700"), notices.is_leaving("e-1/1800")
    (True, False)
    """

    def __init__(self) -> None:
        self._leaving: OrderedDict[str, float] = OrderedDict()
        self._swept_at = 0.0

    def __len__(self) -> int:
        return len(self._leaving)

    def __repr__(self) -> str:
        return f"EndpointNotices(leaving={list(self._leaving)!r})"

    def is_leaving(self, incarnation: str) -> bool:
        """Return whether an incarnation of an endpoint has said that it leaves."""
        return incarnation in self._leaving

    def record_leaving(self, incarnation: str, request: str, now: float) -> bool:
        """Record that the response to `request` says so; return whether this was unknown."""
        known = incarnation in self._leaving
        self._leaving[incarnation] = now
        self._leaving.move_to_end(incarnation)
        if known:
            return False
        while len(self._leaving) > MAX_NOTICES:
            self._leaving.popitem(last=False)
        logger.info("endpoint leaves", extra={"endpoint": incarnation, "request": request})
        return True

    def remove_expired(self, now: float, listed: Iterable[str]) -> None:
        """Drop the old notices of incarnations that are not in `listed` any more."""
        if now - self._swept_at < SWEEP_SECONDS:
            return
        self._swept_at = now
        expired = []
        for incarnation, heard_at in self._leaving.items():
            if now - heard_at <= RETENTION_SECONDS:
                break
            expired.append(incarnation)
        if not expired:
            return
        kept = set(listed)
        for incarnation in expired:
            if incarnation in kept:
                self._leaving[incarnation] = now
                self._leaving.move_to_end(incarnation)
                continue
            del self._leaving[incarnation]
            logger.info("endpoint notice dropped", extra={"endpoint": incarnation})
