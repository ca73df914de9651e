"""`coltsfootshift`: the operators' command line. It reads and explains, and changes nothing.

Exit status: 0 done, 1 the answer is no (a check failed, an instance is behind or unreachable, a
catalogue differs, a request is not remembered), 2 wrong use, 3 the platform could not be reached.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import defopt

from coltsfootshift.cli.audit import AuditFilter, print_audit
from coltsfootshift.cli.checks import CatalogueFileError, check_file, print_difference
from coltsfootshift.cli.client import ReadError
from coltsfootshift.cli.explain import print_explanation
from coltsfootshift.cli.rollout import print_rollout
from coltsfootshift.cli.status import print_status
from coltsfootshift.cli.trace import print_trace

__all__ = ["main"]

EXIT_NO = 1
EXIT_WRONG_USE = 2
EXIT_UNREACHABLE = 3


def status(*, platform: str, json: bool = False) -> int:
    """Show the fleet at a glance: revisions, problems, rollouts, quarantines, limits.

    Exit status 1 means that an instance is behind or unreachable, or that an entry is invalid.

    :param platform: address of the platform's service, as http://IP:PORT
    :param json: print JSON instead of a table
    """
    return 0 if print_status(platform, json) else EXIT_NO


def check(file: Path) -> int:
    """Check a catalogue file: a JSON object of KIND/NAME keys and entries.

    Exit status 1 means that an entry breaks a rule; each problem is printed.

    :param file: the catalogue file
    """
    return 0 if check_file(file) else EXIT_NO


def rollout(service: str, *, platform: str, follow: bool = False, seconds: float = 600.0) -> int:
    """Show the rollout of a service: phase, share of chunks and digest served, by instance.

    Exit status 0 means that every live instance serves the version that the catalogue names.

    :param service: the service whose engines are shown
    :param platform: address of the platform's service, as http://IP:PORT
    :param follow: print every change until all are live
    :param seconds: how long to follow at most
    """
    return 0 if print_rollout(platform, service, follow, seconds) else EXIT_NO


def trace(request: str, *files: Path) -> int:
    """Show the way of a request through the logs of the processes on the users' platform.

    Before the lines of each process stand the last changes of what it believed. Exit status 1
    means that no file names the request.

    :param request: the id of the request
    :param files: log files, one or more processes in each
    """
    return 0 if print_trace(request, list(files)) else EXIT_NO


def diff(file: Path, *, platform: str, json: bool = False) -> int:
    """Show what a catalogue file would change at the platform, by entry and field.

    Exit status 1 means that something differs.

    :param file: the catalogue file
    :param platform: address of the platform's service, as http://IP:PORT
    :param json: print JSON instead of lines
    """
    return 0 if print_difference(file, platform, json) else EXIT_NO


def audit(
    *,
    platform: str,
    entry: str = "",
    owner: str = "",
    since: float | None = None,
    until: float | None = None,
    json: bool = False,
) -> int:
    """Show who changed which entry from what to what, and when it was in force everywhere.

    Exit status 1 means that an instance did not answer.

    :param platform: address of the platform's service, as http://IP:PORT
    :param entry: only this entry, as KIND/NAME
    :param owner: only entries of this owner
    :param since: only from this time on, in seconds since the epoch
    :param until: only up to this time, in seconds since the epoch
    :param json: print JSON instead of a table
    """
    wanted = AuditFilter(entry, owner, since, until)
    return 0 if print_audit(platform, wanted, json) else EXIT_NO


def explain(request: str, *, platform: str, json: bool = False) -> int:
    """Show why a request was routed, refused or limited so.

    Exit status 1 means that no entry remembers the request.

    :param request: id of the request, from its answer
    :param platform: address of the platform's service, as http://IP:PORT
    :param json: print JSON instead of lines
    """
    return 0 if print_explanation(platform, request, json) else EXIT_NO


def main() -> None:
    """Entry point of `coltsfootshift`."""
    catalogue: dict[str, Callable[..., int]] = {"check": check, "diff": diff}
    commands: Any = {
        "status": status,
        "catalogue": catalogue,
        "audit": audit,
        "explain": explain,
        "rollout": rollout,
        "trace": trace,
    }
    try:
        sys.exit(defopt.run(commands))
    except CatalogueFileError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_WRONG_USE)
    except ReadError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_UNREACHABLE)


if __name__ == "__main__":
    main()
