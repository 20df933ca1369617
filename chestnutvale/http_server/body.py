"""Read request bodies within size and time limits."""

import re
from typing import Any

import eventlet

from chestnutvale.clock import Clock
from chestnutvale.http_server.const import (
    CODE_SERVER_STOPPING,
    MAX_CHUNK_LINE_BYTES,
    REFUSED_BODY_MALFORMED,
    REFUSED_BODY_TOO_LARGE,
    REFUSED_BODY_TOO_SLOW,
)
from chestnutvale.http_server.exceptions import HttpRequestError
from chestnutvale.http_server.running_requests import ServerStoppingError

_CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,16})(;[^\r\n]*)?\r\n")


class BoundedLineReader:
    """A binary reader that validates the chunk-size lines of a chunked body.

    eventlet reads these lines without a length limit and accepts any integer that
    Python does, such as ``-5`` or ``0x1``. A load balancer may parse those
    differently, which would allow request smuggling.

    Parameters
    ----------
    reader : binary file
        The underlying reader of the connection.
    """

    def __init__(self, reader: Any) -> None:
        self._reader = reader
        self._has_last_chunk = False
        self._is_within_chunk = False

    def read(self, size: int = -1) -> bytes:
        """Read from the underlying reader, unchecked.

        Parameters
        ----------
        size : int, optional
            Largest number of bytes; everything if negative.

        Returns
        -------
        bytes
            What was read.
        """
        return self._reader.read(size)

    def readline(self, size: int = -1) -> bytes:
        """Read a line; without a size it is checked as a chunk-size line.

        Parameters
        ----------
        size : int, optional
            Largest number of bytes; if negative, ``MAX_CHUNK_LINE_BYTES`` applies.

        Returns
        -------
        bytes
            The line.

        Raises
        ------
        HttpRequestError
            If the line is too long or not a valid chunk size.
        """
        if size >= 0:
            return self._reader.readline(size)
        line = self._reader.readline(MAX_CHUNK_LINE_BYTES)
        if len(line) >= MAX_CHUNK_LINE_BYTES:
            raise HttpRequestError(
                400, REFUSED_BODY_MALFORMED, "a chunk-size line is too long"
            )
        self._check_size(line)
        return line

    def _check_size(self, line: bytes) -> None:
        # The lines after the last chunk are trailers.
        if self._has_last_chunk:
            return
        if self._is_within_chunk:
            self._is_within_chunk = False
            if line != b"\r\n":
                raise HttpRequestError(
                    400, REFUSED_BODY_MALFORMED, "a chunk is longer than its size"
                )
            return
        size = _CHUNK_SIZE.fullmatch(line)
        if size is None:
            raise HttpRequestError(
                400, REFUSED_BODY_MALFORMED, "a chunk size is malformed"
            )
        self._has_last_chunk = int(size.group(1), 16) == 0
        self._is_within_chunk = not self._has_last_chunk


class LimitedInput:
    """The body of one request, with a size limit and a deadline.

    Parameters
    ----------
    source : object
        The ``wsgi.input`` object of the request.
    max_bytes : int
        Largest body in bytes.
    deadline_s : float
        Monotonic time by which the whole body must have arrived.
    clock : Clock
        Source of time.
    """

    def __init__(
        self, source: Any, max_bytes: int, deadline_s: float, clock: Clock
    ) -> None:
        self._source = source
        self._max_bytes = max_bytes
        self._deadline_s = deadline_s
        self._clock = clock
        self._read_bytes = 0

    def read(self, size: int | None = None) -> bytes:
        """Read from the body.

        Parameters
        ----------
        size : int, optional
            Largest number of bytes; everything if left out or negative.

        Returns
        -------
        bytes
            What was read; empty at the end.

        Raises
        ------
        HttpRequestError
            If the body is too large, too slow or malformed, or the server stops.
        """
        return self._read_limited(self._source.read, size)

    def readline(self, size: int | None = None) -> bytes:
        """Read a line of the body.

        Parameters
        ----------
        size : int, optional
            Largest number of bytes.

        Returns
        -------
        bytes
            The line.

        Raises
        ------
        HttpRequestError
            If the body is too large, too slow or malformed.
        """
        return self._read_limited(self._source.readline, size)

    def __iter__(self) -> "LimitedInput":
        """Return the object itself; iteration yields lines."""
        return self

    def __next__(self) -> bytes:
        """Return the next line of the body.

        Raises
        ------
        HttpRequestError
            If the body is too large, too slow or malformed.
        """
        line = self.readline()
        if not line:
            raise StopIteration
        return line

    def _read_limited(self, reader: Any, size: int | None) -> bytes:
        # Reading one byte beyond the limit is enough to detect an oversized body.
        allowed = self._max_bytes - self._read_bytes + 1
        wanted = allowed if size is None or size < 0 else min(size, allowed)
        data = self._read_before_deadline(reader, wanted)
        self._read_bytes += len(data)
        if self._read_bytes > self._max_bytes:
            raise HttpRequestError(
                413,
                REFUSED_BODY_TOO_LARGE,
                f"the body is larger than {self._max_bytes} bytes",
            )
        return data

    def _read_before_deadline(self, reader: Any, size: int) -> bytes:
        remaining_s = max(self._deadline_s - self._clock.now_s(), 0)
        too_slow = HttpRequestError(
            408, REFUSED_BODY_TOO_SLOW, "the body did not arrive in time"
        )
        try:
            with eventlet.Timeout(remaining_s, too_slow):
                return reader(size)
        except TimeoutError as error:
            raise too_slow from error
        except ServerStoppingError as error:
            # A handler passes nothing on before it has read the whole body.
            raise HttpRequestError(
                503, CODE_SERVER_STOPPING, "the server stops before the body arrived"
            ) from error
        except (OSError, ValueError) as error:
            raise HttpRequestError(400, REFUSED_BODY_MALFORMED, str(error)) from error
