"""Phases of a call in the middle of which the configuration changes."""

import contextlib
import functools
from collections.abc import Callable

import attrs
import eventlet
from eventlet.event import Event
from eventlet.green import socket

from tests.programs.entry.entry_fakes import wait_until
from tests.programs.entry.routed.changes.fleet import (
    EVENTS,
    LAST_EVENT,
    MODEL_SERVICE,
    PLAIN_ANSWER,
    PLAIN_SERVICE,
    STREAM,
    answer_whole,
    read_header,
    read_last_event,
    send_events,
)
from tests.programs.entry.routed.routed_fakes import (
    API_KEY,
    chunk,
    complete_answer,
)

SETTLE_S = 0.002


@attrs.frozen
class Answer:
    """An answer as its caller gets it.

    Attributes
    ----------
    status : int
        Its status; 0 if the connection ended without one.
    body : bytes
        Its body, as far as it arrived.
    is_whole : bool
        Whether the body is complete.
    """

    status: int
    body: bytes
    is_whole: bool


class Connection:
    """A caller's connection, which is kept between requests."""

    def __init__(self, address):
        host, _, port = address.partition(":")
        self.sock = socket.create_connection((host, int(port)))
        self.sock.settimeout(10)
        self.data = b""
        self.is_closing = False

    def send(self, data):
        self.sock.sendall(data)

    def read_until(self, marker):
        """Read until the answer has the marker, without taking anything out of it."""
        while marker not in self.data:
            received = self.sock.recv(65536)
            assert received, self.data
            self.data += received

    def read_answer(self):
        head = self._take_until(b"\r\n\r\n")
        if not head:
            return Answer(0, self.data, False)
        status = int(head.split(b" ")[1])
        fields = dict(
            line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:] if line
        )
        self.is_closing = fields.get(b"connection") == b"close"
        if fields.get(b"transfer-encoding") == b"chunked":
            return Answer(status, *self._take_chunks())
        length = int(fields[b"content-length"])
        body = self._take(length)
        return Answer(status, body, len(body) == length)

    def _take_chunks(self):
        body = b""
        while size_line := self._take_until(b"\r\n"):
            size = int(size_line, 16)
            data = self._take(size + 2)
            body += data[:size]
            if len(data) < size + 2:
                break
            if not size:
                return body, True
        return body, False

    def _take_until(self, marker):
        while marker not in self.data and self._receive():
            pass
        end = self.data.find(marker)
        return self._take(end + len(marker)) if end >= 0 else b""

    def _take(self, size):
        while len(self.data) < size and self._receive():
            pass
        taken, self.data = self.data[:size], self.data[size:]
        return taken

    def _receive(self):
        received = b""
        with contextlib.suppress(ConnectionError):
            received = self.sock.recv(65536)
        self.data += received
        return bool(received)


def make_head(path, call="c1", last_event=0, body_headers=("Content-Length: 4",)):
    lines = [
        f"POST {path} HTTP/1.1",
        "Host: shop.example",
        f"X-Call: {call}",
        f"X-Key: {API_KEY}",
        f"X-Last: {last_event}",
        *body_headers,
    ]
    if path.startswith(("/gen/", "/fixed/")):
        lines.append("X-Model: m")
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


BODY = b"abcd"


