"""Reads one answer from a socket."""

from typing import Final

import eventlet

from chestnutvale.clock import Clock
from chestnutvale.http_client.answer_parser import AnswerHead, AnswerParser
from chestnutvale.http_client.collected_body import CollectedBody, CollectionBound
from chestnutvale.http_client.exceptions import (
    AnswerFormatError,
    AnswerLimitError,
    BodyTooLargeError,
)
from chestnutvale.http_client.piece_budget import PieceMeter, SharedPieceBudget
from chestnutvale.http_client.timed_socket import TimedSocket

PROCESS_PIECE_BUDGET: Final = SharedPieceBudget()


class AnswerReader:
    """Reads the head and the body of one answer, each call with a deadline.

    A call that timed out can be repeated; no bytes are lost.

    Parameters
    ----------
    sock : TimedSocket
        The connection.
    method : str
        Method of the request.
    clock : Clock
        Source of time.
    received : bytes, optional
        Bytes that were received before.
    budget : SharedPieceBudget, optional
        Budget for answers in tiny pieces; by default that of the process.
    """

    def __init__(
        self,
        sock: TimedSocket,
        method: str,
        clock: Clock,
        received: bytes = b"",
        budget: SharedPieceBudget = PROCESS_PIECE_BUDGET,
    ) -> None:
        self._sock = sock
        self._clock = clock
        self._parser = AnswerParser(method)
        self._received = received
        self._meter = PieceMeter(clock.now_s(), budget)
        # Monotonic time in seconds at which the next pieces may be parsed.
        self._next_parse_at_s = 0.0
        # Bytes of the body that arrived with the head.
        self._unread_body = b""

    @property
    def head(self) -> AnswerHead | None:
        """Head of the answer; None before `read_head` has returned."""
        return self._parser.head

    @property
    def is_complete(self) -> bool:
        """Whether the end of the answer was received."""
        return self._parser.is_complete

    @property
    def is_readable(self) -> bool:
        """Whether anything has arrived that `read` has not returned yet.

        Bytes, the end of the answer or the failure of its connection.
        """
        if self._unread_body or self.is_complete or self._parser.has_unparsed:
            return True
        return not self._sock.is_quiet()

    def read_head(self, deadline_s: float) -> AnswerHead:
        """Read the head.

        Parameters
        ----------
        deadline_s : float
            Deadline of the whole head as monotonic time in seconds.

        Returns
        -------
        AnswerHead
            The head.

        Raises
        ------
        AnswerFormatError
            If the bytes are no valid answer.
        OSError
            If the connection broke; a `TimeoutError` if the deadline passed.
        """
        received, self._received = self._received, b""
        self._unread_body = self._feed(received)
        while self.head is None:
            self._unread_body = self._receive(deadline_s)
            if self.head is None:
                self._check_time(deadline_s)
        return self.head

    def read(self, deadline_s: float) -> bytes:
        """Return the available bytes of the body, or wait for some.

        Parameters
        ----------
        deadline_s : float
            Deadline as monotonic time in seconds; bytes that are available are also
            returned after it.

        Returns
        -------
        bytes
            Bytes of the body; empty at its end.

        Raises
        ------
        AnswerFormatError
            If the body is invalid or incomplete.
        OSError
            If the connection broke; a `TimeoutError` if the deadline passed.
        """
        body = self.take_unread_body()
        if body:
            return body
        while not self.is_complete:
            body = self._receive(deadline_s)
            if body:
                return body
            if not self.is_complete:
                self._check_time(deadline_s)
        return b""

    def read_all(
        self, max_bytes: int, deadline_s: float, bound: CollectionBound | None = None
    ) -> bytes:
        """Read the rest of the body.

        Parameters
        ----------
        max_bytes : int
            Maximum size of the body in bytes.
        deadline_s : float
            Deadline of the whole body as monotonic time in seconds.
        bound : CollectionBound, optional
            Bound on the memory of all bodies that the process receives.

        Returns
        -------
        bytes
            The body.

        Raises
        ------
        BodyTooLargeError
            If the body is larger than `max_bytes`.
        BodyCutError
            If the body was given up because of the bound.
        AnswerLimitError
            If the body came in too many pieces to be read in time.
        AnswerFormatError
            If the body is invalid or incomplete.
        OSError
            If the connection broke; a `TimeoutError` if the deadline passed.
        """
        if (self.head.body_bytes or 0) > max_bytes:
            raise BodyTooLargeError("the answer exceeds the size limit")
        with CollectedBody(max_bytes, self._sock, bound) as body:
            try:
                while data := self.read(deadline_s):
                    body.add(data)
                    self._check_time(deadline_s)
            except (AnswerFormatError, OSError) as error:
                body.check_cut()
                if isinstance(error, TimeoutError) and self._meter.has_excess:
                    raise AnswerLimitError(
                        "the answer came in too many pieces to be read in time"
                    ) from error
                raise
            body.check_cut()
            return body.take()

    def take_unread_body(self) -> bytes:
        """Remove and return the bytes of the body that arrived with the head.

        Returns
        -------
        bytes
            The bytes; empty for none.
        """
        body, self._unread_body = self._unread_body, b""
        return body

    def take_rest(self) -> bytes:
        """Remove and return the bytes that were received after the answer.

        Returns
        -------
        bytes
            The bytes; empty for none.
        """
        return self._parser.take_rest()

    def _receive(self, deadline_s: float) -> bytes:
        self._wait_for_turn(deadline_s)
        if self._parser.has_unparsed:
            return self._feed(b"")
        data = self._sock.receive(deadline_s)
        if data:
            return self._feed(data)
        self._parser.end()
        return b""

    def _feed(self, data: bytes) -> bytes:
        pieces_before = self._parser.pieces
        body = self._parser.feed(data)
        self._next_parse_at_s = self._meter.record(
            self._parser.pieces - pieces_before, len(body), self._clock.now_s()
        )
        return body

    def _wait_for_turn(self, deadline_s: float) -> None:
        """Let other greenlets run before the next of many tiny pieces are parsed."""
        now_s = self._clock.now_s()
        if self._next_parse_at_s <= now_s:
            if self._parser.has_unparsed:
                eventlet.sleep(0)
            return
        eventlet.sleep(max(0.0, min(self._next_parse_at_s, deadline_s) - now_s))
        if deadline_s < self._next_parse_at_s:
            raise TimeoutError("the answer got no turn before the deadline")

    def _check_time(self, deadline_s: float) -> None:
        # Bytes may arrive in time and yet complete nothing.
        if self._clock.now_s() >= deadline_s:
            raise TimeoutError("the answer took too long")
