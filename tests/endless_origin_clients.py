"""Lets an agent's client of the origin make as many reads at once as an agent does.

    python endless_origin_clients.py PORT

Prints by how many bytes the peak of resident memory grew during the reads.
"""

from __future__ import annotations

import re
import sys
from pathlib import Path

from coltsfootshift_platform.engines import HttpOrigin
from twisted.internet import reactor
from twisted.internet.defer import DeferredList

from coltsfootshift.gateway.rollout import MAX_REQUESTS_IN_FLIGHT
from coltsfootshift.settings import Address

KILOBYTE = 1024
MOST_SECONDS = 30.0


def measure_peak() -> int:
    """Return the peak of resident memory in bytes, without that of the process before `exec`."""
    text = Path("/proc/self/status").read_text("utf-8")
    return int(re.search(r"VmHWM:\s+(\d+) kB", text).group(1)) * KILOBYTE


def main(port: int) -> None:
    origin = HttpOrigin(reactor, Address("127.0.0.1", port))
    before = measure_peak()
    reads = [origin.read_chunk("m", 1, index) for index in range(MAX_REQUESTS_IN_FLIGHT)]
    reads.append(origin.read_digests("m", 1))
    for read in reads:
        read.addErrback(lambda failure: None)
    DeferredList(reads).addCallback(lambda _: reactor.stop())
    reactor.callLater(MOST_SECONDS, reactor.stop)
    reactor.run()
    print(measure_peak() - before)


if __name__ == "__main__":
    main(int(sys.argv[1]))
