"""Shows the status of the fleet as tables or as JSON."""

from __future__ import annotations

import json
from collections import Counter
from typing import Any

from coltsfootshift.cli.client import (
    InstancePage,
    PlatformTable,
    read_first_available,
    read_instances,
    read_table,
)
from coltsfootshift.cli.tables import print_table

__all__ = ["make_summary", "print_status", "print_summary"]

COLUMNS = ("instance", "role", "state", "revision", "invalid", "serving", "weights", "phase")
LIMIT_COLUMNS = ("team", "owner", "class", "requests_per_second", "burst", "in_flight")
ROLLOUT_COLUMNS = ("service", "model", "version", "digest", "live", "engines")
QUARANTINE_COLUMNS = ("fingerprint", "service", "standing", "crashes", "seconds_left", "entries")
SHARE_COLUMNS = ("entry", "entries", "active", "settled")
SHOWN_DIGEST_CHARACTERS = 12
HEALTHY_STATES = ("live", "leaving")


def print_status(platform: str, as_json: bool) -> bool:
    """Print the status of the fleet and return whether it is healthy."""
    catalogue = read_table(platform, "catalogue")
    instances = read_instances(platform, "/status")
    by_newest_revision = sorted(instances, key=_get_revision, reverse=True)
    in_force = read_first_available(by_newest_revision, "/catalogue?kind=team")
    summary = make_summary(catalogue, instances, in_force)
    if as_json:
        print(json.dumps(summary, indent=2))
    else:
        print_summary(summary)
    return bool(summary["well"])


def make_summary(
    catalogue: PlatformTable, instances: list[InstancePage], in_force: dict[str, Any] | None
) -> dict[str, Any]:
    """Return the status of the fleet as a JSON-serialisable document.

    `in_force` is the catalogue page of an instance with the newest revision, or None if no
    instance returned one.
    """
    newest = max([catalogue.revision, *(_get_revision(item) for item in instances)])
    rows = [_make_row(item, newest) for item in instances]
    invalid = _collect_invalid(instances)
    return {
        "newest_revision": newest,
        "well": all(row["state"] in HEALTHY_STATES for row in rows) and not invalid,
        "instances": rows,
        "states": dict(Counter(row["state"] for row in rows)),
        "invalid_entries": invalid,
        "rollouts": _collect_rollouts(catalogue, instances),
        "limits": _collect_limits((in_force or {}).get("entries", {})),
        "shares": _collect_shares(instances),
        "quarantines": _collect_quarantines(instances),
    }


def _make_row(item: InstancePage, newest: int) -> dict[str, Any]:
    row: dict[str, Any] = dict.fromkeys(COLUMNS, "")
    row["instance"] = item.record.instance
    row["role"] = item.record.role
    row["state"] = "unreachable"
    row["invalid"] = 0
    if item.page is None:
        row["problem"] = item.problem
        return row
    mesh = item.page["mesh"]
    row["revision"] = mesh["catalogue_revision"]
    row["invalid"] = len(mesh["invalid_entries"])
    row["state"] = "behind" if row["revision"] < newest else item.record.state
    if item.page["leaving"]:
        row["state"] = "leaving"
    endpoint = item.page.get("endpoint", {})
    row["serving"] = "yes" if endpoint.get("serving") else ""
    row["weights"] = endpoint.get("digest", "")[:SHOWN_DIGEST_CHARACTERS]
    row["phase"] = item.page.get("weights", {}).get("phase", "")
    return row


def _get_revision(item: InstancePage) -> int:
    return int(item.page["mesh"]["catalogue_revision"]) if item.page else 0


def _collect_invalid(instances: list[InstancePage]) -> list[dict[str, Any]]:
    found: dict[tuple[str, str], int] = Counter()
    for item in instances:
        for key, problem in (item.page or {}).get("mesh", {}).get("invalid_entries", {}).items():
            found[key, str(problem)] += 1
    rows = []
    for (key, problem), count in sorted(found.items()):
        rows.append({"key": key, "problem": problem, "instances": count})
    return rows


def _collect_rollouts(
    catalogue: PlatformTable, instances: list[InstancePage]
) -> list[dict[str, Any]]:
    rows = []
    for key, value in sorted(catalogue.values.items()):
        if not key.startswith("service/") or not isinstance(value, dict) or not value.get("model"):
            continue
        service = key.partition("/")[2]
        model = catalogue.values.get(f"model/{value['model']}")
        if not isinstance(model, dict):
            continue
        agents = [item for item in instances if item.record.service == service]
        rows.append(
            {
                "service": service,
                "model": value["model"],
                "version": model.get("version", ""),
                "digest": str(model.get("digest", ""))[:SHOWN_DIGEST_CHARACTERS],
                "live": sum(_serves(item, model.get("digest")) for item in agents),
                "engines": len(agents),
            }
        )
    return rows


def _serves(item: InstancePage, digest: Any) -> bool:
    endpoint = (item.page or {}).get("endpoint", {})
    return bool(endpoint.get("serving")) and endpoint.get("digest") == digest


def _collect_limits(entries: dict[str, Any]) -> list[dict[str, Any]]:
    rows = []
    for key, value in sorted(entries.items()):
        row = {"team": key.partition("/")[2], "owner": value["owner"], "class": value["class"]}
        rows.append(row | value["limits"])
    return rows


def _collect_shares(instances: list[InstancePage]) -> list[dict[str, Any]]:
    """Return the state of limit sharing between entries, one row per entry."""
    rows = []
    for item in instances:
        shares = (item.page or {}).get("shares")
        if not shares:
            continue
        row = {"entry": item.record.instance, "entries": shares.get("count", "")}
        row |= {name: shares.get(name, "") for name in ("active", "settled")}
        rows.append(row)
    return rows


def _collect_quarantines(instances: list[InstancePage]) -> list[dict[str, Any]]:
    """Return the requests suspected of crashing endpoints, one row per fingerprint.

    Each row lists the instances that reported the request and has the details of the report with
    the most crashes.
    """
    rows: dict[str, dict[str, Any]] = {}
    for item in instances:
        for suspect in (item.page or {}).get("suspects", []):
            row = rows.setdefault(suspect["fingerprint"], suspect | {"entries": []})
            row["entries"].append(item.record.instance)
            if len(suspect["crashes"]) > len(row["crashes"]):
                row |= suspect
    return [rows[fingerprint] for fingerprint in sorted(rows)]


def print_summary(summary: dict[str, Any]) -> None:
    """Print the result of `make_summary` as tables and lines."""
    print_table(COLUMNS, summary["instances"])
    states = ", ".join(f"{count} {state}" for state, count in sorted(summary["states"].items()))
    print(f"\nrevision {summary['newest_revision']}; {states or 'no instances'}")
    for row in summary["instances"]:
        if row["state"] == "unreachable":
            print(f"unreachable: {row['instance']}: {row['problem']}")
    for row in summary["invalid_entries"]:
        print(f"invalid entry, the earlier one stays: {row['problem']} ({row['instances']} say so)")
    if summary["rollouts"]:
        print()
        print_table(ROLLOUT_COLUMNS, summary["rollouts"])
    if summary["limits"]:
        print()
        print_table(LIMIT_COLUMNS, summary["limits"])
    if summary["shares"]:
        print()
        print_table(SHARE_COLUMNS, summary["shares"])
    if summary["quarantines"]:
        print("\nrequests suspected of crashing endpoints")
        print_table(QUARANTINE_COLUMNS, summary["quarantines"])
