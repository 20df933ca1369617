"""Fixtures: three fake controls on loopback and the operator client."""

import contextlib
import json

import eventlet
import pytest
from eventlet import tpool

from chestnutvale.programs.client.main import run
from tests.programs.operator_fakes import TOKEN, FakeCluster, FakeControl

TEST_TIMEOUT_S = 40.0


@pytest.fixture
def cluster():
    return FakeCluster()


@pytest.fixture
def controls(cluster, free_address):
    """Return three running controls; the second one leads."""
    fake_controls = [
        FakeControl(cluster, name, free_address()) for name in ("c1", "c2", "c3")
    ]
    cluster.leader = "c2"
    with contextlib.ExitStack() as stack:
        for control in fake_controls:
            stack.enter_context(control.server)
        stack.enter_context(eventlet.Timeout(TEST_TIMEOUT_S))
        yield fake_controls


@pytest.fixture
def write_settings(tmp_path, controls):
    """Return a function that writes a settings file of the client."""
    token_file = tmp_path / "token"
    token_file.touch(mode=0o600)
    token_file.write_text(TOKEN)

    def write(addresses=None, **fields):
        http_addresses = addresses or [control.address for control in controls]
        data = {
            "cluster_id": "x",
            "operator_token_file": str(token_file),
            "timeout_ms": 3_000,
            "controls": [
                {"id": f"c{n}", "address": address, "http_address": address}
                for n, address in enumerate(http_addresses, 1)
            ],
        }
        path = tmp_path / "client.json"
        path.write_text(json.dumps(data | fields))
        return path

    return write


@pytest.fixture
def chestnut(write_settings, capsys):
    """Return a function that runs the client and returns exit code and output.

    The client blocks, so it runs in a native thread while the hub serves it.
    """
    default = write_settings()

    def call(*arguments, settings=default):
        code = tpool.execute(run, [*arguments, "--settings", str(settings)])
        captured = capsys.readouterr()
        return int(code), captured.out, captured.err

    return call


@pytest.fixture
def text_file(tmp_path):
    """Return a function that writes a text file with a number and a group count."""

    def write(number, groups=1, name="text.json"):
        service = {
            "kind": "model",
            "model": "m",
            "version": "v",
            "hosts_per_group": 2,
            "groups": groups,
        }
        path = tmp_path / name
        path.write_text(json.dumps({"number": number, "services": {"chat": service}}))
        return str(path)

    return write
