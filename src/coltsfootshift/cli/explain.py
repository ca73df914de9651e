"""Shows the decisions that the entries recorded for a request."""

from __future__ import annotations

import json
from datetime import UTC, datetime
from typing import Any
from urllib.parse import urlencode

from coltsfootshift.cli.client import read_instances

__all__ = ["print_explanation"]


def print_explanation(platform: str, request: str, as_json: bool) -> bool:
    """Print the decisions of all entries on a request and return whether there are any."""
    path = f"/decisions?{urlencode({'request': request})}"
    found: list[dict[str, Any]] = []
    unreachable = []
    for item in read_instances(platform, path, role="entry"):
        if item.page is None:
            unreachable.append(item.record.instance)
            continue
        for decision in item.page["decisions"]:
            found.append({"entry": item.record.instance, **decision})
    found.sort(key=lambda decision: decision["arrived_at"])
    if as_json:
        print(json.dumps({"decisions": found, "unreachable": unreachable}, indent=2))
        return bool(found)
    for decision in found:
        _print_decision(decision)
    if not found:
        print(f"no entry remembers request {request}")
    for name in unreachable:
        print(f"unreachable: {name}")
    return bool(found)


def _print_decision(decision: dict[str, Any]) -> None:
    at = datetime.fromtimestamp(decision["arrived_at"], UTC).strftime("%Y-%m-%d %H:%M:%S.%f")
    operation = f" operation {decision['operation']}" if decision["operation"] else ""
    print(
        f"request {decision['request']} at {decision['entry']}, {at[:-3]}: "
        f"service {decision['service']}{operation}, team {decision['team']}"
    )
    for step in decision["steps"]:
        print(f"  +{step['at'] - decision['arrived_at']:.3f} s  {step['step']}: {step['text']}")
