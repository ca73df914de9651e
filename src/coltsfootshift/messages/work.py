"""Messages between entries and agents: load, tickets, orders, answers."""

from __future__ import annotations

from coltsfootshift.messages.base import Message

__all__ = [
    "AnswerEnd",
    "AnswerFrame",
    "Cancel",
    "Credit",
    "IssueTicket",
    "LoadReport",
    "Submit",
    "TicketIssued",
    "TicketSettled",
    "VoidTicket",
]


class LoadReport(Message, frozen=True, array_like=True, tag="load"):
    """State of an endpoint as its agent last saw it; `age` in seconds at the time of sending."""

    sequence: int
    age: float
    running: int
    queued: int
    capacity: int
    digest: str
    serving: bool


class IssueTicket(Message, frozen=True, array_like=True, tag="t-ask"):
    """Asks an agent for a one-use ticket for non-idempotent work of a team."""

    request: str
    service: str
    team: str = ""


class TicketIssued(Message, frozen=True, array_like=True, tag="t-new"):
    """A ticket of the sender's incarnation, usable for `lifetime` seconds on its clock.

    `ticket` is empty where the agent issues none, and `reason` tells why.
    """

    request: str
    ticket: str
    lifetime: float
    reason: str = ""


class Submit(Message, frozen=True, array_like=True, tag="submit"):
    """Hands a request to an agent. `remaining` is the time to its deadline in seconds.

    `window` is how many bytes of the answer the agent may send before it gets `Credit`, zero for
    no bound. `resume_from` asks for the answer from this byte on, made by the weights `digest`.
    A `suspect` request was in flight at an endpoint crash and must not run beside another one.
    """

    request: str
    attempt: int
    service: str
    operation: str
    team: str
    priority: int
    idempotent: bool
    ticket: str
    remaining: float
    sent_at: float
    body: bytes
    window: int = 0
    resume_from: int = 0
    digest: str = ""
    suspect: bool = False


class Cancel(Message, frozen=True, array_like=True, tag="cancel"):
    """The answer to this attempt is no longer wanted."""

    request: str
    attempt: int


class Credit(Message, frozen=True, array_like=True, tag="credit"):
    """The caller has taken `amount` more bytes of the answer to this attempt."""

    request: str
    attempt: int
    amount: int


class AnswerFrame(Message, frozen=True, array_like=True, tag="frame"):
    """A batch of answer bytes; `sequence` counts from zero within one attempt.

    The first frame names the digest of the weights, empty for a plain service.
    """

    request: str
    attempt: int
    sequence: int
    payload: bytes
    digest: str = ""


class AnswerEnd(Message, frozen=True, array_like=True, tag="end"):
    """Ends an attempt: the count of its frames, the outcome and the digest that served it.

    `crash` is the id of the endpoint crash that ended it, empty for none. `refused_suspect` tells
    that it was not run since another suspect request runs there.
    """

    request: str
    attempt: int
    count: int
    outcome: str
    digest: str
    reason: str
    status: int = 200
    crash: str = ""
    refused_suspect: bool = False


class VoidTicket(Message, frozen=True, array_like=True, tag="t-void"):
    """Asks the agent to make sure that the ticket never runs."""

    request: str
    ticket: str


class TicketSettled(Message, frozen=True, array_like=True, tag="t-end"):
    """State of a ticket after a void: `not_run`, `complete`, `unknown` or `running`."""

    request: str
    ticket: str
    outcome: str
