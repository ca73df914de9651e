"""Measures memory and processor time of one process whose tables have the target's size."""

from __future__ import annotations

import gc
import json
import time
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

import psutil

from coltsfootshift.audit import AuditTrail
from coltsfootshift.catalogue.table import RecordTable
from coltsfootshift.catalogue.view import CatalogueView
from coltsfootshift.codec import decode_message, encode_message
from coltsfootshift.controllers.membership import InstanceRecord, Membership
from coltsfootshift.controllers.peers import PeerSelector
from coltsfootshift.controllers.rings import HashRing
from coltsfootshift.ids import InstanceId
from coltsfootshift.messages import Difference, VersionedRecord
from coltsfootshift_bench import targets
from coltsfootshift_bench.fleet import Fleet
from coltsfootshift_bench.targets import Report, Target

__all__ = ["run_catalogue_state"]

REGION_COUNT = 7
DOMAIN_COUNT = 23
ENTRY_COUNT = 430
SERVICE_COUNT = 40
TEAM_COUNT = 400
SINGLE_CHANGE_COUNT = 50
CHANGE_INTERVAL_SECONDS = 0.2
IDLE_SECONDS = 10.0
READY_TIMEOUT_SECONDS = 40.0
MILLISECONDS_PER_SECOND = 1000.0
MEGABYTE = 1_000_000
REPEATS = 5


def run_catalogue_state(seed: int, path: Path | None) -> bool:
    """Run the measurements, write the report and return whether all targets hold."""
    rng = Random(seed)
    instances = make_instances(rng)
    entries = make_catalogue_entries()
    figures: dict[str, Any] = {"instances": len(instances), "entries": len(entries)}
    figures["steps_ms"] = _measure_steps(instances, entries)
    figures["process"] = _measure_process(seed, instances, entries)
    report = Report(seed, figures, _build_targets(figures))
    report.write(path)
    return report.holds()


def make_instances(rng: Random) -> dict[str, dict[str, Any]]:
    """Return the rows of as many instances as the target has, by instance name.

    No process listens on their addresses.
    """
    rows = {}
    for number in range(targets.TARGET_INSTANCES):
        host = f"127.251.{number // 250}.{number % 250 + 1}"
        domain = rng.randrange(DOMAIN_COUNT)
        row: dict[str, Any] = {
            "instance": f"instance-{number:04d}",
            "role": "entry" if number < ENTRY_COUNT else "agent",
            "region": f"region-{domain % REGION_COUNT}",
            "failure_domain": f"domain-{domain}",
            "peers": {"host": host, "port": 7000},
            "operators": {"host": host, "port": 9000},
            "state": "live",
        }
        if number < ENTRY_COUNT:
            row["callers"] = {"host": host, "port": 8080}
        else:
            row["service"] = f"unlisted-{number % SERVICE_COUNT}"
        rows[row["instance"]] = row
    return rows


def make_catalogue_entries() -> dict[str, dict[str, Any]]:
    """Return the entries of a catalogue of services, their models and teams, by key."""
    rows: dict[str, dict[str, Any]] = {}
    for number in range(SERVICE_COUNT):
        rows[f"service/service-{number}"] = {
            "owner": f"owner-{number}",
            "class": "engine",
            "limits": {"deadline_seconds": 30.0},
            "model": f"model-{number}",
        }
        rows[f"model/model-{number}"] = make_model_entry(number, "v1")
    for number in range(TEAM_COUNT):
        limits = {"requests_per_second": 70.0, "burst": 100, "in_flight": 500}
        rows[f"team/team-{number}"] = {
            "owner": f"owner-{number % SERVICE_COUNT}",
            "class": "standard",
            "limits": limits,
        }
    return rows


def make_model_entry(number: int, version: str) -> dict[str, Any]:
    """Return the catalogue entry of a model."""
    return {
        "owner": f"owner-{number}",
        "class": "time",
        "limits": {"origin_copies": 4.0},
        "version": version,
        "digest": "0" * 64,
    }


def _choose_watcher(instances: dict[str, Any]) -> str:
    """Return the instance of the first region that is chosen to watch the platform."""
    ring = HashRing("watchers")
    for name, row in instances.items():
        if row["region"] == "region-0":
            ring.add(name)
    return ring.list_first(1)[0]


