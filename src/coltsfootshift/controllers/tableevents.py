"""Events and actions of the controller that follows a platform table."""

from __future__ import annotations

from dataclasses import dataclass

from coltsfootshift.controllers.base import Action, Event
from coltsfootshift.ids import InstanceId
from coltsfootshift.messages import Difference, VersionedRecord

__all__ = [
    "ApplyRecords",
    "RequestDifference",
    "DifferenceRequested",
    "PeerDisconnected",
    "RevisionReceived",
    "StateReceived",
    "DifferenceReceived",
    "PeerCountChanged",
    "PlatformFailed",
    "PlatformAnswered",
    "ProcessResumed",
    "WatchRankChanged",
    "RefusePeer",
    "SendDifference",
    "SendNotice",
    "SendStates",
    "StatesSent",
    "TableAction",
    "TableStarted",
    "TableTick",
    "WatchPlatform",
]


@dataclass(frozen=True, slots=True)
class PlatformAnswered(Event):
    """The platform answered the read or watch of this number."""

    difference: Difference
    number: int


@dataclass(frozen=True, slots=True)
class PlatformFailed(Event):
    """The read or watch of this number at the platform failed."""

    number: int


@dataclass(frozen=True, slots=True)
class RevisionReceived(Event):
    """A peer named the revision that it holds."""

    peer: InstanceId
    revision: int


@dataclass(frozen=True, slots=True)
class StateReceived(Event):
    """A peer told the state of its table, and whether what it holds has settled."""

    peer: InstanceId
    revision: int
    settled: bool


@dataclass(frozen=True, slots=True)
class PeerDisconnected(Event):
    """The stream to a peer is gone."""

    peer: InstanceId


@dataclass(frozen=True, slots=True)
class DifferenceRequested(Event):
    """A peer whose table has this floor asked for the records above a revision."""

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
    """This process's rank among the watchers of its region; None where it is not listed."""

    rank: int | None


@dataclass(frozen=True, slots=True)
class PeerCountChanged(Event):
    """How many peers this process dials, once the instance list is known."""

    count: int


@dataclass(frozen=True, slots=True)
class TableStarted(Event):
    """The process has started: when to read the platform unless peers have brought the table.

    `delay` is drawn from `spread`, both in seconds; a read in vain is repeated after `spread`.
    """

    delay: float
    spread: float


@dataclass(frozen=True, slots=True)
class StatesSent(Event):
    """The states of all tables were sent to all peers."""


@dataclass(frozen=True, slots=True)
class ProcessResumed(Event):
    """The process was paused for so long that what it knew of others may be wrong."""


@dataclass(frozen=True, slots=True)
class TableTick(Event):
    """Time has passed."""


class TableAction(Action):
    """Base class of the actions of a `TableController`."""

    __slots__ = ()


@dataclass(frozen=True, slots=True)
class ApplyRecords(TableAction):
    """These records came into the table; `source` names where from."""

    records: list[VersionedRecord]
    source: str


@dataclass(frozen=True, slots=True)
class RequestDifference(TableAction):
    """Ask a peer for the records above a revision; `floor` is that of the table here."""

    peer: InstanceId
    after: int
    floor: int


@dataclass(frozen=True, slots=True)
class SendNotice(TableAction):
    """Tell a peer the revision held here."""

    peer: InstanceId
    revision: int


@dataclass(frozen=True, slots=True)
class SendDifference(TableAction):
    """Send a peer the difference that it asked for."""

    peer: InstanceId
    difference: Difference


@dataclass(frozen=True, slots=True)
class WatchPlatform(TableAction):
    """Wait at the platform for records above a revision, after a delay in seconds."""

    after: int
    delay: float
    number: int


@dataclass(frozen=True, slots=True)
class SendStates(TableAction):
    """Send the states of all tables to all peers."""


@dataclass(frozen=True, slots=True)
class RefusePeer(TableAction):
    """Drop the stream of a peer that broke the protocol."""

    peer: InstanceId
    reason: str
