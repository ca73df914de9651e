"""Events and actions of `TableController`."""

from __future__ import annotations

from dataclasses import dataclass

from coltsfootshift.controllers.base import Action, Event
from coltsfootshift.ids import InstanceId
from coltsfootshift.messages import Difference, VersionedRecord

__all__ = [
    "ApplyRecords",
    "DifferenceReceived",
    "DifferenceRequested",
    "PeerCountChanged",
    "PeerDisconnected",
    "PlatformAnswered",
    "PlatformFailed",
    "ProcessResumed",
    "RefusePeer",
    "RequestDifference",
    "RevisionReceived",
    "SendDifference",
    "SendNotice",
    "SendStates",
    "StateReceived",
    "StatesSent",
    "TableAction",
    "TableStarted",
    "TableTick",
    "WatchPlatform",
    "WatchRankChanged",
]


@dataclass(frozen=True, slots=True)
class PlatformAnswered(Event):
    """The platform answered the read or watch with this number."""

    difference: Difference
    number: int


@dataclass(frozen=True, slots=True)
class PlatformFailed(Event):
    """The read or watch with this number failed."""

    number: int


@dataclass(frozen=True, slots=True)
class RevisionReceived(Event):
    """A peer sent its current revision."""

    peer: InstanceId
    revision: int


@dataclass(frozen=True, slots=True)
class StateReceived(Event):
    """A peer sent the state of its table; `settled` means that its records are in force."""

    peer: InstanceId
    revision: int
    settled: bool


@dataclass(frozen=True, slots=True)
class PeerDisconnected(Event):
    """The stream to a peer has closed."""

    peer: InstanceId


@dataclass(frozen=True, slots=True)
class DifferenceRequested(Event):
    """A peer requested the records after a revision; `floor` is that of its table."""

    peer: InstanceId
    after: int
    floor: int


@dataclass(frozen=True, slots=True)
class DifferenceReceived(Event):
    """A peer sent a difference."""

    peer: InstanceId
    difference: Difference


@dataclass(frozen=True, slots=True)
class WatchRankChanged(Event):
    """The rank of this process among its region's watchers; None if it is not listed."""

    rank: int | None


@dataclass(frozen=True, slots=True)
class PeerCountChanged(Event):
    """The number of peers that this process dials, once the instance list is known."""

    count: int


@dataclass(frozen=True, slots=True)
class TableStarted(Event):
    """The process has started.

    It reads the platform after `delay` seconds unless peers have sent the table before. The delay
    is random, at most `interval` seconds; a read without result is repeated after `interval`.
    """

    delay: float
    interval: float


@dataclass(frozen=True, slots=True)
class StatesSent(Event):
    """The states of all tables were sent to all peers."""


@dataclass(frozen=True, slots=True)
class ProcessResumed(Event):
    """The process was paused so long that what it received from others may be outdated."""


@dataclass(frozen=True, slots=True)
class TableTick(Event):
    """Periodic tick."""


class TableAction(Action):
    """Base class of the actions of a `TableController`."""

    __slots__ = ()


@dataclass(frozen=True, slots=True)
class ApplyRecords(TableAction):
    """Put new records of the table in force; `source` names their origin."""

    records: list[VersionedRecord]
    source: str


@dataclass(frozen=True, slots=True)
class RequestDifference(TableAction):
    """Request the records after a revision from a peer; `floor` is that of the local table."""

    peer: InstanceId
    after: int
    floor: int


@dataclass(frozen=True, slots=True)
class SendNotice(TableAction):
    """Send the local revision to a peer."""

    peer: InstanceId
    revision: int


@dataclass(frozen=True, slots=True)
class SendDifference(TableAction):
    """Send the requested difference to a peer."""

    peer: InstanceId
    difference: Difference


@dataclass(frozen=True, slots=True)
class WatchPlatform(TableAction):
    """Watch the platform for records after a revision, starting after `delay` seconds."""

    after: int
    delay: float
    number: int


@dataclass(frozen=True, slots=True)
class SendStates(TableAction):
    """Send the states of all tables to all peers."""


@dataclass(frozen=True, slots=True)
class RefusePeer(TableAction):
    """Close the stream to a peer that violated the protocol."""

    peer: InstanceId
    reason: str
