"""HTTP server for operators, in every process: status, metrics, audit trail and decisions."""

from __future__ import annotations

import json
from collections.abc import Callable
from math import isfinite
from typing import Any

from klein import Klein

from coltsfootshift.audit import AuditTrail
from coltsfootshift.catalogue.view import CatalogueView
from coltsfootshift.decisions import DecisionLog
from coltsfootshift.errors import ColtsfootshiftError
from coltsfootshift.metrics import Metrics
from coltsfootshift.request_bodies import make_site

__all__ = ["ArgumentError", "OperatorHttpServer"]

STATUS_BAD_REQUEST = 400


class ArgumentError(ColtsfootshiftError):
    """A query argument is unknown or has an invalid value."""


class OperatorHttpServer:
    """Read-only pages for operators; `started_at` is wall time in seconds since the epoch."""

    def __init__(
        self,
        describe: Callable[[], dict[str, Any]],
        metrics: Metrics,
        audit: AuditTrail,
        decisions: DecisionLog,
        view: CatalogueView,
        started_at: float,
    ) -> None:
        self._describe = describe
        self._metrics = metrics
        self._audit = audit
        self._decisions = decisions
        self._view = view
        self._started_at = started_at
        self.app = Klein()
        self.app.handle_errors(ArgumentError)(_refuse)
        self.app.route("/status")(self._status)
        self.app.route("/metrics")(self._metrics_text)
        self.app.route("/metrics.json")(self._metrics_json)
        self.app.route("/audit")(self._audit_json)
        self.app.route("/catalogue")(self._catalogue_json)
        self.app.route("/decisions")(self._decisions_json)

    def listen(self, reactor: Any, host: str, port: int) -> Any:
        """Start listening and return the listening port."""
        return reactor.listenTCP(port, make_site(self.app), interface=host)

    def _status(self, request: Any) -> bytes:
        _check_arguments(request, ())
        return _render_json(request, self._describe())

    def _metrics_text(self, request: Any) -> bytes:
        _check_arguments(request, ())
        request.setHeader("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
        return self._metrics.render_text().encode()

    def _metrics_json(self, request: Any) -> bytes:
        _check_arguments(request, ())
        return _render_json(request, self._metrics.snapshot())

    def _audit_json(self, request: Any) -> bytes:
        _check_arguments(request, ("key", "owner", "since", "until"))
        records = self._audit.list_records(
            _read_text(request, "key"),
            _read_text(request, "owner"),
            _read_time(request, "since", 0.0),
            _read_time(request, "until", float("inf")),
        )
        return _render_json(request, {"started_at": self._started_at, "records": records})

    def _catalogue_json(self, request: Any) -> bytes:
        _check_arguments(request, ("kind",))
        texts = self._view.list_texts(_read_text(request, "kind"))
        entries = {key: json.loads(text) for key, text in texts.items()}
        return _render_json(request, {"revision": self._view.revision, "entries": entries})

    def _decisions_json(self, request: Any) -> bytes:
        _check_arguments(request, ("request",))
        name = _read_text(request, "request")
        if not name:
            raise ArgumentError("request: the id of a request is needed")
        return _render_json(request, {"decisions": self._decisions.find(name)})


def _refuse(request: Any, failure: Any) -> bytes:
    request.setResponseCode(STATUS_BAD_REQUEST)
    return _render_json(request, {"error": failure.getErrorMessage()})


def _render_json(request: Any, content: Any) -> bytes:
    request.setHeader("Content-Type", "application/json")
    return json.dumps(content).encode()


def _check_arguments(request: Any, allowed: tuple[str, ...]) -> None:
    for raw in request.args:
        name = raw.decode(errors="replace")
        if name not in allowed:
            listed = ", ".join(allowed) or "none"
            raise ArgumentError(f"{name}: unknown argument; allowed: {listed}")


def _read_text(request: Any, name: str) -> str:
    values = request.args.get(name.encode(), [b""])
    if len(values) > 1:
        raise ArgumentError(f"{name}: given {len(values)} times; once is allowed")
    try:
        return values[0].decode()
    except UnicodeDecodeError as error:
        raise ArgumentError(f"{name}: is not UTF-8") from error


def _read_time(request: Any, name: str, default: float) -> float:
    text = _read_text(request, name)
    if not text:
        return default
    try:
        value = float(text)
    except ValueError as error:
        raise ArgumentError(f"{name}: {text!r} is not a time in seconds") from error
    if not isfinite(value):
        raise ArgumentError(f"{name}: {text!r} is not a finite time")
    return value
