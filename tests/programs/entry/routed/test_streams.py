"""Routed streams: each event arrives once and in order, or the answer is cut off."""

import contextlib
import time

import eventlet
import logbook
import pytest
from eventlet.green import socket

from chestnutvale.attempts.prompt_parts import format_parts
from chestnutvale.attempts.retry_budget import AttemptBudgets, RetryBudget
from chestnutvale.attempts.suspicion import Banned, Clear
from tests.http_client.answer_faults import cut as answer_and_close
from tests.http_client.answer_faults import flood
from tests.programs.entry.entry_fakes import wait_until
from tests.programs.entry.routed.routed_fakes import (
    ScriptedEndpoint,
    call,
    chunk,
    complete_answer,
    event,
    open_call,
    routed_entry,
    stream_head,
)

LAST_EVENT = 6
BUSY = b"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
COMPLETE_STREAM = b"".join(event(n) for n in range(1, LAST_EVENT + 1))


def stream(until=LAST_EVENT, tail=b"0\r\n\r\n", pause_s=0.0, cut=0):
    """Make a step that sends the events after the request's X-Last.

    Parameters
    ----------
    until : int
        Number of the last complete event.
    tail : bytes or None
        Bytes that end the answer; None closes the connection instead.
    pause_s : float
        Pause after each event in seconds.
    cut : int
        Number of bytes of the following event to send.
    """

    def step(sock, request):
        head = request.partition(b"\r\n\r\n")[0].decode().lower()
        last = int(head.partition("x-last: ")[2].partition("\r\n")[0])
        sock.sendall(stream_head())
        for number in range(last + 1, until + 1):
            sock.sendall(chunk(event(number)))
            eventlet.sleep(pause_s)
        if cut:
            sock.sendall(chunk(event(until + 1)[:cut]))
        if tail is None:
            sock.close()
            return
        sock.sendall(tail)

    return step


@pytest.fixture
def endpoint():
    return ScriptedEndpoint()


@pytest.fixture
def other_endpoint():
    return ScriptedEndpoint()


def test_complete_stream_is_forwarded_and_connection_reused(endpoint):
    endpoint.default = stream()
    with routed_entry(endpoint) as entry:
        for _ in range(2):
            status, headers, body, is_complete = call(
                entry.address, "/gen/x", b"p", X_Model="m"
            )
            assert (status, body, is_complete) == (200, COMPLETE_STREAM, True)
            assert headers["x-made-by"] == "e1"
    assert endpoint.connections == 1


@pytest.mark.parametrize("cut", [0, 3, 9])
def test_broken_stream_resumes_at_another_group(endpoint, other_endpoint, cut):
    endpoint.default = stream(until=3, tail=None, cut=cut)
    other_endpoint.default = stream()
    with routed_entry(endpoint, other_endpoint) as entry:
        _, _, body, is_complete = call(entry.address, "/gen/x", b"p", X_Model="m")
    assert body == COMPLETE_STREAM
    assert is_complete
    assert other_endpoint.header("x-last") == "3"


def test_begun_stream_is_not_cut_by_a_short_loss_of_the_lease(endpoint, other_endpoint):
    with routed_entry(endpoint, other_endpoint) as entry:
        for group in entry.context.groups.values():
            # The groups of a pool name no version.
            group.version = ""

        def break_off_without_a_lease(sock, request):
            entry.context.lease = False
            eventlet.spawn_after(0.5, setattr, entry.context, "lease", True)
            stream(until=2, tail=None)(sock, request)

        endpoint.default = break_off_without_a_lease
        other_endpoint.default = stream()
        _, _, body, is_complete = call(entry.address, "/gen/x", b"p", X_Model="m")
    assert (body, is_complete) == (COMPLETE_STREAM, True)


