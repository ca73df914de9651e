"""Identifiers and states shared by several layers."""

from __future__ import annotations

import secrets
from enum import Enum
from typing import NewType

__all__ = [
    "Digest",
    "FailureDomain",
    "Incarnation",
    "InstanceId",
    "InstanceState",
    "PromptPartId",
    "Purpose",
    "Region",
    "RequestId",
    "Revision",
    "Role",
    "ServiceName",
    "SuspectId",
    "TeamName",
    "TicketId",
    "make_incarnation",
    "make_request_id",
]

InstanceId = NewType("InstanceId", str)
FailureDomain = NewType("FailureDomain", str)
Region = NewType("Region", str)
ServiceName = NewType("ServiceName", str)
TeamName = NewType("TeamName", str)
RequestId = NewType("RequestId", str)
PromptPartId = NewType("PromptPartId", str)
SuspectId = NewType("SuspectId", str)
TicketId = NewType("TicketId", str)
Digest = NewType("Digest", str)
Incarnation = NewType("Incarnation", str)
Revision = NewType("Revision", int)

INCARNATION_BYTES = 8
REQUEST_ID_BYTES = 12


class Role(Enum):
    """Role of a process."""

    ENTRY = "entry"
    AGENT = "agent"


class Purpose(Enum):
    """What a stream between two processes carries."""

    CONTROL = "control"
    WORK = "work"
    WEIGHTS = "weights"
    ENTRIES = "entries"


class InstanceState(Enum):
    """State of an instance in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


def make_incarnation() -> Incarnation:
    """Return a random incarnation, which identifies one run of a process."""
    return Incarnation(secrets.token_hex(INCARNATION_BYTES))


def make_request_id() -> RequestId:
    """Return a random request ID, for requests without one."""
    return RequestId(secrets.token_hex(REQUEST_ID_BYTES))
