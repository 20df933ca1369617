"""Interfaces of a control for operators and endpoints."""

from collections.abc import Callable, Iterable
from typing import Any, Protocol

import attrs

from chestnutvale.clock import Clock
from chestnutvale.http_server.problem import Problem
from chestnutvale.http_server.views import WsgiApp, make_health_check, make_json_view
from chestnutvale.observability.deferred_metrics import DeferredMetrics
from chestnutvale.programs.control.group_task import OrderTransport
from chestnutvale.programs.control.host_announcement_handler import (
    HostAnnouncementHandler,
)
from chestnutvale.programs.control.operations import ControlOperations
from chestnutvale.programs.control.operator_api import OperatorApi
from chestnutvale.programs.control.order_sender import OrderSender


@attrs.frozen
class ControlParts:
    """Components of a control that an interface uses.

    Attributes
    ----------
    operations : ControlOperations
        Executes operator requests.
    announcement_handler : HostAnnouncementHandler
        Accepts announcements of hosts.
    metrics : DeferredMetrics
        Metrics of the process.
    is_ready, is_alive : callable
        Readiness (a leader is known) and liveness of the process.
    dump : callable
        Returns the state of the process, without secrets.
    clock : Clock
        Source of time.
    """

    operations: ControlOperations
    announcement_handler: HostAnnouncementHandler
    metrics: DeferredMetrics
    is_ready: Callable[[], bool]
    is_alive: Callable[[], bool]
    dump: Callable[[], dict[str, Any]]
    clock: Clock


class ControlInterface(Protocol):
    """Serves operators and endpoints with one set of protocols."""

    def make_app(self, parts: ControlParts) -> WsgiApp:
        """Build the WSGI application of the control."""

    def make_order_transport(self, clock: Clock) -> OrderTransport:
        """Build the transport of orders to endpoints."""


class NativeInterface:
    """The project's own interface for operators and engines.

    Parameters
    ----------
    token_digest : bytes
        Digest of the operator token.
    """

    def __init__(self, token_digest: bytes) -> None:
        self._token_digest = token_digest

    def make_app(self, parts: ControlParts) -> WsgiApp:
        """Build the WSGI application of the control.

        Parameters
        ----------
        parts : ControlParts
            Components that the application calls.

        Returns
        -------
        WSGI application
            Operator API, health checks, state dump and metrics.
        """
        operators = OperatorApi(self._token_digest, parts.operations, parts.clock)
        views = {
            "/healthz": make_health_check(parts.is_alive),
            "/readyz": make_health_check(parts.is_ready),
            "/debug/state": make_json_view(parts.dump),
            "/metrics": parts.metrics.view,
        }
        return _join_apps(operators, views)

    def make_order_transport(self, clock: Clock) -> OrderTransport:
        """Build the transport of orders to endpoints.

        Parameters
        ----------
        clock : Clock
            Source of time.

        Returns
        -------
        OrderTransport
            Sends orders of the endpoint protocol.
        """
        return OrderSender(clock)


def _join_apps(operators: OperatorApi, views: dict[str, WsgiApp]) -> WsgiApp:
    def app(
        environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        path = environ["PATH_INFO"]
        if operators.handles(path):
            return operators(environ, start_response)
        view = views.get(path)
        if view is not None:
            return view(environ, start_response)
        return Problem(404, "not_found", "no such call", step="route").respond(
            start_response
        )

    return app
