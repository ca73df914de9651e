"""Messages between entries: loans of limit shares, and requests suspected of causing crashes."""

from __future__ import annotations

from coltsfootshift.messages.base import Message

__all__ = [
    "ShareRequested",
    "ShareHeld",
    "ShareLent",
    "ShareReturned",
    "SuspectReported",
    "SuspectAcknowledged",
    "ViewAnnounced",
]


class ViewAnnounced(Message, frozen=True, array_like=True, tag="view"):
    """The sender divides limits among the entries whose list of names has the digest `view`."""

    view: str
    active: bool


class ShareRequested(Message, frozen=True, array_like=True, tag="s-ask"):
    """Requests a loan: a part of another entry's share of a team's limits.

    `rate` is in requests a second, `burst` in requests, `places` in requests in flight.
    """

    team: str
    loan: int
    rate: float
    burst: int
    places: int


class ShareLent(Message, frozen=True, array_like=True, tag="s-lent"):
    """Grants a loan for `seconds`, counted by the borrower from the time of its request."""

    team: str
    loan: int
    rate: float
    burst: int
    places: int
    seconds: float


class ShareHeld(Message, frozen=True, array_like=True, tag="s-held"):
    """Reminds the lender, which may have restarted, of a loan that expires in `seconds`."""

    team: str
    loan: int
    rate: float
    burst: int
    places: int
    seconds: float


class ShareReturned(Message, frozen=True, array_like=True, tag="s-back"):
    """The borrower has no requests left in flight under this loan."""

    team: str
    loan: int


class SuspectReported(Message, frozen=True, array_like=True, tag="suspect"):
    """A request with this fingerprint was in flight at these endpoint crashes.

    `remaining` is how long the report stays valid, in seconds. A nonzero `answer` is the number
    with which the receiver must acknowledge it in `SuspectAcknowledged`.
    """

    fingerprint: bytes
    service: str
    crashes: list[str]
    remaining: float
    answer: int = 0


class SuspectAcknowledged(Message, frozen=True, array_like=True, tag="sus-ok"):
    """Acknowledges report number `answer`: the sender of this message now acts on it."""

    answer: int
