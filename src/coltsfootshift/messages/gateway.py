"""Messages of the gateway: which entries there are, what is known of the platform's tables."""

from __future__ import annotations

import msgspec

from coltsfootshift.messages.base import Message

__all__ = [
    "ChunkDigests",
    "EngineNotice",
    "EntryRow",
    "TableChangesRequest",
    "TableItem",
    "TableRevision",
    "TableRevisions",
    "TableChanges",
    "EntryList",
]


class EntryRow(msgspec.Struct, frozen=True, array_like=True):
    """What an entry says of itself; `sequence` rises with each change and each start."""

    instance: str
    sequence: int
    host: str
    peer_port: int
    caller_port: int
    region: str
    failure_domain: str
    ready: bool
    leaving: bool


class EntryList(Message, frozen=True, array_like=True, tag="g-roster"):
    """Entries that the sender has heard of, itself among them."""

    rows: list[EntryRow]


class TableRevision(msgspec.Struct, frozen=True, array_like=True):
    """The revision that the sender holds of a table, and the age of its confirmation (seconds)."""

    table: str
    revision: int
    age: float


class TableRevisions(Message, frozen=True, array_like=True, tag="g-state"):
    """What the sender knows of the tables; `sent_at` on the sender's monotonic clock."""

    rows: list[TableRevision]
    sent_at: float


class TableChangesRequest(Message, frozen=True, array_like=True, tag="g-ask"):
    """Asks for what has changed in a table after a revision."""

    table: str
    after: int


class TableItem(msgspec.Struct, frozen=True, array_like=True):
    """One item of a table as the store gave it."""

    key: str
    revision: int
    value: bytes


class TableChanges(Message, frozen=True, array_like=True, tag="g-told"):
    """Items changed after the revision asked for, and the keys of all that the table holds."""

    table: str
    revision: int
    age: float
    items: list[TableItem]
    keys: list[str]
    sent_at: float


class EngineNotice(Message, frozen=True, array_like=True, tag="g-engine"):
    """What an engine serves now, told by the agent beside it; no version where it serves none."""

    host: str
    port: int
    born: int
    model: str
    version: int
    loading: bool
    sent_at: float


class ChunkDigests(Message, frozen=True, array_like=True, tag="g-digests"):
    """The SHA-256 digests of a version's chunks, in order, as the origin gave them."""

    label: str
    digests: list[bytes]
