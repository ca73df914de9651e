"""Counts the load reports of endpoints, and logs when one is no longer readable."""

from __future__ import annotations

from collections.abc import Iterable

from coltsfootshift.gateway.calls import EndpointLoadReport
from coltsfootshift.gateway.placement import EndpointState
from coltsfootshift.logs import get_logger
from coltsfootshift.metrics import Metrics

__all__ = ["LoadReportCounter", "find_highest_slowdown"]

logger = get_logger("gateway.load_reports")


class LoadReportCounter:
    """Counts load reports and those with unreadable fields.

    An endpoint is logged when its reports become unreadable and when they are readable again, not
    with each response.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def record(self, state: EndpointState, report: EndpointLoadReport | None) -> None:
        """Count a report, if there was one."""
        if report is None:
            return
        self._metrics.count("load_reports")
        unreadable = report.unreadable_count > 0
        if unreadable:
            self._metrics.count("load_reports_with_unreadable_fields")
        if unreadable == state.has_unreadable_reports:
            return
        state.has_unreadable_reports = unreadable
        logger.info(
            "load report partly unreadable" if unreadable else "load report readable again",
            extra={
                "endpoint": state.record.endpoint,
                "running": report.running,
                "waiting": report.waiting,
                "slots": report.slots,
                "slowdown": report.slowdown,
                "unreadable": report.unreadable_count,
            },
        )


def find_highest_slowdown(states: Iterable[EndpointState]) -> float:
    """Return the highest slowdown that an endpoint told last, zero if none told any."""
    return max((state.slowdown for state in states if state.slowdown is not None), default=0.0)
