"""In-memory chunks of one version, split into parts for transfer between agents."""

from __future__ import annotations

import hashlib
from collections import deque
from collections.abc import Callable
from math import inf
from typing import Any

from coltsfootshift.controllers.chunks import SendChunk
from coltsfootshift.controllers.delay_window import STALL_SECONDS, DelayWindow
from coltsfootshift.ids import Digest, InstanceId
from coltsfootshift.messages import ChunkPart, ChunkRefused, Message

__all__ = ["ChunkTransfers"]

# Chunks that wait for the windows of their receivers; the next upload begins when there are fewer.
MAX_WAITING_CHUNKS = 3


RECENT_SECONDS = 0.5  # the age up to which a neighbour's delay tells of this agent's own link


class _Receiver:
    """A neighbour that receives chunks: those that wait, in order, its window and its delay."""

    def __init__(self) -> None:
        self.window = DelayWindow()
        self.delay = 0.0
        self.heard_at = -inf
        self.waiting: deque[_Sending] = deque()
        self.timer: Any = None


class _Sending:
    """A chunk on its way: `offset` bytes have been sent, `allowed` may be sent by now."""

    def __init__(self, action: SendChunk) -> None:
        self.action = action
        self.offset = 0
        self.allowed = 0


class ChunkTransfers:
    """Stores the chunks of one version and transfers them in parts.

    Parts are paced at `rate` bytes per second, so that responses to callers can be sent between
    them. What is on its way to each neighbour is bounded by the delay that it causes: the links
    may be narrower than configured. If two neighbours in turn tell of a delay, this agent's own
    link is taken to be narrow, and what is on its way to all of them is bounded together.

    `send` sends a message to an agent. `record_sent` is called with the agent and True once a
    chunk has been sent, or waits for its receiver with few others, or False if it was refused
    because it is no longer stored.
    """

    def __init__(
        self,
        reactor: Any,
        rate: float,
        send: Callable[[InstanceId, Message], None],
        record_sent: Callable[[InstanceId, bool], None],
    ) -> None:
        self.rate = rate
        self._reactor = reactor
        self._send = send
        self._record_sent = record_sent
        self._label = Digest("")
        self._chunks: dict[int, bytes] = {}
        self._former: tuple[Digest, dict[int, bytes]] = (Digest(""), {})
        self._parts: dict[tuple[InstanceId, int], bytearray] = {}
        self._receivers: dict[InstanceId, _Receiver] = {}
        self._uplink = DelayWindow()
        self._unrecorded: list[InstanceId] = []

    def __repr__(self) -> str:
        return f"ChunkTransfers(label={self._label!r}, held={len(self._chunks)})"

    def start_version(self, label: Digest) -> None:
        """Start to store the chunks of another version; those of the one before are still sent."""
        if label == self._label:
            return
        self._former = (self._label, self._chunks)
        self._label = label
        self._chunks = {}

    def get_chunk(self, index: int) -> bytes:
        """Return a stored chunk; raises `KeyError` if it is missing."""
        return self._chunks[index]

    def store(self, index: int, data: bytes) -> None:
        """Store a chunk whose digest has been verified."""
        self._chunks[index] = data

    def list_matching(self, matches: Callable[[int, bytes], bool]) -> set[int]:
        """Return the indexes of the stored chunks for which `matches(index, SHA-256)` is true."""
        held = set()
        for index, data in self._chunks.items():
            if matches(index, hashlib.sha256(data).digest()):
                held.add(index)
        return held

    def remove_peer(self, peer: InstanceId) -> None:
        """Drop what is on its way from and to an agent whose stream has closed."""
        for key in [key for key in self._parts if key[0] == peer]:
            del self._parts[key]
        receiver = self._receivers.pop(peer, None)
        if receiver is not None:
            self._uplink.record_lost(receiver.window.in_flight)
            if receiver.timer is not None:
                receiver.timer.cancel()
        self._send_waiting()

    def schedule_send(self, action: SendChunk, chunk_bytes: int) -> None:
        """Schedule a chunk such that its last part is due by the end of the action's delay."""
        begin = max(0.0, action.delay - chunk_bytes / self.rate)
        begins_at = self._reactor.seconds() + begin
        self._reactor.callLater(begin, self._begin, action, begins_at)

    def receive_part(self, peer: InstanceId, message: ChunkPart) -> bytes | None:
        """Add a part; return the whole chunk if it was the last part, otherwise None.

        The parts of a chunk arrive in order, as they are sent on one stream.
        """
        parts = self._parts.setdefault((peer, message.index), bytearray())
        if message.offset == 0:
            parts.clear()
        if message.offset == len(parts):
            parts.extend(message.data)
        if message.offset + len(message.data) < message.total:
            return None
        del self._parts[peer, message.index]
        return bytes(parts)

    def record_received(self, peer: InstanceId, size: int, delay: float) -> None:
        """Record that an agent has received a part that waited `delay` seconds on its way."""
        receiver = self._receivers.get(peer)
        if receiver is None:
            return
        now = self._reactor.seconds()
        receiver.delay, receiver.heard_at = delay, now
        receiver.window.record_received(size, delay, now)
        self._uplink.record_received(size, self._find_uplink_delay(now), now)
        self._send_waiting()

    def _find_uplink_delay(self, now: float) -> float:
        """Return the delay that the two neighbours heard last have in common, 0 if there is one."""
        recent = sorted(self._receivers.values(), key=lambda receiver: -receiver.heard_at)[:2]
        if len(recent) < 2 or now - recent[1].heard_at > RECENT_SECONDS:
            return 0.0
        return min(receiver.delay for receiver in recent)

    def _send_waiting(self) -> None:
        """Send to all neighbours in turn what the windows allow."""
        for peer, receiver in list(self._receivers.items()):
            self._send_parts(peer, receiver)
        self._record_waiting()

    def _begin(self, action: SendChunk, begins_at: float) -> None:
        receiver = self._receivers.setdefault(action.peer, _Receiver())
        sending = _Sending(action)
        receiver.waiting.append(sending)
        self._allow(receiver, sending, begins_at)

    def _allow(self, receiver: _Receiver, sending: _Sending, begins_at: float) -> None:
        """Let the next part be sent, and the others at the rate of the link."""
        peer = sending.action.peer
        data = self._find_data(sending)
        if self._receivers.get(peer) is not receiver or data is None:
            if sending in receiver.waiting:
                receiver.waiting.remove(sending)
                self._send(peer, ChunkRefused(sending.action.digest, sending.action.index))
            self._record_sent(peer, False)
            return
        sending.allowed = min(len(data), sending.allowed + receiver.window.choose_part_bytes())
        self._send_parts(peer, receiver)
        if sending.allowed < len(data):
            # Timers fire late; times counted from the start keep that from adding up.
            delay = max(0.0, begins_at + sending.allowed / self.rate - self._reactor.seconds())
            self._reactor.callLater(delay, self._allow, receiver, sending, begins_at)
            return
        self._unrecorded.append(peer)
        self._record_waiting()

    def _send_parts(self, peer: InstanceId, receiver: _Receiver) -> None:
        """Send the parts that are allowed and fit into the window."""
        while receiver.waiting:
            sending = receiver.waiting[0]
            data = self._find_data(sending)
            if data is None:
                receiver.waiting.popleft()
                self._send(peer, ChunkRefused(sending.action.digest, sending.action.index))
                continue
            size = self._choose_size(receiver, sending)
            if size == 0:
                break
            self._send_part(peer, receiver, sending, data, size)
            if sending.offset == len(data):
                receiver.waiting.popleft()
        if receiver.window.in_flight and receiver.timer is None:
            self._watch(peer, receiver)

    def _watch(self, peer: InstanceId, receiver: _Receiver) -> None:
        receiver.timer = self._reactor.callLater(STALL_SECONDS, self._check_stall, peer, receiver)

    def _choose_size(self, receiver: _Receiver, sending: _Sending) -> int:
        """Return how many bytes may be sent now, 0 for none."""
        size = min(
            receiver.window.choose_part_bytes(),
            self._uplink.choose_part_bytes(),
            sending.allowed - sending.offset,
        )
        if not receiver.window.may_send(size) or not self._uplink.may_send(size):
            return 0
        return size

    def _send_part(
        self, peer: InstanceId, receiver: _Receiver, sending: _Sending, data: bytes, size: int
    ) -> None:
        part = data[sending.offset : sending.offset + size]
        now = self._reactor.seconds()
        action = sending.action
        self._send(
            peer, ChunkPart(action.digest, action.index, sending.offset, len(data), part, now)
        )
        receiver.window.record_sent(size, now)
        self._uplink.record_sent(size, now)
        sending.offset += size

    def _check_stall(self, peer: InstanceId, receiver: _Receiver) -> None:
        receiver.timer = None
        in_flight = receiver.window.in_flight
        if receiver.window.check_stall(self._reactor.seconds()):
            self._uplink.record_lost(in_flight)
        self._send_waiting()

    def _find_data(self, sending: _Sending) -> bytes | None:
        for label, chunks in ((self._label, self._chunks), self._former):
            if sending.action.digest == label:
                return chunks.get(sending.action.index)
        return None

    def _record_waiting(self) -> None:
        """Let the next upload begin unless too many chunks wait for their receivers."""
        waiting = sum(len(receiver.waiting) for receiver in self._receivers.values())
        while self._unrecorded and waiting < MAX_WAITING_CHUNKS:
            self._record_sent(self._unrecorded.pop(0), True)
