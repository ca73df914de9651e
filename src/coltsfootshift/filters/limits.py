"""Enforces the rate and concurrency limits of teams."""

from __future__ import annotations

from coltsfootshift.controllers.limits import LimitsController
from coltsfootshift.filters.base import Exchange, RequestFilter
from coltsfootshift.outcomes import NotRun, Outcome

__all__ = ["LimitsFilter"]


class LimitsFilter(RequestFilter):
    """Acquires one token and one in-flight slot of the team for each request."""

    def __init__(self, limits: LimitsController) -> None:
        self._limits = limits

    def admit(self, exchange: Exchange, now: float) -> NotRun | None:
        """Refuse requests beyond this entry's share of the team's limits and its loans."""
        assert exchange.team_entry is not None
        refusal = self._limits.admit(exchange.team, exchange.team_entry.limits, now)
        if refusal is None:
            return None
        return NotRun(refusal.reason, status=429, retry_after=refusal.retry_after)

    def release(self, exchange: Exchange, outcome: Outcome, now: float) -> None:
        """Release the in-flight slot."""
        self._limits.release(exchange.team, now)
