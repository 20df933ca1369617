"""What an entry writes down about its controls."""

import random
from types import SimpleNamespace

import logbook
import pytest

from chestnutvale.admission.controller import AdmissionController
from chestnutvale.attempts.suspicion import SuspicionTracker
from chestnutvale.membership.cache_events import CacheEventQueue
from chestnutvale.membership.entry_view import EntryView
from chestnutvale.membership.hearing import Hearing
from chestnutvale.programs.entry.control_link import ControlLink
from chestnutvale.programs.entry.demand_exchange import DemandExchange
from chestnutvale.schema.peer_pb2 import ControlView, Envelope
from chestnutvale.schema.settings_pb2 import EntrySettings
from tests.programs.entry.test_group_router import ManualClock

CONTROL = "control-1"


class Wire:
    """Takes reports; views are handed to the link by the test."""

    def __init__(self):
        self.reports = []
        self.handlers = {}

    def on(self, body, handler):
        self.handlers[body] = handler

    def send(self, peer_id, address, body, message, expiry_ms):
        self.reports.append(message)


@pytest.fixture
def entry():
    settings = EntrySettings(entry_id="entry-1", report_interval_ms=100)
    settings.controls.add(id=CONTROL, address="127.0.0.1:1")
    clock, wire = ManualClock(), Wire()
    rng = random.Random(1)
    link = ControlLink(
        settings,
        wire,
        EntryView(),
        Hearing(),
        SuspicionTracker(),
        CacheEventQueue(),
        DemandExchange(AdmissionController(rng)),
        clock,
        rng,
    )
    return SimpleNamespace(link=link, wire=wire, clock=clock)


def lease_lines(handler):
    return [
        (record.extra["held"], record.extra["control"])
        for record in handler.records
        if record.message == "serving_lease"
    ]


def test_a_lease_that_is_won_or_lost_is_written_down_once(entry):
    with logbook.TestHandler() as handler:
        entry.link._run_round()
        assert lease_lines(handler) == []
        nonce = entry.wire.reports[-1].nonce
        view = ControlView(
            term=1, source=CONTROL, nonce=nonce, view_version=1, whole=True
        )
        envelope = Envelope(sender_id=CONTROL, control_view=view)
        entry.wire.handlers["control_view"](envelope)
        entry.link._run_round()
        assert lease_lines(handler) == [(True, CONTROL)]
        entry.clock.time_s += 3.0
        for _ in range(3):
            entry.link._run_round()
    assert lease_lines(handler) == [(True, CONTROL), (False, CONTROL)]
