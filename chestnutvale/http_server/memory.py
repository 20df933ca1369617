"""Bound on the memory that all requests and answers of a process take together."""

from typing import Final, Protocol

import attrs

# Largest part of the bound that the unread part of one answer may take, so that a few
# slow readers don't keep the entry from accepting calls.
MAX_ANSWER_SHARE: Final = 0.25
# Part of the bound that the bodies may take which are being received from endpoints, so
# that a few faulty endpoints don't keep the entry from accepting calls.
MAX_COLLECTED_SHARE: Final = 0.5
# Part that these bodies may take even if requests and unread answers use up the bound.
MIN_COLLECTED_SHARE: Final = 0.125


class ReceivedBody(Protocol):
    """The body of an answer that is being received as a whole."""

    def cut(self) -> None:
        """Drop what was received and fail the read; must not block."""


class UnreadAnswer(Protocol):
    """An answer that its client has not read completely."""

    def cut(self) -> None:
        """Drop the unread part and break the connection; must not block."""


@attrs.define
class MemoryBound:
    """Counts the bytes of requests and answers that one process holds.

    These are request bodies, bodies that are being received from endpoints, and answers
    that their clients have not read. Designed for some hundred connections, of which
    few read slowly or receive large bodies: what to cut is searched among these.

    Attributes
    ----------
    max_bytes : int
        The bound; 0 for none.
    cut_answers : int
        Number of answers that were cut.
    cut_bodies : int
        Number of bodies from endpoints that were cut.
    refused_requests : int
        Number of requests for whose body there was no room.
    """

    max_bytes: int = 0
    cut_answers: int = 0
    cut_bodies: int = 0
    refused_requests: int = 0
    _body_bytes: int = 0
    _unread_bytes: int = 0
    _by_answer: dict[UnreadAnswer, int] = attrs.field(factory=dict)
    _collected_bytes: int = 0
    _by_body: dict[ReceivedBody, int] = attrs.field(factory=dict)

    @property
    def used_bytes(self) -> int:
        """Bytes that are taken now."""
        return self._body_bytes + self._unread_bytes + self._collected_bytes

    def reserve_body(self, size_bytes: int) -> bool:
        """Reserve memory for a request body.

        Parameters
        ----------
        size_bytes : int
            Size of the body, or of its next part.

        Returns
        -------
        bool
            False if there is no room; the request must be refused before it is run.
        """
        if self.max_bytes and self.used_bytes + size_bytes > self.max_bytes:
            self.refused_requests += 1
            return False
        self._body_bytes += size_bytes
        return True

    def release_body(self, size_bytes: int) -> None:
        """Release the memory of a request body.

        Parameters
        ----------
        size_bytes : int
            Bytes that were reserved.
        """
        self._body_bytes -= size_bytes

    def set_collected(self, body: ReceivedBody, size_bytes: int) -> None:
        """Record how much of a body was received, and cut bodies beyond their share.

        The largest ones are cut first, so that a body without end goes before those of
        sound endpoints.

        Parameters
        ----------
        body : CollectedBody
            The body.
        size_bytes : int
            Bytes received so far; 0 once it is complete or given up.
        """
        self._collected_bytes += size_bytes - self._by_body.pop(body, 0)
        if not size_bytes:
            return
        self._by_body[body] = size_bytes
        if not self.max_bytes:
            return
        while self._by_body and self._has_too_much_collected():
            largest = max(self._by_body, key=self._by_body.__getitem__)
            self._collected_bytes -= self._by_body.pop(largest)
            self.cut_bodies += 1
            largest.cut()

    def _has_too_much_collected(self) -> bool:
        is_full = self.used_bytes > self.max_bytes
        share = MIN_COLLECTED_SHARE if is_full else MAX_COLLECTED_SHARE
        return self._collected_bytes > share * self.max_bytes

    def set_unread(self, answer: UnreadAnswer, size_bytes: int) -> None:
        """Record how much of an answer is unread, and cut answers beyond the bound.

        The answers with the most unread bytes are cut first; answers come at a similar
        rate, so these have the slowest readers.

        Parameters
        ----------
        answer : UnreadAnswer
            The answer.
        size_bytes : int
            Bytes that its client has not accepted yet; 0 once it has.
        """
        self._unread_bytes += size_bytes - self._by_answer.pop(answer, 0)
        if not size_bytes:
            return
        self._by_answer[answer] = size_bytes
        if not self.max_bytes:
            return
        if size_bytes > self.max_bytes * MAX_ANSWER_SHARE:
            self._cut(answer)
        while self._by_answer and self.used_bytes > self.max_bytes:
            self._cut(max(self._by_answer, key=self._by_answer.__getitem__))

    def _cut(self, answer: UnreadAnswer) -> None:
        self._unread_bytes -= self._by_answer.pop(answer)
        self.cut_answers += 1
        answer.cut()
