"""What an agent holds while the origin of weights answers all its reads without end."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest
from endless_endpoint import EndlessEndpoint

HERE = Path(__file__).parent
MIB = 1024 * 1024
# An agent may use 168 MB and needs 50 MB besides; half of the rest is for its other connections.
MOST_BYTES = 56 * MIB
PROCESS_SECONDS = 60.0
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
PIECE = b"%x\r\n%s\r\n" % (64 * 1024, b"a" * 64 * 1024)


@pytest.mark.parametrize("sent_bytes", [64 * MIB, 15 * MIB, 3 * MIB])
def test_agent_outlives_an_origin_that_sends_without_end(sent_bytes):
    """The reads that an agent has in progress at once could fill its memory together."""
    origin = EndlessEndpoint(HEAD, PIECE, sent_bytes)
    port = origin.address.rpartition(":")[2]
    try:
        result = subprocess.run(
            [sys.executable, str(HERE / "endless_origin_clients.py"), port],
            env={
                **os.environ,
                "PYTHONPATH": os.pathsep.join(
                    str(HERE.parent / name) for name in ("platform", "src")
                ),
            },
            stdout=subprocess.PIPE,
            timeout=PROCESS_SECONDS,
            check=True,
        )
    finally:
        origin.close()
    assert origin.connection_count > 1
    assert int(result.stdout) < MOST_BYTES