def test_stalled_stream_resumes_at_another_group(endpoint, other_endpoint):
    def send_one_event_and_stall(sock, request):
        sock.sendall(stream_head() + chunk(event(1)))
        eventlet.sleep(5.0)

    endpoint.default = send_one_event_and_stall
    other_endpoint.default = stream()
    with routed_entry(endpoint, other_endpoint) as entry:
        _, _, body, is_complete = call(entry.address, "/gen/x", b"p", X_Model="m")
        assert ("gpu1", "broken") in entry.context.reports
    assert (body, is_complete) == (COMPLETE_STREAM, True)


SILENCE_S = 2.2


def pause_before(event_number):
    """Make a step that is silent before one event; 0 stands for the head."""

    def step(sock, request):
        call_id = request.partition(b"X-Call: ")[2].partition(b"\r\n")[0].decode()
        eventlet.sleep(0.0 if event_number else SILENCE_S)
        sock.sendall(stream_head(call_id))
        for number in range(1, LAST_EVENT + 1):
            eventlet.sleep(SILENCE_S if number == event_number else 0.0)
            sock.sendall(chunk(event(number)))
        sock.sendall(b"0\r\n\r\n")

    return step


@pytest.mark.parametrize("event_number", [0, 1, 4])
@pytest.mark.parametrize("path", ["/fixed/x", "/gen/x"])
def test_silent_endpoint_without_alternative_answers_whole(
    endpoint, path, event_number
):
    endpoint.default = pause_before(event_number)
    with routed_entry(endpoint) as entry:
        status, _, body, is_complete = call(entry.address, path, b"p", X_Model="m")
    assert (status, body, is_complete) == (200, COMPLETE_STREAM, True)
    assert len(endpoint.requests) == len(entry.context.kept_attempts) == 1


@pytest.mark.parametrize("sent", [b"", stream_head()[:30], stream_head()])
def test_attempt_that_never_answers_is_kept_only_until_the_deadline(endpoint, sent):
    def send_until_closed(sock, request):
        sock.sendall(sent)
        with contextlib.suppress(OSError):
            while sent:
                sock.sendall(b"1")
                eventlet.sleep(0.1)
        eventlet.sleep(5.0)

    endpoint.default = send_until_closed
    with routed_entry(endpoint) as entry, eventlet.Timeout(2.0):
        _, _, body, _ = call(
            entry.address, "/fixed/x", b"p", X_Model="m", X_Left="1000"
        )
    assert body == b""


@pytest.mark.parametrize(("path", "is_left"), [("/gen/x", True), ("/fixed/x", False)])
def test_only_streams_that_can_move_leave_a_stalled_group(
    endpoint, other_endpoint, path, is_left
):
    endpoint.default = pause_before(4)
    other_endpoint.default = stream()
    with routed_entry(endpoint, other_endpoint) as entry:
        eventlet.spawn_after(0.2, entry.context.running.report_stall, "gpu1")
        _, _, body, is_complete = call(entry.address, path, b"p", X_Model="m")
        assert (("gpu1", "broken") in entry.context.reports) == is_left
    assert (body, is_complete) == (COMPLETE_STREAM, True)
    assert len(other_endpoint.requests) == is_left


@pytest.mark.parametrize("event_number", [0, 1, 4])
@pytest.mark.parametrize("path", ["/fixed/x", "/gen/x"])
def test_lost_group_without_alternative_that_goes_on_answers_whole(
    endpoint, path, event_number
):
    # Guards against streams that are cut because announcements of hosts are late.
    endpoint.default = pause_before(event_number)
    with routed_entry(endpoint) as entry:
        eventlet.spawn_after(1.0, entry.context.running.report_loss, "gpu1", 1)
        status, _, body, is_complete = call(entry.address, path, b"p", X_Model="m")
    assert (status, body, is_complete) == (200, COMPLETE_STREAM, True)
    assert len(endpoint.requests) == 1


