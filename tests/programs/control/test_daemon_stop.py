"""The requests of a control that stops."""

import random

import eventlet
from eventlet.green import socket

from chestnutvale.clock import SystemClock
from chestnutvale.programs.control.daemon import ControlDaemon
from chestnutvale.schema.settings_pb2 import PeerAddress
from chestnutvale.settings.control import default_control_settings

TEST_TIMEOUT_S = 20.0


class SlowInterface:
    """Answers each request after a while."""

    def make_app(self, parts):
        return self.answer

    def make_order_transport(self, clock):
        return None

    def answer(self, environ, start_response):
        eventlet.sleep(0.3)
        start_response("200 OK", [])
        return [b"accepted"]


def make_settings(tmp_path, free_address):
    settings = default_control_settings()
    settings.cluster_id = settings.control_id = "c1"
    settings.data_folder = str(tmp_path / "data")
    settings.http_address, settings.peer_address = free_address(), free_address()
    settings.controls.append(
        PeerAddress(
            id="c1",
            address=settings.peer_address,
            http_address=settings.http_address,
        )
    )
    return settings


def test_request_that_runs_when_a_control_stops_is_answered(tmp_path, free_address):
    settings = make_settings(tmp_path, free_address)
    with eventlet.Timeout(TEST_TIMEOUT_S):
        with ControlDaemon(settings, SlowInterface(), SystemClock(), random.Random(1)):
            host, _, port = settings.http_address.rpartition(":")
            client = socket.create_connection((host, int(port)))
            client.sendall(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
            eventlet.sleep(0.1)
        assert b"accepted" in client.recv(4_096)
