"""A routed call, and the exchanges and attempts that are made for it."""

import attrs

from chestnutvale.attempts.answer_stream import AnswerStream
from chestnutvale.attempts.events import StartAttempt
from chestnutvale.groups.members import group_head
from chestnutvale.http_server.exceptions import AnswerBrokenError
from chestnutvale.programs.entry.context import CallRequest
from chestnutvale.programs.entry.entry_context import EntryContext
from chestnutvale.programs.entry.routed.attempt import RoutedAttempt
from chestnutvale.programs.entry.routed.caller_protocol import (
    CallerProtocol,
    ForwardingInfo,
    RoutedRequest,
)
from chestnutvale.programs.entry.routed.connections import ConnectionPool
from chestnutvale.programs.entry.routed.exchange import RoutedExchange
from chestnutvale.schema.configuration_pb2 import Route
from chestnutvale.schema.peer_pb2 import GroupView


@attrs.frozen
class RoutedCall:
    """A routed call that passed all checks.

    Attributes
    ----------
    request : RoutedRequest
        What the caller sent.
    body : bytes
        Its body.
    route : Route
        Its route.
    call_request : CallRequest
        The call as admission and routing know it.
    fingerprint : int
        64-bit fingerprint of the work asked for.
    """

    request: RoutedRequest
    body: bytes
    route: Route
    call_request: CallRequest
    fingerprint: int


class StreamAttempts:
    """Makes the attempts of one stream.

    Parameters
    ----------
    context : EntryContext
        The entry.
    protocol : CallerProtocol
        Translates headers.
    pool : ConnectionPool
        Connections to endpoints.
    call : RoutedCall
        The call.
    """

    def __init__(
        self,
        context: EntryContext,
        protocol: CallerProtocol,
        pool: ConnectionPool,
        call: RoutedCall,
    ) -> None:
        self._context = context
        self._protocol = protocol
        self._pool = pool
        self._call = call
        self._attempts: list[RoutedAttempt] = []

    @property
    def first_started_exchange(self) -> RoutedExchange:
        """Exchange of the first stream that began; its head is the caller's."""
        for attempt in self._attempts:
            if attempt.exchange.status and attempt.error_body is None:
                return attempt.exchange
        raise AnswerBrokenError("no stream has begun")

    def make_attempt(
        self, effect: StartAttempt, view: GroupView, answer: AnswerStream
    ) -> RoutedAttempt:
        """Make the next attempt.

        Parameters
        ----------
        effect : StartAttempt
            The attempt as the call decided it.
        view : GroupView
            The group that runs it.
        answer : AnswerStream
            What the caller has so far.

        Returns
        -------
        RoutedAttempt
            The attempt; not sent yet.
        """
        exchange = make_exchange(
            self._context,
            self._protocol,
            self._pool,
            self._call,
            view,
            answer.next_offset,
        )
        attempt = RoutedAttempt(
            effect.attempt_id,
            view,
            exchange,
            self._call.request,
            self._call.body,
            answer.next_offset,
        )
        self._attempts.append(attempt)
        return attempt

    def find_last_failed_attempt(self) -> RoutedAttempt | None:
        """Return the last attempt that the endpoint itself answered with a failure."""
        failed = [item for item in self._attempts if item.error_body is not None]
        return failed[-1] if failed else None


def make_exchange(
    context: EntryContext,
    protocol: CallerProtocol,
    pool: ConnectionPool,
    call: RoutedCall,
    view: GroupView,
    last_event: int,
) -> RoutedExchange:
    """Make the exchange of one attempt of a call.

    Parameters
    ----------
    context : EntryContext
        The entry.
    protocol : CallerProtocol
        Translates headers.
    pool : ConnectionPool
        Connections to endpoints.
    call : RoutedCall
        The call.
    view : GroupView
        The group; its head takes the call.
    last_event : int
        Number of the last event that the caller has.

    Returns
    -------
    RoutedExchange
        The exchange; not connected yet.
    """
    head = group_head(view.group)
    return RoutedExchange(
        pool,
        protocol,
        call.request,
        head.address,
        ForwardingInfo(head.host_id, call.call_request.workspace, 0, last_event),
        call.call_request.deadline_s,
        context.clock,
    )
