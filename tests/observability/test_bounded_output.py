"""Logs to a pipe: bounded, counted, and never in the way."""

import json
import os
import time

import logbook
import pytest

from chestnutvale.observability.bounded_output import (
    MAX_HELD_BYTES,
    BoundedHandler,
    LineQuota,
)
from chestnutvale.observability.logs import format_json

LOGGER = logbook.Logger("test")


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def make_handler(writer, now_s=lambda: 0.0, **options):
    handler = BoundedHandler(writer, now_s, **options)
    handler.formatter = format_json
    return handler


def read_some(reader):
    os.set_blocking(reader, False)
    data = b""
    try:
        while part := os.read(reader, 65536):
            data += part
    except BlockingIOError:
        pass
    return data


def read_lines(reader):
    return [json.loads(line) for line in read_some(reader).splitlines()]


def test_fields_of_a_line_stand_in_its_object(pipe):
    reader, writer = pipe
    with make_handler(writer).applicationbound():
        LOGGER.info("attempt", extra={"group": "g1", "epoch": 3})
    (line,) = read_lines(reader)
    assert (line["message"], line["group"], line["epoch"]) == ("attempt", "g1", 3)


def test_a_reader_that_stops_reading_stops_nobody(pipe):
    reader, writer = pipe
    handler = make_handler(writer, quota=LineQuota(most=10**9))
    started_s = time.monotonic()
    with handler.applicationbound():
        for number in range(20_000):
            LOGGER.info("attempt", extra={"number": number, "text": "x" * 100})
    assert time.monotonic() - started_s < 20.0
    assert handler.dropped_full > 0
    held = len(handler._held)
    assert held <= MAX_HELD_BYTES
    # What was written is whole lines, and what was left out is told afterwards.
    data = read_some(reader)
    with handler.applicationbound():
        LOGGER.info("after")
    while handler._held:
        handler.flush()
        data += read_some(reader)
    lines = [json.loads(line) for line in data.splitlines()]
    told = [line for line in lines if line["message"] == "lines_left_out"]
    assert told
    assert told[-1]["slow_reader"] > 0


def test_each_event_has_its_own_bound(pipe):
    reader, writer = pipe
    now = [0.0]
    handler = make_handler(writer, lambda: now[0], quota=LineQuota(most=3))
    with handler.applicationbound():
        for _ in range(10):
            LOGGER.info("noisy")
        LOGGER.info("rare")
        now[0] = 1.5
        LOGGER.info("noisy")
    messages = [line["message"] for line in read_lines(reader)]
    assert messages == ["noisy"] * 3 + ["rare", "lines_left_out", "noisy"]
    assert handler.quota.dropped == {"noisy": 7}


def test_a_reader_that_is_gone_does_not_end_the_process():
    reader, writer = os.pipe()
    os.close(reader)
    with make_handler(writer).applicationbound():
        LOGGER.info("attempt")
    os.close(writer)
