"""Tests of the catalogue, membership and directory with real processes that all cases share."""

from __future__ import annotations

import json
import signal
import time
import urllib.request
from collections.abc import Iterator

import pytest

from coltsfootshift_bench import targets
from coltsfootshift_bench.fleet import CALLERS_PORT, Fleet, call_json

SEED = 11
NAMES = [f"entry-{number}" for number in range(1, 9)]
SLACK_SECONDS = 1.0
WAIT_SECONDS = targets.MAX_IN_FORCE_SECONDS + SLACK_SECONDS
START_SECONDS = 20.0
OPEN_WATCH_SECONDS = 1.2


@pytest.fixture(scope="module")
def entries() -> Iterator[Fleet]:
    """Start eight entries in two regions and wait until they have the first catalogue."""
    with Fleet(seed=SEED) as fleet:
        fleet.start_platform()
        publish(fleet, "team/first", 1)
        for name in NAMES:
            start(fleet, name)
        fleet.publish_instances()
        fleet.wait_until_listening()
        fleet.wait_until(lambda: not list_behind(fleet, 1), START_SECONDS, "first catalogue")
        time.sleep(2.0)
        yield fleet


def start(fleet: Fleet, name: str) -> None:
    number = NAMES.index(name)
    region = "north" if number % 2 else "south"
    fleet.start_entry(name, region, f"{region}-{number // 2 % 2}")


def publish(fleet: Fleet, key: str, burst: int) -> int:
    limits = {"requests_per_second": 10.0, "burst": burst}
    entry = {"owner": "tests", "class": "batch", "limits": limits}
    return fleet.publish("catalogue", {key: entry})


def read_mesh(fleet: Fleet, name: str) -> dict:
    try:
        return fleet.read_status(name)["mesh"]
    except OSError:
        return {"catalogue_revision": -1, "in_force_at": [], "watching": False, "ready": False}


def list_behind(fleet: Fleet, revision: int, names: list[str] | None = None) -> list[str]:
    """Return the entries where the revision is not in force."""
    behind = []
    for name in names or NAMES:
        times = read_mesh(fleet, name)["in_force_at"]
        if not times or times[-1][0] < revision:
            behind.append(name)
    return behind


def list_watchers(fleet: Fleet) -> list[str]:
    return [name for name in NAMES if read_mesh(fleet, name)["watching"]]


def wait_watchers(fleet: Fleet) -> list[str]:
    """Wait until only the first two watchers of each region are left and return them."""
    fleet.wait_until(lambda: len(list_watchers(fleet)) == 4, WAIT_SECONDS, "four watchers")
    time.sleep(OPEN_WATCH_SECONDS)
    return list_watchers(fleet)


def list_reverted(fleet: Fleet) -> list[str]:
    """Return the entries on which a lower revision came into force after a higher one."""
    reverted = []
    for name in NAMES:
        revisions = [row[0] for row in read_mesh(fleet, name)["in_force_at"]]
        if revisions != sorted(revisions):
            reverted.append(name)
    return reverted


def wait_in_force(fleet: Fleet, revision: int, names: list[str] | None = None) -> None:
    fleet.wait_until(
        lambda: not list_behind(fleet, revision, names), WAIT_SECONDS, f"{revision} in force"
    )


def read_directory(fleet: Fleet, name: str) -> set[str]:
    url = f"http://{fleet.members[name].host}:{CALLERS_PORT}/directory"
    with urllib.request.urlopen(url, timeout=2) as response:
        return {row["instance"] for row in json.loads(response.read())["entries"]}


def restart(fleet: Fleet, name: str) -> None:
    fleet.kill(name)
    start(fleet, name)
    fleet.wait_until(lambda: read_mesh(fleet, name)["ready"], START_SECONDS, f"{name} is ready")


def test_change_is_in_force_everywhere(entries: Fleet) -> None:
    for number in range(5):
        revision = publish(entries, "team/first", number + 2)
        wait_in_force(entries, revision)
    assert not list_reverted(entries)


