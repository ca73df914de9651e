"""The open streams of a process, with detection of duplicate streams between two processes."""

from __future__ import annotations

from typing import Generic, Protocol, TypeVar

from coltsfootshift.ids import Incarnation, InstanceId, Purpose
from coltsfootshift.messages import Hello

__all__ = ["StreamRegistry"]

MAX_OVERDUE_HEARTBEATS = 1.5


class _Stream(Protocol):
    """The attributes of a stream that the registry uses."""

    purpose: Purpose | None
    dialled: bool

    @property
    def peer_id(self) -> InstanceId: ...

    @property
    def peer_incarnation(self) -> Incarnation: ...

    @property
    def overdue_seconds(self) -> float: ...


_StreamT = TypeVar("_StreamT", bound=_Stream)


class StreamRegistry(Generic[_StreamT]):
    """Open streams by purpose and peer.

    Two processes may dial each other at the same time. Both ends then keep the stream that was
    dialled by the lower instance ID, unless nothing has arrived on it recently.
    """

    def __init__(self) -> None:
        self._streams: dict[tuple[Purpose | None, InstanceId], list[_StreamT]] = {}

    def __len__(self) -> int:
        return sum(len(streams) for streams in self._streams.values())

    def add(self, stream: _StreamT) -> None:
        """Add a stream that has opened."""
        self._streams.setdefault((stream.purpose, stream.peer_id), []).append(stream)

    def remove(self, stream: _StreamT) -> None:
        """Remove a closed stream; does nothing if it was never added."""
        key = (stream.purpose, stream.peer_id)
        streams = self._streams.get(key, [])
        if stream not in streams:
            return
        streams.remove(stream)
        if not streams:
            del self._streams[key]

    def list_open(self) -> list[_StreamT]:
        """Return all open streams."""
        return [stream for streams in self._streams.values() for stream in streams]

    def is_redundant(self, stream: _StreamT, own_hello: Hello, heartbeat: float) -> bool:
        """Return whether a stream that is about to open duplicates a responsive one.

        `own_hello` is the `Hello` of this process, `heartbeat` the heartbeat interval in seconds.
        """
        if _is_preferred(stream.dialled, own_hello.instance, stream.peer_id):
            return False
        for other in self._list_responsive(stream.purpose, stream.peer_id, heartbeat):
            same = other.peer_incarnation == stream.peer_incarnation
            if same and other.dialled != stream.dialled:
                return True
        return False

    def list_redundant(self, stream: _StreamT, own_hello: Hello) -> list[_StreamT]:
        """Return the streams that a newly opened stream makes redundant."""
        if not _is_preferred(stream.dialled, own_hello.instance, stream.peer_id):
            return []
        streams = self._streams.get((stream.purpose, stream.peer_id), [])
        return [other for other in streams if other.dialled != stream.dialled]

    def has_accepted(
        self, purpose: Purpose, peer: InstanceId, own_instance: InstanceId, heartbeat: float
    ) -> bool:
        """Return whether a stream accepted from the peer makes dialling it unnecessary."""
        if _is_preferred(True, own_instance, peer):
            return False
        streams = self._list_responsive(purpose, peer, heartbeat)
        return any(not stream.dialled for stream in streams)

    def _list_responsive(
        self, purpose: Purpose | None, peer: InstanceId, heartbeat: float
    ) -> list[_StreamT]:
        streams = self._streams.get((purpose, peer), [])
        max_overdue = heartbeat * MAX_OVERDUE_HEARTBEATS
        return [stream for stream in streams if stream.overdue_seconds <= max_overdue]


def _is_preferred(dialled: bool, own_instance: str, peer_instance: str) -> bool:
    """Return whether the lower of the two instance IDs has dialled the stream."""
    return (own_instance < peer_instance) == dialled
