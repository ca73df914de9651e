"""Accepts or refuses chunk requests and schedules uploads at the rate of the link."""

from __future__ import annotations

from dataclasses import dataclass

from coltsfootshift.controllers.chunk_availability import Neighbour
from coltsfootshift.controllers.chunks import ChunkRequested, RefuseChunk, SendChunk
from coltsfootshift.controllers.pacing import Pacer
from coltsfootshift.ids import InstanceId

__all__ = ["UploadQueue"]

# With a longer queue some instances have many requests waiting while the links of others are idle.
MAX_UPLOADS = 3
MAX_UPLOADS_PER_NEIGHBOUR = 3


@dataclass(frozen=True, slots=True)
class _Upload:
    request: ChunkRequested
    urgent: bool
    chunk_bytes: int


class UploadQueue:
    """Schedules chunk uploads one after the other, limited in total and per neighbour.

    Load pattern: all instances fetch a version at once, and its upload bandwidth is about what they
    need together. If each had an equal share of every sender, all would be complete at the same
    time, and their engines would load at the same time. The requests of the instances that load
    first are urgent, and so is one that takes a chunk into another region, where all wait for it.
    They are answered first. When the queue is full they take the place of another one, which is
    refused, so that the other instance asks elsewhere.
    """

    def __init__(self) -> None:
        self.pacer = Pacer()
        self._waiting: list[_Upload] = []
        self._sending = False

    def answer(
        self,
        request: ChunkRequested,
        held: bool,
        urgent: bool,
        chunk_bytes: int,
        neighbours: dict[InstanceId, Neighbour],
        now: float,
    ) -> list[SendChunk | RefuseChunk]:
        """Queue the requested chunk, or refuse it so that the neighbour requests it elsewhere."""
        neighbour = neighbours[request.peer]
        upload = _Upload(request, urgent, chunk_bytes)
        if not held or neighbour.uploads >= MAX_UPLOADS_PER_NEIGHBOUR:
            return [_refuse(request)]
        actions: list[SendChunk | RefuseChunk] = []
        if len(self._waiting) + self._sending >= MAX_UPLOADS:
            displaced = self._find_displaced(upload)
            if displaced is None:
                return [_refuse(request)]
            self._waiting.remove(displaced)
            self._release(displaced.request.peer, neighbours)
            actions.append(_refuse(displaced.request))
        neighbour.uploads += 1
        self._waiting.append(upload)
        return actions + self._send_next(now)

    def end_upload(
        self, peer: InstanceId, neighbours: dict[InstanceId, Neighbour], now: float
    ) -> list[SendChunk | RefuseChunk]:
        """Record that the current upload has ended, and begin the next one."""
        self._sending = False
        self._release(peer, neighbours)
        return self._send_next(now)

    def remove_neighbour(self, peer: InstanceId) -> None:
        """Drop what waits for a neighbour that has disconnected."""
        self._waiting = [upload for upload in self._waiting if upload.request.peer != peer]

    def _find_displaced(self, upload: _Upload) -> _Upload | None:
        """Return the latest waiting upload that is less urgent, or None."""
        for waiting in reversed(self._waiting):
            if upload.urgent and not waiting.urgent:
                return waiting
        return None

    def _send_next(self, now: float) -> list[SendChunk | RefuseChunk]:
        if self._sending or not self._waiting:
            return []
        upload = next((item for item in self._waiting if item.urgent), self._waiting[0])
        self._waiting.remove(upload)
        self._sending = True
        delay = self.pacer.reserve(upload.chunk_bytes, now) - now
        request = upload.request
        return [SendChunk(request.peer, request.digest, request.index, delay)]

    def _release(self, peer: InstanceId, neighbours: dict[InstanceId, Neighbour]) -> None:
        neighbour = neighbours.get(peer)
        if neighbour is not None:
            neighbour.uploads = max(0, neighbour.uploads - 1)


def _refuse(request: ChunkRequested) -> RefuseChunk:
    return RefuseChunk(request.peer, request.digest, request.index)
