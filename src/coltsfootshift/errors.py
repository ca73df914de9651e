"""Base classes of the errors raised in all layers."""

from __future__ import annotations

__all__ = [
    "CodecError",
    "ColtsfootshiftError",
    "InvalidMessageError",
    "SettingsError",
    "StreamError",
]


class ColtsfootshiftError(Exception):
    """Base class of all errors raised by this library."""


class CodecError(ColtsfootshiftError):
    """A frame could not be decoded into a message."""


class InvalidMessageError(CodecError):
    """A frame holds a message of a known kind with a field of a wrong type or range."""


class StreamError(ColtsfootshiftError):
    """A stream to a peer failed, or the peer violated its protocol."""


class SettingsError(ColtsfootshiftError):
    """A settings file is missing, unreadable or contains an invalid value."""
