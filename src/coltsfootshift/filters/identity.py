"""Looks up the team and the service of each request."""

from __future__ import annotations

from coltsfootshift.catalogue.view import CatalogueView
from coltsfootshift.filters.base import PRIORITIES, Exchange, RequestFilter
from coltsfootshift.outcomes import NotRun

__all__ = ["IdentityFilter"]


class IdentityFilter(RequestFilter):
    """Sets the team, service, priority and idempotence of a request from the catalogue.

    The priority is that of the requested class or of the team's class, whichever is lower.
    """

    def __init__(self, view: CatalogueView) -> None:
        self._view = view

    def admit(self, exchange: Exchange, now: float) -> NotRun | None:
        """Refuse unknown teams, services and classes, and bodies over the service's limit."""
        service = self._view.find_service(exchange.service)
        if service is None:
            return NotRun(f"unknown service {exchange.service!r}", status=404, retry=False)
        team = self._view.find_team(exchange.team)
        if team is None:
            return NotRun(f"unknown team {exchange.team!r}", status=403, retry=False)
        if len(exchange.body) > service.limits.body_bytes:
            reason = f"body of {len(exchange.body)} bytes; at most {service.limits.body_bytes}"
            return NotRun(reason, status=413, retry=False)
        priority = self._find_priority(exchange.requested_class)
        if priority is None:
            return NotRun(
                f"unknown class {exchange.requested_class!r}; one of {', '.join(PRIORITIES)}",
                status=400,
                retry=False,
            )
        exchange.service_entry = service
        exchange.team_entry = team
        exchange.priority = max(priority, PRIORITIES[team.class_])
        exchange.idempotent = service.is_idempotent(exchange.operation)
        return None

    def _find_priority(self, name: str) -> int | None:
        for known, priority in PRIORITIES.items():
            if known == name:
                return priority
        return None