@pytest.mark.parametrize(("path", "is_left"), [("/gen/x", True), ("/fixed/x", False)])
def test_only_silent_streams_that_can_move_leave_a_lost_group(
    endpoint, other_endpoint, path, is_left
):
    endpoint.default = pause_before(4)
    other_endpoint.default = stream()
    with routed_entry(endpoint, other_endpoint) as entry:
        eventlet.spawn_after(0.2, entry.context.running.report_loss, "gpu1", 1)
        _, _, body, is_complete = call(entry.address, path, b"p", X_Model="m")
    assert (body, is_complete) == (COMPLETE_STREAM, True)
    assert len(other_endpoint.requests) == is_left


@pytest.mark.parametrize("path", ["/gen/x", "/fixed/x"])
def test_caller_does_not_get_the_head_of_a_refusal(endpoint, other_endpoint, path):
    endpoint.default = (
        b"HTTP/1.1 503 Busy\r\nX-Call: c1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
    )
    other_endpoint.default = stream()
    with routed_entry(endpoint, other_endpoint) as entry:
        status, headers, body, is_complete = call(
            entry.address, path, b"p", X_Model="m"
        )
    assert len(endpoint.requests) == 1
    assert (status, body, is_complete) == (200, COMPLETE_STREAM, True)
    assert (headers.get("x-made-by"), headers.get("x-not-run")) == ("e1", None)


@pytest.mark.parametrize("stalls", [False, True])
def test_endpoint_that_a_call_left_for_its_silence_is_not_probed(
    endpoint, other_endpoint, stalls
):
    endpoint.default = pause_before(4)
    other_endpoint.default = stream()
    probes = []
    with routed_entry(endpoint, other_endpoint) as entry:
        entry.context.has_crashed = lambda group, is_engine: bool(probes.append(group))
        if stalls:
            eventlet.spawn_after(0.2, entry.context.running.report_stall, "gpu1")
        _, _, body, is_complete = call(entry.address, "/gen/x", b"p", X_Model="m")
    assert (body, is_complete) == (COMPLETE_STREAM, True)
    assert len(other_endpoint.requests) == 1
    assert probes == []


def test_banned_call_does_not_leave_its_silent_endpoint(endpoint, other_endpoint):
    endpoint.default = pause_before(4)
    other_endpoint.default = stream()
    with routed_entry(endpoint, other_endpoint) as entry:
        verdicts = iter([Clear()])
        entry.context.suspicions.judge = lambda *arguments: next(
            verdicts, Banned(entry.context.clock.unix_ms() + 5_000)
        )
        _, _, body, is_complete = call(entry.address, "/gen/x", b"p", X_Model="m")
    assert (body, is_complete) == (COMPLETE_STREAM, True)


@pytest.mark.parametrize("event_number", [0, 1, 4])
def test_refused_call_returns_to_the_silent_endpoint_that_it_left(
    endpoint, other_endpoint, event_number
):
    # The endpoint has no place for a second attempt.
    endpoint.steps = [pause_before(event_number)]
    endpoint.default = BUSY
    other_endpoint.default = BUSY
    with routed_entry(endpoint, other_endpoint) as entry:
        _, _, body, is_complete = call(entry.address, "/gen/x", b"p", X_Model="m")
        assert len(entry.context.running) == 0
    assert (body, is_complete) == (COMPLETE_STREAM, True)
    assert (len(endpoint.requests), len(other_endpoint.requests)) == (1, 1)


@pytest.mark.parametrize("event_number", [0, 4])
def test_streams_of_one_entry_that_stall_together_survive_full_endpoints(
    endpoint, other_endpoint, event_number
):
    endpoint.steps = [pause_before(event_number) for _ in range(6)]
    endpoint.default = BUSY
    other_endpoint.default = BUSY
    with routed_entry(endpoint, other_endpoint) as entry:
        shared = RetryBudget(0.0, 3.0)
        entry.context.budgets = AttemptBudgets(shared, shared)
        eventlet.spawn_after(0.3, entry.context.running.report_stall, "gpu1")
        names = [f"c{number}" for number in range(6)]
        tasks = [
            eventlet.spawn(
                call, entry.address, "/gen/x", b"p", X_Model="m", X_Call=name
            )
            for name in names
        ]
        answers = [task.wait() for task in tasks]
    assert [(body, is_whole) for _, _, body, is_whole in answers] == [
        (COMPLETE_STREAM, True)
    ] * 6


