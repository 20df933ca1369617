"""A client's socket whose operations end by a deadline."""

import contextlib
from typing import NoReturn

import eventlet
from eventlet import hubs
from eventlet.green import socket

from chestnutvale.clock import Clock
from chestnutvale.http_client.const import MAX_UNYIELDED_BYTES, READ_BYTES
from chestnutvale.http_client.exceptions import ConnectionTimedOutError

_MESSAGE_NOT_SENT = "the request was not sent in time"


class TimedSocket:
    """Owns a green socket; a timeout of the socket itself would apply to each packet.

    A connection that has failed stays failed. The kernel reports an error of a socket
    only once, to whichever call comes first, and the end of the connection afterwards.
    Without a record, a reset that a peek has seen would be taken for the regular end of
    an answer without a length.

    Parameters
    ----------
    sock : GreenSocket
        The connected socket.
    clock : Clock
        Source of time.

    Attributes
    ----------
    green_socket : GreenSocket
        The socket.
    """

    def __init__(self, sock: socket.socket, clock: Clock) -> None:
        self.green_socket = sock
        self._clock = clock
        self._unyielded_bytes = 0
        self._is_shut_down = False
        # The first error of the connection that any call has seen.
        self._failure: OSError | None = None

    @classmethod
    def open(cls, address: str, timeout_s: float, clock: Clock) -> "TimedSocket":
        """Connect to an address.

        Parameters
        ----------
        address : str
            IP address and port.
        timeout_s : float
            Connect timeout in seconds.
        clock : Clock
            Source of time.

        Returns
        -------
        TimedSocket
            The connected socket.

        Raises
        ------
        OSError
            If there is no connection; a `TimeoutError` if it took too long.
        ValueError
            If the address has no valid port.
        """
        host, _, port = address.rpartition(":")
        sock = socket.create_connection((host, int(port)), timeout_s)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return cls(sock, clock)

    def send_all(self, data: bytes, deadline_s: float) -> None:
        """Send bytes.

        Parameters
        ----------
        data : bytes
            The bytes.
        deadline_s : float
            Deadline as monotonic time in seconds.

        Raises
        ------
        OSError
            If the connection failed, also by a timeout of the kernel; a
            `TimeoutError` if the deadline passed.
        """
        view = memoryview(data)
        while view:
            if self._clock.now_s() >= deadline_s:
                raise TimeoutError(_MESSAGE_NOT_SENT)
            try:
                view = view[self._write(view) :]
            except (BlockingIOError, InterruptedError):
                self._wait(deadline_s, _MESSAGE_NOT_SENT, to_send=True)

    def _write(self, view: memoryview) -> int:
        """Send without waiting; return the number of bytes that were sent."""
        self._raise_failure()
        try:
            return self.green_socket.fd.send(view)
        except (BlockingIOError, InterruptedError):
            raise
        except OSError as error:
            self._fail(error)

    def receive(self, deadline_s: float) -> bytes:
        """Return the available bytes, or wait for some.

        eventlet's own receive reports a reset as the end of the connection, so a cut
        answer without a length would look complete.

        Parameters
        ----------
        deadline_s : float
            Deadline as monotonic time in seconds; bytes that are available are also
            returned after it.

        Returns
        -------
        bytes
            The bytes; empty at the end of the connection.

        Raises
        ------
        OSError
            If the connection has failed, also by a timeout of the kernel, or
            `shut_down` was called; a `TimeoutError` if the deadline passed. Bytes that
            arrived before a failure are returned first.
        """
        if self._unyielded_bytes >= MAX_UNYIELDED_BYTES:
            self._unyielded_bytes = 0
            eventlet.sleep(0)
        while True:
            try:
                data = self._read(READ_BYTES)
            except (BlockingIOError, InterruptedError):
                self._wait_for_data(deadline_s)
                continue
            if not data and self._is_shut_down:
                raise ConnectionAbortedError("the connection was shut down")
            self._unyielded_bytes += len(data)
            return data

    def _read(self, size: int, flags: int = 0) -> bytes:
        """Receive without waiting; raise the failure of the connection at its end."""
        try:
            data = self.green_socket.fd.recv(size, flags)
        except (BlockingIOError, InterruptedError):
            self._raise_failure()
            raise
        except OSError as error:
            self._fail(error)
        if not data:
            self._raise_failure()
        return data

    def _fail(self, error: OSError) -> NoReturn:
        if isinstance(error, TimeoutError):
            # Python has one type for the timeouts of the kernel and of a caller.
            error = ConnectionTimedOutError(*error.args)
        self._failure = self._failure or _copy_error(error)
        raise error

    def _raise_failure(self) -> None:
        if self._failure is not None:
            raise _copy_error(self._failure)

    def _wait_for_data(self, deadline_s: float) -> None:
        self._wait(deadline_s, "no bytes arrived before the deadline")

    def _wait(self, deadline_s: float, message: str, *, to_send: bool = False) -> None:
        remaining_s = deadline_s - self._clock.now_s()
        if remaining_s <= 0.0:
            raise TimeoutError(message)
        self._unyielded_bytes = 0
        hubs.trampoline(
            self.green_socket.fd,
            read=not to_send,
            write=to_send,
            timeout=remaining_s,
            timeout_exc=TimeoutError(message),
        )

    def wait_for_bytes(self, deadline_s: float) -> None:
        """Wait until bytes have arrived or the connection has ended.

        Parameters
        ----------
        deadline_s : float
            Deadline as monotonic time in seconds.

        Raises
        ------
        TimeoutError
            If the deadline passed.
        """
        while self.is_quiet():
            self._wait_for_data(deadline_s)

    def is_quiet(self) -> bool:
        """Return whether the connection is open and no bytes have arrived.

        Returns
        -------
        bool
            False if bytes are waiting or the connection has ended or failed.
        """
        try:
            self._read(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            return False
        return False

    def has_bytes(self) -> bool:
        """Return whether bytes have arrived that were not received yet.

        Returns
        -------
        bool
            False also if the connection has ended or failed.
        """
        with contextlib.suppress(OSError):
            return bool(self._read(1, socket.MSG_PEEK))
        return False

    def shut_down(self) -> None:
        """Shut the connection down; a greenlet that waits for it gets an error."""
        self._is_shut_down = True
        with contextlib.suppress(OSError):
            self.green_socket.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the connection."""
        with contextlib.suppress(OSError):
            self.green_socket.close()


def _copy_error(error: OSError) -> OSError:
    """Return an equal error without a traceback, which would keep its frames alive."""
    return type(error)(*error.args)
