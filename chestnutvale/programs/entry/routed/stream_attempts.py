"""A validated routed call, and factories of its exchanges and stream attempts."""

from functools import partial

import attrs

from chestnutvale.attempts.answer_stream import AnswerStream
from chestnutvale.attempts.events import StartAttempt
from chestnutvale.groups.members import group_head
from chestnutvale.http_server.exceptions import AnswerBrokenError
from chestnutvale.membership.endpoint_notices import Incarnation
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
    """A routed call that has passed validation and authorisation.

    Attributes
    ----------
    request : RoutedRequest
        The caller's request.
    body : bytes
        Body of the request.
    route : Route
        The route that matches its host and path.
    call_request : CallRequest
        The call in the form that admission and group routing use.
    fingerprint : int
        64-bit hash of the request; identifies requests that crash endpoints.
    part_hashes : tuple of int
        Hashes of the parts of its prompt that other requests may share.
    """

    request: RoutedRequest
    body: bytes
    route: Route
    call_request: CallRequest
    fingerprint: int
    part_hashes: tuple[int, ...] = ()


class StreamAttempts:
    """Creates and records the attempts of one routed stream.

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
        """Exchange of the first stream that started; the caller gets its head."""
        for attempt in self._attempts:
            if attempt.has_started:
                return attempt.exchange
        raise AnswerBrokenError("no endpoint has started the stream")

    def make_attempt(
        self, effect: StartAttempt, view: GroupView, answer: AnswerStream
    ) -> RoutedAttempt:
        """Create the next attempt.

        Parameters
        ----------
        effect : StartAttempt
            The decision to start the attempt; has its ID.
        view : GroupView
            The group that runs it.
        answer : AnswerStream
            The part of the answer that the caller has received.

        Returns
        -------
        RoutedAttempt
            The attempt; its request is not sent yet.
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
        """Return the last attempt that an endpoint answered with an error status."""
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
    """Create the exchange of one attempt of a call.

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
        The group; the request is sent to its head host.
    last_event : int
        Number of the last event that the caller has received; 0 for none.

    Returns
    -------
    RoutedExchange
        The exchange; not connected yet.
    """
    head = group_head(view.group)
    endpoint = Incarnation.of_member(head)
    return RoutedExchange(
        pool,
        protocol,
        call.request,
        head.address,
        ForwardingInfo(head.host_id, call.call_request.workspace, 0, last_event),
        call.call_request.deadline_s,
        context.clock,
        partial(context.may_send, endpoint),
        partial(context.record_notice, endpoint),
        endpoint.boot_id,
        context.memory,
    )
