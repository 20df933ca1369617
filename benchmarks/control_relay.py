"""A relay between one entry and the controls that can simulate a partition.

A cut link withholds the bytes, like a network that drops all packets: neither side
sees a closed connection, and the withheld bytes arrive late once the cut ends. The
relay parses the length-prefixed frames of the TCP mapping of the scalability
protocols, so that it can replace the return address of the entry by its own. Both
addresses have the same length.
"""

import socket
import threading
import time
from collections.abc import Iterator
from types import TracebackType
from typing import Self

HANDSHAKE_BYTES = 8
LENGTH_BYTES = 8
POLL_S = 0.005


class Link:
    """A listener that forwards the frames of its connections to a target.

    Parameters
    ----------
    listen, target : str
        IP number and port.
    replacement : tuple of bytes
        Address to search for in each message, and its replacement.
    """

    def __init__(
        self, listen: str, target: str, replacement: tuple[bytes, bytes] = (b"", b"")
    ) -> None:
        self.listen = listen
        self.is_cut = False
        self._target = target
        self._replacement = replacement
        self._listener = socket.create_server(_split_address(listen))
        self._sockets: list[socket.socket] = [self._listener]

    def start(self) -> None:
        """Start to accept connections."""
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Close the listener and all connections."""
        for item in self._sockets:
            item.close()

    def _accept(self) -> None:
        while True:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._connect_and_forward, args=(client,), daemon=True
            ).start()

    def _connect_and_forward(self, client: socket.socket) -> None:
        try:
            self._wait_while_cut()
            upstream = socket.create_connection(_split_address(self._target))
        except OSError:
            client.close()
            return
        self._sockets += [client, upstream]
        for source, sink in ((client, upstream), (upstream, client)):
            threading.Thread(
                target=self._forward, args=(source, sink), daemon=True
            ).start()

    def _forward(self, source: socket.socket, sink: socket.socket) -> None:
        try:
            with source, sink:
                sink.sendall(_read_exactly(source, HANDSHAKE_BYTES))
                while True:
                    frame = self._read_frame(source)
                    self._wait_while_cut()
                    sink.sendall(frame)
        except OSError:
            return

    def _read_frame(self, source: socket.socket) -> bytes:
        length = _read_exactly(source, LENGTH_BYTES)
        body = _read_exactly(source, int.from_bytes(length))
        old_address, new_address = self._replacement
        return length + (
            body.replace(old_address, new_address) if old_address else body
        )

    def _wait_while_cut(self) -> None:
        while self.is_cut:
            time.sleep(POLL_S)


class Relay:
    """Context manager of all links between one entry and the controls.

    Parameters
    ----------
    controls : dict of str to str
        Peer address of each control.
    entry : str
        Peer address of the entry.
    free_addresses : iterator of str
        Addresses to listen on.
    """

    def __init__(
        self, controls: dict[str, str], entry: str, free_addresses: Iterator[str]
    ) -> None:
        self.to_control: dict[str, Link] = {}
        self._to_entry: dict[str, Link] = {}
        for name, address in controls.items():
            return_link = Link(next(free_addresses), entry)
            replacement = (entry.encode(), return_link.listen.encode())
            self._to_entry[name] = return_link
            self.to_control[name] = Link(next(free_addresses), address, replacement)

    def __enter__(self) -> Self:
        """Start to forward."""
        for link in self._links():
            link.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close all links."""
        for link in self._links():
            link.is_cut = False
            link.close()

    def set_cut(self, control: str, is_cut: bool) -> None:
        """Cut or restore both links between the entry and one control."""
        self.to_control[control].is_cut = is_cut
        self._to_entry[control].is_cut = is_cut

    def _links(self) -> list[Link]:
        return [*self.to_control.values(), *self._to_entry.values()]


def _split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def _read_exactly(source: socket.socket, count: int) -> bytes:
    data = b""
    while len(data) < count:
        chunk = source.recv(count - len(data))
        if not chunk:
            raise ConnectionResetError
        data += chunk
    return data
