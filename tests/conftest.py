"""Shared fixtures."""

import os

import pytest

from chestnutvale.emulator.processes import find_free_addresses

# One generator per worker, so that no address is used twice. Its ports are below the
# ephemeral range; otherwise an outgoing connection could take the address of a
# process that a test stops and restarts.
_ADDRESSES = find_free_addresses(os.getpid())


@pytest.fixture
def free_address():
    """Return a function that gives an unused loopback address."""
    return lambda: next(_ADDRESSES)
