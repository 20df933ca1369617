"""Writes answers without waiting for slow clients."""

import contextlib
import struct
import time
from typing import Any, Final

import logbook
from eventlet import hubs
from eventlet.event import Event
from eventlet.green import socket

from chestnutvale.http_server.exceptions import (
    AnswerCutError,
    AnswerNotReadError,
    ClientGoneError,
)
from chestnutvale.http_server.memory import MemoryBound

_LOGGER = logbook.Logger(__name__)

# A close with this setting resets the connection, so that the client can't take what it
# has received for a complete answer.
_LINGER_RESET: Final = struct.pack("ii", 1, 0)
# Bytes that are offered to the socket at once.
_SEND_BYTES: Final = 256 * 1024


class AnswerWriter:
    """Sends what the client accepts at once, and the rest as it reads.

    A handler that waited for a slow client would not read from its endpoint meanwhile,
    until the endpoint cuts the answer off.

    Parameters
    ----------
    connection : GreenSocket
        The connection to write to.
    bound : MemoryBound
        Counts the bytes that the client has not accepted yet.

    Attributes
    ----------
    is_cut : bool
        Whether the answer was cut for want of memory.
    must_reset : bool
        Whether the connection must end with a reset, as its answer is not whole.
    sent_bytes : int
        Bytes that the socket has accepted.
    error : OSError or None
        Why the rest of the answer can't be written.
    """

    def __init__(self, connection: Any, bound: MemoryBound) -> None:
        self.closed = False
        self.is_cut = False
        self.must_reset = False
        self.sent_bytes = 0
        self.error: OSError | None = None
        self._connection = connection
        self._sock = connection.fd
        self._bound = bound
        self._unread = bytearray()
        self._listener: Any = None
        self._progress_s = 0.0
        self._emptied: Event | None = None

    def write(self, data: bytes) -> int:
        """Send or keep all of the data and return its length.

        Raises
        ------
        ClientGoneError
            If the client closed the connection.
        OSError
            If the answer was cut because its unread part took too much memory; a
            `TimeoutError` if the client has read nothing for the socket's timeout.
        """
        self._send(data)
        return len(data)

    def writelines(self, parts: list[bytes]) -> None:
        """Join the byte strings and send them in one call."""
        self._send(parts[0] if len(parts) == 1 else b"".join(parts))

    def flush(self) -> None:
        """Do nothing; `drain` waits for the client."""

    def drain(self) -> None:
        """Wait until the client has accepted everything.

        Raises
        ------
        OSError
            If the connection broke or the answer was cut; a `TimeoutError` if the
            client has read nothing for the socket's timeout.
        """
        while self._unread and self.error is None:
            self._check_progress()
            self._emptied = Event()
            self._emptied.wait(timeout=self._remaining_s())
        self._raise_error()

    def close(self) -> None:
        """Drop what is unread; the server closes the connection itself."""
        self.closed = True
        self._drop_unread()

    def cut(self) -> None:
        """Drop what is unread and make the connection end with a reset."""
        _LOGGER.warning(
            "answer_cut",
            extra={"reason": "memory", "unread_bytes": len(self._unread)},
        )
        self.is_cut = True
        self._fail(AnswerCutError("the answer was read too slowly"))
        self.reset_at_close()
        with contextlib.suppress(OSError):
            # The watch of the caller notices it and cancels the call.
            self._sock.shutdown(socket.SHUT_RD)

    def reset_at_close(self) -> None:
        """Make the close of the connection a reset."""
        self.must_reset = True
        with contextlib.suppress(OSError):
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)

    def _send(self, data: bytes) -> None:
        self._raise_error()
        if self._unread:
            self._check_progress()
        else:
            data = data[self._send_now(memoryview(data)) :]
        if not data:
            return
        if not self._unread:
            self._progress_s = time.monotonic()
        self._unread += data
        self._start_listening()
        self._bound.set_unread(self, len(self._unread))
        self._raise_error()

    def _send_now(self, data: memoryview) -> int:
        sent = 0
        try:
            while sent < len(data):
                sent += self._sock.send(data[sent : sent + _SEND_BYTES])
        except (BlockingIOError, InterruptedError):
            pass
        except OSError as error:
            self._fail(error)
            self._raise_error()
        finally:
            self.sent_bytes += sent
        return sent

    def _raise_error(self) -> None:
        if isinstance(self.error, BrokenPipeError | ConnectionResetError):
            raise ClientGoneError(self.error.errno, self.error.strerror)
        if self.error is not None:
            raise self.error

    def _remaining_s(self) -> float | None:
        timeout_s = self._connection.gettimeout()
        if timeout_s is None:
            return None
        return max(0.0, self._progress_s + timeout_s - time.monotonic())

    def _check_progress(self) -> None:
        if self._remaining_s() == 0.0:
            self._fail(AnswerNotReadError("the client does not read"))
            self._raise_error()

    def _start_listening(self) -> None:
        if self._listener is None:
            self._listener = hubs.get_hub().add(
                hubs.get_hub().WRITE,
                self._sock.fileno(),
                self._continue,
                self._handle_listener_error,
                self._handle_listener_closed,
            )

    def _continue(self, descriptor: int) -> None:
        sent = 0
        try:
            with memoryview(self._unread) as unread:
                sent = self._sock.send(unread[:_SEND_BYTES])
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            self._fail(error)
            return
        self._progress_s = time.monotonic()
        self.sent_bytes += sent
        del self._unread[:sent]
        self._bound.set_unread(self, len(self._unread))
        if not self._unread:
            self._drop_unread()

    def _handle_listener_error(self, *_arguments: Any) -> None:
        self._fail(BrokenPipeError("the connection was closed"))

    def _handle_listener_closed(self) -> None:
        self._listener = None
        self._fail(BrokenPipeError("the connection was closed"))

    def _fail(self, error: OSError) -> None:
        self.error = self.error or error
        self._drop_unread()

    def _drop_unread(self) -> None:
        self._unread.clear()
        self._bound.set_unread(self, 0)
        if self._listener is not None:
            hubs.get_hub().remove(self._listener)
            self._listener = None
        if self._emptied is not None and not self._emptied.ready():
            self._emptied.send()