class Scene:
    """One call at a fleet, and the change that comes in its middle.

    Parameters
    ----------
    fleet : Fleet
        The fleet, which serves.
    steps : sequence of callable
        The change.
    """

    def __init__(self, fleet, steps):
        self.fleet = fleet
        self.entry = fleet.entry
        self.connection = Connection(fleet.entry.server.address)
        self._steps = steps

    def change(self, *, has_lease=True):
        """Put the texts of the change in force; without a lease until the last one."""
        for number, step in enumerate(self._steps, 1):
            self.fleet.leader.put_in_force(step)
            self.fleet.publish(has_lease=has_lease or number == len(self._steps))
            eventlet.sleep(SETTLE_S)

    def send(self, path, **options):
        self.connection.send(make_head(path, **options) + BODY)

    def send_and_hold(self, path, hold, **options):
        """Send a request, change the configuration when `hold` says, and go on.

        Parameters
        ----------
        path : str
            Path of the request.
        hold : callable
            What the endpoint does; takes socket, request, and a function that returns
            once the configuration has changed.
        """
        reached, go = Event(), Event()

        def wait_for_change():
            reached.send()
            go.wait()

        self.fleet.steps.append(
            lambda sock, request: hold(sock, request, wait_for_change)
        )
        self.send(path, **options)
        with eventlet.Timeout(5.0):
            reached.wait()
        return go

    def hold_call(self, path, hold, marker=b"", **options):
        """Let a call reach a point at its endpoint, change, and return its answer."""
        go = self.send_and_hold(path, hold, **options)
        if marker:
            self.connection.read_until(marker)
        self.change()
        go.send()
        return self.connection.read_answer()


@attrs.frozen
class Phase:
    """A point of a call at which the configuration changes.

    Attributes
    ----------
    name : str
        The point.
    run : callable
        Takes a scene with the change, runs the call, and returns its answer.
    body : bytes
        Body of its whole answer.
    service : str
        Service that it calls.
    is_accepted : bool
        Whether the call was accepted before the change.
    is_sent : bool
        Whether an endpoint had the request before the change.
    needs_group : bool
        Whether the call needs another group after the change.
    entries : int
        Number of entries.
    requests : int
        Number of requests that endpoints get if the call is served.
    """

    name: str
    run: Callable[[Scene], Answer]
    body: bytes
    service: str
    is_accepted: bool = True
    is_sent: bool = True
    needs_group: bool = False
    entries: int = 1
    requests: int = 1

    def find_statuses(self, change):
        """Return the statuses that the call may get."""
        if not self.is_accepted:
            return change.find_next_statuses(self.service)
        if not self.is_sent and self.service in change.gone:
            return frozenset({503})
        if not self.is_sent and self.service in change.away:
            return frozenset({200, 503})
        return frozenset({200})


def arrive_with_a_head(path, scene):
    head = make_head(path)
    scene.connection.send(head[:40])
    eventlet.sleep(SETTLE_S)
    scene.change()
    scene.connection.send(head[40:] + BODY)
    return scene.connection.read_answer()


def upload(path, body_headers, parts, scene):
    scene.connection.send(make_head(path, body_headers=body_headers))
    wait_until(lambda: scene.entry.server.running_requests)
    middle = len(parts) // 2
    for part in parts[:middle]:
        scene.connection.send(part)
        eventlet.sleep(SETTLE_S)
    scene.change()
    for part in parts[middle:]:
        scene.connection.send(part)
        eventlet.sleep(SETTLE_S)
    answer = scene.connection.read_answer()
    if answer.status == 200:
        assert scene.fleet.requests[-1].endswith(b"\r\n\r\n" + BODY)
    return answer


def wait_for_a_lease(path, scene):
    scene.send(path)
    wait_until(lambda: scene.entry.server.running_requests)
    scene.change(has_lease=False)
    return scene.connection.read_answer()


def wait_for_a_group(path, scene):
    fleet = scene.fleet
    addresses, fleet.leader.addresses = fleet.leader.addresses, []
    fleet.leader.is_discovering = True
    fleet.publish()
    scene.send(path)
    wait_until(lambda: scene.entry.server.running_requests)
    eventlet.sleep(SETTLE_S)
    scene.change()
    fleet.leader.addresses = addresses
    fleet.leader.is_discovering = False
    fleet.publish()
    return scene.connection.read_answer()


def wait_in_queue(path, service, scene):
    go = Event()

    def answer_later(sock, request):
        go.wait()
        answer_whole(sock, request)

    def count_queued():
        return scene.entry.gate.controller.describe(service)["queued"]

    others = []
    scene.fleet.steps += [answer_later] * 8
    for number in range(8):
        others.append(Connection(scene.entry.server.address))
        others[-1].send(make_head(path, f"o{number}") + BODY)
        wait_until(lambda: len(scene.fleet.requests) + count_queued() == len(others))
        if count_queued():
            break
    scene.send(path)
    wait_until(lambda: count_queued() == 2)
    scene.fleet.steps.clear()
    scene.change()
    go.send()
    answers = [other.read_answer() for other in others]
    # The last one of the others waited as well.
    assert {answer.status for answer in answers[:-1]} == {200}
    return scene.connection.read_answer()


