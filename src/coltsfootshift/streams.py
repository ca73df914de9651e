"""Streams between processes: who accepts them, who dials them and keeps them open."""

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


class StreamListener(Factory):
    """Accepts streams and hands each to the task registered for its purpose.

    Connections that have not proved a key are bounded: beyond the bound the oldest of them is
    dropped, since an honest peer is through its handshake in a few round trips.
    """

    noisy = False

    def __init__(self, context: StreamContext) -> None:
        self._context = context
        self._owners: dict[str, StreamOwner] = {}
        self._waiting: OrderedDict[PeerStream, None] = OrderedDict()

    def register(self, purpose: Purpose, owner: StreamOwner) -> None:
        """Make `owner` the task of all accepted streams with this purpose."""
        self._owners[purpose.value] = owner

    def buildProtocol(self, addr: Any) -> PeerStream | None:
        """Make the stream of an accepted connection; None refuses it."""
        self._drop_ended()
        if len(self._context.registry) >= MAX_OPEN_STREAMS:
            self._context.metrics.count("streams_refused")
            self._context.metrics.count(f"streams_refused_{Refusal.CROWDED.value}")
            return None
        if len(self._waiting) >= MAX_UNAUTHENTICATED_STREAMS:
            oldest, _ = self._waiting.popitem(last=False)
            oldest.refuse(Refusal.CROWDED, "too many peers have proved no key")
        stream = PeerStream(self._context, lambda hello: self._owners.get(hello.purpose))
        self._waiting[stream] = None
        return stream

    def _drop_ended(self) -> None:
        for stream in list(self._waiting):
            if stream.is_waiting():
                continue
            del self._waiting[stream]


class Dialer:
    """Keeps one stream of a purpose open to each target, with exponential backoff and jitter.

    A target is named by its instance, or by its address `HOST:PORT` where its instance is not
    known; a peer that introduces itself as another instance is refused.
    """

    def __init__(
        self, context: StreamContext, purpose: Purpose, owner: StreamOwner, rng: Random
    ) -> None:
        self._context = context
        self._purpose = purpose
        self._owner = owner
        self._rng = rng
        self._links: dict[InstanceId, _Link] = {}

    def __repr__(self) -> str:
        return f"Dialer(purpose={self._purpose}, targets={sorted(self._links)})"

    @property
    def targets(self) -> frozenset[InstanceId]:
        """The instances that this dialer keeps streams to."""
        return frozenset(self._links)

    def set_targets(self, targets: dict[InstanceId, Address]) -> None:
        """Open streams to new targets and close those to targets no longer wanted."""
        for instance in list(self._links):
            link = self._links[instance]
            if targets.get(instance) == link.address:
                continue
            del self._links[instance]
            link.stop()
        for instance, address in targets.items():
            if instance in self._links:
                continue
            link = _Link(self._context, self._purpose, self._owner, instance, address, self._rng)
            self._links[instance] = link
            link.connect()


class _Link(ClientFactory):
    """One target of a dialer: dials, and dials again when the stream is gone."""

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
        self._expected = InstanceId("") if ":" in target else target
        self._rng = rng
        self._delay = context.timing.retry_first
        self._timer: Any = None
        self._stream: PeerStream | None = None
        self._stopped = False

    def connect(self) -> None:
        """Dial the target, unless its own stream to this process serves."""
        own = InstanceId(self._context.make_hello(self._purpose).instance)
        registry = self._context.registry
        heartbeat = self._context.timing.heartbeat
        if registry.has_accepted(self._purpose, self._expected, own, heartbeat):
            self._retry()
            return
        self._context.reactor.connectTCP(
            self.address.host,
            self.address.port,
            self,
            timeout=self._context.timing.connect_timeout,
            bindAddress=(self._context.source, 0) if self._context.source else None,
        )

    def stop(self) -> None:
        """Close the stream and dial no more."""
        self._stopped = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        if self._stream is not None and self._stream.connected:
            self._stream.close()

    def buildProtocol(self, addr: Any) -> PeerStream:
        """Make the stream of a dialled connection."""
        self._stream = PeerStream(
            self._context, self._accept_peer, self._purpose, expected=self._expected
        )
        return self._stream

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        """Retry after the delay."""
        self._context.metrics.count("dials_failed")
        self._retry()

    def clientConnectionLost(self, connector: Any, reason: Failure) -> None:
        """Retry after the delay."""
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
