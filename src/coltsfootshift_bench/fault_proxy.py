"""Routes the peer connections of agents through the fault proxy and sets its fault modes."""

from __future__ import annotations

from coltsfootshift_bench.fleet import PEERS_PORT, Fleet

__all__ = ["route_through_proxy", "set_proxy_mode"]

FIRST_PROXY_PORT = 7100


def route_through_proxy(fleet: Fleet, names: list[str]) -> None:
    """Add a proxy rule for each agent and put the proxy's address into its instance record.

    Call this before `publish_instances`; the fleet's fault proxy must be running.
    """
    host = fleet.members["faults"].host
    for number, name in enumerate(names):
        port = FIRST_PROXY_PORT + number
        target = [fleet.members[name].host, PEERS_PORT]
        fleet.set_rule({"name": name, "listen": [host, port], "target": target})
        fleet.records[name]["peers"] = {"host": host, "port": port}


def set_proxy_mode(fleet: Fleet, name: str, mode: str) -> None:
    """Set the mode of an agent's proxy rule: `pass`, `refuse`, `stall` or `hold`."""
    fleet.set_rule({"name": name, "mode": mode})
