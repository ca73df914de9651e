"""Shows the history of catalogue changes and when each came into force on the instances."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from datetime import UTC, datetime
from typing import Any
from urllib.parse import urlencode

from coltsfootshift.catalogue.difference import compare_entries
from coltsfootshift.cli.client import InstancePage, read_instances
from coltsfootshift.cli.tables import print_table

__all__ = ["AuditFilter", "print_audit"]

COLUMNS = ("first in force", "everywhere", "after s", "revision", "entry", "owner", "change")
MAX_MISSING_SHOWN = 5


@dataclass(frozen=True, slots=True)
class AuditFilter:
    """Selects the changes to show; an empty string or None does not restrict them.

    Times are wall-clock seconds since the epoch.
    """

    entry: str = ""
    owner: str = ""
    since: float | None = None
    until: float | None = None

    def build_path(self) -> str:
        """Return the path and query of the audit page that selects these changes."""
        values: dict[str, Any] = {"key": self.entry, "owner": self.owner}
        values |= {"since": self.since, "until": self.until}
        parameters = {name: value for name, value in values.items() if value not in ("", None)}
        return f"/audit?{urlencode(parameters)}" if parameters else "/audit"


@dataclass(slots=True)
class _Change:
    """A change of a catalogue entry, and the times at which instances put it in force."""

    record: dict[str, Any]
    in_force_at: dict[str, float] = field(default_factory=dict)


def print_audit(platform: str, audit_filter: AuditFilter, as_json: bool) -> bool:
    """Print the changes recorded by all instances; return whether every instance responded."""
    pages = read_instances(platform, audit_filter.build_path())
    rows = merge_audit_pages(pages)
    unreachable = [item.record.instance for item in pages if item.page is None]
    if as_json:
        print(json.dumps({"changes": rows, "unreachable": unreachable}, indent=2))
    else:
        print_table(COLUMNS, [_make_table_row(row) for row in rows])
        for name in unreachable:
            print(f"unreachable: {name}")
    return not unreachable


def merge_audit_pages(pages: list[InstancePage]) -> list[dict[str, Any]]:
    """Return each change once, ordered by revision, with the time it came into force by instance.

    An instance that started after a change does not count for `everywhere_at` and `missing`,
    because it loaded the complete catalogue when it started. Times are taken from each instance's
    own wall clock.
    """
    changes: dict[tuple[str, int], _Change] = {}
    started: dict[str, float] = {}
    for item in pages:
        if item.page is None:
            continue
        instance = item.record.instance
        started[instance] = float(item.page["started_at"])
        for record in item.page["records"]:
            change = changes.setdefault((record["key"], record["revision"]), _Change(record))
            change.in_force_at.setdefault(instance, record["at"])
            if record["before"] and not change.record["before"]:
                change.record = record
    rows = [_change_to_dict(change, started) for change in changes.values()]
    return sorted(rows, key=lambda row: (row["revision"], row["key"]))


def _change_to_dict(change: _Change, started: dict[str, float]) -> dict[str, Any]:
    record = change.record
    first = min(change.in_force_at.values())
    running = [name for name, at in started.items() if at <= first]
    missing = sorted(name for name in running if name not in change.in_force_at)
    last = max([first, *(at for name, at in change.in_force_at.items() if name in running)])
    return {
        "key": record["key"],
        "revision": record["revision"],
        "owner": record["owner"],
        "before": _parse(record["before"]),
        "after": _parse(record["after"]),
        "problem": record["problem"],
        "first_in_force_at": first,
        "everywhere_at": None if missing else last,
        "missing": missing,
        "in_force_at": change.in_force_at,
    }


def _parse(text: str) -> Any:
    if not text:
        return None
    try:
        return json.loads(text)
    except ValueError:
        return text


def _make_table_row(row: dict[str, Any]) -> dict[str, Any]:
    first, everywhere = row["first_in_force_at"], row["everywhere_at"]
    names = ", ".join(row["missing"][:MAX_MISSING_SHOWN])
    return {
        "first in force": _render_time(first),
        "everywhere": _render_time(everywhere) if everywhere else f"not at {names}",
        "after s": f"{everywhere - first:.3f}" if everywhere else "",
        "revision": row["revision"],
        "entry": row["key"],
        "owner": row["owner"],
        "change": _render_change(row),
    }


def _render_change(row: dict[str, Any]) -> str:
    if row["problem"]:
        return f"refused, the earlier entry stays: {row['problem']}"
    if row["before"] is None:
        return "added"
    if row["after"] is None:
        return "removed"
    return "; ".join(str(change) for change in compare_entries(row["before"], row["after"]))


def _render_time(seconds: float) -> str:
    return datetime.fromtimestamp(seconds, UTC).strftime("%Y-%m-%d %H:%M:%S.%f")[:-3]
