"""HTTP requests whose bodies stay in memory and are bounded."""

from __future__ import annotations

from io import BytesIO
from typing import Any

from klein import Klein
from twisted.web.server import Request, Site

__all__ = ["MAX_BODY_BYTES", "BoundedRequest", "make_site"]

MAX_BODY_BYTES = 4 * 1024 * 1024


class BoundedRequest(Request):
    """A request that keeps its body in memory and drops what goes beyond the bound.

    One byte above the bound is kept, so that a reader sees that the body was too large.
    """

    content: BytesIO

    def gotLength(self, length: int | None) -> None:
        """Make room for the body."""
        self.content = BytesIO()

    def handleContentChunk(self, data: bytes) -> None:
        """Keep a part of the body."""
        room = MAX_BODY_BYTES + 1 - self.content.tell()
        if room > 0:
            self.content.write(data[:room])


def make_site(app: Klein) -> Any:
    """Return the site of an app whose requests are bounded."""
    return Site(app.resource(), requestFactory=BoundedRequest, parsePOSTFormSubmission=False)
