"""Which asked chunks are sent, and when the link has room for them."""

from __future__ import annotations

from coltsfootshift.controllers.chunk_availability import Neighbour
from coltsfootshift.controllers.chunks import ChunkRequested, RefuseChunk, SendChunk
from coltsfootshift.controllers.pacing import Pacer
from coltsfootshift.ids import InstanceId

__all__ = ["UploadQueue"]

UPLOADS_AT_ONCE = 10
UPLOADS_PER_NEIGHBOUR = 3


class UploadQueue:
    """Queues chunks on the upload link; few in all, and few for each neighbour."""

    def __init__(self) -> None:
        self.pacer = Pacer()

    def answer(
        self,
        asked: ChunkRequested,
        held: bool,
        chunk_bytes: int,
        neighbours: dict[InstanceId, Neighbour],
        now: float,
    ) -> SendChunk | RefuseChunk:
        """Queue the chunk, or refuse it so that the neighbour asks elsewhere."""
        neighbour = neighbours[asked.peer]
        uploads = sum(item.uploads for item in neighbours.values())
        busy = uploads >= UPLOADS_AT_ONCE or neighbour.uploads >= UPLOADS_PER_NEIGHBOUR
        if not held or busy:
            return RefuseChunk(asked.peer, asked.digest, asked.index)
        neighbour.uploads += 1
        delay = self.pacer.reserve(chunk_bytes, now) - now
        return SendChunk(asked.peer, asked.digest, asked.index, delay)
