"""Settings of the daemons: JSON files, fully validated before any socket is opened."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Annotated, Any, Literal, TypeVar

import msgspec
from msgspec import Meta, Struct

from coltsfootshift.errors import SettingsError

__all__ = [
    "Address",
    "AgentSettings",
    "EndpointSettings",
    "EntrySettings",
    "KeySettings",
    "KeyValues",
    "ProcessSettings",
    "StreamTiming",
    "load_settings",
]

EXIT_BAD_SETTINGS = 2
EXIT_CANNOT_LISTEN = 3  # may pass, unlike wrong settings: another process holds a port

Port = Annotated[int, Meta(ge=1, le=65535)]
Host = Annotated[str, Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}$")]
Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9.-]{0,63}$")]
Url = Annotated[str, Meta(pattern=r"^http://\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]
Seconds = Annotated[float, Meta(gt=0, le=3600)]
KeyText = Annotated[str, Meta(pattern=r"^[!-~]{32,256}$")]
AcceptedKeys = Annotated[tuple[KeyText, ...], Meta(max_length=4)]

MIN_SILENT_HEARTBEATS = 2


class Address(Struct, frozen=True, forbid_unknown_fields=True):
    """An IPv4 address and a port."""

    host: Host
    port: Port


class StreamTiming(Struct, frozen=True, forbid_unknown_fields=True):
    """Timing of the streams between processes, in seconds.

    `heartbeat` is the interval of heartbeats on a stream in use, `slow_heartbeat` that on an idle
    stream. A peer silent for `silence` is treated as lost. `connect_timeout` limits dialling and
    `handshake` the handshake. The backoff delay between dials doubles from `retry_first` up to
    `retry_most`.
    """

    heartbeat: Seconds = 1.0
    slow_heartbeat: Seconds = 10.0
    silence: Seconds = 3.0
    connect_timeout: Seconds = 2.0
    handshake: Seconds = 2.0
    retry_first: Seconds = 0.1
    retry_most: Seconds = 5.0


class KeyValues(Struct, frozen=True, forbid_unknown_fields=True):
    """Shared keys: `prove` is the key used toward peers, `accept` lists further accepted keys."""

    prove: KeyText
    accept: AcceptedKeys = ()


class KeySettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Source of the keys: a separate file, reloaded when it changes, or values given inline."""

    file: str | None = None
    values: KeyValues | None = None


class ProcessSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Settings common to all processes: instance, location, ports and platform.

    `seeds` are the peers to dial while no list of instances is available. `drain_seconds` is the
    maximum time to drain before the process stops. The first reads from the platform are
    delayed by a random time up to `first_read_seconds`, so that processes that start together
    do not read at the same time.
    """

    instance: Name
    region: Name
    failure_domain: Name
    platform: Url
    peers: Address
    operators: Address
    keys: KeySettings
    seeds: tuple[Address, ...] = ()
    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    streams: StreamTiming = StreamTiming()
    drain_seconds: Seconds = 60.0
    first_read_seconds: Seconds = 6.0


class EntrySettings(ProcessSettings, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Settings of an entry.

    `directory_lifetime` is how long callers may cache the directory, in seconds.
    """

    callers: Address
    directory_lifetime: Seconds = 5.0


class EndpointSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """The endpoint beside an agent.

    `lock_port` is a local port that an agent binds as a lock while it sends load orders, for
    engines that do not check fencing numbers.
    """

    kind: Literal["engine", "plain"]
    service: Name
    url: Url
    lock_port: Port | None = None


class AgentSettings(ProcessSettings, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Settings of an agent."""

    endpoint: EndpointSettings
    weight_store: Url
    weight_store_region: str = ""


_Settings = TypeVar("_Settings", bound=ProcessSettings)
_PATH_SUFFIX = re.compile(r" - at `\$?\.?(.*)`$")
_PATH_PART = re.compile(r"[^.\[\]]+")


def load_settings(path: Path, kind: type[_Settings]) -> _Settings:
    """Read and check a settings file.

    Raises `SettingsError`, which names the file, the path of the field, its value and the values
    allowed.
    """
    try:
        content = msgspec.json.decode(path.read_bytes())
    except OSError as error:
        raise SettingsError(f"{path}: cannot be read: {error.strerror}") from error
    except msgspec.DecodeError as error:
        raise SettingsError(f"{path}: is not JSON: {error}") from error
    try:
        settings = msgspec.convert(content, kind)
    except msgspec.ValidationError as error:
        raise SettingsError(_describe_error(path, content, str(error))) from error
    for rule in _RULES:
        problem = rule(settings)
        if problem:
            raise SettingsError(f"{path}: {problem}")
    return settings


def _check_timing(settings: ProcessSettings) -> str:
    timing = settings.streams
    minimum = timing.heartbeat * MIN_SILENT_HEARTBEATS
    if timing.silence > minimum:
        return ""
    return (
        f"streams.silence: {timing.silence:g} is not allowed: "
        f"more than {MIN_SILENT_HEARTBEATS} x streams.heartbeat = {minimum:g} is needed"
    )


def _check_retry(settings: ProcessSettings) -> str:
    timing = settings.streams
    if timing.retry_first <= timing.retry_most:
        return ""
    return (
        f"streams.retry_first: {timing.retry_first:g} is not allowed: "
        f"at most streams.retry_most = {timing.retry_most:g}"
    )


def _check_ports(settings: ProcessSettings) -> str:
    seen: dict[Address, str] = {}
    for name in ("peers", "operators", "callers"):
        address = getattr(settings, name, None)
        if address is None:
            continue
        if address in seen:
            return (
                f"{name}.port: {address.port} is not allowed: "
                f"{seen[address]} has the same host and port"
            )
        seen[address] = name
    return ""


def _check_lock_port(settings: ProcessSettings) -> str:
    endpoint = getattr(settings, "endpoint", None)
    if endpoint is None or endpoint.lock_port is None:
        return ""
    for name in ("peers", "operators"):
        if getattr(settings, name).port == endpoint.lock_port:
            return (
                f"endpoint.lock_port: {endpoint.lock_port} is not allowed: "
                f"{name} has the same port"
            )
    return ""


def _check_keys(settings: ProcessSettings) -> str:
    keys = settings.keys
    if (keys.file is None) == (keys.values is None):
        return "keys: exactly one of keys.file and keys.values is needed"
    if keys.file is None:
        return ""
    try:
        msgspec.json.decode(Path(keys.file).read_bytes(), type=KeyValues)
    except OSError as error:
        return f"keys.file: {keys.file!r} cannot be read: {error.strerror}"
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return f"keys.file: {keys.file!r} is not allowed: {error}"
    return ""


_RULES = (_check_timing, _check_retry, _check_ports, _check_lock_port, _check_keys)


def _describe_error(path: Path, content: Any, text: str) -> str:
    match = _PATH_SUFFIX.search(text)
    if match is None:
        return f"{path}: {text}"
    field = match.group(1)
    value = "(hidden)" if field.startswith("keys.values") else repr(find_value(content, field))
    return f"{path}: {field}: {value} is not allowed: {text[: match.start()]}"


def find_value(content: Any, field: str) -> Any:
    """Return the value at a dotted path of a JSON document, or None if it does not exist.

    >>> find_value({"seeds": [{"port": 7}]}, "seeds[0].port")
    7
    """
    for part in _PATH_PART.findall(field):
        if isinstance(content, list) and part.isdigit() and int(part) < len(content):
            content = content[int(part)]
        elif isinstance(content, dict):
            content = content.get(part)
        else:
            return None
    return content
