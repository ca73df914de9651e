"""What a started process of the platform loads.

A large deployment starts hundreds of processes, and again all of them after a loss of the whole
fleet. Each library that a running process never uses costs processor time at the moment when
callers wait most, and memory for as long as the process runs.
"""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
PACKAGES = {
    "attr",
    "attrs",
    "automat",
    "coltsfootshift",
    "coltsfootshift_platform",
    "constantly",
    "h11",
    "hdrh",
    "hyperlink",
    "idna",
    "incremental",
    "msgpack",
    "msgspec",
    "multipart",
    "pyhdrh",
    "pythonjsonlogger",
    "treq",
    "typing_extensions",
    "twisted",
    "zope",
}
LIST_LOADED = """
import runpy, sys
of_environment = set(sys.modules)
sys.argv = ["serve.py", "none"]
runpy.run_path({serve!r}, run_name="serve")
import coltsfootshift_platform.{role}
names = set()
for name, module in sys.modules.items():
    if name not in of_environment and getattr(module, "__file__", None) is not None:
        names.add(name.partition(".")[0])
print(*sorted(names - set(sys.stdlib_module_names)))
print(*sorted(name for name in sys.modules if name.startswith("coltsfootshift.")))
"""


@pytest.mark.parametrize(
    "role, absent",
    [
        ("entry", ("gateway.rollout", "controllers.weights", "cli", "entry")),
        ("agent", ("gateway.service", "gateway.callers", "gateway.links", "cli", "agent")),
    ],
)
def test_process_loads_only_what_its_role_uses(role: str, absent: tuple[str, ...]) -> None:
    program = LIST_LOADED.format(serve=str(ROOT / "platform" / "serve.py"), role=role)
    result = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, check=True
    )
    packages, modules = result.stdout.splitlines()
    assert set(packages.split()) <= PACKAGES
    for name in absent:
        assert f"coltsfootshift.{name}" not in modules.split()


@pytest.mark.parametrize("arguments", [[], ["neither"], ["entry", "more"]])
def test_wrong_role_ends_with_the_usage(arguments: list[str]) -> None:
    serve = str(ROOT / "platform" / "serve.py")
    result = subprocess.run([sys.executable, serve, *arguments], capture_output=True, text=True)
    assert result.returncode == 2
    assert "entry|agent" in result.stderr
