"""Passes the calls of an isolated entry on to other entries."""

import contextlib
from collections.abc import Iterator
from functools import partial
from typing import Any

import attrs
import eventlet
import logbook

from chestnutvale.attempts.const import (
    CODE_CALLER_GONE,
    CODE_DEADLINE,
    CODE_NONE_AVAILABLE,
    OUTCOME_NOT_RUN,
    OUTCOME_UNKNOWN,
)
from chestnutvale.attempts.events import Failure
from chestnutvale.http_client.answer_parser import AnswerHead
from chestnutvale.http_server.const import (
    ENDED_BY_CALLER,
    ENDED_BY_PEER,
    ENDED_BY_SERVER,
)
from chestnutvale.http_server.exceptions import AnswerBrokenError
from chestnutvale.programs.entry.caller_watch import CallerWatch
from chestnutvale.programs.entry.const import STEP_CONNECT
from chestnutvale.programs.entry.entry_context import EntryContext
from chestnutvale.programs.entry.exceptions import (
    EndpointBrokenError,
    EndpointSilentError,
    EndpointUnreachableError,
)
from chestnutvale.programs.entry.peers.choice import PeerChoice
from chestnutvale.programs.entry.peers.const import (
    MAX_PEERS_TRIED,
    NO_PEER_RETRY_AFTER_S,
    PEER_ANSWER_MARGIN_S,
    PEER_LIST_POLL_INTERVAL_S,
    PEER_LIST_WAIT_S,
)
from chestnutvale.programs.entry.peers.exchange import PeerExchange
from chestnutvale.programs.entry.routed.caller_protocol import CallerProtocol
from chestnutvale.programs.entry.routed.stream_attempts import RoutedCall

_LOGGER = logbook.Logger(__name__)

_CALLER_GONE_MESSAGE = "the caller closed the connection"


@attrs.frozen
class RelayedAnswer:
    """An answer of another entry, whose body is still being received.

    Attributes
    ----------
    head : AnswerHead
        Status and headers.
    body : RelayedBody
        The body.
    peer : str
        Address of the other entry.
    """

    head: AnswerHead
    body: "RelayedBody"
    peer: str


class RelayedBody:
    """Iterates over the body of an answer and closes the exchange at its end.

    Parameters
    ----------
    exchange : PeerExchange
        The exchange whose answer it reads.
    first_part : bytes
        What was read of the body before; empty if the body is.
    deadline_s : float
        Monotonic time in seconds until which it reads.
    resources : ExitStack
        What to release at the end.
    watch : CallerWatch
        Tells whether the caller has left.
    """

    def __init__(
        self,
        exchange: PeerExchange,
        first_part: bytes,
        deadline_s: float,
        resources: contextlib.ExitStack,
        watch: CallerWatch,
    ) -> None:
        self._watch = watch
        self._exchange = exchange
        self._first_part = first_part
        self._deadline_s = deadline_s
        self._resources = resources

    def __iter__(self) -> Iterator[bytes]:
        """Yield the parts of the body as they arrive."""
        with self._resources:
            try:
                data, self._first_part = self._first_part, b""
                while data:
                    yield data
                    data = self._exchange.read(self._deadline_s)
            except (EndpointBrokenError, EndpointSilentError) as error:
                raise self._make_broken_error(error) from error

    def close(self) -> None:
        """Release the exchange; the peer cancels a call that still runs."""
        self._resources.close()

    def _make_broken_error(
        self, error: EndpointBrokenError | EndpointSilentError
    ) -> AnswerBrokenError:
        if self._watch.is_disconnected:
            return AnswerBrokenError(
                _CALLER_GONE_MESSAGE, ENDED_BY_CALLER, CODE_CALLER_GONE
            )
        if isinstance(error, EndpointSilentError):
            return AnswerBrokenError(error.message, ENDED_BY_SERVER, CODE_DEADLINE)
        return AnswerBrokenError(error.message, ENDED_BY_PEER, error.code)


