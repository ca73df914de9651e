"""Formats rows as a plain-text table."""

from __future__ import annotations

from typing import Any

__all__ = ["print_table"]


def print_table(columns: tuple[str, ...], rows: list[dict[str, Any]]) -> None:
    """Print rows as aligned columns with a header line; a missing value is left blank.

    >>> print_table(("key", "at"), [{"key": "team/a", "at": 7}])
    key     at
    team/a  7
    """
    widths = {}
    for name in columns:
        widths[name] = max([len(name), *(len(str(row.get(name, ""))) for row in rows)])
    print("  ".join(name.ljust(widths[name]) for name in columns).rstrip())
    for row in rows:
        line = "  ".join(str(row.get(name, "")).ljust(widths[name]) for name in columns)
        print(line.rstrip())
