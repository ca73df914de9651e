"""Accepting and dialling streams between processes."""

from __future__ import annotations

from collections import OrderedDict
from random import Random
from typing import Any

from twisted.internet.protocol import ClientFactory, Factory
from twisted.python.failure import Failure

from coltsfootshift.handshake import Refusal
from coltsfootshift.ids import InstanceId, Purpose
from coltsfootshift.messages import Hello
from coltsfootshift.peer import PeerStream, StreamContext, StreamOwner
from coltsfootshift.settings import Address

__all__ = ["Dialer", "PeerStream", "StreamContext", "StreamListener", "StreamOwner"]

MAX_UNAUTHENTICATED_STREAMS = 64
MAX_OPEN_STREAMS = 2048
ACCEPTED_CHECK_HEARTBEATS = 2  # how often a dialler looks if the stream that replaces its own lives


class StreamListener(Factory):
    """Accepts streams and passes each to the task registered for its purpose.

    The number of unauthenticated connections is limited. When the limit is reached, the oldest is
    dropped, since a legitimate peer completes its handshake within a few round trips.
    """

    noisy = False

    def __init__(self, context: StreamContext) -> None:
        self._context = context
        self._owners: dict[str, StreamOwner] = {}
        self._handshaking: OrderedDict[PeerStream, None] = OrderedDict()

    def register(self, purpose: Purpose, owner: StreamOwner) -> None:
        """Set the owner of all accepted streams with this purpose."""
        self._owners[purpose.value] = owner

    def buildProtocol(self, addr: Any) -> PeerStream | None:
        """Return a stream for an accepted connection, or None to refuse it."""
        self._remove_finished()
        if len(self._context.registry) >= MAX_OPEN_STREAMS:
            self._context.metrics.count("streams_refused")
            self._context.metrics.count(f"streams_refused_{Refusal.CROWDED.value}")
            return None
        if len(self._handshaking) >= MAX_UNAUTHENTICATED_STREAMS:
            oldest, _ = self._handshaking.popitem(last=False)
            oldest.refuse(Refusal.CROWDED, "too many peers have proved no key")
        stream = PeerStream(self._context, lambda hello: self._owners.get(hello.purpose))
        self._handshaking[stream] = None
        return stream

    def _remove_finished(self) -> None:
        for stream in list(self._handshaking):
            if stream.is_handshaking():
                continue
            del self._handshaking[stream]


class Dialer:
    """Keeps one stream of a purpose open to each target, with exponential backoff and jitter.

    A target is identified by its instance ID, or by its address `HOST:PORT` if the ID is not known.
    A peer that reports a different instance ID in its `Hello` is refused.
    """

    def __init__(
        self, context: StreamContext, purpose: Purpose, owner: StreamOwner, rng: Random
    ) -> None:
        self._context = context
        self._purpose = purpose
        self._owner = owner
        self._rng = rng
        self._dialers: dict[InstanceId, _TargetDialer] = {}

    def __repr__(self) -> str:
        return f"Dialer(purpose={self._purpose}, targets={sorted(self._dialers)})"

    @property
    def targets(self) -> frozenset[InstanceId]:
        """The targets to which this dialer keeps streams open."""
        return frozenset(self._dialers)

    def list_connected(self) -> frozenset[InstanceId]:
        """Return the targets to which a stream is open, whichever end has dialled it."""
        return frozenset(name for name, dialer in self._dialers.items() if dialer.is_connected())

    def set_targets(self, targets: dict[InstanceId, Address]) -> None:
        """Replace the targets: open streams to new ones and close streams to removed ones."""
        for instance in list(self._dialers):
            dialer = self._dialers[instance]
            if targets.get(instance) == dialer.address:
                continue
            del self._dialers[instance]
            dialer.stop()
        for instance, address in targets.items():
            if instance in self._dialers:
                continue
            dialer = _TargetDialer(
                self._context, self._purpose, self._owner, instance, address, self._rng
            )
            self._dialers[instance] = dialer
            dialer.connect()


class _TargetDialer(ClientFactory):
    """Dials one target and reconnects after the stream is lost."""

    noisy = False

    def __init__(
        self,
        context: StreamContext,
        purpose: Purpose,
        owner: StreamOwner,
        target: InstanceId,
        address: Address,
        rng: Random,
    ) -> None:
        self.address = address
        self._context = context
        self._purpose = purpose
        self._owner = owner
        self._expected_instance = InstanceId("") if ":" in target else target
        self._likely_instance = self._expected_instance
        self._rng = rng
        self._delay = context.timing.retry_first
        self._timer: Any = None
        self._stream: PeerStream | None = None
        self._stopped = False

    def is_connected(self) -> bool:
        """Return whether a stream to the target is open, whichever end has dialled it."""
        if self._stream is not None:
            return self._stream.peer is not None
        return self._is_replaced()

    def connect(self) -> None:
        """Dial the target, unless a responsive stream from it to this process is preferred."""
        if self._is_replaced():
            heartbeat = self._context.timing.heartbeat
            self._timer = self._context.reactor.callLater(
                ACCEPTED_CHECK_HEARTBEATS * heartbeat, self.connect
            )
            return
        self._context.reactor.connectTCP(
            self.address.host,
            self.address.port,
            self,
            timeout=self._context.timing.connect_timeout,
            bindAddress=(self._context.source, 0) if self._context.source else None,
        )

    def _is_replaced(self) -> bool:
        """Return whether a responsive stream from the target is preferred to one of this end."""
        own = InstanceId(self._context.make_hello(self._purpose).instance)
        registry, heartbeat = self._context.registry, self._context.timing.heartbeat
        return registry.has_accepted(self._purpose, self._likely_instance, own, heartbeat)

    def stop(self) -> None:
        """Close the stream and stop reconnecting."""
        self._stopped = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        if self._stream is not None and self._stream.connected:
            self._stream.close()

    def buildProtocol(self, addr: Any) -> PeerStream | None:
        """Return a stream for an outgoing connection, None if it is no longer wanted."""
        if self._stopped:
            return None
        self._stream = PeerStream(
            self._context, self._accept_peer, self._purpose, expected=self._expected_instance
        )
        return self._stream

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        """Count the failure and reconnect after the backoff delay."""
        self._context.metrics.count("dials_failed")
        self._retry()

    def clientConnectionLost(self, connector: Any, reason: Failure) -> None:
        """Reconnect after the backoff delay.

        Load pattern: all entries dial each other, and of two streams between the same processes one
        is refused. The refused dialler knows by then who is at the address, so that it need not
        dial again while the other stream is open.
        """
        if self._stream is not None and not self._expected_instance:
            self._likely_instance = self._stream.claimed_instance
        self._retry()

    def _accept_peer(self, hello: Hello) -> StreamOwner:
        self._delay = self._context.timing.retry_first
        return self._owner

    def _retry(self) -> None:
        self._stream = None
        if self._stopped:
            return
        delay = self._delay * self._rng.uniform(0.5, 1.5)
        self._delay = min(self._delay * 2, self._context.timing.retry_most)
        self._timer = self._context.reactor.callLater(delay, self.connect)