def make_records(rows: dict[str, dict[str, Any]]) -> list[VersionedRecord]:
    """Return the rows as records of a table, each with a revision of its own."""
    records = []
    for revision, (key, row) in enumerate(rows.items(), start=1):
        records.append(VersionedRecord(key, revision, json.dumps(row).encode()))
    return records


def _measure_steps(instances: dict[str, Any], entries: dict[str, Any]) -> dict[str, float]:
    """Return the median duration of each step in milliseconds, and frame sizes in bytes."""
    records = make_records(instances)
    whole = Difference("instances", len(records), len(records), True, records)
    frame = encode_message(whole)
    table = RecordTable("instances")
    table.apply(whole)
    membership = Membership(InstanceId("instance-0000"))
    membership.apply(records)
    rows = membership.list_all()
    selector = _fill_selector(rows)
    catalogue = make_records(entries)
    all_entries = Difference("catalogue", len(catalogue), len(catalogue), True, catalogue)
    single = _generate_single_changes(table, records[7])
    return {
        "whole_instances_frame_bytes": len(frame),
        "whole_catalogue_frame_bytes": len(encode_message(all_entries)),
        "fill_peer_selector": _measure_milliseconds(lambda: _fill_selector(rows)),
        "change_one_and_choose_peers": _measure_milliseconds(
            lambda: _replace_and_choose_peers(selector, rows[7])
        ),
        "list_all": _measure_milliseconds(membership.list_all),
        "list_agents": _measure_milliseconds(lambda: membership.list_agents("unlisted-3")),
        "list_entries": _measure_milliseconds(membership.list_entries),
        "apply_whole_to_membership": _measure_milliseconds(
            lambda: Membership(InstanceId("x")).apply(records)
        ),
        "apply_whole_to_table": _measure_milliseconds(
            lambda: RecordTable("instances").apply(whole)
        ),
        "apply_single_to_table": _measure_milliseconds(lambda: table.apply(next(single))),
        "make_whole_difference": _measure_milliseconds(lambda: table.make_difference(0)),
        "make_small_difference": _measure_milliseconds(
            lambda: table.make_difference(table.revision - 1)
        ),
        "encode_whole": _measure_milliseconds(lambda: encode_message(whole)),
        "decode_whole": _measure_milliseconds(lambda: decode_message(frame)),
        "apply_whole_catalogue": _measure_milliseconds(lambda: _apply_catalogue(all_entries)),
    }


def _fill_selector(rows: list[InstanceRecord]) -> PeerSelector:
    selector = PeerSelector(InstanceId("instance-0000"), rows[0].region)
    for row in rows:
        selector.put(row)
    return selector


def _replace_and_choose_peers(selector: PeerSelector, row: InstanceRecord) -> None:
    selector.remove(InstanceId(row.instance))
    selector.put(row)
    selector.choose(now=0.0)
    selector.find_watch_rank()


def _apply_catalogue(difference: Difference) -> None:
    table = RecordTable("catalogue")
    CatalogueView(AuditTrail()).apply(table, table.apply(difference), "bench")


def _generate_single_changes(table: RecordTable, record: VersionedRecord) -> Any:
    while True:
        revision = table.revision + 1
        changed = VersionedRecord(record.key, revision, record.value)
        yield Difference("instances", revision - 1, revision, False, [changed])


