"""HTTP requests with bodies of bounded size, kept in memory."""

from __future__ import annotations

from io import BytesIO
from typing import Any

from klein import Klein
from twisted.web.server import Request, Site

__all__ = ["MAX_BODY_BYTES", "BoundedRequest", "make_site"]

MAX_BODY_BYTES = 4 * 1024 * 1024


class BoundedRequest(Request):
    """A request that keeps its body in memory and discards bytes beyond the limit.

    One byte more than `MAX_BODY_BYTES` is kept, so that a handler can detect an oversized body.
    """

    content: BytesIO

    def gotLength(self, length: int | None) -> None:
        """Replace the default buffer, which would spill large bodies to a temporary file."""
        self.content = BytesIO()

    def handleContentChunk(self, data: bytes) -> None:
        """Append received data to the body, up to the limit."""
        room = MAX_BODY_BYTES + 1 - self.content.tell()
        if room > 0:
            self.content.write(data[:room])


def make_site(app: Klein) -> Any:
    """Return a site that serves `app` with bounded request bodies."""
    return Site(app.resource(), requestFactory=BoundedRequest, parsePOSTFormSubmission=False)
