"""Asking the controls: find the leader, resend what got no answer."""

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
    """What is known so far about one command.

    Attributes
    ----------
    is_mutation : bool
        The command changes something.
    deadline_s : float
        When to give up.
    maybe_run : bool
        An attempt got no answer and may have been run.
    last_failure : str
        Why the last attempt gave no answer, or the last one that may have been run.
    last_peer : str
        Which control that was.
    """

    is_mutation: bool
    deadline_s: float
    maybe_run: bool = False
    last_failure: str = "no control is known"
    last_peer: str = ""

    def record_failure(self, reason: str, peer: str, maybe_run: bool) -> None:
        is_unresolved = maybe_run and self.is_mutation
        if self.maybe_run and not is_unresolved:
            # The operator must learn of the control that may have run the command.
            return
        self.last_failure = reason
        self.last_peer = peer
        self.maybe_run = is_unresolved


class ControlClient:
    """Sends operators' commands to whichever control leads; a context manager.

    Every command may be sent again: a text is told by number and digest, and the
    others lead to the same state when they are done twice.

    Parameters
    ----------
    settings : ClientSettings
        The controls and the timeout.
    token : str
        The operator token.
    operator : str, optional
        Name of the operator, kept with an accepted text.
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
        """Send a command until a control has answered it.

        Parameters
        ----------
        method : str
            HTTP method.
        path : str
            Path, one of the ``PATH_*`` constants.
        body : bytes, optional
            Body of the request.
        is_mutation : bool, optional
            Whether the command changes something, so that a lost answer matters.

        Returns
        -------
        dict
            The answer.

        Raises
        ------
        UnreachableError
            If no control answered; the command was not run.
        OutcomeUnknownError
            If the command may have been run.
        RefusedError
            If it was refused; ``ConflictError`` and ``InvalidTextError`` are kinds
            of it.
        """
        command = _CommandState(is_mutation, self._clock.now_s() + self._timeout_s)
        while self._clock.now_s() < command.deadline_s:
            response = self._try_all_controls(method, path, body, command)
            if response is not None:
                return self._handle_response(response, command)
            self._sleep(RETRY_INTERVAL_S)
        raise self._make_failure(command)

    def query_process(self, address: str, path: str) -> dict[str, Any]:
        """Ask one process, without looking for the leader.

        Parameters
        ----------
        address : str
            IP number and HTTP port.
        path : str
            Path of the request.

        Returns
        -------
        dict
            The answer.

        Raises
        ------
        UnreachableError
            If it did not answer.
        RefusedError
            If it refused.
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
        """Ask one control once; None if another one should be asked."""
        remaining_s = command.deadline_s - self._clock.now_s()
        if remaining_s <= 0:
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
                f"no whole answer: {_describe_error(error)}", address, maybe_run=True
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
            raise ValueError("the answer is no JSON object")
        return response.status, data

    def _handle_response(
        self, response: _Response, command: _CommandState
    ) -> dict[str, Any]:
        if response.status == 200:
            return response.data
        code = response.data.get("code")
        if code == CODE_CONFLICT:
            # The number is taken for good, so no earlier attempt can win it either.
            raise ConflictError(response.data, peer=response.peer)
        if command.maybe_run:
            raise OutcomeUnknownError(
                f"an earlier attempt got no answer ({command.last_failure}), and a "
                f"later one was refused: {response.data.get('detail', '')}",
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
                f"it may have been run, send it again: {command.last_failure}",
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
