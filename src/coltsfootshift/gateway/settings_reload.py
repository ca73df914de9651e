"""Follows changes of a process's settings file while the process runs."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Mapping
from dataclasses import dataclass

from coltsfootshift.errors import SettingsError
from coltsfootshift.logs import get_logger
from coltsfootshift.settings import Address

__all__ = ["NodeSettings", "SettingsReloader", "SettingsSource"]

logger = get_logger("gateway.settings")


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """The settings of a process.

    `seeds` may change while it runs. `fixed` maps the names of all others to their values, which
    take effect at its start only.
    """

    seeds: tuple[Address, ...]
    fixed: Mapping[str, object]


class SettingsSource(ABC):
    """The file that holds a process's settings; both methods raise `SettingsError`."""

    @abstractmethod
    def read(self) -> bytes:
        """Return the content of the file."""

    @abstractmethod
    def parse(self, content: bytes) -> NodeSettings:
        """Return the settings that the content holds."""


class SettingsReloader:
    """Decides what a settings file that is read again changes in the running process.

    Load pattern: all entries that the seeds name are lost, and the file names others some seconds
    after the processes have started again, without a signal. Contents are compared, since a file
    may be replaced by one of the same size and time. A file that is missing, incomplete or invalid
    changes nothing; neither does one without seeds, since a process without any could find no entry
    and would take itself for the only one. Such a problem is reported once, if two checks in a row
    find it: a file that is being written is whole soon after.
    """

    def __init__(self, source: SettingsSource, in_force: NodeSettings) -> None:
        self.problem = ""
        self._source = source
        self._in_force = in_force
        self._content: bytes | None = None
        self._reported = ""
        self._outdated: tuple[str, ...] = ()

    def check(self) -> tuple[Address, ...] | None:
        """Read the file; return the seeds if they have changed, otherwise None."""
        return self._load(is_requested=False)

    def reload(self) -> tuple[Address, ...]:
        """Read the file on request of the operator; return the seeds that are in force now.

        A problem is reported again, if the next check finds it too.
        """
        self._reported = ""
        self._load(is_requested=True)
        return self._in_force.seeds

    def _load(self, is_requested: bool) -> tuple[Address, ...] | None:
        previous, self._content = self._content, None
        try:
            self._content = self._source.read()
            if self._content == previous and not is_requested:
                self._report_problem(self.problem)
                return None
            settings = self._source.parse(self._content)
        except SettingsError as error:
            self._report_problem(str(error))
            return None
        if not settings.seeds and self._in_force.seeds:
            self._report_problem("seeds: none are named")
            return None
        self.problem = self._reported = ""
        self._report_outdated(settings.fixed)
        changed = settings.seeds != self._in_force.seeds
        self._in_force = NodeSettings(settings.seeds, self._in_force.fixed)
        if changed or is_requested:
            addresses = [f"{seed.host}:{seed.port}" for seed in settings.seeds]
            logger.info("settings reloaded", extra={"seeds": addresses})
        return settings.seeds if changed else None

    def _report_problem(self, problem: str) -> None:
        is_lasting = problem == self.problem != self._reported
        self.problem = problem
        if is_lasting:
            self._reported = problem
            logger.error("reload failed, previous settings kept", extra={"cause": problem})

    def _report_outdated(self, fixed: Mapping[str, object]) -> None:
        """Report which settings in force differ from the file, if these are others than before."""
        in_force = self._in_force.fixed
        names = {*fixed, *in_force}
        outdated = tuple(sorted(n for n in names if fixed.get(n) != in_force.get(n)))
        if outdated == self._outdated:
            return
        self._outdated = outdated
        logger.warning("settings differ until a restart", extra={"settings": list(outdated)})