@pytest.mark.parametrize("head", [stream_head() + chunk(event(1)), b""])
@pytest.mark.parametrize("has_left", [True, False])
def test_held_attempt_ends_with_its_caller_and_once_the_next_one_delivers(
    endpoint, other_endpoint, has_left, head
):
    ended = []

    def stall(sock, request):
        sock.sendall(head)
        with contextlib.suppress(OSError):
            sock.recv(1)
        ended.append(entry.context.clock.now_s())

    def answer_late(sock, request):
        eventlet.sleep(1.0)
        if not has_left:
            stream()(sock, request)

    endpoint.default = stall
    other_endpoint.default = answer_late
    with routed_entry(endpoint, other_endpoint) as entry:
        begin_s = entry.context.clock.now_s()
        sock = open_call(entry.address, "/gen/x", b"p", X_Model="m")
        eventlet.sleep(1.5)
        assert ended == []
        assert other_endpoint.requests
        if has_left:
            sock.close()
        eventlet.sleep(0.2 if has_left else 1.0)
        assert len(ended) == 1
        assert ended[0] - begin_s < 2.6
        sock.close()


def test_caller_resumes_after_its_last_event(endpoint):
    endpoint.default = stream()
    with routed_entry(endpoint) as entry:
        _, _, body, is_complete = call(
            entry.address, "/gen/x", b"p", X_Model="m", X_Last="4"
        )
    assert (body, is_complete) == (event(5) + event(6), True)


@pytest.mark.parametrize("path", ["/gen/x", "/fixed/x"])
def test_stream_that_can_t_be_resumed_ends_without_last_chunk(endpoint, path):
    endpoint.default = stream(until=3, tail=None)
    with routed_entry(endpoint) as entry:
        status, _, body, is_complete = call(entry.address, path, b"p", X_Model="m")
    assert (status, body) == (200, event(1) + event(2) + event(3))
    assert not is_complete


def test_unresumable_stream_is_not_retried(endpoint, other_endpoint):
    endpoint.default = ScriptedEndpoint.CLOSE
    other_endpoint.default = stream()
    with routed_entry(endpoint, other_endpoint) as entry:
        assert call(entry.address, "/fixed/x", b"p", X_Model="m")[0] == 502
    assert not other_endpoint.requests


def test_repeated_events_are_never_forwarded(endpoint, other_endpoint):
    endpoint.default = stream(until=3, tail=None)

    def resend_earlier_events(sock, request):
        sock.sendall(stream_head() + chunk(event(2)) + chunk(event(3)))
        sock.sendall(b"0\r\n\r\n")

    other_endpoint.default = resend_earlier_events
    with routed_entry(endpoint, other_endpoint) as entry:
        _, _, body, is_complete = call(entry.address, "/gen/x", b"p", X_Model="m")
    assert body == event(1) + event(2) + event(3)
    assert not is_complete


def test_error_answer_of_endpoint_is_forwarded(endpoint):
    answer = b"HTTP/1.1 500 Bad\r\nX-Call: c1\r\nContent-Length: 3\r\n\r\nbad"
    endpoint.default = answer
    with routed_entry(endpoint) as entry:
        assert call(entry.address, "/fixed/x", b"p", X_Model="m")[::2] == (500, b"bad")


def test_caller_disconnect_cancels_stream_at_endpoint(endpoint):
    ended = []

    def send_until_closed(sock, request):
        sock.sendall(stream_head())
        try:
            for number in range(1, 400):
                sock.sendall(chunk(event(number)))
                eventlet.sleep(0.02)
        except OSError:
            ended.append(number)

    endpoint.default = send_until_closed
    with routed_entry(endpoint) as entry:
        sock = open_call(entry.address, "/gen/x", b"p", X_Model="m")
        assert sock.recv(100)
        sock.close()
        wait_until(lambda: ended, timeout_s=2.0)
        assert ended[0] < 50


