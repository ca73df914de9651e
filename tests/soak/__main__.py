"""Runs seeds of the soak test in parallel, each in its own process."""

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

    :param seed: seeds the random choice of faults and requests
    :param entries: number of entries
    :param engines: number of engines, each with its own agent
    :param folder: directory for the logs; a new temporary directory by default
    """
    log_folder = folder or Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    log_folder.mkdir(parents=True, exist_ok=True)
    result = run_seed(seed, log_folder, entries=entries, engines=engines)
    print(result.render())
    if result.violations:
        print(f"logs: {log_folder}")
    sys.exit(1 if result.violations else 0)


def many(first: int, count: int, *, jobs: int = 2, folder: Path | None = None) -> None:
    """Run `count` consecutive seeds, starting with `first`.

    :param first: the first seed
    :param count: number of seeds
    :param jobs: number of seeds that run at the same time
    :param folder: directory for the logs, with one subdirectory per seed
    """

    def run_process(seed: int) -> int:
        command = [sys.executable, "-m", "soak", "one", str(seed)]
        if folder is not None:
            command += ["--folder", str(folder / str(seed))]
        completed = subprocess.run(command, capture_output=True, text=True, check=False)
        print((completed.stdout + completed.stderr).strip(), flush=True)
        return completed.returncode

    with ThreadPoolExecutor(jobs) as pool:
        failed = sum(code != 0 for code in pool.map(run_process, range(first, first + count)))
    print(f"{count} seeds from {first}: {failed} with a promise broken")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    defopt.run([one, many])
