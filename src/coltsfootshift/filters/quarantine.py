"""Refuses requests that crash endpoints."""

from __future__ import annotations

from coltsfootshift.controllers.quarantine import Quarantine, Standing
from coltsfootshift.filters.base import Exchange, RequestFilter
from coltsfootshift.outcomes import NotRun

__all__ = ["QuarantineFilter"]

QUARANTINED_STATUS = 422


class QuarantineFilter(RequestFilter):
    """Refuses a request that was in flight during two endpoint crashes, from any caller."""

    def __init__(self, quarantine: Quarantine) -> None:
        self._quarantine = quarantine

    def admit(self, exchange: Exchange, now: float) -> NotRun | None:
        """Refuse a quarantined request."""
        standing = self._quarantine.find_standing(exchange.fingerprint(), now)
        if standing is not Standing.QUARANTINED:
            return None
        reason = "the request is quarantined: endpoints crashed while it ran"
        return NotRun(reason, status=QUARANTINED_STATUS, retry=False)
