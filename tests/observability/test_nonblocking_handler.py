"""Log output to a pipe is non-blocking and rate-limited; dropped lines are counted."""

import json
import os
import subprocess
import sys
import time
from pathlib import Path

import logbook
import pytest

from chestnutvale.observability.logs import format_json
from chestnutvale.observability.nonblocking_handler import (
    MAX_BUFFER_BYTES,
    MAX_LINES_PER_WINDOW,
    PRIORITY_EVENTS,
    PRIORITY_RESERVE_BYTES,
    LogRateLimiter,
    NonBlockingHandler,
)

LOGGER = logbook.Logger("test")
PROGRAM_TIMEOUT_S = 20


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def make_handler(writer, now_s=lambda: 0.0, **options):
    handler = NonBlockingHandler(writer, now_s, **options)
    handler.formatter = format_json
    return handler


def read_available(reader):
    os.set_blocking(reader, False)
    data = b""
    try:
        while part := os.read(reader, 65536):
            data += part
    except BlockingIOError:
        pass
    return data


def read_lines(reader):
    return [json.loads(line) for line in read_available(reader).splitlines()]


def test_extra_fields_are_top_level_json_keys(pipe):
    reader, writer = pipe
    with make_handler(writer).applicationbound():
        LOGGER.info("attempt", extra={"group": "g1", "epoch": 3})
    (line,) = read_lines(reader)
    assert (line["message"], line["group"], line["epoch"]) == ("attempt", "g1", 3)


def test_stalled_reader_does_not_block_logging(pipe):
    reader, writer = pipe
    handler = make_handler(writer, rate_limiter=LogRateLimiter(max_lines=10**9))
    started_s = time.monotonic()
    with handler.applicationbound():
        for number in range(20_000):
            LOGGER.info("attempt", extra={"number": number, "text": "x" * 100})
    assert time.monotonic() - started_s < 20.0
    assert handler.dropped_by_slow_reader > 0
    buffered_bytes = len(handler._buffer)
    assert buffered_bytes <= MAX_BUFFER_BYTES
    # Only whole lines are written, and dropped lines are reported afterwards.
    data = read_available(reader)
    with handler.applicationbound():
        LOGGER.info("after")
    while handler._buffer:
        handler.flush()
        data += read_available(reader)
    lines = [json.loads(line) for line in data.splitlines()]
    drop_reports = [line for line in lines if line["message"] == "lines_left_out"]
    assert drop_reports
    assert drop_reports[-1]["slow_reader"] > 0


def test_stalled_reader_does_not_block_logging_of_a_patched_process():
    run = subprocess.run(
        [sys.executable, "-m", "tests.observability.patched_logging"],
        cwd=Path(__file__).parents[2],
        capture_output=True,
        text=True,
        timeout=PROGRAM_TIMEOUT_S,
    )
    assert run.stdout == "1000 lines, 0 switches\n", run.stderr


def test_rate_limit_applies_per_event(pipe):
    reader, writer = pipe
    now = [0.0]
    handler = make_handler(
        writer, lambda: now[0], rate_limiter=LogRateLimiter(max_lines=3)
    )
    with handler.applicationbound():
        for _ in range(10):
            LOGGER.info("noisy")
        LOGGER.info("rare")
        now[0] = 1.5
        LOGGER.info("noisy")
    messages = [line["message"] for line in read_lines(reader)]
    assert messages == ["noisy"] * 3 + ["rare", "lines_left_out", "noisy"]
    assert handler.rate_limiter.dropped_lines == {"noisy": 7}


@pytest.mark.parametrize("event", sorted(PRIORITY_EVENTS))
def test_rate_limit_drops_no_line_about_the_end_of_an_answer(event):
    limiter = LogRateLimiter()
    lines = 10 * MAX_LINES_PER_WINDOW
    assert all(limiter.allow_line(event, 0.0)[0] for _ in range(lines))
    assert not all(limiter.allow_line("attempt_ended", 0.0)[0] for _ in range(lines))
    assert limiter.allow_line(event, 0.0)[0]
    assert event not in limiter.dropped_lines


def test_stalled_reader_loses_no_line_about_the_end_of_an_answer(pipe):
    reader, writer = pipe
    handler = make_handler(writer, rate_limiter=LogRateLimiter(max_lines=10**9))
    with handler.applicationbound():
        while not handler.dropped_by_slow_reader:
            LOGGER.info("attempt_ended", extra={"text": "x" * 1_000})
        for number in range(100):
            LOGGER.info("answer_ended_early", extra={"number": number})
    data = read_available(reader)
    while handler._buffer:
        handler.flush()
        data += read_available(reader)
    lines = [json.loads(line) for line in data.splitlines()]
    numbers = [x["number"] for x in lines if x["message"] == "answer_ended_early"]
    assert numbers == list(range(100))
    assert handler.dropped_priority_lines == 0


def test_lines_beyond_the_reserve_are_counted(pipe):
    reader, writer = pipe
    handler = make_handler(writer)
    with handler.applicationbound():
        for _ in range(1_000):
            LOGGER.info("answer_ended_early", extra={"text": "x" * 1_000})
        buffered_bytes = len(handler._buffer)
        dropped = handler.dropped_priority_lines
        while handler._buffer:
            read_available(reader)
            handler.flush()
        read_available(reader)
        LOGGER.info("after")
    report, after = read_lines(reader)
    assert buffered_bytes <= MAX_BUFFER_BYTES + PRIORITY_RESERVE_BYTES
    assert dropped > 0
    assert handler.dropped_by_slow_reader == dropped
    assert (report["message"], after["message"]) == ("lines_left_out", "after")
    assert report["slow_reader_priority"] == dropped


def test_closed_pipe_does_not_raise():
    reader, writer = os.pipe()
    os.close(reader)
    with make_handler(writer).applicationbound():
        LOGGER.info("attempt")
    os.close(writer)
