"""Connections between two nodes that stop delivering without an error."""

import eventlet
import pytest

from chestnutvale.clock import SystemClock
from chestnutvale.schema.peer_pb2 import EntryReport
from chestnutvale.transport.const import PEER_SILENCE_TIMEOUT_S
from chestnutvale.transport.message_filter import make_incarnation
from chestnutvale.transport.node import TransportNode
from tests.transport.silent_proxy import SilentProxy

SEND_INTERVAL_S = 0.05


def make_node(name, address, salt):
    incarnation = make_incarnation(1, salt)
    return TransportNode("c1", name, incarnation, address, SystemClock())


@pytest.mark.parametrize("silent_names", ["a", "b", "ab"])
def test_silent_connection_is_reopened_while_the_peer_keeps_sending(
    free_address, silent_names
):
    received = {"a": [], "b": []}
    with (
        make_node("a", free_address(), 1) as node_a,
        make_node("b", free_address(), 2) as node_b,
        SilentProxy(free_address(), node_b.address) as from_a,
        SilentProxy(free_address(), node_a.address) as from_b,
    ):
        for name, node in (("a", node_a), ("b", node_b)):
            node.register_handler(
                "entry_report", lambda e, n=name: received[n].append(e)
            )

        def exchange_messages(duration_s):
            with eventlet.Timeout(duration_s, False):
                while True:
                    node_a.send("b", from_a.address, "entry_report", EntryReport())
                    node_b.send("a", from_b.address, "entry_report", EntryReport())
                    eventlet.sleep(SEND_INTERVAL_S)

        exchange_messages(0.5)
        assert all(received.values())
        for name, proxy in (("a", from_a), ("b", from_b)):
            if name in silent_names:
                proxy.silence_open_connections()
        exchange_messages(2 * PEER_SILENCE_TIMEOUT_S)
        received["a"].clear()
        received["b"].clear()
        exchange_messages(0.5)
        assert all(received.values())
