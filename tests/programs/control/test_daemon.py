"""A control as a whole, over loopback and a real data folder."""

import random
import threading

import eventlet
from eventlet.green import socket

from chestnutvale.clock import SystemClock
from chestnutvale.programs.control.daemon import ControlDaemon
from chestnutvale.programs.control.interface import NativeInterface
from chestnutvale.schema.command_pb2 import Command
from chestnutvale.schema.settings_pb2 import ControlSettings, PeerAddress
from chestnutvale.settings.common import default_http_limits
from chestnutvale.storage.file_system import FileSystem

CHANGE_TIMEOUT_S = 20


def fetch_status(address, path):
    host, port = address.split(":")
    with socket.create_connection((host, int(port))) as connection:
        connection.sendall(f"GET {path} HTTP/1.0\r\n\r\n".encode())
        return int(connection.makefile("rb").readline().split()[1])


def wait_for_status(address, path, status):
    with eventlet.Timeout(CHANGE_TIMEOUT_S):
        while fetch_status(address, path) != status:
            eventlet.sleep(0.05)


def test_liveness_fails_while_a_write_does_not_finish(
    free_address, tmp_path, monkeypatch
):
    works = threading.Event()
    works.set()
    sync = FileSystem.sync

    def sync_when_it_works(file_system, descriptor):
        works.wait()
        sync(file_system, descriptor)

    monkeypatch.setattr(FileSystem, "sync", sync_when_it_works)
    peer = PeerAddress(id="c0", address=free_address())
    settings = ControlSettings(
        cluster_id="t",
        control_id=peer.id,
        peer_address=peer.address,
        http_address=free_address(),
        http_limits=default_http_limits(),
        data_folder=str(tmp_path),
        controls=[peer],
    )
    address = settings.http_address
    interface = NativeInterface(b"")
    with ControlDaemon(settings, interface, SystemClock(), random.Random(1)) as daemon:
        try:
            wait_for_status(address, "/readyz", 200)
            assert fetch_status(address, "/healthz") == 200
            works.clear()
            command = Command()
            command.drain_host.host_id = "h1"
            eventlet.spawn(daemon._log.propose, command, SystemClock().now_s())
            wait_for_status(address, "/healthz", 503)
        finally:
            works.set()
        wait_for_status(address, "/healthz", 200)