@pytest.mark.parametrize("path", ["/gen/x", "/fixed/x", "/safe/x", "/once/x"])
def test_call_of_a_caller_that_has_left_is_not_sent(endpoint, path):
    endpoint.default = stream()
    with routed_entry(endpoint) as entry:
        call(entry.address, "/gen/x", b"p", X_Model="m")
        entry.context.wait_for_groups = lambda *arguments: eventlet.sleep(0.1)
        open_call(entry.address, path, b"p", X_Model="m").close()
        eventlet.sleep(0.3)
    assert len(endpoint.requests) == 1


@pytest.mark.parametrize(
    "head",
    [
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 200 OK\r\nX-Call: c1\r\nX-Made-By: e1\r\n",
        b"HTTP/1.1 200 OK\r\nX-Call: c1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    ],
    ids=["status only", "before the blank line", "unsigned", "empty and unsigned"],
)
def test_truncated_or_unsigned_head_is_retried_elsewhere(
    endpoint, other_endpoint, head
):
    def step(sock, request):
        sock.sendall(head)
        sock.close()

    endpoint.default = step
    other_endpoint.default = stream()
    with routed_entry(endpoint, other_endpoint) as entry:
        for _ in range(4):
            status, headers, body, is_complete = call(
                entry.address, "/gen/x", b"p", X_Model="m"
            )
            assert (status, body, is_complete) == (200, COMPLETE_STREAM, True)
            assert headers["x-made-by"] == "e1"


UNSIZED_HEAD = b"HTTP/1.1 200 OK\r\nX-Call: c1\r\nX-Made-By: e1\r\n\r\n"


@pytest.mark.parametrize("has_length_marks", [True, False])
def test_end_that_has_arrived_by_the_deadline_is_passed_on(endpoint, has_length_marks):
    # Guards against a stream that is cut at its deadline although its end had come with
    # the last event; the process stands still across the deadline.
    def send_and_stand_still(sock, request):
        frame = chunk if has_length_marks else bytes
        sock.sendall(stream_head() if has_length_marks else UNSIZED_HEAD)
        sock.sendall(frame(event(1)))
        eventlet.sleep(0.1)
        sock.sendall(frame(event(2)))
        if has_length_marks:
            sock.sendall(b"0\r\n\r\n")
        sock.shutdown(socket.SHUT_RDWR)
        time.sleep(0.4)

    endpoint.default = send_and_stand_still
    with routed_entry(endpoint) as entry:
        status, _, body, is_complete = call(
            entry.address, "/fixed/x", b"p", X_Model="m", X_Left="300"
        )
    assert (status, body, is_complete) == (200, event(1) + event(2), True)


@pytest.mark.parametrize("cut", [0, 1, 3, 9])
def test_stream_without_length_is_complete_only_between_events(endpoint, cut):
    endpoint.default = answer_and_close(UNSIZED_HEAD + event(1) + event(2)[:cut])
    with routed_entry(endpoint) as entry:
        status, _, body, is_complete = call(
            entry.address, "/fixed/x", b"p", X_Model="m"
        )
    assert (status, body, is_complete) == (200, event(1), cut == 0)


def test_stream_without_length_that_ends_before_its_first_event_is_broken(
    endpoint, other_endpoint
):
    endpoint.default = answer_and_close(UNSIZED_HEAD)
    other_endpoint.default = stream()
    with routed_entry(endpoint, other_endpoint) as entry:
        assert call(entry.address, "/fixed/x", b"p", X_Model="m")[0] == 502
        assert ("gpu1", "broken") in entry.context.reports
        _, _, body, is_complete = call(entry.address, "/gen/x", b"p", X_Model="m")
    assert (body, is_complete) == (COMPLETE_STREAM, True)


@pytest.mark.parametrize(
    ("answer", "fields"),
    [(UNSIZED_HEAD, {"X_Last": "6"}), (stream_head() + b"0\r\n\r\n", {})],
    ids=["resumed after the last event", "with an end mark"],
)
def test_stream_without_events_may_be_complete(endpoint, answer, fields):
    endpoint.default = answer_and_close(answer)
    with routed_entry(endpoint) as entry:
        status, _, body, is_complete = call(
            entry.address, "/gen/x", b"p", X_Model="m", **fields
        )
    assert (status, body, is_complete) == (200, b"", True)


@pytest.mark.parametrize(
    "step",
    [
        complete_answer(b"full", status="503 Busy", extra="X-Not-Run: 1\r\n"),
        flood(b"HTTP/1.1 500 Bad\r\nX-Call: c1\r\n\r\n", b"x"),
        answer_and_close(
            b"HTTP/1.1 500 Bad\r\nX-Call: c1\r\nContent-Length: 9\r\n\r\nx"
        ),
    ],
    ids=["refusal", "error without end", "cut error"],
)
def test_stream_never_gets_the_head_of_an_earlier_refusal_or_error(
    endpoint, other_endpoint, step
):
    endpoint.default = step
    other_endpoint.default = stream()
    with routed_entry(endpoint, other_endpoint) as entry:
        status, headers, body, is_complete = call(
            entry.address, "/gen/x", b"p", X_Model="m"
        )
    assert (status, body, is_complete) == (200, COMPLETE_STREAM, True)
    assert "x-not-run" not in headers


@pytest.mark.parametrize(
    "step",
    [
        complete_answer(b"sorry", status="500 Bad"),
        complete_answer(event(3) + event(4), status="500 Bad"),
        complete_answer(b"full", status="503 Busy", extra="X-Not-Run: 1\r\n"),
        complete_answer(b"lost", status="404 No"),
        b"HTTP/1.1 500 Bad\r\nX-Call: c1\r\nTransfer-Encoding: chunked\r\n\r\n"
        + chunk(event(3))
        + b"0\r\n\r\n",
        answer_and_close(b"HTTP/1.1 500 Bad\r\nX-Call: c1\r\n\r\n" + event(3)),
        b"HTTP/1.1 200 OK\r\nX-Call: c1\r\nContent-Length: 5\r\n\r\nsorry",
    ],
    ids=["error", "events", "refusal", "missing", "chunked", "unsized", "unsigned"],
)
def test_begun_stream_never_gets_an_error_of_the_next_endpoint(
    endpoint, other_endpoint, step
):
    endpoint.default = answer_and_close(stream_head() + chunk(event(1) + event(2)))
    other_endpoint.default = step
    with routed_entry(endpoint, other_endpoint) as entry:
        status, _, body, is_complete = call(
            entry.address, "/gen/x", b"p", X_Model="m", X_Left="1500"
        )
    assert other_endpoint.requests
    assert (status, body, is_complete) == (200, event(1) + event(2), False)


def test_resumed_stream_that_breaks_late_does_not_blame_the_parts_of_its_prompt(
    endpoint, other_endpoint
):
    # Guards against a ban of prompt parts whose answer was being written.
    def write_pause_and_break(sock, request):
        sock.sendall(stream_head() + chunk(event(1)))
        eventlet.sleep(0.3)
        sock.sendall(chunk(event(2)))
        eventlet.sleep(SILENCE_S)
        sock.sendall(chunk(event(3)))
        eventlet.sleep(0.1)
        sock.close()

    endpoint.steps = [write_pause_and_break]
    endpoint.default = BUSY
    other_endpoint.default = BUSY
    log = logbook.TestHandler(level="INFO")
    with routed_entry(endpoint, other_endpoint) as entry, log.applicationbound():
        entry.context.has_crashed = lambda group, is_engine: True
        call(entry.address, "/gen/x", b"p", X_Model="m", X_Parts="first,own")
    (line,) = (x.extra for x in log.records if x.message == "crash_suspected")
    assert line["parts"] == format_parts(())
