"""`coltsfootshift`, the command-line tool for operators. All commands are read-only.

Exit status: 0 on success; 1 on a negative result (a check failed, an instance is behind or
unreachable, a catalogue differs, no entry has a record of the request); 2 on a usage error; 3 if
the platform could not be reached.
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

EXIT_NEGATIVE_RESULT = 1
EXIT_USAGE_ERROR = 2
EXIT_PLATFORM_UNREACHABLE = 3


def status(*, platform: str, json: bool = False) -> int:
    """Show a summary of the fleet: revisions, problems, rollouts, quarantines and limits.

    The exit status is 1 if an instance is behind or unreachable, or if a catalogue entry is
    invalid.

    :param platform: URL of the platform's service, as http://IP:PORT
    :param json: print JSON instead of a table
    """
    return 0 if print_status(platform, json) else EXIT_NEGATIVE_RESULT


def check(file: Path) -> int:
    """Validate a catalogue file, a JSON object that maps KIND/NAME keys to entries.

    Prints each problem. The exit status is 1 if an entry is invalid.

    :param file: the catalogue file
    """
    return 0 if check_file(file) else EXIT_NEGATIVE_RESULT


def rollout(service: str, *, platform: str, follow: bool = False, seconds: float = 600.0) -> int:
    """Show the rollout of a service: phase, share of chunks staged and digest served per instance.

    The exit status is 0 if every instance that is not leaving serves the version that the
    catalogue names, and 1 otherwise.

    :param service: name of the service
    :param platform: URL of the platform's service, as http://IP:PORT
    :param follow: keep printing changes until every instance serves the version
    :param seconds: maximum time to follow, in seconds
    """
    return 0 if print_rollout(platform, service, follow, seconds) else EXIT_NEGATIVE_RESULT


def trace(request: str, *files: Path) -> int:
    """Show the log lines of a request, in order of time, from the log files of several processes.

    Before each line, the preceding state changes that the same process logged are printed.
    The exit status is 1 if no file mentions the request.

    :param request: ID of the request
    :param files: log files; a file may hold the lines of several processes
    """
    return 0 if print_trace(request, list(files)) else EXIT_NEGATIVE_RESULT


def diff(file: Path, *, platform: str, json: bool = False) -> int:
    """Compare a catalogue file with the platform's catalogue, by entry and field.

    The exit status is 1 if they differ.

    :param file: the catalogue file
    :param platform: URL of the platform's service, as http://IP:PORT
    :param json: print JSON instead of lines
    """
    return 0 if print_difference(file, platform, json) else EXIT_NEGATIVE_RESULT


def audit(
    *,
    platform: str,
    entry: str = "",
    owner: str = "",
    since: float | None = None,
    until: float | None = None,
    json: bool = False,
) -> int:
    """Show the history of catalogue changes: owner, difference, and when each came into force.

    The exit status is 1 if an instance did not respond.

    :param platform: URL of the platform's service, as http://IP:PORT
    :param entry: show only this entry, as KIND/NAME
    :param owner: show only entries of this owner
    :param since: show only changes from this time on, in seconds since the epoch
    :param until: show only changes up to this time, in seconds since the epoch
    :param json: print JSON instead of a table
    """
    audit_filter = AuditFilter(entry, owner, since, until)
    return 0 if print_audit(platform, audit_filter, json) else EXIT_NEGATIVE_RESULT


def explain(request: str, *, platform: str, json: bool = False) -> int:
    """Show the recorded decisions on a request: why it was routed, refused or limited.

    The exit status is 1 if no entry has a record of the request.

    :param request: ID of the request, as given in the response
    :param platform: URL of the platform's service, as http://IP:PORT
    :param json: print JSON instead of lines
    """
    return 0 if print_explanation(platform, request, json) else EXIT_NEGATIVE_RESULT


def main() -> None:
    """Run the `coltsfootshift` command."""
    catalogue: dict[str, Callable[..., int]] = {"check": check, "diff": diff}
    commands: Any = {
        "status": status,
        "catalogue": catalogue,
        "audit": audit,
        "explain": explain,
        "rollout": rollout,
        "trace": trace,
    }
    # defopt parses the documentation of every command that it is given.
    chosen = {name: commands[name] for name in sys.argv[1:2] if name in commands}
    try:
        sys.exit(defopt.run(chosen or commands))
    except CatalogueFileError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_USAGE_ERROR)
    except ReadError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_PLATFORM_UNREACHABLE)


if __name__ == "__main__":
    main()
