"""Answers without end from faulty endpoints leave memory and time to other calls."""

import contextlib

import eventlet
import pytest

from chestnutvale.http_server.memory import MemoryBound
from tests.http_client.answer_faults import flood
from tests.programs.entry.routed.routed_fakes import (
    ScriptedEndpoint,
    call,
    chunk,
    complete_answer,
    routed_entry,
    stream_head,
)

SIGNED_HEAD = b"HTTP/1.1 200 OK\r\nX-Call: c1\r\nX-Made-By: e1\r\n\r\n"
FAILED_HEAD = b"HTTP/1.1 500 Failed\r\nX-Call: c1\r\n\r\n"
CALLS = 40
BOUND_BYTES = 4 * 1024 * 1024
# Time limit of the calls whose answers have no end.
ENDLESS_S = 15
LARGE_BODY = b"x" * 1_500_000


@contextlib.contextmanager
def bounded_entry(*endpoints):
    memory = MemoryBound(BOUND_BYTES)
    with routed_entry(*endpoints) as entry:
        entry.context.memory = memory
        yield entry, memory


def watch_memory(memory, most_bytes):
    while True:
        most_bytes.append(memory.used_bytes)
        eventlet.sleep(0)


@pytest.mark.parametrize(
    "step",
    [
        flood(SIGNED_HEAD, b"x"),
        flood(FAILED_HEAD, b"x"),
        flood(stream_head(), chunk(b"x" * 4_000)),
    ],
    ids=["until the connection closes", "status 500", "chunks"],
)
def test_endless_bodies_together_stay_within_the_memory_of_the_process(step):
    # Guards against an entry that runs out of memory, with all its other calls.
    endpoint = ScriptedEndpoint()
    endpoint.default = step
    with bounded_entry(endpoint) as (entry, memory), eventlet.Timeout(ENDLESS_S + 5):
        # The bodies reach the bound long before, also on a busy machine.
        for route in entry.context.text.routes:
            route.timeout_ms = 1_000 * ENDLESS_S
        used_bytes = [0]
        watcher = eventlet.spawn(watch_memory, memory, used_bytes)
        calls = [
            eventlet.spawn(
                call, entry.address, "/safe/x", X_Left=f"{1_000 * ENDLESS_S}"
            )
            for _ in range(CALLS)
        ]
        statuses = {task.wait()[0] for task in calls}
        watcher.kill()
    assert statuses <= {502, 503, 504}
    assert memory.cut_bodies
    assert max(used_bytes) <= BOUND_BYTES
    assert memory.used_bytes == 0


def test_sound_large_answer_is_whole():
    endpoint = ScriptedEndpoint()
    endpoint.default = complete_answer(LARGE_BODY)
    with bounded_entry(endpoint) as (entry, memory):
        status, _, body, is_complete = call(entry.address, "/safe/x", X_Left="5000")
    assert (status, is_complete) == (200, True)
    assert body == LARGE_BODY
    assert not memory.cut_bodies
    assert memory.used_bytes == 0
