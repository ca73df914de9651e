"""Tests of the demo command: its targets hold, and an interrupt leaves no process running."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import psutil
import pytest

from coltsfootshift_bench.fleet import Fleet

COMMAND = [sys.executable, "-m", "coltsfootshift_bench.main", "demo"]


def test_demo_keeps_its_promises(tmp_path: Path) -> None:
    path = tmp_path / "demo.json"
    result = subprocess.run(
        [*COMMAND, "--json", str(path)], capture_output=True, text=True, timeout=90, check=False
    )
    assert result.returncode == 0, result.stdout + result.stderr
    report = json.loads(path.read_text())
    assert report["targets"]
    assert all(target["holds"] for target in report["targets"])
    assert report["bookings_executed_twice"] == 0


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_interrupted_demo_leaves_no_process(number: signal.Signals) -> None:
    process = subprocess.Popen(COMMAND, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
    deadline = time.monotonic() + 30
    children: list[psutil.Process] = []
    while len(children) < 20 and time.monotonic() < deadline:
        children = psutil.Process(process.pid).children(recursive=True)
        time.sleep(0.1)
    process.send_signal(number)
    assert process.wait(30) == 130
    left = [child for child in children if child.is_running()]
    assert left == []


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_process_that_an_interrupt_finds_half_started_is_ended(
    number: signal.Signals, monkeypatch: pytest.MonkeyPatch
) -> None:
    started: list[subprocess.Popen[bytes]] = []
    popen = subprocess.Popen

    def start_and_interrupt(*args: Any, **options: Any) -> subprocess.Popen[bytes]:
        started.append(popen(*args, **options))
        signal.raise_signal(number)
        return started[0]

    before = signal.signal(number, signal.default_int_handler)
    try:
        with pytest.raises(KeyboardInterrupt), Fleet(seed=1) as fleet:
            monkeypatch.setattr(subprocess, "Popen", start_and_interrupt)
            fleet.start_endpoint("ledger-1", "ledger")
    finally:
        signal.signal(number, before)
    assert started[0].poll() is not None
