"""A server that sends answers without end on all of its connections at once."""

from __future__ import annotations

import asyncio
import re
import threading

from platform_standins import HOST

_ATTEMPT = re.compile(rb"(?i)x-attempt-id: (\S+)")
_BACKLOG = 1024
_CLOSE_SECONDS = 10.0


class EndlessEndpoint:
    """Answers each request with `head`, then with `piece` again and again, in a thread.

    In the head, `ATTEMPT` stands for the id of the request. After `most_bytes` it sends no more but
    leaves the connection open, so that a reader without a limit fails the test and not the machine.
    """

    def __init__(self, head: bytes, piece: bytes, most_bytes: int) -> None:
        self.connection_count = 0
        self.taken_bytes = 0
        self._head, self._piece, self._most_bytes = head, piece, most_bytes
        self._loop = asyncio.new_event_loop()
        self._server = self._loop.run_until_complete(
            asyncio.start_server(self._serve, HOST, 0, backlog=_BACKLOG)
        )
        self.address = f"{HOST}:{self._server.sockets[0].getsockname()[1]}"
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()

    def close(self) -> None:
        """Close the connections."""
        asyncio.run_coroutine_threadsafe(self._cancel_all(), self._loop).result(_CLOSE_SECONDS)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(_CLOSE_SECONDS)
        self._loop.close()

    async def _cancel_all(self) -> None:
        self._server.close()
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _serve(self, reader, writer) -> None:
        self.connection_count += 1
        sent_bytes = 0
        try:
            request = await reader.readuntil(b"\r\n\r\n")
            attempt = _ATTEMPT.search(request)
            head = self._head.replace(b"ATTEMPT", attempt.group(1)) if attempt else self._head
            writer.write(head)
            while sent_bytes < self._most_bytes:
                writer.write(self._piece)
                await writer.drain()
                sent_bytes += len(self._piece)
                self.taken_bytes += len(self._piece)
            await reader.read()
        except (OSError, asyncio.IncompleteReadError):
            return  # the entry has closed the connection
        finally:
            writer.close()
