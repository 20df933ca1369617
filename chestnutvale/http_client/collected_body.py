"""The body of an answer that is received as a whole."""

from types import TracebackType
from typing import Protocol, Self

from chestnutvale.http_client.exceptions import BodyCutError, BodyTooLargeError
from chestnutvale.http_client.timed_socket import TimedSocket


class CollectionBound(Protocol):
    """Bound on the memory that all such bodies of a process take together."""

    def set_collected(self, body: "CollectedBody", size_bytes: int) -> None:
        """Record how much of a body was received; may cut this body or others."""


class CollectedBody:
    """Context manager that owns the bytes received so far.

    Parameters
    ----------
    max_bytes : int
        Maximum size of the body in bytes.
    sock : TimedSocket
        The connection; shut down if the body is cut.
    bound : CollectionBound or None
        Counts the bytes; None for no bound.

    Attributes
    ----------
    is_cut : bool
        Whether the body was given up because of the bound.
    """

    def __init__(
        self, max_bytes: int, sock: TimedSocket, bound: CollectionBound | None
    ) -> None:
        self.is_cut = False
        self._max_bytes = max_bytes
        self._sock = sock
        self._bound = bound
        self._data = bytearray()

    def __enter__(self) -> Self:
        """Return the empty body."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Release the memory."""
        if self._bound is not None:
            self._bound.set_collected(self, 0)

    def add(self, data: bytes) -> None:
        """Add received bytes.

        Parameters
        ----------
        data : bytes
            The bytes.

        Raises
        ------
        BodyTooLargeError
            If the body exceeds its maximum size.
        BodyCutError
            If the body was cut.
        """
        self._data += data
        if len(self._data) > self._max_bytes:
            raise BodyTooLargeError("the answer exceeds the size limit")
        if self._bound is not None:
            self._bound.set_collected(self, len(self._data))
        self.check_cut()

    def check_cut(self) -> None:
        """Raise `BodyCutError` if the body was cut."""
        if self.is_cut:
            raise BodyCutError("the process lacks memory for the whole answer")

    def cut(self) -> None:
        """Drop the bytes; a greenlet that waits for more of them gets an error."""
        self.is_cut = True
        self._data.clear()
        self._sock.shut_down()

    def take(self) -> bytes:
        """Return the body."""
        return bytes(self._data)
