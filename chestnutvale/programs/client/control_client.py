"""HTTP client of the controls: finds the leader and resends lost requests."""

import json
import time
from collections.abc import Callable
from types import TracebackType
from typing import Any, Self

import attrs
import urllib3

from chestnutvale.clock import Clock, SystemClock
from chestnutvale.programs.client.const import (
    ATTEMPT_TIMEOUT_S,
    CONNECT_TIMEOUT_S,
    MAX_REDIRECTS,
    MAX_RESPONSE_BYTES,
    MIN_ATTEMPT_S,
    RESPONSE_MARGIN_S,
    RETRY_INTERVAL_S,
    STEP_ANSWER,
    STEP_CONNECT,
)
from chestnutvale.programs.client.exceptions import (
    ConflictError,
    InvalidTextError,
    OutcomeUnknownError,
    RefusedError,
    UnreachableError,
)
from chestnutvale.programs.control.operator_const import (
    CODE_CONFLICT,
    HEADER_DEADLINE,
    HEADER_OPERATOR,
)
from chestnutvale.schema.settings_pb2 import ClientSettings
from chestnutvale.settings.exceptions import SettingsError
from chestnutvale.settings.validation import split_address

_NOT_SENT_ERRORS = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)


@attrs.frozen
class _Response:
    status: int
    data: dict[str, Any]
    peer: str


@attrs.define
class _CommandState:
    """Progress of one command over all attempts to run it.

    Attributes
    ----------
    is_mutation : bool
        Whether the command changes the state of the cluster.
    deadline_s : float
        Monotonic time in seconds at which to give up.
    maybe_run : bool
        Whether an attempt to change state had an unknown outcome.
    last_failure : str
        Why the last attempt failed; once an attempt may have been executed, why the
        last such attempt failed.
    last_peer : str
        Address of the control that ``last_failure`` is about; once an attempt may have
        been executed, those of all controls that may have executed one.
    """

    is_mutation: bool
    deadline_s: float
    maybe_run: bool = False
    last_failure: str = "no control was contacted"
    last_peer: str = ""
    _unresolved_peers: dict[str, None] = attrs.field(factory=dict, init=False)

    def record_failure(self, reason: str, peer: str, maybe_run: bool) -> None:
        is_unresolved = maybe_run and self.is_mutation
        if self.maybe_run and not is_unresolved:
            # Later failures must not hide the control that may have run the command.
            return
        self.last_failure = reason
        self.last_peer = peer
        self.maybe_run = is_unresolved
        if is_unresolved:
            self._unresolved_peers[peer] = None
            self.last_peer = ", ".join(self._unresolved_peers)


