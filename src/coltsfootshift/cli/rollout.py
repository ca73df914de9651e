"""Shows the progress of a rollout: what each instance of a service has staged and serves."""

from __future__ import annotations

import time
from dataclasses import dataclass

from coltsfootshift.cli.client import InstancePage, ReadError, read_instances, read_table

__all__ = ["RolloutRow", "list_rollout", "print_rollout"]

COLUMNS = ("instance", "phase", "share", "serving", "live")
SHOWN_DIGEST_CHARACTERS = 12
POLL_INTERVAL_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class RolloutRow:
    """The rollout state of one instance.

    `share` is the fraction (0 to 1) of the wanted version's chunks that are staged, `serving` the
    digest that the endpoint serves, and `live` whether that is the wanted version.
    """

    instance: str
    phase: str
    share: float
    serving: str
    live: bool

    def list_cells(self) -> list[str]:
        """Return the cells of this row in the order of `COLUMNS`."""
        live = "yes" if self.live else "no"
        share = f"{self.share:.0%}"
        return [self.instance, self.phase, share, self.serving[:SHOWN_DIGEST_CHARACTERS], live]


def print_rollout(platform: str, service: str, follow: bool, seconds: float) -> bool:
    """Print the rollout of a service and return whether every instance serves the wanted version.

    Leaving instances are ignored. With `follow`, poll and print every change until all instances
    serve the version or `seconds` have passed.
    """
    deadline = time.monotonic() + seconds
    printed: list[RolloutRow] = []
    while True:
        digest = _read_wanted_digest(platform, service)
        rows = list_rollout(read_instances(platform, "/status"), service, digest)
        if rows != printed:
            _print_rows(service, digest, rows)
            printed = rows
        live = bool(rows) and all(row.live for row in rows)
        if live or not follow or time.monotonic() >= deadline:
            return live
        time.sleep(POLL_INTERVAL_SECONDS)


def list_rollout(instances: list[InstancePage], service: str, digest: str) -> list[RolloutRow]:
    """Return a row for each instance of a service, except for those that are leaving."""
    rows = []
    for item in instances:
        if item.record.service != service or item.record.state == "leaving":
            continue
        rows.append(_make_row(item, digest))
    return rows


def _make_row(item: InstancePage, digest: str) -> RolloutRow:
    name = item.record.instance
    if item.page is None:
        return RolloutRow(name, "unreachable", 0.0, "", False)
    weights = item.page.get("weights") or {}
    endpoint = item.page.get("endpoint") or {}
    serving = str(endpoint.get("digest", "")) if endpoint.get("serving") else ""
    share = float(weights.get("share", 0.0)) if weights.get("wanted") == digest else 0.0
    phase = str(weights.get("phase", "unknown"))
    return RolloutRow(name, phase, share, serving, bool(serving) and serving == digest)


def _read_wanted_digest(platform: str, service: str) -> str:
    """Return the digest that the platform's catalogue names for a service.

    Raises `ReadError` if the platform does not respond or the catalogue names no weights.
    """
    entries = read_table(platform, "catalogue").values
    entry = entries.get(f"service/{service}") or {}
    model = entries.get(f"model/{entry.get('model')}") or {}
    digest = str(model.get("digest", ""))
    if not digest:
        raise ReadError(f"{platform}: the catalogue names no weights for service {service!r}")
    return digest


def _print_rows(service: str, digest: str, rows: list[RolloutRow]) -> None:
    count = sum(1 for row in rows if row.live)
    print(f"{service}: {count} of {len(rows)} instances serve {digest[:SHOWN_DIGEST_CHARACTERS]}")
    table = [list(COLUMNS), *(row.list_cells() for row in rows)]
    widths = [max(len(cells[column]) for cells in table) for column in range(len(COLUMNS))]
    for cells in table:
        padded = [cell.ljust(width) for cell, width in zip(cells, widths, strict=True)]
        print("  ".join(padded).rstrip())
