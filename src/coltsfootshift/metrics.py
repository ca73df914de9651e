"""Counters, gauges and latency histograms of one process."""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Callable
from typing import Any

from hdrh.histogram import HdrHistogram

__all__ = ["Metrics"]

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 3_600_000_000
SIGNIFICANT_DIGITS = 2
MICROSECONDS_PER_SECOND = 1_000_000
PERCENTILES = (50.0, 95.0, 99.0, 99.9)
PREFIX = "coltsfootshift_"
_INVALID_NAME_CHARACTERS = re.compile(r"[^a-zA-Z0-9_:]")


class Metrics:
    """The counters, gauges and histograms of one process.

    >>> metrics = Metrics()
    >>> metrics.count("requests")
    >>> metrics.observe("latency", 0.25)
    >>> metrics.snapshot()["counters"]
    {'requests': 1}
    """

    def __init__(self) -> None:
        self._counters: Counter[str] = Counter()
        self._gauges: dict[str, Callable[[], float]] = {}
        self._histograms: dict[str, HdrHistogram] = {}
        self._sums: Counter[str] = Counter()

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self._counters[name] += amount

    def get_count(self, name: str) -> int:
        """Return the value of a counter, zero if it was never incremented."""
        return self._counters[name]

    def add_gauge(self, name: str, read: Callable[[], float]) -> None:
        """Register a gauge; `read` is called for each snapshot."""
        self._gauges[name] = read

    def remove_gauge(self, name: str) -> None:
        """Remove a gauge of something that exists no more; nothing happens if there is none."""
        self._gauges.pop(name, None)

    def observe(self, name: str, seconds: float) -> None:
        """Record a duration in seconds."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = HdrHistogram(LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS)
            self._histograms[name] = histogram
        value = max(LOWEST_MICROSECONDS, int(seconds * MICROSECONDS_PER_SECOND))
        histogram.record_value(value)
        self._sums[name] += value

    def snapshot(self) -> dict[str, Any]:
        """Return all values; histograms as count, sum and percentiles in seconds."""
        histograms = {}
        for name, histogram in sorted(self._histograms.items()):
            row: dict[str, float] = {
                "count": histogram.get_total_count(),
                "sum": self._sums[name] / MICROSECONDS_PER_SECOND,
            }
            for percentile in PERCENTILES:
                value = histogram.get_value_at_percentile(percentile)
                row[f"p{percentile:g}"] = value / MICROSECONDS_PER_SECOND
            histograms[name] = row
        return {
            "counters": dict(sorted(self._counters.items())),
            "gauges": {name: read() for name, read in sorted(self._gauges.items())},
            "histograms": histograms,
        }

    def render_text(self) -> str:
        """Return the values in the Prometheus text exposition format.

        >>> metrics = Metrics()
        >>> metrics.count("requests")
        >>> print(metrics.render_text(), end="")
        # TYPE coltsfootshift_requests counter
        coltsfootshift_requests 1
        """
        values = self.snapshot()
        lines: list[str] = []
        for name, value in values["counters"].items():
            lines += _render_value(name, "counter", value)
        for name, value in values["gauges"].items():
            lines += _render_value(name, "gauge", value)
        for name, row in values["histograms"].items():
            lines += _render_summary(name, row)
        return "\n".join(lines) + "\n"


def _render_value(name: str, kind: str, value: float) -> list[str]:
    full = f"{PREFIX}{_INVALID_NAME_CHARACTERS.sub('_', name)}"
    return [f"# TYPE {full} {kind}", f"{full} {value}"]


def _render_summary(name: str, row: dict[str, float]) -> list[str]:
    full = f"{PREFIX}{_INVALID_NAME_CHARACTERS.sub('_', name)}"
    lines = [f"# TYPE {full} summary"]
    for percentile in PERCENTILES:
        quantile = percentile / 100
        lines.append(f'{full}{{quantile="{quantile:g}"}} {row[f"p{percentile:g}"]}')
    lines.append(f"{full}_sum {row['sum']}")
    lines.append(f"{full}_count {row['count']}")
    return lines