def hold_before_first_event(sock, request, wait_for_change):
    wait_for_change()
    answer_whole(sock, request)


def hold_in_stream(sock, request, wait_for_change):
    first = read_last_event(request) + 1
    send_events(sock, request, first, first)
    wait_for_change()
    sock.sendall(b"".join(map(chunk, EVENTS[first:])) + b"0\r\n\r\n")


def hold_and_break_off(sock, request, wait_for_change):
    send_events(sock, request, 1, 1)
    wait_for_change()
    sock.shutdown(socket.SHUT_RDWR)


def hold_before_end(sock, request, wait_for_change):
    send_events(sock, request, 1, LAST_EVENT)
    wait_for_change()
    sock.sendall(b"0\r\n\r\n")


def hold_in_answer(sock, request, wait_for_change):
    answer = complete_answer(PLAIN_ANSWER, read_header(request, "x-call"))
    sock.sendall(answer[:-2])
    wait_for_change()
    sock.sendall(answer[-2:])


def break_off(sock, request):
    send_events(sock, request, 1, 1)
    sock.shutdown(socket.SHUT_RDWR)


def choose_again(scene):
    fleet = scene.fleet
    kept, fleet.leader.addresses = fleet.leader.addresses, fleet.leader.addresses[:1]
    fleet.publish()
    fleet.steps.append(break_off)
    scene.send("/gen/x")
    wait_until(lambda: scene.entry.context.attempt_results["broken"])
    scene.change()
    fleet.leader.addresses = kept
    fleet.publish()
    return scene.connection.read_answer()


def run_second_attempt(scene):
    scene.fleet.steps.append(break_off)
    return scene.hold_call("/gen/x", hold_in_stream, b"data: t2")


def relay_later(scene):
    scene.entry.context._reachability.is_isolated = True
    answer = upload("/once/x", WITH_LENGTH, [BODY[:2], BODY[2:]], scene)
    scene.entry.context._reachability.is_isolated = False
    return answer


def relay(path, hold, marker, scene):
    scene.entry.context._reachability.is_isolated = True
    answer = scene.hold_call(path, hold, marker)
    scene.entry.context._reachability.is_isolated = False
    return answer


def use_connection_again(path, body, scene):
    scene.send(path, call="c0")
    assert scene.connection.read_answer() == Answer(200, body, True)
    scene.change()
    eventlet.sleep(SETTLE_S)
    scene.send(path)
    return scene.connection.read_answer()


def make_held(name, path, hold, marker=b"", body=STREAM, **options):
    service = MODEL_SERVICE if path in ("/gen/x", "/fixed/x") else PLAIN_SERVICE

    def run(scene):
        return scene.hold_call(path, hold, marker, **options)

    return Phase(name, run, body, service)


