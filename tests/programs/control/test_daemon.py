"""A control as a whole, over loopback and a real data folder."""

import errno
import random
import threading

import eventlet
import pytest
from eventlet import tpool
from eventlet.green import socket

from chestnutvale.clock import SystemClock
from chestnutvale.consensus.exceptions import OutcomeUnknownError
from chestnutvale.programs.control.daemon import ControlDaemon
from chestnutvale.programs.control.interface import NativeInterface
from chestnutvale.programs.signals import SignalHandler
from chestnutvale.schema.command_pb2 import Command
from chestnutvale.schema.settings_pb2 import ControlSettings, PeerAddress
from chestnutvale.settings.common import default_http_limits
from chestnutvale.storage.exceptions import StorageError
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


def make_settings(free_address, folder):
    peer = PeerAddress(id="c0", address=free_address())
    return ControlSettings(
        cluster_id="t",
        control_id=peer.id,
        peer_address=peer.address,
        http_address=free_address(),
        http_limits=default_http_limits(),
        data_folder=str(folder),
        controls=[peer],
    )


def drain_host(daemon, host_id):
    command = Command()
    command.drain_host.host_id = host_id
    command.drain_host.draining = True
    return daemon._log.propose(command, SystemClock().now_s() + 5.0)


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
    settings = make_settings(free_address, tmp_path)
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


@pytest.mark.parametrize("operation", ["write", "sync"])
def test_control_whose_disk_failed_ends_and_votes_again_after_its_restart(
    free_address, tmp_path, monkeypatch, operation
):
    settings = make_settings(free_address, tmp_path)
    interface = NativeInterface(b"")

    def fail(*arguments):
        raise OSError(errno.EIO, "input or output error")

    def run_until_failure():
        with ControlDaemon(
            settings, interface, SystemClock(), random.Random(1)
        ) as daemon:
            waiting = eventlet.spawn(daemon.wait_for_stop, SignalHandler())
            wait_for_status(settings.http_address, "/readyz", 200)
            drain_host(daemon, "h1")
            with monkeypatch.context() as patch:
                patch.setattr(FileSystem, operation, fail)
                with pytest.raises(OutcomeUnknownError):
                    drain_host(daemon, "h2")
            waiting.wait()

    with eventlet.Timeout(CHANGE_TIMEOUT_S):
        with pytest.raises(StorageError, match="input or output error"):
            run_until_failure()
        with ControlDaemon(
            settings, interface, SystemClock(), random.Random(2)
        ) as daemon:
            wait_for_status(settings.http_address, "/readyz", 200)
            drain_host(daemon, "h3")
            assert {"h1", "h3"} <= daemon.state.groups.draining_hosts


def test_running_control_waits_for_no_start_of_a_native_thread(
    free_address, tmp_path, monkeypatch
):
    # Other tests may have started the threads in this process.
    tpool.killall()
    started = []
    start = tpool.threading.Thread.start

    def record_start(thread):
        started.append(thread.name)
        start(thread)

    monkeypatch.setattr(tpool.threading.Thread, "start", record_start)
    settings = make_settings(free_address, tmp_path)
    interface = NativeInterface(b"")
    with ControlDaemon(settings, interface, SystemClock(), random.Random(1)) as daemon:
        started.clear()
        wait_for_status(settings.http_address, "/readyz", 200)
        drain_host(daemon, "h1")
        assert started == []
