"""Steps of a scripted endpoint whose answers never end or are cut."""

import struct

import eventlet
from eventlet.green import socket

BLOCK_BYTES = 16_384


def endless(start, block, pause_s=0.0):
    """Make a step that sends `start`, and then `block` until the client closes."""

    def step(sock, request):
        sock.sendall(start)
        while True:
            sock.sendall(block)
            eventlet.sleep(pause_s)

    return step


def trickle(start, block):
    return endless(start, block, pause_s=0.03)


def flood(start, block):
    return endless(start, block * (BLOCK_BYTES // len(block)))


def cut(data, *, reset=False):
    """Make a step that sends `data` and closes or resets the connection."""

    def step(sock, request):
        sock.sendall(data)
        if reset:
            eventlet.sleep(0.05)
            reset_connection(sock)
        sock.close()

    return step


def reset_connection(sock):
    """Close a connection with a reset."""
    # A zero timeout discards what was not sent and resets at once.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()
