"""Fixtures that all tests share."""

import os

import pytest

from chestnutvale.emulator.processes import find_free_addresses

# One generator a worker, so that no address is given out twice. Its ports lie below
# those that the system gives to outgoing connections, which would else take the
# address of a process that a test has ended and starts again.
_ADDRESSES = find_free_addresses(os.getpid())


@pytest.fixture
def free_address():
    """Return a function that gives an unused loopback address."""
    return lambda: next(_ADDRESSES)
