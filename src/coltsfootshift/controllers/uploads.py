"""Accepts or refuses chunk requests and schedules uploads at the rate of the link."""

from __future__ import annotations

from coltsfootshift.controllers.chunk_availability import Neighbour
from coltsfootshift.controllers.chunks import ChunkRequested, RefuseChunk, SendChunk
from coltsfootshift.controllers.pacing import Pacer
from coltsfootshift.ids import InstanceId

__all__ = ["UploadQueue"]

MAX_UPLOADS = 10
MAX_UPLOADS_PER_NEIGHBOUR = 3


class UploadQueue:
    """Schedules chunk uploads, limited in total and per neighbour."""

    def __init__(self) -> None:
        self.pacer = Pacer()

    def answer(
        self,
        request: ChunkRequested,
        held: bool,
        chunk_bytes: int,
        neighbours: dict[InstanceId, Neighbour],
        now: float,
    ) -> SendChunk | RefuseChunk:
        """Queue the requested chunk, or refuse it so that the neighbour requests it elsewhere."""
        neighbour = neighbours[request.peer]
        uploads = sum(item.uploads for item in neighbours.values())
        busy = uploads >= MAX_UPLOADS or neighbour.uploads >= MAX_UPLOADS_PER_NEIGHBOUR
        if not held or busy:
            return RefuseChunk(request.peer, request.digest, request.index)
        neighbour.uploads += 1
        delay = self.pacer.reserve(chunk_bytes, now) - now
        return SendChunk(request.peer, request.digest, request.index, delay)
