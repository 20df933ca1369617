"""Sockets of pynng that run no Python code in nng's native threads."""

import pynng

from chestnutvale.transport.const import (
    MAX_MESSAGE_BYTES,
    RECONNECT_MAX_MS,
    RECONNECT_MIN_MS,
    SEND_BUFFER_MESSAGES,
)

_PIPE_EVENTS = (
    pynng.lib.NNG_PIPE_EV_ADD_PRE,
    pynng.lib.NNG_PIPE_EV_ADD_POST,
    pynng.lib.NNG_PIPE_EV_REM_POST,
)


def make_inbox() -> pynng.Pull0:
    """Return a receiving socket that does not listen yet."""
    inbox = pynng.Pull0(recv_max_size=MAX_MESSAGE_BYTES)
    _remove_pipe_callbacks(inbox)
    return inbox


def make_outbox() -> pynng.Push0:
    """Return a sending socket that is not connected yet."""
    outbox = pynng.Push0(
        send_buffer_size=SEND_BUFFER_MESSAGES,
        reconnect_time_min=RECONNECT_MIN_MS,
        reconnect_time_max=RECONNECT_MAX_MS,
    )
    _remove_pipe_callbacks(outbox)
    return outbox


def _remove_pipe_callbacks(socket: pynng.Socket) -> None:
    """Remove pynng's callbacks; the socket must not listen or dial before this.

    nng calls them in several native threads for each connection, and they wait for a
    lock that eventlet has replaced, which only green threads of one thread may share.
    Without them, `Socket.pipes` stays empty.
    """
    null = pynng.ffi.NULL
    for event in _PIPE_EVENTS:
        pynng.check_err(pynng.lib.nng_pipe_notify(socket.socket, event, null, null))
