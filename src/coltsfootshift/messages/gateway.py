"""Messages of the gateway: lists of entries, and cached copies of the platform's tables."""

from __future__ import annotations

from typing import Literal

import msgspec

from coltsfootshift.messages.base import Age, Message, Name, Port, WholeNumber

__all__ = [
    "ChunkDigests",
    "ColdReport",
    "ColdRow",
    "CrashRow",
    "EndpointLimitReport",
    "EndpointLimitRow",
    "EngineNotice",
    "EntryRow",
    "HeldValue",
    "OperatorVersion",
    "PublishedVersion",
    "SuspicionReport",
    "SuspicionRow",
    "TableChangesRequest",
    "TableItem",
    "TableRevision",
    "TableRevisions",
    "TableChanges",
    "EntryList",
    "WarmReport",
]


TableName = Literal["operator", "endpoints"]


class EntryRow(msgspec.Struct, frozen=True, array_like=True):
    """State of an entry as it announces itself; `sequence` rises with each change and start.

    `store_ms` is the shortest time in which the store has answered it, in milliseconds; None if
    the store does not answer it, or has not yet. `settled_count` is the number of live entries that
    it knows, itself included, once it knows all of them; 0 until then, and in rows of earlier
    builds.
    """

    instance: Name
    sequence: WholeNumber
    host: Name
    peer_port: Port
    caller_port: Port
    region: str
    failure_domain: str
    ready: bool
    leaving: bool
    store_ms: Age | None = None
    settled_count: WholeNumber = 0


class EntryList(Message, frozen=True, array_like=True, tag="g-roster"):
    """Entries that the sender knows of, including itself.

    `ages_ms` are for how many milliseconds the sender has not heard from the entry of each row; a
    row without an age is new.
    """

    rows: list[EntryRow]
    ages_ms: list[WholeNumber] = []


class OperatorVersion(msgspec.Struct, frozen=True, array_like=True):
    """The version that the operator gave to the sender's item with this key."""

    key: Name
    version: WholeNumber


class TableRevision(msgspec.Struct, frozen=True, array_like=True):
    """The sender's revision of a table in an era of the store; it was confirmed `age` seconds ago.

    `versions` lists the operator's items, which may be newer than in a store that has come back
    from an older copy of itself. `content` is a digest of the keys and positions of all items; a
    receiver with the same ones lacks nothing, whatever its revision.
    """

    table: TableName
    revision: WholeNumber
    age: Age
    era: WholeNumber = 0
    versions: list[OperatorVersion] = []
    content: bytes = b""


class PublishedVersion(msgspec.Struct, frozen=True, array_like=True):
    """A version of a model that the sender has known for `age` seconds.

    `observed` is set if the sender followed the store when the version was published, so that
    `age` is about the time since then; otherwise it may be shorter. `unpublished_age` is for how
    many seconds the sender has not known it to be unpublished; infinite if it never has, None in
    messages of earlier builds.
    """

    model: Name
    version: WholeNumber
    age: Age
    observed: bool = True
    unpublished_age: Age | None = None


class TableRevisions(Message, frozen=True, array_like=True, tag="g-state"):
    """The sender's revisions of all tables; `sent_at` is its monotonic clock in seconds.

    `published` lists the versions that were published recently.
    """

    rows: list[TableRevision]
    sent_at: float
    published: list[PublishedVersion] = []


class HeldValue(msgspec.Struct, frozen=True, array_like=True):
    """The digest of the value that the sender has under a key."""

    key: Name
    digest: bytes


class TableChangesRequest(Message, frozen=True, array_like=True, tag="g-ask"):
    """Requests the changes of a table after a revision of an era.

    `held` tells which values the sender has, from which differences may be made; None if it reads
    neither differences nor compressed values, as earlier builds do.
    """

    table: TableName
    after: WholeNumber
    era: WholeNumber = 0
    held: list[HeldValue] | None = None


class TableItem(msgspec.Struct, frozen=True, array_like=True):
    """One item of a table, unchanged from the store as it was in `era`.

    `encoding` tells how `value` is sent (`gateway/item_values.py`): as it is, compressed, or as a
    difference to the value with the digest `base`. `digest` is that of the decoded value.
    """

    key: Name
    revision: WholeNumber
    value: bytes
    era: WholeNumber = 0
    encoding: Literal["", "zlib", "difference"] = ""
    digest: bytes = b""
    base: bytes = b""


class TableChanges(Message, frozen=True, array_like=True, tag="g-told"):
    """Items changed after the requested revision, and all keys that the table now holds."""

    table: TableName
    revision: WholeNumber
    age: Age
    items: list[TableItem]
    keys: list[str]
    sent_at: float
    era: WholeNumber = 0


class EngineNotice(Message, frozen=True, array_like=True, tag="g-engine"):
    """What an engine serves, as reported by its agent; `version` is 0 if it serves none.

    `born` is the start time of the engine in Unix milliseconds, 0 if unknown.
    """

    host: Name
    port: Port
    born: WholeNumber
    model: str
    version: WholeNumber
    loading: bool
    sent_at: float


class CrashRow(msgspec.Struct, frozen=True, array_like=True):
    """The end of an endpoint `age` seconds ago, while a request with the digest `request` began."""

    endpoint: Name
    age: Age
    request: bytes


class SuspicionRow(msgspec.Struct, frozen=True, array_like=True):
    """The crashes that are held against one suspect.

    `survived_age` is for how many seconds a request with it has been known to run without a crash,
    None if there was none lately. `quarantined` is set if a process that has seen enough requests
    has decided that the suspect causes crashes.
    """

    suspect: Name
    repeats: bool
    crashes: list[CrashRow]
    survived_age: Age | None = None
    quarantined: bool = False


class SuspicionReport(Message, frozen=True, array_like=True, tag="g-suspect"):
    """What the sender knows of requests that may crash endpoints."""

    rows: list[SuspicionRow]
    sent_at: float


class EndpointLimitRow(msgspec.Struct, frozen=True, array_like=True):
    """What an endpoint has named `age` seconds ago: requests a second, None for no limit."""

    endpoint: Name
    rate: float | None
    age: Age


class EndpointLimitReport(Message, frozen=True, array_like=True, tag="g-limits"):
    """The limits that the sender has heard from endpoints."""

    rows: list[EndpointLimitRow]
    sent_at: float


class ColdRow(msgspec.Struct, frozen=True, array_like=True):
    """An incarnation of an endpoint that may be cold for so many seconds from now on."""

    endpoint: Name
    seconds: Age


class ColdReport(Message, frozen=True, array_like=True, tag="g-cold"):
    """The endpoints that the sender has found silent; they may come back cold."""

    rows: list[ColdRow]
    sent_at: float


class WarmReport(Message, frozen=True, array_like=True, tag="g-warm"):
    """The incarnations of endpoints that the sender knows to be warm."""

    endpoints: list[Name]
    sent_at: float


class ChunkDigests(Message, frozen=True, array_like=True, tag="g-digests"):
    """The SHA-256 digests of a version's chunks, in order, as obtained from the origin."""

    label: str
    digests: list[bytes]
