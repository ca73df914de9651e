"""Heads of calls, orders and answers, and the dialect that reads and writes them."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass

from coltsfootshift.errors import ColtsfootshiftError
from coltsfootshift.ids import InstanceId, RequestId, TeamName
from coltsfootshift.outcomes import NotRun, Unknown

__all__ = [
    "ResponseHead",
    "RequestError",
    "RequestHead",
    "Dialect",
    "EndpointLoadReport",
    "Headers",
    "AttemptTerms",
]

Headers = list[tuple[bytes, bytes]]


class RequestError(ColtsfootshiftError):
    """A caller's head breaks the protocol; `status` is the HTTP status that says how."""

    def __init__(self, text: str, status: int = 400) -> None:
        super().__init__(text)
        self.status = status


@dataclass(frozen=True, slots=True)
class RequestHead:
    """What a caller asks for; `deadline` in seconds from its arrival, None where not told.

    `prompt_tokens`, `answer_tokens` and `answer_hint` are zero where the caller told none.
    `passed` are the headers that go to the endpoint unchanged.
    """

    request: RequestId
    method: bytes
    target: bytes
    host: str
    path: str
    key: str
    deadline: float | None
    model: str
    prompt_tokens: int
    answer_tokens: int
    answer_hint: int
    resume_after: str
    forwarded_headers: Headers


@dataclass(frozen=True, slots=True)
class AttemptTerms:
    """What the gateway adds to a call for one endpoint; `time_left` in seconds."""

    endpoint: InstanceId
    team: TeamName
    time_left: float
    priority: int
    version: int | None
    resume_after: str


@dataclass(frozen=True, slots=True)
class EndpointLoadReport:
    """What an endpoint tells of its load with an answer."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """The head of an endpoint's answer; `keep_alive` in seconds, None where not told.

    `not_run` is set only by an endpoint's own statement that the request has not run.
    """

    status: int
    request: str
    not_run: bool
    sealed: bool
    encoded: bool
    load: EndpointLoadReport | None
    keep_alive: float | None
    version: int | None
    forwarded_headers: Headers

    @property
    def succeeded(self) -> bool:
        """Whether the endpoint answered with success."""
        return 200 <= self.status < 300


class Dialect(ABC):
    """Reads and writes heads in the names that one platform uses."""

    @abstractmethod
    def parse_request(self, method: bytes, target: bytes, headers: Sequence) -> RequestHead:
        """Return what a caller asks for; raises `RequestError`."""

    @abstractmethod
    def build_attempt_headers(self, call: RequestHead, terms: AttemptTerms, length: int) -> Headers:
        """Return the headers of an order with a body of `length` bytes."""

    @abstractmethod
    def parse_response(self, status: int, headers: Sequence) -> ResponseHead:
        """Return what an endpoint's head says."""

    @abstractmethod
    def build_refusal_headers(self, request: str, outcome: NotRun | Unknown) -> Headers:
        """Return the headers of an answer of the gateway's own."""
