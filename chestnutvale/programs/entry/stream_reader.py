"""Reads a stream through a hub listener that stays registered between reads."""

import time
from typing import Any

import greenlet
from eventlet import hubs

from chestnutvale.programs.entry.exceptions import (
    EndpointBrokenError,
    EndpointSilentError,
)
from chestnutvale.programs.entry.wake_queue import get_wake_queue

STEP_RECEIVE = "receive"
# Size of one read from the socket.
READ_BYTES = 65_536
# Buffer size at which the socket is no longer read, so that TCP flow control stops the
# sender.
MAX_BUFFERED_BYTES = 262_144


class StreamReader:
    """Buffers the bytes that arrive on a socket for a single reader.

    A wait through the GreenSocket costs a failed read, two system calls to register
    the listener, and a timer. Here the listener is registered once, the
    bytes that arrived since the last read are returned together, and one timer is
    extended instead of replaced.

    Parameters
    ----------
    sock : GreenSocket
        The connection; the caller closes it after `close`.
    buffered : bytes
        Bytes of the stream that were read from the socket before.
    peer : str
        Address of the endpoint, for errors.
    """

    def __init__(self, sock: Any, buffered: bytes, peer: str) -> None:
        self._sock = sock.fd
        self._peer = peer
        self._parts = [buffered] if buffered else []
        self._buffered_bytes = len(buffered)
        self._has_ended = False
        self._error = ""
        self._hub = hubs.get_hub()
        self._listener: Any = None
        self._timer: Any = None
        self._deadline_s = 0.0
        self._waiter: greenlet.greenlet | None = None
        self._wake_queue = get_wake_queue()
        self._is_queued = False
        self._start_listening()

    def close(self) -> None:
        """Stop listening; must be called before the socket is closed."""
        self._stop_listening()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    @property
    def has_bytes(self) -> bool:
        """Whether bytes have arrived that were not read yet."""
        return bool(self._parts)

    @property
    def is_readable(self) -> bool:
        """Whether `read` returns at once, with bytes, the end or an error."""
        return bool(self._parts) or self._has_ended

    def read(self, timeout_s: float) -> bytes:
        """Return the buffered bytes; wait for the next ones if there are none.

        Parameters
        ----------
        timeout_s : float
            Timeout in seconds.

        Returns
        -------
        bytes
            The bytes; empty at the end of the stream.

        Raises
        ------
        EndpointBrokenError
            If the connection broke. Bytes that arrived before are returned first.
        EndpointSilentError
            If nothing arrived before the timeout.
        """
        if not self._parts and not self._has_ended:
            self._wait(timeout_s)
        if self._parts:
            return self._drain_buffer()
        if self._error:
            raise EndpointBrokenError(self._error, step=STEP_RECEIVE, peer=self._peer)
        if self._has_ended:
            return b""
        raise EndpointSilentError(
            "no bytes arrived before the timeout", step=STEP_RECEIVE, peer=self._peer
        )

    def _drain_buffer(self) -> bytes:
        data = self._parts[0] if len(self._parts) == 1 else b"".join(self._parts)
        self._parts.clear()
        self._buffered_bytes = 0
        if self._listener is None and not self._has_ended:
            self._start_listening()
        return data

    def _wait(self, timeout_s: float) -> None:
        self._deadline_s = time.monotonic() + timeout_s
        if self._timer is None or self._timer.called:
            self._set_timer(timeout_s)
        elif timeout_s < self._timer_due_s - time.monotonic():
            self._timer.cancel()
            self._set_timer(timeout_s)
        self._waiter = greenlet.getcurrent()
        try:
            self._hub.switch()
        finally:
            self._waiter = None

    def _set_timer(self, timeout_s: float) -> None:
        timeout_s = max(0.0, timeout_s)
        self._timer_due_s = time.monotonic() + timeout_s
        self._timer = self._hub.schedule_call_global(timeout_s, self._check_deadline)

    def _check_deadline(self) -> None:
        self._timer = None
        if self._waiter is None:
            return
        remaining_s = self._deadline_s - time.monotonic()
        if remaining_s > 0.0:
            self._set_timer(remaining_s)
            return
        self.resume()

    def _start_listening(self) -> None:
        self._listener = self._hub.add(
            self._hub.READ,
            self._sock.fileno(),
            self._receive,
            self._handle_listener_error,
            self._handle_listener_closed,
        )

    def _stop_listening(self) -> None:
        if self._listener is not None:
            self._hub.remove(self._listener)
            self._listener = None

    def _receive(self, descriptor: int) -> None:
        try:
            data = self._sock.recv(READ_BYTES)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            self._finish(str(error) or type(error).__name__)
            return
        if not data:
            self._finish("")
            return
        self._parts.append(data)
        self._buffered_bytes += len(data)
        if self._buffered_bytes >= MAX_BUFFERED_BYTES:
            self._stop_listening()
        self._queue_wake()

    def _finish(self, error: str) -> None:
        self._has_ended = True
        self._error = error
        self._stop_listening()
        self._queue_wake()

    def _handle_listener_error(self, *_arguments: Any) -> None:
        self._finish("the connection was closed")

    def _handle_listener_closed(self) -> None:
        self._has_ended = True
        self._error = "the connection was closed"

    def _queue_wake(self) -> None:
        if self._waiter is None or self._is_queued:
            return
        self._is_queued = True
        self._wake_queue.add(self)

    def resume(self) -> None:
        """Switch to the reader's greenlet if it waits; called by the wake queue."""
        self._is_queued = False
        waiter, self._waiter = self._waiter, None
        if waiter is not None:
            waiter.switch()
