"""Rollouts with real processes: killed, restarted and paused agents, changes under way."""

from __future__ import annotations

import signal
import time
from collections.abc import Iterator
from typing import Any

import pytest

from coltsfootshift.cli.rollout import print_rollout
from coltsfootshift_bench.deployments import TENTLINE, make_catalogue, make_model
from coltsfootshift_bench.fleet import Fleet, call_json

SEED = 11
CHUNK_BYTES = 32 * 1024
CHUNKS = 48
MODEL_BYTES = CHUNKS * CHUNK_BYTES
LINK_BYTES_PER_SECOND = MODEL_BYTES
SERVICE = "kit-assistant"
ENGINES = ["engine-0", "engine-1", "engine-2", "engine-3"]
QUICK_STREAMS = {"heartbeat": 0.2, "silence": 0.8, "retry_most": 0.5}


class Scene:
    """Four engines that serve a first version, and two further versions at the origin."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        fleet.start_platform()
        fleet.start_origin("--bytes-per-second", str(4 * MODEL_BYTES / 2))
        self.first = fleet.add_version(SEED, CHUNK_BYTES, CHUNK_BYTES // 4)
        self.second = fleet.add_version(SEED + 1, MODEL_BYTES, CHUNK_BYTES)
        self.third = fleet.add_version(SEED + 2, MODEL_BYTES, CHUNK_BYTES)
        fleet.start_engine_group(ENGINES, "--load-seconds", "0.4")
        for name in ENGINES:
            fleet.start_agent(name, SERVICE, "engine")
        fleet.publish_instances()
        self.ask(self.first)
        self.wait(self.first)

    def ask(self, digest: str) -> None:
        """Publish a version."""
        entries = make_catalogue(TENTLINE, "v", digest)
        model = make_model(TENTLINE, "v", digest)
        model["limits"] = {
            "origin_copies": 1.0,
            "link_share": 1.0,
            "link_bytes_per_second": LINK_BYTES_PER_SECOND,
        }
        model["class"] = "origin"
        entries[f"model/{SERVICE}-model"] = model
        self.fleet.publish("catalogue", entries)

    def read(self, name: str) -> dict[str, Any]:
        """Return what the stand-in engine counts."""
        return self.fleet.read_counts(name)

    def wait(self, digest: str, names: list[str] | None = None, seconds: float = 14.0) -> None:
        """Wait until engines serve a version."""
        wanted = names or ENGINES
        self.fleet.wait_until(
            lambda: all(self.read(name)["digest"] == digest for name in wanted),
            seconds,
            f"{wanted} serve {digest[:12]}",
        )

    def wait_share(self, name: str, share: float) -> None:
        """Wait until an agent has a share of the wanted version."""
        self.fleet.wait_until(
            lambda: self.read_weights(name)["wanted"] != self.first
            and self.read_weights(name)["share"] >= share,
            8.0,
            f"{name} holds {share:.0%}",
        )

    def read_weights(self, name: str) -> dict[str, Any]:
        """Return the weights part of an agent's status."""
        return self.fleet.read_status(name)["weights"]

    def check_promises(self) -> None:
        """No engine was ordered to load anything but whole, verified weights."""
        for name in ENGINES:
            assert self.read(name)["bad_loads"] == 0

    def read_copies(self, digest: str) -> float:
        """Return how many copies of a version left the origin."""
        versions = call_json(f"{self.fleet.origin_url}/admin/counts")["versions"]
        return float(versions[digest]["copies"])


@pytest.fixture(scope="module")
def fleet() -> Iterator[Fleet]:
    with Fleet(seed=SEED, streams=QUICK_STREAMS) as started:
        yield started


@pytest.fixture(scope="module")
def scene(fleet: Fleet) -> Scene:
    return Scene(fleet)


def restore(scene: Scene) -> None:
    """Bring every engine back to the first version and every agent back up."""
    for name in ENGINES:
        if not scene.fleet.members[name].is_running():
            scene.fleet.start_agent(name, SERVICE, "engine")
            scene.fleet.wait_until_listening([name])
    call_json(f"{scene.fleet.origin_url}/admin/mode", {"corrupt_share": 0.0, "down": False})
    scene.ask(scene.first)
    scene.wait(scene.first)


