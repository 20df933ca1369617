"""Links between callers and entries that delay what they carry, and can be reset.

A program of its own, so that the callers of a run don't delay it. SIGUSR1 resets some
of the open connections.
"""

import contextlib
import json
import random
import signal
import struct
import sys
import time
from collections import deque
from typing import Any, Final

import defopt
import eventlet
from eventlet.event import Event
from eventlet.green import socket

from chestnutvale.programs.early_signals import release_early_signals

RESET_SHARE: Final = 0.3
READ_BYTES: Final = 64 * 1024
CONNECT_TIMEOUT_S: Final = 2.0
ACCEPT_TIMEOUT_S: Final = 0.1
PROBE_INTERVAL_S: Final = 0.1
# A close with this setting resets the connection.
_LINGER_RESET: Final = struct.pack("ii", 1, 0)


class _Direction:
    """Carries the bytes of one direction of a connection, each part after the delay."""

    def __init__(self, source: Any, target: Any, delay_s: float) -> None:
        self._source = source
        self._target = target
        self._delay_s = delay_s
        self._parts: deque[tuple[float, bytes]] = deque()
        self._arrival = Event()

    def read(self) -> None:
        """Read until the end of the source; an error counts as its end."""
        data = b"-"
        while data:
            data = b""
            with contextlib.suppress(OSError):
                data = self._source.recv(READ_BYTES)
            self._parts.append((time.monotonic() + self._delay_s, data))
            if not self._arrival.ready():
                self._arrival.send()

    def write(self) -> None:
        """Write each part when it is due, and pass the end on."""
        while True:
            while not self._parts:
                self._arrival.wait()
                self._arrival = Event()
            due_s, data = self._parts.popleft()
            eventlet.sleep(max(0.0, due_s - time.monotonic()))
            if not data:
                break
            try:
                self._target.sendall(data)
            except OSError:
                return
        with contextlib.suppress(OSError):
            self._target.shutdown(socket.SHUT_WR)


class Links:
    """Listens for each entry and carries its connections.

    While an entry refuses connections, so does its link. A caller would take a link
    that accepts them for an entry that has read its request.

    Parameters
    ----------
    delay_s : float
        Delay in seconds of each direction.
    rng : random.Random
        Chooses the connections that a reset ends.
    """

    def __init__(self, delay_s: float, rng: random.Random) -> None:
        self._delay_s = delay_s
        self._rng = rng
        self._connections: dict[int, tuple[Any, Any]] = {}
        self._refusing: set[str] = set()

    def listen(self, target: str) -> str:
        """Carry connections to an entry; return the address to connect to."""
        listener = eventlet.listen(("127.0.0.1", 0), backlog=1_024)
        address = listener.getsockname()
        eventlet.spawn(self._serve, listener, address, target)
        return "{}:{}".format(*address)

    def reset_some(self) -> None:
        """Reset a share of the connections, drawn at random."""
        for number in list(self._connections):
            if self._rng.random() < RESET_SHARE:
                for sock in self._connections[number]:
                    _reset(sock)

    def _serve(self, listener: Any, address: tuple[str, int], target: str) -> None:
        while True:
            self._accept(listener, target)
            listener.close()
            while not _is_reachable(target):
                eventlet.sleep(PROBE_INTERVAL_S)
            self._refusing.discard(target)
            listener = eventlet.listen(address, backlog=1_024, reuse_port=False)

    def _accept(self, listener: Any, target: str) -> None:
        """Accept connections until the entry refuses one."""
        listener.settimeout(ACCEPT_TIMEOUT_S)
        while target not in self._refusing:
            with contextlib.suppress(TimeoutError):
                client, _ = listener.accept()
                client.settimeout(None)
                eventlet.spawn_n(self._carry, client, target)

    def _carry(self, client: Any, target: str) -> None:
        try:
            server = _connect(target)
        except OSError:
            self._refusing.add(target)
            _reset(client)
            return
        server.settimeout(None)
        for sock in (client, server):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._connections[client.fileno()] = (client, server)
        pile = eventlet.GreenPile()
        for source, destination in ((client, server), (server, client)):
            direction = _Direction(source, destination, self._delay_s)
            pile.spawn(direction.read)
            pile.spawn(direction.write)
        list(pile)
        self._connections.pop(client.fileno(), None)
        client.close()
        server.close()


def _connect(target: str) -> Any:
    host, _, port = target.rpartition(":")
    return socket.create_connection((host, int(port)), CONNECT_TIMEOUT_S)


def _is_reachable(target: str) -> bool:
    try:
        _connect(target).close()
    except OSError:
        return False
    return True


def _reset(sock: Any) -> None:
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
        sock.shutdown(socket.SHUT_RDWR)


def run(*targets: str, delay_ms: float = 1.0, seed: int = 1) -> None:
    """Carry connections to entries until interrupted; print the addresses as JSON.

    Parameters
    ----------
    targets : str
        Name and address of each entry, as in ``entry-1=127.0.0.1:20000``.
    delay_ms : float
        Delay in milliseconds of each direction.
    seed : int
        Seed of the resets.
    """
    links = Links(delay_ms / 1e3, random.Random(seed))
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
    signal.signal(signal.SIGUSR1, lambda *_: eventlet.spawn_n(links.reset_some))
    release_early_signals()
    pairs = [target.split("=", 1) for target in targets]
    print(json.dumps({n: links.listen(address) for n, address in pairs}), flush=True)
    while True:
        eventlet.sleep(1.0)


if __name__ == "__main__":
    defopt.run(run)
