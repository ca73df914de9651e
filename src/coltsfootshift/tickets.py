"""Parsing and formatting of tickets, which hold the issuer's instance, incarnation and a number."""

from __future__ import annotations

from dataclasses import dataclass

from coltsfootshift.errors import ColtsfootshiftError
from coltsfootshift.ids import Incarnation, InstanceId, TicketId

__all__ = ["TicketError", "ParsedTicket"]

SEPARATOR = "~"


class TicketError(ColtsfootshiftError):
    """A ticket is missing or malformed."""


@dataclass(frozen=True, slots=True)
class ParsedTicket:
    """The parts of a ticket.

    >>> ParsedTicket.parse("ledger-1~ab12~7")
    ParsedTicket(instance='ledger-1', incarnation='ab12', number='7')
    """

    instance: InstanceId
    incarnation: Incarnation
    number: str

    @classmethod
    def parse(cls, ticket: str) -> ParsedTicket:
        """Return the parts of a ticket; raises `TicketError` if it is malformed."""
        parts = ticket.split(SEPARATOR)
        if len(parts) != 3 or not all(parts):
            raise TicketError(f"ticket {ticket!r} is not one; ask for a ticket first")
        return cls(InstanceId(parts[0]), Incarnation(parts[1]), parts[2])

    @classmethod
    def is_valid(cls, ticket: str) -> bool:
        """Return whether a text is a well-formed ticket."""
        try:
            cls.parse(ticket)
        except TicketError:
            return False
        return True

    def format(self) -> TicketId:
        """Return the ticket as text, the form that callers use."""
        return TicketId(SEPARATOR.join((self.instance, self.incarnation, self.number)))
