"""Abstract interface between an agent and its endpoint."""

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
    """The endpoint refused a request or failed, or the connection to it was lost.

    `started` is whether the request may have started to run. `status` is the HTTP status of the
    response, zero if there was none.
    """

    def __init__(self, text: str, started: bool, status: int = 0) -> None:
        super().__init__(text)
        self.started = started
        self.status = status


@dataclass(frozen=True, slots=True)
class EndpointRequest:
    """One attempt of a request, as sent to an endpoint.

    `attempt` distinguishes the attempts of a request. If `resume_from` is not zero, the response
    starts at this byte offset, and the endpoint refuses the request unless it serves the weights
    of `digest`.
    """

    request: RequestId
    attempt: int
    operation: str
    priority: int
    body: bytes
    resume_from: int = 0
    digest: Digest = Digest("")


class ResponseStream(ABC):
    """Flow control of the connection that a response is received on."""

    @abstractmethod
    def pause(self) -> None:
        """Stop reading until `resume` is called."""

    @abstractmethod
    def resume(self) -> None:
        """Continue reading."""

    @abstractmethod
    def stop(self) -> None:
        """Close the connection; the request fails unless its response is complete."""


class ResponseReceiver(ABC):
    """Receives the response to one request."""

    @abstractmethod
    def get_start_refusal(self) -> str:
        """Return the reason why the request must not be sent, or an empty string.

        Called right before the request is sent, so that a request delayed in this process after
        its checks is not started too late.
        """

    @abstractmethod
    def response_started(self, digest: Digest, stream: ResponseStream) -> None:
        """Called when the response starts.

        `digest` identifies the weights that generate it; it is empty for a plain service.
        """

    @abstractmethod
    def data_received(self, payload: bytes) -> None:
        """Called with the next bytes of the response body."""


@dataclass(frozen=True, slots=True)
class EndpointResponse:
    """HTTP status of a complete response and the digest of the weights that generated it."""

    status: int
    digest: Digest


@dataclass(frozen=True, slots=True)
class EndpointStatus:
    """Status reported by an endpoint.

    `age` is the age of the report in seconds when it was sent, and `waited` how many seconds after
    the question the answer was handled.
    """

    running: int
    queued: int
    capacity: int
    digest: Digest
    serving: bool
    fencing: int
    age: float
    waited: float = 0.0


@dataclass(frozen=True, slots=True)
class LoadOrder:
    """An order to load staged weights.

    The engine refuses orders whose fencing number is lower than one that it has already seen.
    """

    digest: Digest
    fencing: int
    chunks: int


class Endpoint(ABC):
    """A model engine or a plain service with an agent beside it."""

    @abstractmethod
    def run(
        self, request: EndpointRequest, receiver: ResponseReceiver
    ) -> Deferred[EndpointResponse]:
        """Run a request and pass the response body to `receiver`; fails with `EndpointError`."""

    @abstractmethod
    def cancel(self, request: EndpointRequest) -> None:
        """Stop a request whose response is no longer needed."""

    @abstractmethod
    def read_status(self) -> Deferred[EndpointStatus]:
        """Return the endpoint's status; fails with `EndpointError`."""


class ModelEngine(Endpoint):
    """An endpoint that serves a model and stages chunks of its weights in memory."""

    @abstractmethod
    def stage(self, digest: Digest, index: int, data: bytes) -> Deferred[None]:
        """Write a verified chunk to the staging memory."""

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
        """Order the engine to serve staged weights once its running requests have finished."""
