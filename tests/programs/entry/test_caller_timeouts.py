"""Timeouts of callers' connections from the configuration in force."""

from chestnutvale.http_server.timeouts import ConnectionTimeouts
from chestnutvale.programs.entry.caller_timeouts import CallerTimeouts
from chestnutvale.schema.settings_pb2 import HttpLimits
from tests.programs.entry.entry_fakes import FakeContext


def test_settings_apply_while_the_configuration_has_no_timeouts():
    timeouts = CallerTimeouts(FakeContext(), HttpLimits(idle_timeout_ms=20_000))
    assert timeouts.read() == ConnectionTimeouts(idle_s=20.0, head_s=20.0)


def test_connections_outlast_a_raised_idle_timeout_of_the_configuration():
    context = FakeContext()
    timeouts = CallerTimeouts(context, HttpLimits(idle_timeout_ms=20_000))
    context.text.caller_limits.idle_timeout_ms = 40_000
    context.text.caller_limits.header_timeout_ms = 3_000
    assert timeouts.read().idle_s > 40.0
    assert 3.0 < timeouts.read().head_s < 20.0
