"""Documents of operators: what they cost the control that commits them."""

import time
from types import SimpleNamespace

import eventlet
import pytest

from chestnutvale.consensus.exceptions import NotLeaderError
from chestnutvale.programs.control.documents import SMALL_DOCUMENT_BYTES, DocumentStore
from chestnutvale.schema.configuration_pb2 import ApplyTextResult, Text

PARSE_S = 0.5
HEARTBEAT_INTERVAL_S = 0.02


def make_operations(**fields):
    defaults = {
        "is_leader": lambda: True,
        "leader_id": lambda: "c2",
        "text_in_force": Text,
        "apply_text": lambda command, deadline_s: ApplyTextResult(
            number_in_force=command.text.number
        ),
    }
    return SimpleNamespace(**defaults | fields)


def parse_slowly(document):
    time.sleep(PARSE_S)
    return Text(number=7)


def test_large_document_does_not_delay_heartbeats():
    store = DocumentStore(make_operations(), parse_slowly)
    pauses_s = []

    def beat():
        while True:
            started_s = time.monotonic()
            eventlet.sleep(HEARTBEAT_INTERVAL_S)
            pauses_s.append(time.monotonic() - started_s)

    heartbeat = eventlet.spawn(beat)
    eventlet.sleep(0)
    assert store.replace(bytes(SMALL_DOCUMENT_BYTES + 1), time.monotonic() + 5.0) == 7
    heartbeat.kill()
    assert len(pauses_s) > 5
    assert max(pauses_s) < PARSE_S / 2


def test_large_documents_are_parsed_one_at_a_time():
    # Guards against a control that runs out of memory.
    running = []

    def parse(document):
        running.append(len(running))
        assert running == [0]
        time.sleep(0.05)
        running.clear()
        return Text(number=7)

    store = DocumentStore(make_operations(), parse)
    document = bytes(SMALL_DOCUMENT_BYTES + 1)
    calls = [eventlet.spawn(store.replace, document, 0.0) for _ in range(5)]
    assert [call.wait() for call in calls] == [7] * 5


def test_follower_redirects_without_parsing_the_document():
    parsed = []
    operations = make_operations(is_leader=lambda: False)
    store = DocumentStore(operations, parsed.append)
    with pytest.raises(NotLeaderError) as raised:
        store.replace(b"document", 1.0)
    assert (raised.value.leader_id, parsed) == ("c2", [])
