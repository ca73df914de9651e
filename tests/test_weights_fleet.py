"""Tests of rollouts with real processes: killed, restarted and paused agents, new versions."""

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


class RolloutFleet:
    """A fleet of four engines that serve a first version, with two more at the origin."""

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
        self.publish_version(self.first)
        self.wait_serving(self.first)

    def publish_version(self, digest: str) -> None:
        """Publish a catalogue in which the service's model has this version."""
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

    def read_counts(self, name: str) -> dict[str, Any]:
        """Return the counters of a stand-in engine."""
        return self.fleet.read_counts(name)

    def wait_serving(
        self, digest: str, names: list[str] | None = None, seconds: float = 14.0
    ) -> None:
        """Wait until the named engines, by default all, serve a version."""
        wanted = names or ENGINES
        self.fleet.wait_until(
            lambda: all(self.read_counts(name)["digest"] == digest for name in wanted),
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

    def check_no_bad_loads(self) -> None:
        """Check that no engine was ordered to load incomplete or unverified weights."""
        for name in ENGINES:
            assert self.read_counts(name)["bad_loads"] == 0

    def read_copies(self, digest: str) -> float:
        """Return how many copies of a version left the origin."""
        versions = call_json(f"{self.fleet.origin_url}/admin/counts")["versions"]
        return float(versions[digest]["copies"])


@pytest.fixture(scope="module")
def fleet() -> Iterator[Fleet]:
    with Fleet(seed=SEED, streams=QUICK_STREAMS) as started:
        yield started


@pytest.fixture(scope="module")
def rollout(fleet: Fleet) -> RolloutFleet:
    return RolloutFleet(fleet)


def restore(rollout: RolloutFleet) -> None:
    """Bring every engine back to the first version and every agent back up."""
    for name in ENGINES:
        if not rollout.fleet.members[name].is_running():
            rollout.fleet.start_agent(name, SERVICE, "engine")
            rollout.fleet.wait_until_listening([name])
    call_json(f"{rollout.fleet.origin_url}/admin/mode", {"corrupt_share": 0.0, "down": False})
    rollout.publish_version(rollout.first)
    rollout.wait_serving(rollout.first)


@pytest.mark.parametrize("share", [0.02, 0.5, 0.98])
def test_agent_killed_and_restarted(rollout: RolloutFleet, share: float) -> None:
    """The others finish without the agent; a restarted agent reuses the staged chunks."""
    restore(rollout)
    rollout.publish_version(rollout.second)
    rollout.wait_share("engine-0", share)
    rollout.fleet.kill("engine-0")
    rollout.wait_serving(rollout.second, ENGINES[1:])
    staged = len(rollout.read_counts("engine-0")["staged"].get(rollout.second, []))
    rollout.fleet.start_agent("engine-0", SERVICE, "engine")
    rollout.fleet.wait_until_listening(["engine-0"])
    rollout.wait_serving(rollout.second)
    rollout.fleet.wait_until(
        lambda: rollout.read_weights("engine-0")["share"] == 1.0, 5.0, "engine-0 has all chunks"
    )
    counters = rollout.fleet.read_metrics("engine-0")["counters"]
    assert counters["chunks_recovered"] == staged
    assert counters.get("weight_bytes", 0) == (CHUNKS - staged) * CHUNK_BYTES
    rollout.check_no_bad_loads()


def test_agent_killed_between_order_and_confirmation(rollout: RolloutFleet) -> None:
    restore(rollout)
    rollout.publish_version(rollout.second)
    rollout.fleet.wait_until(
        lambda: rollout.read_weights("engine-1")["phase"] == "loading", 8.0, "engine-1 loads"
    )
    rollout.fleet.kill("engine-1")
    rollout.publish_version(rollout.third)
    rollout.fleet.start_agent("engine-1", SERVICE, "engine")
    rollout.wait_serving(rollout.third)
    rollout.check_no_bad_loads()


@pytest.mark.parametrize("share", [0.0, 0.5, 1.0])
def test_version_changes_under_way(rollout: RolloutFleet, share: float) -> None:
    """After two quick changes, all engines serve the higher revision and none a mixture."""
    restore(rollout)
    rollout.publish_version(rollout.second)
    if share:
        rollout.wait_share("engine-2", share)
    rollout.publish_version(rollout.third)
    rollout.wait_serving(rollout.third)
    time.sleep(0.5)
    assert {rollout.read_counts(name)["digest"] for name in ENGINES} == {rollout.third}
    rollout.check_no_bad_loads()


def test_version_withdrawn_under_way(rollout: RolloutFleet) -> None:
    restore(rollout)
    rollout.publish_version(rollout.second)
    rollout.wait_share("engine-2", 0.3)
    rollout.fleet.publish("catalogue", {f"model/{SERVICE}-model": None})
    time.sleep(3.0)
    assert {rollout.read_counts(name)["digest"] for name in ENGINES} == {rollout.first}
    assert {rollout.read_weights(name)["phase"] for name in ENGINES} == {"idle"}


def test_corrupted_chunks_reach_no_engine(rollout: RolloutFleet) -> None:
    restore(rollout)
    mode = {"corrupt_share": 0.2}
    call_json(f"{rollout.fleet.origin_url}/admin/mode", mode)
    rollout.publish_version(rollout.third)
    rollout.wait_serving(rollout.third)
    corrupted = 0
    for name in ENGINES:
        corrupted += rollout.fleet.read_metrics(name)["counters"].get("chunks_corrupted", 0)
    assert corrupted > 0
    rollout.check_no_bad_loads()


def test_frozen_agent_wakes(rollout: RolloutFleet) -> None:
    """An agent that was frozen during a version change doesn't load the outdated version."""
    restore(rollout)
    rollout.publish_version(rollout.second)
    rollout.wait_share("engine-3", 0.9)
    rollout.fleet.members["engine-3"].send_signal(signal.SIGSTOP)
    rollout.publish_version(rollout.third)
    rollout.wait_serving(rollout.third, ENGINES[:3])
    loads = rollout.read_counts("engine-3")["loads"]
    rollout.fleet.members["engine-3"].send_signal(signal.SIGCONT)
    rollout.wait_serving(rollout.third)
    assert rollout.read_counts("engine-3")["loads"] == loads + 1
    rollout.check_no_bad_loads()


def test_rollout_command(rollout: RolloutFleet, capsys: pytest.CaptureFixture[str]) -> None:
    """The command fails until the version is live everywhere; with `follow` it waits for that."""
    restore(rollout)
    url = rollout.fleet.platform_url
    assert print_rollout(url, SERVICE, follow=True, seconds=5.0)
    rollout.publish_version(rollout.second)
    assert not print_rollout(url, SERVICE, follow=False, seconds=1.0)
    assert print_rollout(url, SERVICE, follow=True, seconds=14.0)
    text = capsys.readouterr().out
    assert f"{SERVICE}: 0 of 4 instances serve {rollout.second[:12]}" in text
    assert f"{SERVICE}: 4 of 4 instances serve {rollout.second[:12]}" in text


def test_engines_that_lose_everything_are_filled_again(rollout: RolloutFleet) -> None:
    """All engines restart empty at once, so no chunk recorded for a neighbour is there any more."""
    restore(rollout)
    rollout.publish_version(rollout.second)
    rollout.wait_serving(rollout.second)
    rollout.fleet.kill("engine-0.endpoint")
    rollout.fleet.start_engine_group(ENGINES, "--load-seconds", "0.4")
    rollout.wait_serving(rollout.second)
    rollout.check_no_bad_loads()
