"""The programs that stand for quotas of processors and for links."""

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time

import pytest

from chestnutvale.emulator.processes import ManagedProcess

WORK = "import time\nwhile True: time.sleep(0.001)"


def start(tmp_path, name, *arguments):
    command = [sys.executable, "-m", f"chestnutvale.soak.{name}", *arguments]
    return ManagedProcess(name, command, tmp_path)


@pytest.fixture
def echo_server():
    listener = socket.create_server(("127.0.0.1", 0))

    def serve():
        while True:
            connection, _ = listener.accept()
            while data := connection.recv(100):
                connection.sendall(data)
            connection.close()

    threading.Thread(target=serve, daemon=True).start()
    with listener:
        yield "{}:{}".format(*listener.getsockname())


def connect(address):
    host, _, port = address.rpartition(":")
    return socket.create_connection((host, int(port)), 5.0)


def test_a_link_delays_both_directions_and_resets_on_request(tmp_path, echo_server):
    arguments = ("--delay-ms", "100", "--seed", "2", "--", f"e={echo_server}")
    with start(tmp_path, "links", *arguments) as links:
        address = links.wait_ready()["e"]
        with connect(address) as client:
            started_s = time.monotonic()
            client.sendall(b"hello")
            assert client.recv(100) == b"hello"
            assert time.monotonic() - started_s >= 0.2
            client.settimeout(0.3)
            for _ in range(30):
                os.kill(links.pid, signal.SIGUSR1)
                try:
                    assert client.recv(100) == b""
                    return
                except TimeoutError:
                    continue
                except ConnectionResetError:
                    return
    pytest.fail("the connection was not reset")


def test_a_link_refuses_connections_while_its_entry_does(tmp_path):
    with socket.create_server(("127.0.0.1", 0)) as probe:
        target = "{}:{}".format(*probe.getsockname())
    with start(tmp_path, "links", "--", f"e={target}") as links:
        address = links.wait_ready()["e"]
        with connect(address) as first:
            first.settimeout(5.0)
            with contextlib.suppress(ConnectionResetError):
                assert first.recv(1) == b""
        time.sleep(0.3)
        with pytest.raises(ConnectionRefusedError):
            connect(address)


def test_a_quota_stops_a_process_for_its_share_and_lets_it_go_on_at_the_end(tmp_path):
    with subprocess.Popen([sys.executable, "-c", WORK]) as process:
        try:
            targets = tmp_path / "targets.json"
            targets.write_text(json.dumps({"p": process.pid}))
            with start(tmp_path, "quota", str(targets), "--share", "0.5") as quota:
                quota.wait_ready()
                samples = []
                for _ in range(200):
                    samples.append(read_state(process.pid) == "T")
                    time.sleep(0.01)
                quota.request_stop()
                quota.wait_for_exit()
            assert 0.3 < sum(samples) / len(samples) < 0.7
            assert read_state(process.pid) != "T"
        finally:
            process.kill()


def read_state(process_id):
    with open(f"/proc/{process_id}/stat") as file:
        return file.read().rpartition(")")[2].split()[0]
