"""Bound on the memory that all requests and answers of a process take together."""

from typing import Final, Protocol

import attrs

# Largest part of the bound that the unread part of one answer may take, so that a few
# slow readers don't keep the entry from accepting calls.
MAX_ANSWER_SHARE: Final = 0.25


class UnreadAnswer(Protocol):
    """An answer that its client has not read completely."""

    def cut(self) -> None:
        """Drop the unread part and break the connection; must not block."""


@attrs.define
class MemoryBound:
    """Counts the bytes of request bodies and unread answers of one process.

    Designed for some hundred connections, of which few read slowly: the answer to cut
    is searched among those with an unread part, which most answers don't have.

    Attributes
    ----------
    max_bytes : int
        The bound; 0 for none.
    cut_answers : int
        Number of answers that were cut.
    refused_requests : int
        Number of requests for whose body there was no room.
    """

    max_bytes: int = 0
    cut_answers: int = 0
    refused_requests: int = 0
    _body_bytes: int = 0
    _unread_bytes: int = 0
    _by_answer: dict[UnreadAnswer, int] = attrs.field(factory=dict)

    @property
    def used_bytes(self) -> int:
        """Bytes that are taken now."""
        return self._body_bytes + self._unread_bytes

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
