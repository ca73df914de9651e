"""Messages between entries: shares of limits and suspected requests."""

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
    """The sender divides limits among the entries whose names have the digest `view`."""

    view: str
    active: bool


class ShareRequested(Message, frozen=True, array_like=True, tag="s-ask"):
    """Asks another entry to lend a part of its share of a team's limits.

    `rate` is in requests a second, `burst` in requests, `places` in requests in flight.
    """

    team: str
    loan: int
    rate: float
    burst: int
    places: int


class ShareLent(Message, frozen=True, array_like=True, tag="s-lent"):
    """Lends a part of a share for `seconds`, counted by the borrower from its question on."""

    team: str
    loan: int
    rate: float
    burst: int
    places: int
    seconds: float


class ShareHeld(Message, frozen=True, array_like=True, tag="s-held"):
    """Reminds the lender, which may have restarted, of a loan that has `seconds` to go."""

    team: str
    loan: int
    rate: float
    burst: int
    places: int
    seconds: float


class ShareReturned(Message, frozen=True, array_like=True, tag="s-back"):
    """The borrower has no request in flight any more on the places of this loan."""

    team: str
    loan: int


class SuspectReported(Message, frozen=True, array_like=True, tag="suspect"):
    """A request with this fingerprint was in flight at these endpoint crashes.

    `remaining` is how long the note counts from now on, in seconds. `answer` numbers the note
    where the sender waits for `SuspectAcknowledged`.
    """

    fingerprint: bytes
    service: str
    crashes: list[str]
    remaining: float
    answer: int = 0


class SuspectAcknowledged(Message, frozen=True, array_like=True, tag="sus-ok"):
    """The receiver acts on the note numbered `answer` from now on."""

    answer: int
