"""TCP proxy whose open connections can stop delivering without a reset."""

from types import TracebackType
from typing import Self

import eventlet
from eventlet.green import socket

CHUNK_BYTES = 65_536


class SilentProxy:
    """Forwards connections to an address; a context manager.

    Parameters
    ----------
    address : str
        IP address and port to listen on.
    target : str
        IP address and port that connections are forwarded to.

    Attributes
    ----------
    connections : int
        Number of connections that were opened.
    """

    def __init__(self, address: str, target: str) -> None:
        self.address = address
        self.connections = 0
        self._target = _parse_address(target)
        self._silent: set[int] = set()
        self._tasks: list[eventlet.greenthread.GreenThread] = []
        self._sockets: list[socket.socket] = []

    def __enter__(self) -> Self:
        """Start to accept connections."""
        listener = eventlet.listen(_parse_address(self.address))
        self._sockets.append(listener)
        self._tasks.append(eventlet.spawn(self._accept, listener))
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close all connections."""
        for task in self._tasks:
            task.kill()
        for sock in self._sockets:
            sock.close()

    def silence_open_connections(self) -> None:
        """Discard all later bytes of the connections that are open now."""
        self._silent.update(range(1, self.connections + 1))

    def _accept(self, listener: socket.socket) -> None:
        while True:
            caller, _ = listener.accept()
            self.connections += 1
            target = eventlet.connect(self._target)
            self._sockets += [caller, target]
            for source, sink in ((caller, target), (target, caller)):
                task = eventlet.spawn(self._forward, self.connections, source, sink)
                self._tasks.append(task)

    def _forward(self, number: int, source: socket.socket, sink: socket.socket) -> None:
        try:
            while data := source.recv(CHUNK_BYTES):
                if number not in self._silent:
                    sink.sendall(data)
            if number not in self._silent:
                eventlet.greenio.shutdown_safe(sink)
        except OSError:
            # The other side has closed the connection.
            return


def _parse_address(address: str) -> tuple[str, int]:
    host, port = address.rsplit(":", 1)
    return host, int(port)
