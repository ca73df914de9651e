"""Sets the deadline of each request."""

from __future__ import annotations

from coltsfootshift.filters.base import Exchange, RequestFilter
from coltsfootshift.outcomes import NotRun

__all__ = ["DeadlineFilter"]


class DeadlineFilter(RequestFilter):
    """Sets the deadline that the caller requested, capped by the limit of the service."""

    def admit(self, exchange: Exchange, now: float) -> NotRun | None:
        """Refuse a request whose deadline has already passed."""
        assert exchange.service_entry is not None
        max_seconds = exchange.service_entry.limits.deadline_seconds
        requested = exchange.deadline_seconds
        seconds = max_seconds if requested is None else min(requested, max_seconds)
        exchange.deadline = exchange.arrived_at + seconds
        if exchange.deadline <= now:
            return NotRun("deadline has passed", status=408, retry=False)
        return None