@pytest.mark.parametrize("fault", ["stale", "down"])
def test_restart_while_the_platform_fails(entries: Fleet, fault: str) -> None:
    """A process that starts meanwhile applies no revision older than its peers hold."""
    mode = f"{entries.platform_url}/admin/mode"
    call_json(mode, {"remember": True})
    wait_in_force(entries, publish(entries, "team/later", 1))
    call_json(mode, {"stale": "remembered"} if fault == "stale" else {"down": True})
    held = read_mesh(entries, "entry-2")["catalogue_revision"]
    watcher = list_watchers(entries)[0]
    restart(entries, watcher)
    first = read_mesh(entries, watcher)["in_force_at"][0][0]
    call_json(mode, {"stale": False, "down": False})
    assert first >= held
    revision = publish(entries, "team/first", 30)
    wait_in_force(entries, revision)
    assert not list_reverted(entries)


def test_invalid_entry_keeps_the_earlier_one_over_a_restart(entries: Fleet) -> None:
    wait_in_force(entries, publish(entries, "team/spoilt", 7))
    revision = entries.publish("catalogue", {"team/spoilt": {"owner": "tests"}})
    wait_in_force(entries, revision)
    count = read_mesh(entries, "entry-2")["entries_in_force"]
    restart(entries, "entry-1")

    def check() -> bool:
        mesh = read_mesh(entries, "entry-1")
        return mesh["entries_in_force"] == count and "team/spoilt" in mesh["invalid_entries"]

    entries.wait_until(check, WAIT_SECONDS, "the earlier text is in force after a restart")


def test_paused_watchers(entries: Fleet) -> None:
    watchers = wait_watchers(entries)
    for name in watchers:
        entries.members[name].send_signal(signal.SIGSTOP)
    others = [name for name in NAMES if name not in watchers]
    try:
        revision = publish(entries, "team/first", 40)
        wait_in_force(entries, revision, others)
    finally:
        for name in watchers:
            entries.members[name].send_signal(signal.SIGCONT)
    wait_in_force(entries, revision)
    assert not list_reverted(entries)


def test_leaving_entry_is_out_of_every_directory(entries: Fleet) -> None:
    entries.members["entry-8"].send_signal(signal.SIGTERM)
    others = NAMES[:-1]

    def check() -> bool:
        return all("entry-8" not in read_directory(entries, name) for name in others)

    entries.wait_until(check, targets.MAX_LEAVING_SEEN_SECONDS, "entry-8 is out of the directories")
    entries.members["entry-8"].process.wait(10)
    restart(entries, "entry-8")

    def check_back() -> bool:
        return all("entry-8" in read_directory(entries, name) for name in NAMES)

    entries.wait_until(check_back, WAIT_SECONDS, "entry-8 is back in the directories")


def test_all_watchers_killed(entries: Fleet) -> None:
    watchers = wait_watchers(entries)
    for name in watchers:
        entries.kill(name)
    others = [name for name in NAMES if name not in watchers]
    revision = publish(entries, "team/first", 50)
    wait_in_force(entries, revision, others)

    def check() -> bool:
        return all(not set(watchers) & read_directory(entries, name) for name in others)

    entries.wait_until(check, 8.0, "dead entries are out of the directories")
    assert all(read_directory(entries, name) == set(others) for name in others)


def test_directory_never_names_only_dead_entries(entries: Fleet) -> None:
    others = [name for name in NAMES if entries.members[name].is_running()]
    last = others.pop()
    for name in others:
        entries.kill(name)

    def check() -> bool:
        found = read_directory(entries, last)
        assert last in found
        return found == {last}

    entries.wait_until(check, 12.0, "only the live entry is left")


def test_whole_fleet_restarts(entries: Fleet) -> None:
    for name in NAMES:
        if entries.members[name].is_running():
            entries.kill(name)
    revision = publish(entries, "team/first", 60)
    before = call_json(f"{entries.platform_url}/admin/counts")["reads"]
    for name in NAMES:
        start(entries, name)
    entries.wait_until(lambda: not list_behind(entries, revision), START_SECONDS, "all are back")
    assert call_json(f"{entries.platform_url}/admin/counts")["reads"] - before <= 12 * len(NAMES)
