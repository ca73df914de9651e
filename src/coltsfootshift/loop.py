"""The Twisted reactor, typed as `Any` because its static type lacks its concrete methods."""

from __future__ import annotations

from typing import Any

from twisted.internet import reactor as _reactor

__all__ = ["reactor"]

reactor: Any = _reactor
