"""Probes of the head of a group after a broken answer."""

import contextlib

import eventlet
from eventlet.green import socket

from chestnutvale.programs.entry.crash_probe import is_head_down
from chestnutvale.schema.groups_pb2 import Group, GroupMember


def make_group(listener):
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    return Group(members=[GroupMember(host_id="h", address=address, rank=0)])


def test_head_that_refuses_connections_is_down():
    listener = eventlet.listen(("127.0.0.1", 0))
    group = make_group(listener)
    assert not is_head_down(group, is_engine=True)
    listener.close()
    assert is_head_down(group, is_engine=True)


def test_paused_head_whose_accept_queue_is_full_is_not_down():
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        for _ in range(4):
            waiting = stack.enter_context(socket.socket())
            waiting.setblocking(False)
            waiting.connect_ex(listener.getsockname())
        with eventlet.Timeout(3.0):
            assert not is_head_down(make_group(listener), is_engine=True)
