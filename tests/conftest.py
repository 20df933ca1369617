"""Fixtures that all tests share."""

import socket

import pytest


@pytest.fixture
def free_address():
    """Return a function that gives an unused loopback address."""

    def make() -> str:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            return f"127.0.0.1:{probe.getsockname()[1]}"

    return make
