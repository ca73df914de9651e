"""The machines that the seeds name leave; after a final fault nobody reads the new seeds."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins_2 import BOUNDS, KEY, MODEL, run_case, send  # noqa: E402

HOST, PATH = "jepu9.example", "/lepu270/2f"
PER_SECOND = 6.0
LEAVE_GAP_SECONDS = 1.3
DOWN_SECONDS = 1.5
AFTER_SECONDS = 22.0  # from `recover_s` after the return of the machines
LEAVING = (0, 1, 2)  # of four entries; the seeds of all processes name these


async def play(deployment, record, trouble: bool) -> bool:
    rng = random.Random(11)
    asked: list[tuple[float, bool]] = []
    fronts = list(deployment.fronts)
    await deployment.open()
    await asyncio.sleep(3.0)

    async def ask():
        headers = {
            "X-Attempt-Id": f"{rng.getrandbits(64):016x}",
            "X-Model": MODEL,
            "X-Token-Counts": "1290,80",
            "X-Prompt-Prefix": f"{rng.randrange(60):08x}:40,{rng.getrandbits(32):08x}:1250",
            "X-Deadline-Ms": "6060",
            "X-Api-Key": KEY,
        }
        sent_at = time.monotonic()
        answer = await send(rng.choice(fronts), "POST", HOST, PATH, headers)
        record.write(f"{headers['X-Attempt-Id']}: {answer.status} complete={answer.complete}")
        asked.append((sent_at, answer.status == 200 and answer.complete))

    async def ask_for(seconds):
        jobs = []
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            jobs.append(asyncio.ensure_future(ask()))
            await asyncio.sleep(rng.expovariate(PER_SECOND))
        await asyncio.gather(*jobs)

    def compute_share(since, until):
        rows = [served for sent_at, served in asked if since <= sent_at < until]
        return sum(rows) / max(1, len(rows)), len(rows)

    began = time.monotonic()
    await ask_for(5.0)
    if trouble:
        for number in LEAVING:
            fronts.remove(deployment.fronts[number])
            deployment.signal(f"front-{number + 1}", signal.SIGTERM)
            record.write(f"front-{number + 1} is told to leave")
            await ask_for(LEAVE_GAP_SECONDS)
        for number in LEAVING:
            program = deployment.programs[f"front-{number + 1}"]
            told_until = time.monotonic() + BOUNDS["grace_s"]
            while program.returncode is None:
                if time.monotonic() > told_until:
                    program.kill()
                await ask_for(0.5)
        record.write("the three that the seeds name have left")
    else:
        await ask_for(10.0)
    left_at = time.monotonic()
    record.write("final fault: all machines lose power")
    names = [name for name, program in deployment.programs.items() if program.returncode is None]
    for name in names:
        deployment.signal(name, signal.SIGKILL)
    for engine in [*deployment.engines, *deployment.plain]:
        engine.lose_power(DOWN_SECONDS)
    await asyncio.sleep(DOWN_SECONDS)
    for name in names:
        role, _, number = name.partition("-")
        start = deployment.start_entry if role == "front" else deployment.start_agent
        await start(int(number) - 1)
    back_at = time.monotonic()
    record.write(f"all are back; their settings name the seeds {deployment.seeds}")
    if trouble:
        await asyncio.sleep(max(0.0, left_at + BOUNDS["seed_lag_s"] - time.monotonic()))
        port = deployment.control_port
        deployment.name_seeds([f"{deployment.front_hosts[3]}:{port}"])
        record.write(f"the settings files name the seeds {deployment.seeds}, without a signal")
    await ask_for(back_at + BOUNDS["recover_s"] + AFTER_SECONDS - time.monotonic())
    before, before_count = compute_share(began, left_at)
    after, after_count = compute_share(back_at + BOUNDS["recover_s"], time.monotonic())
    record.write(f"before the fault {before:.2f} of {before_count} are served")
    record.write(f"later than recover_s after the return {after:.2f} of {after_count} are served")
    record.write(f"versions that the engines hold: {[e.version for e in deployment.engines]}")
    if before < 0.25:
        raise RuntimeError("too few were served before the fault")
    return after < 0.25


run_case(play)