def _measure_milliseconds(step: Callable[[], Any]) -> float:
    times = []
    for _ in range(REPEATS):
        started = time.perf_counter()
        step()
        times.append(time.perf_counter() - started)
    gc.collect()
    return round(sorted(times)[REPEATS // 2] * MILLISECONDS_PER_SECOND, 4)


def _measure_process(seed: int, instances: dict[str, Any], entries: dict[str, Any]) -> dict:
    """Load both tables into an entry that watches the platform; return its memory and times."""
    name = _choose_watcher(instances)
    location = (instances[name]["region"], instances[name]["failure_domain"])
    with Fleet(seed=seed) as fleet:
        fleet.start_platform()
        empty, _ = _measure_start(fleet, name, location, {})
        fleet.publish("catalogue", entries)
        with_entries, _ = _measure_start(fleet, name, location, {"catalogue": len(entries)})
        rows = instances | {name: fleet.records[name]}
        fleet.publish("instances", rows)
        whole = {"catalogue": len(entries), "instances": len(rows)}
        with_instances, seconds = _measure_start(fleet, name, location, whole)
        print(f"one process holds {len(rows)} instances")
        process = psutil.Process(fleet.members[name].process.pid)
        start_processor_seconds = _read_processor_seconds(process)
        changes = _measure_changes(fleet, name, process, rows)
    return {
        "resident_mb_empty": round(empty / MEGABYTE, 2),
        "resident_mb": round(with_instances / MEGABYTE, 2),
        "bytes_per_entry": round((with_entries - empty) / len(entries)),
        "bytes_per_instance": round((with_instances - with_entries) / len(rows)),
        "start_seconds": seconds,
        "start_processor_seconds": round(start_processor_seconds, 3),
        **changes,
    }


def _measure_start(
    fleet: Fleet, name: str, location: tuple[str, str], revisions: dict[str, int]
) -> tuple[int, float]:
    """Restart the entry and wait until its tables reach the given revisions.

    Returns its resident memory in bytes and the seconds until the tables were complete.
    """
    if name in fleet.members:
        fleet.kill(name)
    started = time.monotonic()
    fleet.start_entry(name, *location)
    fleet.wait_until_listening()
    for table, revision in revisions.items():
        _wait_for_mesh_value(fleet, name, f"{table}_revision", revision)
    seconds = round(time.monotonic() - started, 3)
    time.sleep(2.0)
    return psutil.Process(fleet.members[name].process.pid).memory_info().rss, seconds


def _measure_changes(
    fleet: Fleet, name: str, process: psutil.Process, rows: dict[str, Any]
) -> dict:
    """Measure the processor time of one instance change, less that of the idle process."""
    time.sleep(1.0)
    seconds_before = _read_processor_seconds(process)
    time.sleep(IDLE_SECONDS)
    idle = (_read_processor_seconds(process) - seconds_before) / IDLE_SECONDS
    started = time.monotonic()
    seconds_before = _read_processor_seconds(process)
    revision = fleet.read_status(name)["mesh"]["instances_revision"]
    for number, key in enumerate(sorted(set(rows) - {name})[:SINGLE_CHANGE_COUNT]):
        fleet.publish("instances", {key: rows[key] | {"weight": number + 2}})
        time.sleep(CHANGE_INTERVAL_SECONDS)
    _wait_for_mesh_value(fleet, name, "instances_revision", revision + SINGLE_CHANGE_COUNT)
    busy = _read_processor_seconds(process) - seconds_before - idle * (time.monotonic() - started)
    return {
        "core_share_idle": round(idle, 5),
        "milliseconds_per_instance_change": round(
            busy / SINGLE_CHANGE_COUNT * MILLISECONDS_PER_SECOND, 3
        ),
        "resident_mb_after_changes": round(process.memory_info().rss / MEGABYTE, 2),
    }


def _wait_for_mesh_value(fleet: Fleet, name: str, field: str, min_value: int) -> float:
    started = time.monotonic()

    def check() -> bool:
        return bool(fleet.read_status(name)["mesh"][field] >= min_value)

    fleet.wait_until(check, READY_TIMEOUT_SECONDS, f"{field} reaches {min_value}")
    return round(time.monotonic() - started, 3)


def _read_processor_seconds(process: psutil.Process) -> float:
    times = process.cpu_times()
    return times.user + times.system


def _build_targets(figures: dict[str, Any]) -> list[Target]:
    process = figures["process"]
    day = targets.TARGET_INSTANCE_CHANGES_PER_DAY / 86_400
    share = process["milliseconds_per_instance_change"] / MILLISECONDS_PER_SECOND * day
    share += process["core_share_idle"]
    max_resident_mb = max(process["resident_mb_after_changes"], process["resident_mb"])
    return [
        Target.at_most("core_share", share, targets.MAX_NODE_CORE_SHARE),
        Target.at_most("resident_mb", max_resident_mb, targets.MAX_NODE_RESIDENT_MB),
    ]
