"""Clients that keep connections to entries open without sending anything."""

import contextlib
import socket
import threading
from typing import Final

CHECK_INTERVAL_S: Final = 0.5
CONNECT_TIMEOUT_S: Final = 1.0
MAX_OPENED_PER_CHECK: Final = 10


class IdleClients:
    """Holds idle connections, and opens those again that an entry has closed.

    Parameters
    ----------
    addresses : dict of str to str
        Address of each entry.
    count : int
        Number of connections to each entry.
    """

    def __init__(self, addresses: dict[str, str], count: int) -> None:
        self._addresses = addresses
        self._count = count
        self._connections: dict[str, list[socket.socket]] = {n: [] for n in addresses}

    def run(self, stop: threading.Event) -> None:
        """Hold the connections until stopped."""
        while not stop.wait(CHECK_INTERVAL_S):
            for entry in self._addresses:
                self._close_ended(entry)
                with contextlib.suppress(OSError):
                    self._open_missing(entry)
        for connections in self._connections.values():
            for connection in connections:
                connection.close()

    def _close_ended(self, entry: str) -> None:
        kept = []
        for connection in self._connections[entry]:
            try:
                connection.recv(1)
            except BlockingIOError:
                kept.append(connection)
                continue
            except OSError:
                pass
            connection.close()
        self._connections[entry] = kept

    def _open_missing(self, entry: str) -> None:
        host, _, port = self._addresses[entry].rpartition(":")
        missing = self._count - len(self._connections[entry])
        for _ in range(min(missing, MAX_OPENED_PER_CHECK)):
            connection = socket.create_connection((host, int(port)), CONNECT_TIMEOUT_S)
            connection.setblocking(False)
            self._connections[entry].append(connection)
