"""What an agent asks of the endpoint beside it."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

from twisted.internet.defer import Deferred

from coltsfootshift.errors import ColtsfootshiftError
from coltsfootshift.ids import Digest, RequestId

__all__ = [
    "ResponseReceiver",
    "ResponseStream",
    "Endpoint",
    "EndpointResponse",
    "EndpointError",
    "EndpointStatus",
    "LoadOrder",
    "ModelEngine",
    "EndpointRequest",
]


class EndpointError(ColtsfootshiftError):
    """The endpoint refused, failed or was lost; `started` tells whether it may have run.

    `status` is the HTTP status that the endpoint gave, zero for none.
    """

    def __init__(self, text: str, started: bool, status: int = 0) -> None:
        super().__init__(text)
        self.started = started
        self.status = status


@dataclass(frozen=True, slots=True)
class EndpointRequest:
    """One piece of work for an endpoint; `attempt` tells repeated orders of a request apart.

    `resume_from` asks for the answer from this byte on. The endpoint refuses it unless it serves
    the weights of `digest`.
    """

    request: RequestId
    attempt: int
    operation: str
    priority: int
    body: bytes
    resume_from: int = 0
    digest: Digest = Digest("")


class ResponseStream(ABC):
    """The connection on which an answer comes; its reader slows it down or ends it."""

    @abstractmethod
    def pause(self) -> None:
        """Read no more bytes for now."""

    @abstractmethod
    def resume(self) -> None:
        """Read on."""

    @abstractmethod
    def stop(self) -> None:
        """Close the connection; the order fails unless its answer is whole."""


class ResponseReceiver(ABC):
    """Takes the answer to one order."""

    @abstractmethod
    def get_start_refusal(self) -> str:
        """Return why the order must not be sent any more, empty where it may.

        Asked right before the order is sent, so that an order held up inside this process since
        its checks is not started late.
        """

    @abstractmethod
    def response_started(self, digest: Digest, source: ResponseStream) -> None:
        """The answer begins, made by the weights of `digest` (empty for a plain service)."""

    @abstractmethod
    def data_received(self, payload: bytes) -> None:
        """The next bytes of the answer."""


@dataclass(frozen=True, slots=True)
class EndpointResponse:
    """The end of a whole answer: its status and the digest of the weights that gave it."""

    status: int
    digest: Digest


@dataclass(frozen=True, slots=True)
class EndpointStatus:
    """What an endpoint reports of itself; `age` in seconds."""

    running: int
    queued: int
    capacity: int
    digest: Digest
    serving: bool
    fencing: int
    age: float


@dataclass(frozen=True, slots=True)
class LoadOrder:
    """Orders an engine to load staged weights; the engine refuses a lower fencing number."""

    digest: Digest
    fencing: int
    chunks: int


class Endpoint(ABC):
    """A model engine or a plain service beside an agent."""

    @abstractmethod
    def run(self, order: EndpointRequest, reader: ResponseReceiver) -> Deferred[EndpointResponse]:
        """Run an order; pass the answer's bytes to `reader`; fail with `EndpointError`."""

    @abstractmethod
    def cancel(self, order: EndpointRequest) -> None:
        """Stop an order whose answer is no longer wanted."""

    @abstractmethod
    def read_status(self) -> Deferred[EndpointStatus]:
        """Return what the endpoint reports of itself; fail with `EndpointError`."""


class ModelEngine(Endpoint):
    """An endpoint that serves a model and stages chunks of its weights in memory."""

    @abstractmethod
    def stage(self, digest: Digest, index: int, data: bytes) -> Deferred[None]:
        """Put a checked chunk into the staging memory."""

    @abstractmethod
    def read_staged(self, digest: Digest, index: int) -> Deferred[bytes]:
        """Return a staged chunk."""

    @abstractmethod
    def list_staged(self, digest: Digest) -> Deferred[frozenset[int]]:
        """Return the indexes of the staged chunks of a digest."""

    @abstractmethod
    def drop_staged(self, keep: Digest) -> Deferred[None]:
        """Free the staging memory of all digests but one."""

    @abstractmethod
    def load(self, order: LoadOrder) -> Deferred[None]:
        """Order the engine to serve staged weights once its running work has finished."""