@pytest.mark.parametrize("share", [0.02, 0.5, 0.98])
def test_agent_killed_and_restarted(scene: Scene, share: float) -> None:
    """The others finish without it; a new process beside the engine takes up what is staged."""
    restore(scene)
    scene.ask(scene.second)
    scene.wait_share("engine-0", share)
    scene.fleet.kill("engine-0")
    scene.wait(scene.second, ENGINES[1:])
    staged = len(scene.read("engine-0")["staged"].get(scene.second, []))
    scene.fleet.start_agent("engine-0", SERVICE, "engine")
    scene.fleet.wait_until_listening(["engine-0"])
    scene.wait(scene.second)
    scene.fleet.wait_until(
        lambda: scene.read_weights("engine-0")["share"] == 1.0, 5.0, "engine-0 knows what it has"
    )
    counters = scene.fleet.read_metrics("engine-0")["counters"]
    assert counters["chunks_recovered"] == staged
    assert counters.get("weight_bytes", 0) == (CHUNKS - staged) * CHUNK_BYTES
    scene.check_promises()


def test_agent_killed_between_order_and_confirmation(scene: Scene) -> None:
    restore(scene)
    scene.ask(scene.second)
    scene.fleet.wait_until(
        lambda: scene.read_weights("engine-1")["phase"] == "loading", 8.0, "engine-1 loads"
    )
    scene.fleet.kill("engine-1")
    scene.ask(scene.third)
    scene.fleet.start_agent("engine-1", SERVICE, "engine")
    scene.wait(scene.third)
    scene.check_promises()


@pytest.mark.parametrize("share", [0.0, 0.5, 1.0])
def test_version_changes_under_way(scene: Scene, share: float) -> None:
    """Two operators' changes: the higher revision is served everywhere, nothing mixed."""
    restore(scene)
    scene.ask(scene.second)
    if share:
        scene.wait_share("engine-2", share)
    scene.ask(scene.third)
    scene.wait(scene.third)
    time.sleep(0.5)
    assert {scene.read(name)["digest"] for name in ENGINES} == {scene.third}
    scene.check_promises()


def test_version_withdrawn_under_way(scene: Scene) -> None:
    restore(scene)
    scene.ask(scene.second)
    scene.wait_share("engine-2", 0.3)
    scene.fleet.publish("catalogue", {f"model/{SERVICE}-model": None})
    time.sleep(3.0)
    assert {scene.read(name)["digest"] for name in ENGINES} == {scene.first}
    assert {scene.read_weights(name)["phase"] for name in ENGINES} == {"idle"}


def test_corrupted_chunks_reach_no_engine(scene: Scene) -> None:
    restore(scene)
    mode = {"corrupt_share": 0.2}
    call_json(f"{scene.fleet.origin_url}/admin/mode", mode)
    scene.ask(scene.third)
    scene.wait(scene.third)
    corrupted = 0
    for name in ENGINES:
        corrupted += scene.fleet.read_metrics(name)["counters"].get("chunks_corrupted", 0)
    assert corrupted > 0
    scene.check_promises()


def test_frozen_agent_wakes(scene: Scene) -> None:
    """An agent frozen while a version was wanted does not bring that version back."""
    restore(scene)
    scene.ask(scene.second)
    scene.wait_share("engine-3", 0.9)
    scene.fleet.members["engine-3"].send_signal(signal.SIGSTOP)
    scene.ask(scene.third)
    scene.wait(scene.third, ENGINES[:3])
    loads = scene.read("engine-3")["loads"]
    scene.fleet.members["engine-3"].send_signal(signal.SIGCONT)
    scene.wait(scene.third)
    assert scene.read("engine-3")["loads"] == loads + 1
    scene.check_promises()


def test_rollout_command(scene: Scene, capsys: pytest.CaptureFixture[str]) -> None:
    """It says no while the version is not live everywhere, follows, and says yes in the end."""
    restore(scene)
    url = scene.fleet.platform_url
    assert print_rollout(url, SERVICE, follow=True, seconds=5.0)
    scene.ask(scene.second)
    assert not print_rollout(url, SERVICE, follow=False, seconds=1.0)
    assert print_rollout(url, SERVICE, follow=True, seconds=14.0)
    text = capsys.readouterr().out
    assert f"{SERVICE}: 0 of 4 instances serve {scene.second[:12]}" in text
    assert f"{SERVICE}: 4 of 4 instances serve {scene.second[:12]}" in text


def test_engines_that_lose_everything_are_filled_again(scene: Scene) -> None:
    """All engines restart empty at once: what neighbours are believed to hold is gone as well."""
    restore(scene)
    scene.ask(scene.second)
    scene.wait(scene.second)
    scene.fleet.kill("engine-0.endpoint")
    scene.fleet.start_engine_group(ENGINES, "--load-seconds", "0.4")
    scene.wait(scene.second)
    scene.check_promises()
