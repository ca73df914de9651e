"""Runs seeds of the soak, some at a time, each as a process of its own."""

from __future__ import annotations

import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import defopt

from soak.run import run_seed


def one(seed: int, *, entries: int = 3, engines: int = 3, folder: Path | None = None) -> None:
    """Run one seed.

    :param seed: draws the faults and the callers' requests
    :param entries: how many entries run
    :param engines: how many engines run, each with an agent
    :param folder: where logs are kept
    """
    place = folder or Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    place.mkdir(parents=True, exist_ok=True)
    result = run_seed(seed, place, entries=entries, engines=engines)
    print(result.render())
    if result.broken:
        print(f"logs: {place}")
    sys.exit(1 if result.broken else 0)


def many(first: int, count: int, *, jobs: int = 2, folder: Path | None = None) -> None:
    """Run seeds from `first` on.

    :param first: the first seed
    :param count: how many seeds
    :param jobs: how many at a time
    :param folder: where logs are kept
    """

    def start(seed: int) -> int:
        command = [sys.executable, "-m", "soak", "one", str(seed)]
        if folder is not None:
            command += ["--folder", str(folder / str(seed))]
        ended = subprocess.run(command, capture_output=True, text=True, check=False)
        print((ended.stdout + ended.stderr).strip(), flush=True)
        return ended.returncode

    with ThreadPoolExecutor(jobs) as pool:
        failed = sum(code != 0 for code in pool.map(start, range(first, first + count)))
    print(f"{count} seeds from {first}: {failed} with a promise broken")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    defopt.run([one, many])
