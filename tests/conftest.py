"""Shared fixtures."""

import os

import pytest
from hypothesis import HealthCheck, settings

from chestnutvale.emulator.processes import find_free_addresses

# Other processes of the machine must not decide a verdict by what time examples take.
settings.register_profile(
    "any_speed", deadline=None, suppress_health_check=[HealthCheck.too_slow]
)
settings.load_profile("any_speed")

# One generator per worker, so that no address is used twice. Its ports are below the
# ephemeral range; otherwise an outgoing connection could take the address of a
# process that a test stops and restarts.
_ADDRESSES = find_free_addresses(os.getpid())


@pytest.fixture
def free_address():
    """Return a function that gives an unused loopback address."""
    return lambda: next(_ADDRESSES)
