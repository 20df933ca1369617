"""What operators and endpoints speak with a control."""

from collections.abc import Callable, Iterable
from typing import Any, Protocol

import attrs

from chestnutvale.clock import Clock
from chestnutvale.http_server.problem import Problem
from chestnutvale.http_server.views import WsgiApp, make_health_check, make_json_view
from chestnutvale.observability.metrics import Metrics
from chestnutvale.programs.control.group_task import OrderTransport
from chestnutvale.programs.control.host_announcement_handler import (
    HostAnnouncementHandler,
)
from chestnutvale.programs.control.operations import ControlOperations
from chestnutvale.programs.control.operator_api import OperatorApi
from chestnutvale.programs.control.order_sender import OrderSender


@attrs.frozen
class ControlParts:
    """The parts of a control that an interface builds on.

    Attributes
    ----------
    operations : ControlOperations
        What operators may ask.
    announcement_handler : HostAnnouncementHandler
        Takes what endpoints say of themselves.
    metrics : Metrics
        The metrics of the process.
    is_ready, is_alive : callable
        Tell whether a leader is known, and whether the process works.
    dump : callable
        Gives the state of the process.
    clock : Clock
        Source of time.
    """

    operations: ControlOperations
    announcement_handler: HostAnnouncementHandler
    metrics: Metrics
    is_ready: Callable[[], bool]
    is_alive: Callable[[], bool]
    dump: Callable[[], dict[str, Any]]
    clock: Clock


class ControlInterface(Protocol):
    """Serves operators and endpoints in one way of speaking."""

    def make_app(self, parts: ControlParts) -> WsgiApp:
        """Build what is served."""

    def make_order_transport(self, clock: Clock) -> OrderTransport:
        """Build what carries orders to endpoints."""


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
        """Build what is served.

        Parameters
        ----------
        parts : ControlParts
            The control.

        Returns
        -------
        WSGI application
            The application.
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
        """Build what carries orders to endpoints.

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
