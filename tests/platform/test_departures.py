"""Acknowledged departures of workers outlive restarts of the controls."""

import contextlib
import json
import random

import eventlet
import pytest
from eventlet.green import socket

from chestnutvale.clock import SystemClock
from chestnutvale.programs.control.daemon import ControlDaemon
from chestnutvale.schema.settings_pb2 import PeerAddress
from chestnutvale.settings.control import default_control_settings

from adapter.control_interface import PlatformControlInterface  # isort: skip

CLOCK = SystemClock()
TEST_TIMEOUT_S = 60.0
CATCH_UP_TIMEOUT_S = 5.0
WORKER = "i-1"
HEARTBEAT_PATH = f"/api/instances/{WORKER}/heartbeat"
DEREGISTER_PATH = f"/api/instances/{WORKER}/deregister"
FIRST_BORN = 1790991543082
HEARTBEAT = {
    "service": "ledger",
    "address": "10.1.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "coldRemainingMs": 0,
    "sequence": 4,
    "born": FIRST_BORN,
}


class Controls:
    """Three controls in this process, each of which can be stopped and started."""

    def __init__(self, free_address, folder):
        peers = [
            PeerAddress(id=f"c{n}", address=free_address(), http_address=free_address())
            for n in range(3)
        ]
        self.settings = [self._make_settings(peer, peers, folder) for peer in peers]
        self.running = {}

    def _make_settings(self, peer, peers, folder):
        settings = default_control_settings()
        settings.cluster_id = "t"
        settings.control_id = peer.id
        settings.peer_address = peer.address
        settings.http_address = peer.http_address
        settings.data_folder = str(folder / peer.id)
        settings.controls.extend(peers)
        settings.election_timeout_ms = 300
        settings.heartbeat_interval_ms = 50
        return settings

    def start(self, position):
        settings = self.settings[position]
        interface = PlatformControlInterface(settings.http_address)
        stack = contextlib.ExitStack()
        self.running[position] = stack
        return stack.enter_context(
            ControlDaemon(settings, interface, CLOCK, random.Random(position))
        )

    def start_all(self):
        self.daemons = [self.start(position) for position in range(3)]

    def stop_all(self):
        for stack in self.running.values():
            stack.close()
        self.running = {}

    def restart_all_at_once(self):
        self.stop_all()
        self.start_all()

    def restart_one_after_the_other(self):
        for position in range(3):
            self.running[position].close()
            self.daemons[position] = self.start(position)
            self.wait_for_leader()

    def wait_for_leader(self):
        wait_until(
            lambda: any(daemon._log.has_lease(CLOCK.now_s()) for daemon in self.daemons)
        )

    def call(self, position, path, document=None):
        body = json.dumps(document).encode() if document is not None else b""
        host, port = self.settings[position].http_address.split(":")
        head = f"POST {path} HTTP/1.1\r\nHost: a\r\nContent-Length: {len(body)}\r\n\r\n"
        with socket.create_connection((host, int(port))) as connection:
            connection.sendall(head.encode() + body)
            return int(connection.makefile("rb").readline().split()[1])

    def call_until_acknowledged(self, path, document=None):
        position = 0
        while self.call(position % 3, path, document) != 200:
            position += 1
            eventlet.sleep(0.1)

    def send_heartbeat(self, **fields):
        self.call_until_acknowledged(HEARTBEAT_PATH, HEARTBEAT | fields)

    def deregister(self):
        self.call_until_acknowledged(DEREGISTER_PATH)

    def leaving(self):
        """Return what each control knows of the worker; None if it knows nothing."""
        records = [daemon.table.host(WORKER) for daemon in self.daemons]
        return [
            record.announcement.leaving if record and record.announcement else None
            for record in records
        ]


def wait_until(condition):
    while not condition():
        eventlet.sleep(0.02)


@pytest.fixture
def controls(free_address, tmp_path):
    controls = Controls(free_address, tmp_path)
    with eventlet.Timeout(TEST_TIMEOUT_S):
        controls.start_all()
        controls.wait_for_leader()
        yield controls
        controls.stop_all()


RESTARTS = ["restart_all_at_once", "restart_one_after_the_other"]


# Guards against a departure that is acknowledged from memory: review/4.
@pytest.mark.parametrize("restart", RESTARTS)
@pytest.mark.parametrize("departure", ["deregister", "draining"])
def test_late_heartbeat_after_restarts_does_not_undo_an_acknowledged_departure(
    controls, restart, departure
):
    controls.send_heartbeat(sequence=4)
    if departure == "deregister":
        controls.deregister()
    else:
        controls.send_heartbeat(sequence=6, state="draining")
    getattr(controls, restart)()
    controls.wait_for_leader()
    controls.send_heartbeat(sequence=5)
    wait_until(lambda: None not in controls.leaving())
    # A follower may have to catch up with the log first.
    with eventlet.Timeout(CATCH_UP_TIMEOUT_S, False):
        wait_until(lambda: False not in controls.leaving())
    assert controls.leaving() == [True, True, True]


def test_restarted_worker_is_used_again_after_its_departure(controls):
    controls.send_heartbeat(sequence=4)
    controls.deregister()
    controls.restart_all_at_once()
    controls.send_heartbeat(sequence=1, born=FIRST_BORN + 5_000)
    wait_until(lambda: controls.leaving() == [False, False, False])


def test_resent_deregistration_is_acknowledged_again_after_restarts(controls):
    controls.send_heartbeat(sequence=4)
    controls.deregister()
    controls.restart_all_at_once()
    controls.deregister()
    # No control knows the worker otherwise, so the answer comes from the log.
    assert controls.leaving() == [None, None, None]


def test_departure_is_not_acknowledged_without_a_leader(controls):
    controls.send_heartbeat(sequence=4)
    wait_until(lambda: None not in controls.leaving())
    for position in (1, 2):
        controls.running.pop(position).close()
    daemon = controls.daemons[0]
    wait_until(lambda: not daemon._log.leader_id)
    assert controls.call(0, DEREGISTER_PATH) == 503
    # The worker gets nothing new all the same, as far as this control decides.
    assert daemon.table.host(WORKER).announcement.leaving
    # A copy of the same heartbeat is not taken for an acknowledged one either.
    draining = HEARTBEAT | {"state": "draining", "sequence": 9}
    assert controls.call(0, HEARTBEAT_PATH, draining) == 503
    assert controls.call(0, HEARTBEAT_PATH, draining) == 503
