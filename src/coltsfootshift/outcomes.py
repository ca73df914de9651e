"""Outcomes of a request, as reported explicitly to the caller."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import ClassVar

__all__ = ["Complete", "NotRun", "Outcome", "OutcomeName", "Unknown"]


class OutcomeName(Enum):
    """Name of an outcome in answers to callers."""

    COMPLETE = "complete"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Complete:
    """The complete answer was delivered; `digest` names the weights, empty for a plain service."""

    name: ClassVar[OutcomeName] = OutcomeName.COMPLETE

    digest: str = ""
    status: int = 200


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request was not run and will not be; `retry` is true if the caller may send it again.

    `status` is the HTTP status, `retry_after` is in seconds.
    """

    name: ClassVar[OutcomeName] = OutcomeName.NOT_RUN

    reason: str
    status: int = 503
    retry: bool = True
    retry_after: float = 1.0


@dataclass(frozen=True, slots=True)
class Unknown:
    """It is unknown whether the request ran; the system never runs it again."""

    name: ClassVar[OutcomeName] = OutcomeName.UNKNOWN

    reason: str
    status: int = 504


Outcome = Complete | NotRun | Unknown
