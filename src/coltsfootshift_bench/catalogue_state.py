"""State and processor time of one process whose tables have the target's size."""

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

REGIONS = 7
DOMAINS = 23
ENTRIES = 430
SERVICES = 40
TEAMS = 400
SINGLE_CHANGES = 50
CHANGE_SECONDS = 0.2
IDLE_SECONDS = 10.0
READY_SECONDS = 40.0
MILLISECONDS = 1000.0
MEGABYTE = 1_000_000
REPEATS = 5


def run_catalogue_state(seed: int, path: Path | None) -> bool:
    """Measure, write the report and return whether all targets hold."""
    rng = Random(seed)
    instances = make_instances(rng)
    entries = make_entries()
    figures: dict[str, Any] = {"instances": len(instances), "entries": len(entries)}
    figures["steps_ms"] = _time_steps(instances, entries)
    figures["process"] = _measure_process(seed, instances, entries)
    report = Report(seed, figures, _hold(figures))
    report.write(path)
    return report.holds()


def make_instances(rng: Random) -> dict[str, dict[str, Any]]:
    """Return records of all instances of the target; nothing listens on their addresses."""
    rows = {}
    for number in range(targets.TARGET_INSTANCES):
        host = f"127.251.{number // 250}.{number % 250 + 1}"
        domain = rng.randrange(DOMAINS)
        row: dict[str, Any] = {
            "instance": f"instance-{number:04d}",
            "role": "entry" if number < ENTRIES else "agent",
            "region": f"region-{domain % REGIONS}",
            "failure_domain": f"domain-{domain}",
            "peers": {"host": host, "port": 7000},
            "operators": {"host": host, "port": 9000},
            "state": "live",
        }
        if number < ENTRIES:
            row["callers"] = {"host": host, "port": 8080}
        else:
            row["service"] = f"unlisted-{number % SERVICES}"
        rows[row["instance"]] = row
    return rows


def make_entries() -> dict[str, dict[str, Any]]:
    """Return a catalogue of services, their models and teams."""
    rows: dict[str, dict[str, Any]] = {}
    for number in range(SERVICES):
        rows[f"service/service-{number}"] = {
            "owner": f"owner-{number}",
            "class": "engine",
            "limits": {"deadline_seconds": 30.0},
            "model": f"model-{number}",
        }
        rows[f"model/model-{number}"] = make_model(number, "v1")
    for number in range(TEAMS):
        limits = {"requests_per_second": 70.0, "burst": 100, "in_flight": 500}
        rows[f"team/team-{number}"] = {
            "owner": f"owner-{number % SERVICES}",
            "class": "standard",
            "limits": limits,
        }
    return rows


def make_model(number: int, version: str) -> dict[str, Any]:
    """Return a model's entry."""
    return {
        "owner": f"owner-{number}",
        "class": "time",
        "limits": {"origin_copies": 4.0},
        "version": version,
        "digest": "0" * 64,
    }


def _choose_watcher(instances: dict[str, Any]) -> str:
    """Return the instance that watches at the platform for the first region."""
    ring = HashRing("watchers")
    for name, row in instances.items():
        if row["region"] == "region-0":
            ring.add(name)
    return ring.list_first(1)[0]


def make_records(rows: dict[str, dict[str, Any]]) -> list[VersionedRecord]:
    """Return the rows as records of a table, one revision each."""
    records = []
    for revision, (key, row) in enumerate(rows.items(), start=1):
        records.append(VersionedRecord(key, revision, json.dumps(row).encode()))
    return records


def _time_steps(instances: dict[str, Any], entries: dict[str, Any]) -> dict[str, float]:
    """Return the time of each step in milliseconds, the median of some repeats."""
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
    single = _make_singles(table, records[7])
    return {
        "whole_instances_frame_bytes": len(frame),
        "whole_catalogue_frame_bytes": len(encode_message(all_entries)),
        "fill_peer_selector": _time(lambda: _fill_selector(rows)),
        "change_one_and_choose_peers": _time(lambda: _change_one(selector, rows[7])),
        "list_all": _time(membership.list_all),
        "list_agents": _time(lambda: membership.list_agents("unlisted-3")),
        "list_entries": _time(membership.list_entries),
        "apply_whole_to_membership": _time(lambda: Membership(InstanceId("x")).apply(records)),
        "apply_whole_to_table": _time(lambda: RecordTable("instances").apply(whole)),
        "apply_single_to_table": _time(lambda: table.apply(next(single))),
        "make_whole_difference": _time(lambda: table.make_difference(0)),
        "make_small_difference": _time(lambda: table.make_difference(table.revision - 1)),
        "encode_whole": _time(lambda: encode_message(whole)),
        "decode_whole": _time(lambda: decode_message(frame)),
        "apply_whole_catalogue": _time(lambda: _apply_catalogue(all_entries)),
    }


def _fill_selector(rows: list[InstanceRecord]) -> PeerSelector:
    selector = PeerSelector(InstanceId("instance-0000"), rows[0].region)
    for row in rows:
        selector.put(row)
    return selector


