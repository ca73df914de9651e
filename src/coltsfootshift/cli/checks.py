"""Validates a catalogue file and compares it with the platform's catalogue."""

from __future__ import annotations

import json
from dataclasses import asdict
from pathlib import Path
from typing import Any

from coltsfootshift.catalogue.checks import CatalogueEntryError, check_entry
from coltsfootshift.catalogue.difference import EntryChange, compare_catalogues
from coltsfootshift.cli.client import read_table
from coltsfootshift.errors import ColtsfootshiftError

__all__ = ["CatalogueFileError", "check_file", "print_difference"]


class CatalogueFileError(ColtsfootshiftError):
    """A catalogue file cannot be read or is not a JSON object."""


def check_file(path: Path) -> bool:
    """Print every problem of a catalogue file and return whether the file is valid."""
    content = _read_file(path)
    problems = _list_problems(content)
    for problem in problems:
        print(problem)
    print(f"{len(content)} entries, {len(problems)} with problems")
    return not problems


def print_difference(path: Path, platform: str, as_json: bool) -> bool:
    """Print how a catalogue file differs from the platform's catalogue.

    Return True if there are no differences.
    """
    content = _read_file(path)
    changes = compare_catalogues(read_table(platform, "catalogue").values, content)
    problems = _list_problems(content)
    if as_json:
        rows = [_change_to_dict(change) for change in changes]
        print(json.dumps({"changes": rows, "problems": problems}, indent=2))
        return not changes
    for change in changes:
        print(change)
    for problem in problems:
        print(f"would be refused: {problem}")
    print(f"{len(changes)} entries differ")
    return not changes


def _read_file(path: Path) -> dict[str, Any]:
    try:
        content = json.loads(path.read_text())
    except (OSError, ValueError) as error:
        raise CatalogueFileError(f"{path}: {error}") from error
    if not isinstance(content, dict):
        raise CatalogueFileError(f"{path}: is not a JSON object of entries")
    return content


def _list_problems(content: dict[str, Any]) -> list[str]:
    problems = []
    for key, value in content.items():
        try:
            check_entry(key, json.dumps(value).encode())
        except CatalogueEntryError as error:
            problems.append(str(error))
    return problems


def _change_to_dict(change: EntryChange) -> dict[str, Any]:
    return asdict(change) | {"kind": change.kind.value}
