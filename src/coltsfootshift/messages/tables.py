"""Messages that distribute the platform's tables and the state of instances."""

from __future__ import annotations

from enum import Enum

import msgspec

from coltsfootshift.messages.base import Message

__all__ = [
    "Difference",
    "Fallbacks",
    "InstanceNotice",
    "InstanceNotices",
    "NoticedState",
    "PullFallbacks",
    "PullTable",
    "RevisionNotice",
    "TableState",
    "TableStates",
    "VersionedRecord",
]


class VersionedRecord(msgspec.Struct, frozen=True, array_like=True):
    """One key of a platform table at one revision.

    `value` is JSON text, or empty if the key was removed. `fallback` is the earlier text that
    stays in force while `value` is invalid, and empty otherwise.
    """

    key: str
    revision: int
    value: bytes
    fallback: bytes = b""


class RevisionNotice(Message, frozen=True, array_like=True, tag="rev"):
    """The sender has `table` up to `revision`."""

    table: str
    revision: int


class TableState(msgspec.Struct, frozen=True, array_like=True):
    """The revision of one table at a process."""

    table: str
    revision: int


class TableStates(Message, frozen=True, array_like=True, tag="states"):
    """The revisions of all tables, and the age of the sender's latest data from the platform.

    `settled` is true if the sender's catalogue is in force. `ages` holds one age in milliseconds
    per group of watchers, negative if unknown.
    """

    rows: list[TableState]
    settled: bool
    ages: list[int]


class PullFallbacks(Message, frozen=True, array_like=True, tag="pull-old"):
    """Requests the earlier texts of catalogue entries whose newest text is invalid."""

    keys: list[str]


class Fallbacks(Message, frozen=True, array_like=True, tag="old"):
    """Invalid catalogue records, each with the earlier text in force at the sender."""

    records: list[VersionedRecord]


class NoticedState(Enum):
    """State of an instance as seen by a process."""

    LIVE = "live"
    UNREACHABLE = "unreachable"
    LEAVING = "leaving"


class InstanceNotice(msgspec.Struct, frozen=True, array_like=True):
    """State of an instance; `number` rises with each notice from the instance itself."""

    instance: str
    number: int
    state: NoticedState


class InstanceNotices(Message, frozen=True, array_like=True, tag="seen"):
    """Notices about instances; the receiver forwards those that are new to it to all peers."""

    rows: list[InstanceNotice]


class PullTable(Message, frozen=True, array_like=True, tag="pull"):
    """Requests all records of `table` above revision `after`; `floor` is the sender's floor."""

    table: str
    after: int
    floor: int = 0


class Difference(Message, frozen=True, array_like=True, tag="diff"):
    """Records of `table` above `after` up to `revision`.

    A complete difference replaces the receiver's records up to `revision`, and `after` is then the
    sender's floor, above which it still has all tombstones.
    """

    table: str
    after: int
    revision: int
    complete: bool
    records: list[VersionedRecord]
