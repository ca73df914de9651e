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
    """Which incarnations of endpoints leave, and which want no requests for a while.

    The latest response of an endpoint is newer than the store's record and than what peers tell,
    which still call the endpoint ready for seconds. Notices are kept apart from the records, since
    a record may vanish and come back. They bind this entry only and are not told to peers: an
    endpoint that leaves says so in each of its responses, one that is full asks for a pause only of
    those that send it more than it can take, and requests of an entry that was told nothing are
    still welcome there.

    >>> notices = EndpointNotices()
    >>> notices.record_leaving("e-1/1700", "r-1", now=10.0)
    True
    >>> notices.is_leaving("e-1/1700"), notices.is_leaving("e-1/1800")
    (True, False)

    A later pause may extend the one before and does not shorten it:

    >>> notices.record_pause("e-2/1700", "r-2", until=12.0, now=10.0)
    True
    >>> notices.record_pause("e-2/1700", "r-3", until=11.0, now=10.5)
    False
    >>> notices.get_pause_end("e-2/1700")
    12.0
    """

    def __init__(self) -> None:
        self._leaving: OrderedDict[str, float] = OrderedDict()
        self._pauses: dict[str, float] = {}
        self._last_pause_end = 0.0
        self._swept_at = 0.0

    def __len__(self) -> int:
        return len(self._leaving) + len(self._pauses)

    def __repr__(self) -> str:
        return f"EndpointNotices(leaving={list(self._leaving)!r}, pauses={self._pauses!r})"

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

    def get_pause_end(self, incarnation: str) -> float:
        """Return until when an incarnation of an endpoint wants no requests, 0 if it said nothing.

        The time may be over.
        """
        return self._pauses.get(incarnation, 0.0)

    def has_pauses(self, now: float) -> bool:
        """Return whether any pause may not be over."""
        return now < self._last_pause_end

    def record_pause(self, incarnation: str, request: str, until: float, now: float) -> bool:
        """Record that the response to `request` asks for a pause; return whether it ends later.

        `until` and `now` are in seconds of this process's clock.
        """
        if until <= max(now, self.get_pause_end(incarnation)):
            return False
        self._pauses[incarnation] = until
        self._last_pause_end = max(self._last_pause_end, until)
        if len(self._pauses) > MAX_NOTICES:
            del self._pauses[min(self._pauses, key=self.get_pause_end)]
        row = {"endpoint": incarnation, "until": round(until, 3), "seconds": round(until - now, 3)}
        logger.info("endpoint paused", extra={**row, "request": request})
        return True

    def remove_expired(self, now: float, listed: Iterable[str]) -> None:
        """Drop pauses that are over, and old notices of incarnations not in `listed` any more."""
        if now - self._swept_at < SWEEP_SECONDS:
            return
        self._swept_at = now
        for incarnation in [name for name, until in self._pauses.items() if until <= now]:
            del self._pauses[incarnation]
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
