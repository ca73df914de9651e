"""Counts the bytes that a process exchanges, by the region at the other end and the kind."""

from __future__ import annotations

from collections import Counter

from coltsfootshift.metrics import Metrics

__all__ = ["TrafficMeter"]

REPORT_INTERVAL_SECONDS = 1.0
# Links between regions carry some megabytes a second; less than this share of one is not reported.
MIN_REPORTED_BYTES = 32 * 1024


class TrafficMeter:
    """The bytes of one process to other regions, for its log, and all bytes, for its metrics.

    >>> meter = TrafficMeter(Metrics())
    >>> meter.record_sent("south", False, "g-told", 50_000)
    >>> meter.record_sent("north", True, "g-told", 90_000)
    >>> meter.take_report(now=1.0)
    {'south': {'g-told': 50000}}
    >>> meter.take_report(now=2.0)
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._sent: dict[str, Counter[str]] = {}
        self._reported_at = 0.0

    def __repr__(self) -> str:
        return f"TrafficMeter({self._metrics!r})"

    def record_sent(self, region: str, is_own: bool, kind: str, amount: int) -> None:
        """Record bytes sent to a region in messages of a kind; `is_own` for the own region."""
        scope = "own_region" if is_own else "other_regions"
        self._metrics.count(f"bytes_sent_{scope}_{kind}", amount)
        if not is_own:
            self._sent.setdefault(region, Counter())[kind] += amount

    def take_report(self, now: float) -> dict[str, dict[str, int]] | None:
        """Return the bytes sent to other regions since the last report, by region and kind.

        Returns None within `REPORT_INTERVAL_SECONDS` of the last report, and if they are few.
        """
        if now - self._reported_at < REPORT_INTERVAL_SECONDS:
            return None
        self._reported_at = now
        sent, self._sent = self._sent, {}
        if sum(sum(kinds.values()) for kinds in sent.values()) < MIN_REPORTED_BYTES:
            return None
        return {region: dict(kinds) for region, kinds in sent.items()}
