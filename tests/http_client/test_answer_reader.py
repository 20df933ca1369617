"""Reading of answers leaves time to other greenlets whatever arrives."""

import resource
import time

import attrs
import eventlet
import pytest

from chestnutvale.clock import SystemClock
from chestnutvale.http_client.answer_reader import AnswerReader
from chestnutvale.http_client.const import READ_BYTES
from chestnutvale.http_client.exceptions import AnswerFormatError
from chestnutvale.http_client.piece_budget import SharedPieceBudget

CLOCK = SystemClock()
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
READERS = 60
# Longest time for which other greenlets may wait; without bounds on the work it is
# READERS times what one read of READ_BYTES takes to parse, which is seconds.
MAX_WAIT_S = 0.4


@attrs.frozen
class Usage:
    """What the thread has used since its start."""

    at_s: float
    processor_s: float
    blocking_calls: int

    @classmethod
    def read(cls):
        blocking_calls = resource.getrusage(resource.RUSAGE_THREAD).ru_nvcsw
        return cls(time.monotonic(), time.thread_time(), blocking_calls)

    def own_time_since_s(self, earlier):
        """Return the time without that for which other processes had the processor."""
        if self.blocking_calls > earlier.blocking_calls:
            return self.at_s - earlier.at_s
        return self.processor_s - earlier.processor_s


class EndlessSocket:
    """Gives the same bytes without end, after those of the start."""

    def __init__(self, start, block):
        self._next = start
        self._block = block * (READ_BYTES // len(block))

    def receive(self, deadline_s):
        # As a socket does that always has data ready.
        eventlet.sleep(0)
        data, self._next = self._next, self._block
        return data[:READ_BYTES]


def read_until_failure(start, block, budget, seconds):
    reader = AnswerReader(EndlessSocket(start, block), "POST", CLOCK, b"", budget)
    deadline_s = CLOCK.now_s() + seconds
    try:
        reader.read_head(deadline_s)
        reader.read_all(8 * 1024 * 1024, deadline_s)
    except (AnswerFormatError, TimeoutError) as error:
        return error
    return None


@pytest.mark.parametrize(
    ("start", "block"),
    [
        (CHUNKED, b"1\r\na\r\n"),
        (CHUNKED + b"1\r\na\r\n" * 5_000, b"1\r\na\r\n"),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
        (CHUNKED, b"1;x\r\n\n\r\n"),
        (OK + b"a:b\r\n" * 12_000 + b"\r\n", b"x"),
        (CHUNKED + b"0\r\n" + b"a:b\r\n" * 12_000 + b"\r\n", b"x"),
    ],
    ids=["chunks", "chunks with the head", "interim", "extensions", "head", "trailers"],
)
def test_tiny_pieces_leave_time_to_other_greenlets(start, block):
    # Guards against faulty endpoints that keep a process from serving others.
    waits_s = []

    def tick():
        while True:
            usage = Usage.read()
            eventlet.sleep(0)
            waits_s.append(Usage.read().own_time_since_s(usage))

    budget = SharedPieceBudget()
    ticker = eventlet.spawn(tick)
    readers = [
        eventlet.spawn(read_until_failure, start, block, budget, 1.0)
        for _ in range(READERS)
    ]
    started_s = time.monotonic()
    failures = [reader.wait() for reader in readers]
    ticker.kill()
    assert all(failures)
    assert max(waits_s) < MAX_WAIT_S
    assert time.monotonic() - started_s < 3.0


def test_sound_answer_in_one_byte_chunks_is_read():
    body = bytes(range(256)) * 8
    chunks = b"".join(b"1\r\n%c\r\n" % byte for byte in body)
    sock = EndlessSocket(CHUNKED + chunks + b"0\r\n\r\n", b"x")
    reader = AnswerReader(sock, "POST", CLOCK, b"", SharedPieceBudget())
    deadline_s = CLOCK.now_s() + 5.0
    reader.read_head(deadline_s)
    assert reader.read_all(10_000, deadline_s) == body
    assert reader.is_complete


def test_sound_large_answer_in_usual_chunks_is_not_delayed():
    block = b"%x\r\n" % 4_096 + b"x" * 4_096 + b"\r\n"
    budget = SharedPieceBudget()
    sock = EndlessSocket(CHUNKED, block)
    reader = AnswerReader(sock, "POST", CLOCK, b"", budget)
    deadline_s = CLOCK.now_s() + 5.0
    reader.read_head(deadline_s)
    received = 0
    while received < 4 * 1024 * 1024:
        received += len(reader.read(deadline_s))
    assert not budget.taken_pieces


def test_fault_after_some_bytes_is_raised_without_waiting_for_more():
    # Guards against a call that waits for its deadline although its answer is invalid.
    class OneRead:
        def __init__(self):
            self.reads = 0

        def receive(self, deadline_s):
            self.reads += 1
            assert self.reads == 1
            return CHUNKED + b"2\r\nab\r\nfault\r\n"

    reader = AnswerReader(OneRead(), "POST", CLOCK)
    reader.read_head(CLOCK.now_s() + 1.0)
    assert reader.read(CLOCK.now_s() + 1.0) == b"ab"
    with pytest.raises(AnswerFormatError):
        reader.read(CLOCK.now_s() + 1.0)
