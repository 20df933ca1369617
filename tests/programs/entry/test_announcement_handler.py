"""Answers of an entry to the announcements of endpoints."""

import io
import json

import pytest

from chestnutvale.clock import SystemClock
from chestnutvale.membership.announcement_collector import AnnouncementCollector
from chestnutvale.membership.cache_events import CacheEventQueue
from chestnutvale.programs.entry.announcement_handler import (
    MAX_ANNOUNCEMENT_BYTES,
    AnnouncementHandler,
)

INTERVAL_MS = 500
ANNOUNCEMENT = {
    "host_id": "a",
    "boot_id": "boot-1",
    "sequence": 1,
    "address": "10.0.0.1:8000",
    "data_centre": "d1",
    "kind": "engine",
    "fabric_domain": "f1",
    "holding": {"group_id": "g1", "service": "s", "phase": "ready"},
    "cache_events": {"added": ["1", "2"]},
}


class Entry:
    """An announcement handler with its collaborators."""

    def __init__(self):
        self.collector = AnnouncementCollector()
        self.cache_events = CacheEventQueue()
        self.urgent_reports = 0
        self._handler = AnnouncementHandler(
            self.collector,
            SystemClock(),
            INTERVAL_MS,
            self._trigger_report,
            self.cache_events,
        )

    def _trigger_report(self):
        self.urgent_reports += 1

    def post(self, body):
        """Return status and decoded body of the answer."""
        statuses = []
        answer = self._handler(
            {"wsgi.input": io.BytesIO(body)},
            lambda status, headers: statuses.append(int(status.split()[0])),
        )
        data = json.loads(b"".join(answer))
        return statuses[0], data


def test_an_accepted_announcement_is_answered_200_and_passed_on():
    entry = Entry()
    status, data = entry.post(json.dumps(ANNOUNCEMENT).encode())
    assert (status, data) == (200, {"next_announcement_ms": INTERVAL_MS})
    assert entry.collector.host_count == 1
    assert entry.urgent_reports == 1
    assert [item.group_id for item in entry.cache_events.drain()] == ["g1"]


@pytest.mark.parametrize(
    ("body", "status", "code"),
    [
        (b"{", 400, "bad_announcement"),
        (b"\xff", 400, "bad_announcement"),
        (b" " * (MAX_ANNOUNCEMENT_BYTES + 1), 413, "too_large"),
        (
            json.dumps({**ANNOUNCEMENT, "boot_id": ""}).encode(),
            400,
            "announcement_invalid",
        ),
    ],
)
def test_a_refused_announcement_is_answered_with_its_status(body, status, code):
    entry = Entry()
    refused, problem = entry.post(body)
    assert (refused, problem["code"]) == (status, code)
    assert entry.collector.host_count == 0


def test_a_repeated_announcement_is_refused_without_an_urgent_report():
    entry = Entry()
    body = json.dumps(ANNOUNCEMENT).encode()
    entry.post(body)
    status, problem = entry.post(body)
    assert (status, problem["code"]) == (400, "announcement_old_sequence")
    assert entry.urgent_reports == 1
