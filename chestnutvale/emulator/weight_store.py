"""Program that emulates a weight store whose readers share one rate limit."""

import time
from collections.abc import Iterator
from urllib.parse import parse_qs

import defopt
import eventlet

from chestnutvale.emulator.const import CODE_BAD_REQUEST, CODE_NOT_FOUND
from chestnutvale.emulator.exceptions import RefusedError
from chestnutvale.emulator.http import HttpServer, Request, Response, json_response
from chestnutvale.emulator.runtime import run_until_stopped, setup_eventlet

WEIGHTS_PATH = "/v1/weights/"
CHUNK_BYTES = 65_536
DEFAULT_PART_BYTES = 4_000_000
CONTENT_TYPE_BINARY = "application/octet-stream"


class SharedRateLimiter:
    """Limits all readers together to a fixed rate, first come, first served.

    Parameters
    ----------
    bytes_per_s : float
        Maximum rate in bytes per second.
    """

    def __init__(self, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._available_at_s = 0.0

    def reserve_bytes(self, size_bytes: int, now_s: float) -> float:
        """Reserve bytes and return the time at which they may have been sent.

        Parameters
        ----------
        size_bytes : int
            Number of bytes.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        float
            Monotonic time in seconds.
        """
        self._available_at_s = (
            max(self._available_at_s, now_s) + size_bytes / self._bytes_per_s
        )
        return self._available_at_s


class WeightStore:
    """Serves zero bytes as weights and counts the reads of each part.

    Parameters
    ----------
    bytes_per_s : float
        Rate in bytes per second that all readers share.
    """

    def __init__(self, bytes_per_s: float) -> None:
        self._rate_limiter = SharedRateLimiter(bytes_per_s)
        self._reads: dict[str, int] = {}

    def handle(self, request: Request) -> Response:
        """Answer a request for a part of the weights or for the counts of reads.

        Raises
        ------
        RefusedError
            If the path or method is unknown, or the query parameter ``bytes`` is not a
            number.
        """
        if request.path == "/v1/reads":
            return json_response(self._reads)
        if request.method != "GET" or not request.path.startswith(WEIGHTS_PATH):
            raise RefusedError(404, CODE_NOT_FOUND, f"no handler for {request.path}")
        part = request.path[len(WEIGHTS_PATH) :]
        requested_bytes = parse_qs(request.query).get(
            "bytes", [str(DEFAULT_PART_BYTES)]
        )[0]
        if not requested_bytes.isdigit():
            raise RefusedError(
                400, CODE_BAD_REQUEST, "query parameter 'bytes' must be a number"
            )
        self._reads[part] = self._reads.get(part, 0) + 1
        headers = [("Content-Length", requested_bytes)]
        return Response(
            self._stream(int(requested_bytes)), 200, CONTENT_TYPE_BINARY, headers
        )

    def _stream(self, size_bytes: int) -> Iterator[bytes]:
        while size_bytes > 0:
            chunk_bytes = min(CHUNK_BYTES, size_bytes)
            due_s = self._rate_limiter.reserve_bytes(chunk_bytes, time.monotonic())
            eventlet.sleep(max(0.0, due_s - time.monotonic()))
            size_bytes -= chunk_bytes
            yield bytes(chunk_bytes)


def run(*, address: str = "127.0.0.1:0", bytes_per_s: float = 50e6) -> None:
    """Run an emulated weight store until SIGTERM.

    Parameters
    ----------
    address : str
        IP address and port to listen on; port 0 selects a free port.
    bytes_per_s : float
        Rate in bytes per second that all readers share.
    """
    setup_eventlet()
    with HttpServer(address, WeightStore(bytes_per_s).handle) as server:
        run_until_stopped({"address": server.address})


def main() -> None:
    """Parse the command line and run the weight store."""
    defopt.run(run)