def _change_one(selector: PeerSelector, row: InstanceRecord) -> None:
    selector.remove(InstanceId(row.instance))
    selector.put(row)
    selector.choose(now=0.0)
    selector.find_watch_rank()


def _apply_catalogue(difference: Difference) -> None:
    table = RecordTable("catalogue")
    CatalogueView(AuditTrail()).apply(table, table.apply(difference), "bench")


def _make_singles(table: RecordTable, record: VersionedRecord) -> Any:
    while True:
        revision = table.revision + 1
        changed = VersionedRecord(record.key, revision, record.value)
        yield Difference("instances", revision - 1, revision, False, [changed])


def _time(step: Callable[[], Any]) -> float:
    times = []
    for _ in range(REPEATS):
        started = time.perf_counter()
        step()
        times.append(time.perf_counter() - started)
    gc.collect()
    return round(sorted(times)[REPEATS // 2] * MILLISECONDS, 4)


def _measure_process(seed: int, instances: dict[str, Any], entries: dict[str, Any]) -> dict:
    """Feed both tables to one real entry, a watcher, and measure its memory and time."""
    probe = _choose_watcher(instances)
    place = (instances[probe]["region"], instances[probe]["failure_domain"])
    with Fleet(seed=seed) as fleet:
        fleet.start_platform()
        empty, _ = _measure_start(fleet, probe, place, {})
        fleet.publish("catalogue", entries)
        with_entries, _ = _measure_start(fleet, probe, place, {"catalogue": len(entries)})
        rows = instances | {probe: fleet.records[probe]}
        fleet.publish("instances", rows)
        whole = {"catalogue": len(entries), "instances": len(rows)}
        with_instances, seconds = _measure_start(fleet, probe, place, whole)
        print(f"one process holds {len(rows)} instances")
        process = psutil.Process(fleet.members[probe].process.pid)
        loaded = _read_seconds(process)
        changes = _measure_changes(fleet, probe, process, rows)
    return {
        "resident_mb_empty": round(empty / MEGABYTE, 2),
        "resident_mb": round(with_instances / MEGABYTE, 2),
        "bytes_per_entry": round((with_entries - empty) / len(entries)),
        "bytes_per_instance": round((with_instances - with_entries) / len(rows)),
        "start_seconds": seconds,
        "start_processor_seconds": round(loaded, 3),
        **changes,
    }


def _measure_start(
    fleet: Fleet, probe: str, place: tuple[str, str], revisions: dict[str, int]
) -> tuple[int, float]:
    """Start the process anew; return its resident bytes and the seconds until it holds all."""
    if probe in fleet.members:
        fleet.kill(probe)
    started = time.monotonic()
    fleet.start_entry(probe, *place)
    fleet.wait_until_listening()
    for table, revision in revisions.items():
        _wait_mesh(fleet, probe, f"{table}_revision", revision)
    seconds = round(time.monotonic() - started, 3)
    time.sleep(2.0)
    return psutil.Process(fleet.members[probe].process.pid).memory_info().rss, seconds


def _measure_changes(
    fleet: Fleet, probe: str, process: psutil.Process, rows: dict[str, Any]
) -> dict:
    """Return the processor time of one instance change, beyond that of an idle process."""
    time.sleep(1.0)
    spent = _read_seconds(process)
    time.sleep(IDLE_SECONDS)
    idle = (_read_seconds(process) - spent) / IDLE_SECONDS
    started = time.monotonic()
    spent = _read_seconds(process)
    revision = fleet.read_status(probe)["mesh"]["instances_revision"]
    for number, key in enumerate(sorted(set(rows) - {probe})[:SINGLE_CHANGES]):
        fleet.publish("instances", {key: rows[key] | {"weight": number + 2}})
        time.sleep(CHANGE_SECONDS)
    _wait_mesh(fleet, probe, "instances_revision", revision + SINGLE_CHANGES)
    busy = _read_seconds(process) - spent - idle * (time.monotonic() - started)
    return {
        "core_share_idle": round(idle, 5),
        "milliseconds_per_instance_change": round(busy / SINGLE_CHANGES * MILLISECONDS, 3),
        "resident_mb_after_changes": round(process.memory_info().rss / MEGABYTE, 2),
    }


def _wait_mesh(fleet: Fleet, probe: str, field: str, least: int) -> float:
    started = time.monotonic()

    def check() -> bool:
        return bool(fleet.read_status(probe)["mesh"][field] >= least)

    fleet.wait_until(check, READY_SECONDS, f"{field} reaches {least}")
    return round(time.monotonic() - started, 3)


def _read_seconds(process: psutil.Process) -> float:
    times = process.cpu_times()
    return times.user + times.system


def _hold(figures: dict[str, Any]) -> list[Target]:
    process = figures["process"]
    day = targets.TARGET_INSTANCE_CHANGES_PER_DAY / 86_400
    share = process["milliseconds_per_instance_change"] / MILLISECONDS * day
    share += process["core_share_idle"]
    most = max(process["resident_mb_after_changes"], process["resident_mb"])
    return [
        Target.at_most("core_share", share, targets.MAX_NODE_CORE_SHARE),
        Target.at_most("resident_mb", most, targets.MAX_NODE_RESIDENT_MB),
    ]
