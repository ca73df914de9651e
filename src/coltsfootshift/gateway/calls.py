"""Heads of requests and responses, and the interface that parses and builds them.

An attempt is one sending of a caller's request to an endpoint.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass

from coltsfootshift.errors import ColtsfootshiftError
from coltsfootshift.ids import InstanceId, PromptPartId, RequestId, TeamName
from coltsfootshift.outcomes import NotRun, Unknown
from coltsfootshift.statuses import is_success

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
    """The head of a caller's request is invalid; `status` is the HTTP status to respond with."""

    def __init__(self, text: str, status: int = 400) -> None:
        super().__init__(text)
        self.status = status


@dataclass(frozen=True, slots=True)
class RequestHead:
    """The parsed head of a caller's request.

    `deadline` is in seconds from the arrival of the request, or None if the caller set none.
    `prompt_tokens`, `answer_tokens` and `answer_hint` are zero if the caller sent none.
    `prompt_parts` are the parts of the prompt in order.
    `forwarded_headers` are sent to the endpoint unchanged.
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
    prompt_parts: tuple[PromptPartId, ...] = ()

    @property
    def shared_parts(self) -> tuple[PromptPartId, ...]:
        """The parts that other requests may share: the last belongs to this one or its session."""
        return self.prompt_parts[:-1]


@dataclass(frozen=True, slots=True)
class AttemptTerms:
    """What the gateway adds to a request for one attempt; `time_left` is in seconds."""

    endpoint: InstanceId
    team: TeamName
    time_left: float
    priority: int
    version: int | None
    resume_after: str


@dataclass(frozen=True, slots=True)
class EndpointLoadReport:
    """The load that an endpoint reports with a response; a field is None if it was not readable.

    `running`, `waiting` and `slots` are in requests. `slowdown` is how long work takes on the
    endpoint's machine at this moment as a multiple of the usual time, so 1.0 is as usual; endpoints
    need not report it. `unreadable_count` is the number of fields that were missing, had an invalid
    value or have no meaning.

    >>> EndpointLoadReport(4, 2, 8, slowdown=1.5).total, EndpointLoadReport(None, 2, 8).total
    (6, None)
    """

    running: int | None
    waiting: int | None
    slots: int | None
    slowdown: float | None = None
    unreadable_count: int = 0

    @property
    def total(self) -> int | None:
        """The number of requests at the endpoint, None unless both of its parts are known."""
        if self.running is None or self.waiting is None:
            return None
        return self.running + self.waiting


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """The parsed head of an endpoint's response.

    `not_run` is set only if the endpoint itself states that the request has not run. `sealed`
    is set if the response carries the endpoint's seal, `encoded` if its content is encoded, for
    example compressed. `framed` is set if the body has a length or chunks, so that its end does not
    depend on that of the connection. `rate_limit` is how many requests a second the endpoint takes
    from all entries together, None if it names no limit. `leaving` is set if the endpoint states
    that it leaves. `retry_after` is for how many seconds the endpoint wants no request, `cold_for`
    for how many it stays cold, and `keep_alive` is in seconds too; each is None if the endpoint
    sent none.
    """

    status: int
    request: str
    not_run: bool
    sealed: bool
    encoded: bool
    framed: bool
    load: EndpointLoadReport | None
    rate_limit: float | None
    leaving: bool
    retry_after: float | None
    keep_alive: float | None
    version: int | None
    forwarded_headers: Headers
    cold_for: float | None = None

    @property
    def succeeded(self) -> bool:
        """Whether the status is a success (2xx)."""
        return is_success(self.status)


class Dialect(ABC):
    """Parses and builds heads with the header names of one platform."""

    @abstractmethod
    def parse_request(self, method: bytes, target: bytes, headers: Sequence) -> RequestHead:
        """Parse the head of a caller's request; raises `RequestError` if it is invalid."""

    @abstractmethod
    def build_attempt_headers(
        self, request: RequestHead, terms: AttemptTerms, length: int
    ) -> Headers:
        """Return the headers of an attempt with a body of `length` bytes."""

    @abstractmethod
    def parse_response(self, status: int, headers: Sequence) -> ResponseHead:
        """Parse the head of an endpoint's response."""

    @abstractmethod
    def build_refusal_headers(self, request: str, outcome: NotRun | Unknown) -> Headers:
        """Return the headers of a response by which the gateway itself refuses a request."""