class PeerRelay:
    """Passes calls on to other entries.

    Parameters
    ----------
    context : EntryContext
        The entry; knows the peers.
    protocol : CallerProtocol
        Makes the headers of the requests.
    """

    def __init__(self, context: EntryContext, protocol: CallerProtocol) -> None:
        self._context = context
        self._protocol = protocol
        self._choice = PeerChoice(context.rng)

    def relay(
        self, call: RoutedCall, environ: dict[str, Any]
    ) -> RelayedAnswer | Failure:
        """Pass a call on and wait until the body of the answer begins.

        Parameters
        ----------
        call : RoutedCall
            The call; no endpoint has run it.
        environ : dict
            The WSGI environment; its body must have been read.

        Returns
        -------
        RelayedAnswer or Failure
            The answer, which must be iterated or closed.
        """
        if call.call_request.deadline_s <= self._context.clock.now_s():
            return Failure(CODE_DEADLINE, OUTCOME_NOT_RUN, "the deadline passed")
        with contextlib.ExitStack() as resources:
            watch = resources.enter_context(CallerWatch(environ))
            exchange = self._connect(call, resources)
            if exchange is None:
                return Failure(
                    CODE_NONE_AVAILABLE,
                    OUTCOME_NOT_RUN,
                    "this entry reaches neither endpoints nor another entry",
                    STEP_CONNECT,
                    "",
                    NO_PEER_RETRY_AFTER_S,
                )
            if watch.is_disconnected:
                return _make_caller_gone_failure(OUTCOME_NOT_RUN)
            watch.set_disconnect_callback(exchange.abort)
            deadline_s = call.call_request.deadline_s + PEER_ANSWER_MARGIN_S
            try:
                head = self._send(call, exchange, deadline_s)
                # Until the body begins, an error status can still tell that it broke.
                first_part = exchange.read(deadline_s)
            except (EndpointBrokenError, EndpointSilentError) as error:
                if watch.is_disconnected:
                    return _make_caller_gone_failure(OUTCOME_UNKNOWN)
                is_late = isinstance(error, EndpointSilentError)
                code = CODE_DEADLINE if is_late else error.code
                return Failure(
                    code, OUTCOME_UNKNOWN, error.message, error.step, exchange.address
                )
            body = RelayedBody(
                exchange, first_part, deadline_s, resources.pop_all(), watch
            )
            return RelayedAnswer(head, body, exchange.address)

    def _connect(
        self, call: RoutedCall, resources: contextlib.ExitStack
    ) -> PeerExchange | None:
        self._wait_for_peers()
        tried: set[str] = set()
        while len(tried) < MAX_PEERS_TRIED:
            address = self._choice.choose(self._context.peers, tried)
            if not address:
                return None
            tried.add(address)
            exchange = PeerExchange(address, self._context.clock)
            try:
                exchange.connect()
            except EndpointUnreachableError as error:
                _LOGGER.info(
                    "peer_unreachable",
                    extra={
                        "request": call.request.request_id,
                        "peer": address,
                        "reason": error.message,
                    },
                )
                continue
            resources.enter_context(exchange)
            self._choice.call_started(address)
            resources.callback(partial(self._choice.call_ended, address))
            return exchange
        return None

    def _wait_for_peers(self) -> None:
        wait_until_s = self._context.clock.now_s() + PEER_LIST_WAIT_S
        while not self._context.peers and self._context.clock.now_s() < wait_until_s:
            eventlet.sleep(PEER_LIST_POLL_INTERVAL_S)

    def _send(
        self, call: RoutedCall, exchange: PeerExchange, deadline_s: float
    ) -> AnswerHead:
        request = call.request
        remaining_s = call.call_request.deadline_s - self._context.clock.now_s()
        remaining_ms = max(1, round(1_000 * remaining_s))
        _LOGGER.info(
            "call_relayed",
            extra={
                "request": request.request_id,
                "peer": exchange.address,
                "left_ms": remaining_ms,
            },
        )
        headers = self._protocol.make_relay_headers(request, remaining_ms)
        return exchange.send(
            request.method, request.target, headers, call.body, deadline_s
        )


def _make_caller_gone_failure(outcome: str) -> Failure:
    return Failure(CODE_CALLER_GONE, outcome, _CALLER_GONE_MESSAGE)
