"""An entry that learns an older catalogue from a peer does not take it for a recent one.

It has restarted or was cut off, and a key of that catalogue may have been taken away since the
store confirmed it to the peer.
"""

from __future__ import annotations

import pytest
from gateway_harness import GatewayHarness

from coltsfootshift.gateway.table_cache import Table, TableAnswer, TablePosition

REVOKE_SECONDS = 5.0


@pytest.mark.parametrize("has_own", [False, True], ids=["restarted", "cut off"])
@pytest.mark.parametrize("way", ["items", "confirmation"])
@pytest.mark.parametrize(("age", "status"), [(0.5, None), (4.5, None), (REVOKE_SECONDS, 503)])
def test_keys_of_a_catalogue_from_a_peer_hold_by_the_age_that_the_peer_knows(
    has_own, way, age, status
):
    harness = GatewayHarness(endpoints=1, confirmed=has_own)
    harness.clock.advance(20.0)
    now = harness.clock.seconds()
    for table in Table:
        position = TablePosition(0, max(1, harness.tables.get_position(table).revision))
        if way == "items" or not has_own:
            answer = TableAnswer(table, (), position.revision, False, now - age)
            harness.tables.apply(answer, now)
        else:
            harness.tables.confirm(table, position, now - age)
    caller = harness.send_request()
    text = caller.take()
    assert (int(text.split()[1]) if text else None) == status
