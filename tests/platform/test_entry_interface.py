"""Listeners of an entry on the platform."""

from types import SimpleNamespace

from chestnutvale.observability.metrics import NoMetrics
from chestnutvale.schema.settings_pb2 import EntrySettings
from tests.programs.entry.entry_fakes import FakeContext

from adapter.entry_interface import PlatformEntryInterface  # isort: skip


def test_callers_connections_follow_the_limits_of_the_configuration():
    context = FakeContext()
    components = SimpleNamespace(
        settings=EntrySettings(http_address="127.0.0.1:1", relay_address="127.0.0.1:3"),
        prober=None,
        context=context,
        link=SimpleNamespace(
            trigger_report=None, set_suspicion_tracker=lambda tracker: None
        ),
        clock=context.clock,
        writer=None,
        metrics=NoMetrics(),
        is_ready=lambda: True,
    )
    machine = SimpleNamespace(get_text=lambda name: "127.0.0.1:2")
    interface = PlatformEntryInterface(machine)
    callers, relay, readiness = interface.make_listeners(components)
    context.text.caller_limits.idle_timeout_ms = 40_000
    assert callers.read_timeouts().idle_s > 40.0
    assert relay.read_timeouts().idle_s > 40.0
    assert readiness.read_timeouts is None
