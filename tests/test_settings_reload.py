"""What a settings file holds when it is read again, and what that changes in a running process.

A process whose seeds are stale has no other way to an entry than the seeds that the file names
later, so neither an unusable file nor a part of one may take them away.
"""

from __future__ import annotations

import pytest
from coltsfootshift_platform.settings import (
    PlatformSettingsFile,
    load_platform_settings,
    make_node_settings,
)
from platform_standins import make_settings, write_settings

from coltsfootshift.errors import SettingsError
from coltsfootshift.gateway.settings_reload import NodeSettings, SettingsReloader, SettingsSource
from coltsfootshift.settings import Address

OLD, NEW = Address("10.1.0.1", 8000), Address("10.1.0.4", 8000)
INVALID = SettingsError("invalid")
MISSING = SettingsError("missing")


class Source(SettingsSource):
    """Has one content after the other: seeds, an error of the file, or one of its content."""

    def __init__(self, contents):
        self.contents = list(contents)
        self.parsed = 0
        self._meanings = {}

    def read(self):
        content = self.contents.pop(0)
        if content is MISSING:
            raise content
        data = repr(content).encode()
        self._meanings[data] = content
        return data

    def parse(self, content):
        self.parsed += 1
        meaning = self._meanings[content]
        if meaning is INVALID:
            raise meaning
        return NodeSettings(tuple(meaning), {})


@pytest.mark.parametrize(
    ("contents", "changes"),
    [
        ([[OLD], [OLD]], [None, None]),
        ([[NEW], [NEW]], [(NEW,), None]),
        ([[OLD, NEW], [NEW]], [(OLD, NEW), (NEW,)]),
        ([[OLD], INVALID, INVALID, [NEW]], [None, None, None, (NEW,)]),
        ([INVALID, [OLD], INVALID, [NEW], [OLD]], [None, None, None, (NEW,), (OLD,)]),
        ([MISSING, MISSING, [NEW], MISSING, [NEW]], [None, None, (NEW,), None, None]),
        ([[], [], [NEW], []], [None, None, (NEW,), None]),
    ],
)
def test_seeds_change_with_the_file_and_are_kept_while_it_is_unusable(contents, changes):
    reloader = SettingsReloader(Source(contents), NodeSettings((OLD,), {}))
    assert [reloader.check() for _ in contents] == changes


@pytest.mark.parametrize(
    ("contents", "problems"),
    [
        ([INVALID, INVALID, [OLD]], ["invalid", "invalid", ""]),
        ([MISSING, [OLD], [OLD], MISSING], ["missing", "", "", "missing"]),
        ([INVALID, MISSING, INVALID], ["invalid", "missing", "invalid"]),
        ([[], [OLD]], ["seeds: none are named", ""]),
    ],
)
def test_problem_of_the_file_is_kept_until_it_is_usable(contents, problems):
    reloader = SettingsReloader(Source(contents), NodeSettings((OLD,), {}))
    seen = []
    for _ in contents:
        reloader.check()
        seen.append(reloader.problem)
    assert seen == problems


@pytest.mark.parametrize(
    ("contents", "reported"),
    [
        ([INVALID, [OLD], INVALID, [OLD]], []),
        ([INVALID, INVALID, INVALID, INVALID], ["invalid"]),
        ([MISSING, MISSING, MISSING], ["missing"]),
        ([INVALID, INVALID, [OLD], INVALID, INVALID], ["invalid", "invalid"]),
        ([INVALID, INVALID, MISSING, MISSING, INVALID, INVALID], ["invalid", "missing", "invalid"]),
        ([INVALID, MISSING, INVALID, [OLD]], []),
        ([[OLD], [OLD], [], []], ["seeds: none are named"]),
    ],
)
def test_problem_that_lasts_is_reported_once(caplog, contents, reported):
    """A file that is being written is incomplete for a moment, which is no fault."""
    reloader = SettingsReloader(Source(contents), NodeSettings((OLD,), {}))
    for _ in contents:
        reloader.check()
    assert [row.cause for row in caplog.records if row.levelname == "ERROR"] == reported


@pytest.mark.parametrize(
    ("contents", "reported"),
    [
        ([INVALID, [OLD]], []),
        ([INVALID, INVALID], ["invalid"]),
        ([INVALID, INVALID, INVALID], ["invalid", "invalid"]),
        ([[OLD], INVALID, [OLD], MISSING], []),
    ],
)
def test_problem_that_outlasts_a_request_is_reported(caplog, contents, reported):
    """A change that follows a signalled one at once may be half written when the signal is handled.

    Requests and checks alternate, a request first.
    """
    reloader = SettingsReloader(Source(contents), NodeSettings((OLD,), {}))
    for number, _ in enumerate(contents):
        reloader.check() if number % 2 else reloader.reload()
    assert [row.cause for row in caplog.records if row.levelname == "ERROR"] == reported


def test_unchanged_content_is_not_parsed_again():
    source = Source([[OLD]] * 9 + [INVALID] * 9)
    reloader = SettingsReloader(source, NodeSettings((OLD,), {}))
    for _ in range(18):
        reloader.check()
    assert source.parsed == 2


@pytest.mark.parametrize("contents", [[MISSING, [NEW]], [INVALID, [NEW]], [[NEW], [NEW]]])
def test_reload_on_request_returns_the_seeds_in_force(contents):
    reloader = SettingsReloader(Source(contents), NodeSettings((OLD,), {}))
    seeds = [reloader.reload() for _ in contents]
    assert seeds == [(NEW,) if contents[0] == [NEW] else (OLD,), (NEW,)]


def write_entry_settings(folder, seeds, **fields):
    settings = make_settings("entry-1", "10.2.0.1:1", [81, 82, 83, 84, 90, 99], seeds, **fields)
    return write_settings(folder / "entry.toml", settings)


def test_no_part_of_a_file_that_is_being_written_changes_seeds_to_others(tmp_path):
    """Whatever prefix of the new file is there when it is read, its seeds or the old ones hold."""
    path = write_entry_settings(tmp_path, ["10.1.0.1:8000"])
    in_force = make_node_settings(load_platform_settings(path))
    text = write_entry_settings(tmp_path, ["10.1.0.4:8000", "10.1.0.5:8000"]).read_bytes()
    for size in range(len(text) + 1):
        path.write_bytes(text[:size])
        seeds = SettingsReloader(PlatformSettingsFile(path), in_force).check()
        assert seeds in (None, (NEW, Address("10.1.0.5", 8000)))
    assert seeds is not None


@pytest.mark.parametrize(
    ("fields", "names"),
    [
        ({}, []),
        ({"unknown": 7}, []),
        ({"platform": {"address": "10.2.0.2:1"}}, ["platform.address"]),
        ({"zones": {"a": "south"}, "zone": "b"}, ["zone", "zones"]),
    ],
)
def test_change_that_needs_a_restart_is_reported_once(tmp_path, caplog, fields, names):
    path = write_entry_settings(tmp_path, ["10.1.0.1:8000"])
    in_force = make_node_settings(load_platform_settings(path))
    reloader = SettingsReloader(PlatformSettingsFile(path), in_force)
    for seeds in (["10.1.0.4:8000"], ["10.1.0.5:8000"]):
        write_entry_settings(tmp_path, seeds, **fields)
        assert reloader.check() is not None
    rows = [r.settings for r in caplog.records if r.message == "settings differ until a restart"]
    assert rows == ([names] if names else [])