CHUNKED = ("Transfer-Encoding: chunked",)
WITH_LENGTH = ("Content-Length: 4",)
PIECES = [bytes([byte]) for byte in BODY]
FIRST, SECOND = b"data: t1", b"data: t2"
partial = functools.partial
PHASES = [
    Phase(
        "head of a stream",
        partial(arrive_with_a_head, "/gen/x"),
        STREAM,
        MODEL_SERVICE,
        is_accepted=False,
        is_sent=False,
    ),
    Phase(
        "head of a posting",
        partial(arrive_with_a_head, "/once/x"),
        PLAIN_ANSWER,
        PLAIN_SERVICE,
        is_accepted=False,
        is_sent=False,
    ),
    Phase(
        "upload with a length",
        partial(upload, "/gen/x", WITH_LENGTH, [BODY[:2], BODY[2:]]),
        STREAM,
        MODEL_SERVICE,
        is_sent=False,
    ),
    Phase(
        "upload in chunks",
        partial(
            upload,
            "/once/x",
            CHUNKED,
            [chunk(BODY[:2]), chunk(BODY[2:]) + b"0\r\n\r\n"],
        ),
        PLAIN_ANSWER,
        PLAIN_SERVICE,
        is_sent=False,
    ),
    Phase(
        "upload in pieces",
        partial(upload, "/safe/x", WITH_LENGTH, PIECES),
        PLAIN_ANSWER,
        PLAIN_SERVICE,
        is_sent=False,
    ),
    Phase(
        "waiting for the lease",
        partial(wait_for_a_lease, "/gen/x"),
        STREAM,
        MODEL_SERVICE,
        is_accepted=False,
        is_sent=False,
    ),
    Phase(
        "waiting for a group",
        partial(wait_for_a_group, "/gen/x"),
        STREAM,
        MODEL_SERVICE,
        is_sent=False,
    ),
    Phase(
        "queued stream",
        partial(wait_in_queue, "/gen/x", MODEL_SERVICE),
        STREAM,
        MODEL_SERVICE,
        is_sent=False,
    ),
    Phase(
        "queued posting",
        partial(wait_in_queue, "/once/x", PLAIN_SERVICE),
        PLAIN_ANSWER,
        PLAIN_SERVICE,
        is_sent=False,
    ),
    make_held("before the first event", "/gen/x", hold_before_first_event),
    make_held(
        "before the first event, not resumable", "/fixed/x", hold_before_first_event
    ),
    make_held("in the stream", "/gen/x", hold_in_stream, FIRST),
    make_held("in the stream, not resumable", "/fixed/x", hold_in_stream, FIRST),
    Phase(
        "between two attempts",
        choose_again,
        STREAM,
        MODEL_SERVICE,
        needs_group=True,
        requests=2,
    ),
    Phase(
        "broken off after the change",
        lambda scene: scene.hold_call("/gen/x", hold_and_break_off, FIRST),
        STREAM,
        MODEL_SERVICE,
        needs_group=True,
        requests=2,
    ),
    Phase(
        "second attempt, none left",
        run_second_attempt,
        STREAM,
        MODEL_SERVICE,
        requests=2,
    ),
    make_held(
        "resumed",
        "/gen/x",
        hold_in_stream,
        b"data: t3",
        body=b"".join(EVENTS[2:]),
        last_event=2,
    ),
    Phase(
        "relayed stream",
        partial(relay, "/gen/x", hold_in_stream, FIRST),
        STREAM,
        MODEL_SERVICE,
        entries=2,
    ),
    Phase(
        "relayed posting",
        partial(relay, "/once/x", hold_before_first_event, b""),
        PLAIN_ANSWER,
        PLAIN_SERVICE,
        entries=2,
    ),
    Phase(
        # The other entry decides about the call again.
        "relayed after the change",
        relay_later,
        PLAIN_ANSWER,
        PLAIN_SERVICE,
        is_accepted=False,
        is_sent=False,
        entries=2,
    ),
    make_held("last event before the end", "/gen/x", hold_before_end, b"data: t4"),
    Phase(
        "kept connection, stream",
        partial(use_connection_again, "/gen/x", STREAM),
        STREAM,
        MODEL_SERVICE,
        is_accepted=False,
        is_sent=False,
    ),
    Phase(
        "kept connection, posting",
        partial(use_connection_again, "/once/x", PLAIN_ANSWER),
        PLAIN_ANSWER,
        PLAIN_SERVICE,
        is_accepted=False,
        is_sent=False,
    ),
    make_held(
        "repeatable call in flight",
        "/safe/x",
        hold_before_first_event,
        body=PLAIN_ANSWER,
    ),
    make_held(
        "posting in flight", "/once/x", hold_before_first_event, body=PLAIN_ANSWER
    ),
    make_held("posting half answered", "/once/x", hold_in_answer, body=PLAIN_ANSWER),
]
