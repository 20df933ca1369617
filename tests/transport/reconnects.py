"""Program that opens and closes many connections to one transport node at a time."""

import socket
import sys
import time

import eventlet

from chestnutvale.clock import SystemClock
from chestnutvale.schema.peer_pb2 import EntryReport
from chestnutvale.transport.message_filter import make_incarnation
from chestnutvale.transport.node import TransportNode

CLIENTS = 20
RECONNECT_S = 2.0
RECEIVE_TIMEOUT_S = 3.0
# Makes native threads interrupt each other often.
SWITCH_INTERVAL_S = 1e-5
# Greeting of a Push0 socket.
GREETING = b"\0SP\0\0\x50\0\0"


def make_node(name: str, address: str) -> TransportNode:
    return TransportNode("c1", name, make_incarnation(1, 1), address, SystemClock())


def reconnect(address: str, until_s: float) -> None:
    host, port = address.split(":")
    while time.monotonic() < until_s:
        with socket.create_connection((host, int(port))) as connection:
            connection.sendall(GREETING)
            connection.recv(len(GREETING))


def main(receiver_address: str, sender_address: str) -> None:
    eventlet.monkey_patch()
    received = []
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    with make_node("b", receiver_address) as receiver:
        receiver.register_handler("entry_report", received.append)
        until_s = time.monotonic() + RECONNECT_S
        clients = [
            eventlet.spawn(reconnect, receiver_address, until_s) for _ in range(CLIENTS)
        ]
        for client in clients:
            client.wait()
        with make_node("a", sender_address) as sender:
            sender.send("b", receiver_address, "entry_report", EntryReport(nonce=1))
            with eventlet.Timeout(RECEIVE_TIMEOUT_S, False):
                while not received:
                    eventlet.sleep(0.01)
            print(f"received {len(received)}", flush=True)
    print("closed", flush=True)


if __name__ == "__main__":
    main(*sys.argv[1:])
