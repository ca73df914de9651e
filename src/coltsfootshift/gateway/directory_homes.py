"""The regions in which the directory lists entries for callers of hosts with homes."""

from __future__ import annotations

from coltsfootshift.gateway.homes import ANYWHERE, Homes, make_homes, measure_usage
from coltsfootshift.gateway.model import GatewayCatalogue

__all__ = ["DirectoryHomes"]


class DirectoryHomes:
    """Finds in which regions the directory lists entries for callers of a host.

    This answers callers that choose an entry at random of all that are listed, before they send a
    request of any route: an entry fits in the caller's own `region`, or in a home of every route
    and team of the host that has homes. Of a host without such, and of an unknown one, all fit.
    A catalogue is gone through once and not for each answer.
    """

    def __init__(self) -> None:
        self._catalogue: GatewayCatalogue | None = None
        self._used = False
        self._by_host: dict[str, Homes] = {}

    def __repr__(self) -> str:
        return f"DirectoryHomes({self._by_host!r})"

    def find(self, catalogue: GatewayCatalogue | None, host: str, region: str) -> Homes:
        """Return the regions for a caller in a region, the empty string if it names none."""
        if catalogue is None:
            return ANYWHERE
        if catalogue is not self._catalogue:
            usage = measure_usage(catalogue)
            self._catalogue, self._used, self._by_host = catalogue, usage.any, {}
        host = host.lower()
        if not self._used or host not in catalogue.routes:
            return ANYWHERE
        if host not in self._by_host:
            self._by_host[host] = _find_homes_of_all(catalogue, host)
        homes = self._by_host[host]
        if homes.regions is None or not region:
            return homes
        return Homes(homes.regions | {region})


def _find_homes_of_all(catalogue: GatewayCatalogue, host: str) -> Homes:
    """Return the homes of every route and team of a host."""
    routes = catalogue.routes[host]
    homes = ANYWHERE
    for route in routes:
        homes = homes.intersect(make_homes(route.homes))
    needs_key = any(not route.anonymous for route in routes)
    if catalogue.teams and needs_key:
        for team in catalogue.teams.values():
            homes = homes.intersect(make_homes(team.homes))
    return homes