class ControlClient:
    """Sends operators' commands to the leading control; a context manager.

    Every command is safe to resend: a configuration text is identified by its number
    and digest, and all other commands are idempotent.

    Parameters
    ----------
    settings : ClientSettings
        Addresses of the controls and the timeout of a command.
    token : str
        Operator token, sent as a bearer token.
    operator : str, optional
        Name of the operator, stored with an accepted text.
    clock : Clock, optional
        Source of time.
    sleep : callable, optional
        Waits a number of seconds.
    """

    def __init__(
        self,
        settings: ClientSettings,
        token: str,
        operator: str = "",
        clock: Clock | None = None,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self._addresses = [control.http_address for control in settings.controls]
        self._timeout_s = settings.timeout_ms / 1000
        self._headers = {"Authorization": f"Bearer {token}"}
        if operator:
            self._headers[HEADER_OPERATOR] = operator
        self._clock = clock or SystemClock()
        self._sleep = sleep
        self._pool = urllib3.PoolManager(retries=False)

    def __enter__(self) -> Self:
        """Return itself."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close all connections."""
        self._pool.clear()

    def call(
        self, method: str, path: str, body: bytes = b"", *, is_mutation: bool = False
    ) -> dict[str, Any]:
        """Send a command to the leader; retry until it responds or the timeout ends.

        Parameters
        ----------
        method : str
            HTTP method.
        path : str
            Request path, one of the ``PATH_*`` constants with an optional query.
        body : bytes, optional
            Request body.
        is_mutation : bool, optional
            Whether the command changes state, so that its outcome is unknown after a
            lost response.

        Returns
        -------
        dict
            JSON body of the response.

        Raises
        ------
        UnreachableError
            If no control responded and the command was certainly not executed.
        OutcomeUnknownError
            If the command may have been executed.
        RefusedError
            If the leader refused the command, or one of its subclasses
            ``ConflictError`` and ``InvalidTextError``.
        """
        command = _CommandState(is_mutation, self._clock.now_s() + self._timeout_s)
        while self._clock.now_s() < command.deadline_s:
            response = self._try_all_controls(method, path, body, command)
            if response is not None:
                return self._handle_response(response, command)
            self._sleep(RETRY_INTERVAL_S)
        raise self._make_failure(command)

    def query_process(self, address: str, path: str) -> dict[str, Any]:
        """Send a GET request to one process, whether or not it leads.

        Parameters
        ----------
        address : str
            IP address and HTTP port of the process.
        path : str
            Request path.

        Returns
        -------
        dict
            JSON body of the response.

        Raises
        ------
        UnreachableError
            If the process did not respond.
        RefusedError
            If the process refused the request.
        """
        command = _CommandState(False, self._clock.now_s() + self._timeout_s)
        response = self._try_control("GET", address, path, b"", command)
        if response is None:
            raise self._make_failure(command)
        return self._handle_response(response, command)

    def _try_all_controls(
        self, method: str, path: str, body: bytes, command: _CommandState
    ) -> _Response | None:
        for address in tuple(self._addresses):
            response = self._follow_redirects(method, address, path, body, command)
            if response is not None:
                return response
        return None

    def _follow_redirects(
        self, method: str, address: str, path: str, body: bytes, command: _CommandState
    ) -> _Response | None:
        for _ in range(MAX_REDIRECTS):
            response = self._try_control(method, address, path, body, command)
            if response is None or response.status != 421:
                return response
            command.record_failure("another control leads", address, maybe_run=False)
            leader = str(response.data.get("leader_http_address", ""))
            if not _is_address(leader):
                return None
            address = leader
        return None

    def _try_control(
        self, method: str, address: str, path: str, body: bytes, command: _CommandState
    ) -> _Response | None:
        """Send one request; return None if another control should be tried."""
        remaining_s = command.deadline_s - self._clock.now_s()
        if remaining_s < MIN_ATTEMPT_S:
            # Its answer could not arrive in time, and its outcome would be unknown.
            return None
        timeout_s = min(remaining_s, ATTEMPT_TIMEOUT_S)
        try:
            status, data = self._send_request(method, address, path, body, timeout_s)
        except _NOT_SENT_ERRORS as error:
            command.record_failure(
                f"cannot connect: {_describe_error(error)}", address, maybe_run=False
            )
            return None
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            command.record_failure(
                f"no complete response: {_describe_error(error)}",
                address,
                maybe_run=True,
            )
            return None
        if status >= 500:
            detail = str(data.get("detail", f"status {status}"))
            not_run = data.get("outcome") == "not_run"
            command.record_failure(detail, address, maybe_run=not not_run)
            return None
        return _Response(status, data, address)

    def _send_request(
        self, method: str, address: str, path: str, body: bytes, timeout_s: float
    ) -> tuple[int, dict[str, Any]]:
        server_deadline_ms = int(
            max(timeout_s - RESPONSE_MARGIN_S, timeout_s / 2) * 1000
        )
        response = self._pool.request(
            method,
            f"http://{address}{path}",
            body=body or None,
            headers={**self._headers, HEADER_DEADLINE: str(max(server_deadline_ms, 1))},
            timeout=urllib3.Timeout(
                connect=min(timeout_s, CONNECT_TIMEOUT_S), read=timeout_s
            ),
            redirect=False,
            preload_content=False,
        )
        try:
            raw = response.read(MAX_RESPONSE_BYTES)
        finally:
            response.release_conn()
        data = json.loads(raw)
        if not isinstance(data, dict):
            raise ValueError("the response is not a JSON object")
        return response.status, data

    def _handle_response(
        self, response: _Response, command: _CommandState
    ) -> dict[str, Any]:
        if response.status == 200:
            return response.data
        code = response.data.get("code")
        if code == CODE_CONFLICT:
            # A taken number is final, so no earlier attempt can still be accepted.
            raise ConflictError(response.data, peer=response.peer)
        if command.maybe_run:
            raise OutcomeUnknownError(
                "the outcome of an earlier attempt is unknown "
                f"({command.last_failure}), and a later one was refused: "
                f"{response.data.get('detail', '')}",
                step=STEP_ANSWER,
                peer=command.last_peer,
            )
        if code == InvalidTextError.code:
            raise InvalidTextError(response.data, peer=response.peer)
        raise RefusedError(response.data, peer=response.peer)

    def _make_failure(
        self, command: _CommandState
    ) -> OutcomeUnknownError | UnreachableError:
        if command.maybe_run:
            return OutcomeUnknownError(
                "the command may have been executed; send it again: "
                f"{command.last_failure}",
                step=STEP_ANSWER,
                peer=command.last_peer,
            )
        return UnreachableError(
            command.last_failure, step=STEP_CONNECT, peer=command.last_peer
        )


def _is_address(address: str) -> bool:
    try:
        split_address(address, "leader_http_address", "answer")
    except SettingsError:
        return False
    return True


def _describe_error(error: Exception) -> str:
    return f"{type(error).__name__}: {error}"
