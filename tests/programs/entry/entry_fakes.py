"""Fakes of the entry's context, the replicated log, engines and plain services."""

import collections
import contextlib
import json
import random

import eventlet
from eventlet import wsgi
from eventlet.green import socket

from chestnutvale.admission.stop_window import StopWindow
from chestnutvale.attempts.retry_budget import AttemptBudgets
from chestnutvale.attempts.suspicion import SuspicionTracker
from chestnutvale.clock import SystemClock
from chestnutvale.configuration.lookup import TextLookup
from chestnutvale.http_server.memory import MemoryBound
from chestnutvale.ledger.state import LedgerState
from chestnutvale.membership.endpoint_notices import EndpointNotices, Incarnation
from chestnutvale.programs.entry.context import AdmitAll
from chestnutvale.programs.entry.crash_probe import has_crashed
from chestnutvale.programs.entry.running_attempts import RunningAttempts
from chestnutvale.rate_limits.send_budget import SendBudget
from chestnutvale.rate_limits.statements import RateStatement
from chestnutvale.routing.reachability import EndpointReachability
from chestnutvale.routing.stall_detection import StallDetector
from chestnutvale.schema.command_pb2 import CommandResult
from chestnutvale.schema.configuration_pb2 import Text
from chestnutvale.schema.groups_pb2 import Group, GroupMember
from chestnutvale.schema.peer_pb2 import GroupView

WORDS = [f"w{number} " for number in range(12)]
ANSWER = "".join(WORDS)


class FakeLog:
    """A replicated log with one replica.

    Each function in `faults` replaces one commit and receives log and command; None
    lets the commit pass.
    """

    def __init__(self):
        self.ledger = LedgerState()
        self.faults = collections.deque()
        self.applied = []

    def apply(self, command):
        body = command.WhichOneof("body")
        self.applied.append(body)
        apply = getattr(self.ledger, f"apply_{body}")
        result = apply(getattr(command, body), SystemClock().unix_ms())
        return CommandResult(claim=result)


class FakeContext:
    """A `CallContext` whose lease, text and groups are set by the test."""

    def __init__(self, log=None, entry_id="entry-1", seed=1):
        self.entry_id = entry_id
        self.incarnation = "life-1"
        self.clock = SystemClock()
        self.rng = random.Random(f"{entry_id}-{seed}")
        self.admission = AdmitAll()
        self.budgets = AttemptBudgets()
        self.stop_window = StopWindow()
        self.replaced_refusals = collections.Counter()
        self.memory = MemoryBound()
        self.suspicions = SuspicionTracker()
        self.running = RunningAttempts()
        self.has_crashed = has_crashed
        self.stall_detector = StallDetector()
        self.log = log or FakeLog()
        self.lease = True
        self.notices = EndpointNotices()
        self.evacuated_hosts = set()
        self.send_budget = SendBudget()
        self.peers = []
        self.reachability = EndpointReachability()
        self.groups = {}
        self.reports = []
        self.kept_attempts = []
        self.text = Text(number=1)
        self.text.services["llm"].kind = "model"
        ledger_app = self.text.services["ledger-app"]
        ledger_app.kind = "plain"
        ledger_app.calls.add(method="POST", path_prefix="/postings", repeatable=False)
        ledger_app.calls.add(method="POST", path_prefix="/notes", repeatable=True)
        self.text.workspaces["ws-1"].weight = 1
        self.text.workspaces["ws-2"].weight = 1

    @property
    def lookup(self):
        return TextLookup.from_text(self.text)

    def add_group(self, group_id, service, address, boot_id="boot"):
        group = Group(group_id=group_id, service=service, epoch=1, version="v1")
        group.fabric_domain = f"fabric-{group_id}"
        group.members.append(
            GroupMember(host_id=group_id, boot_id=boot_id, address=address, rank=0)
        )
        self.groups[group_id] = group

    def authenticate(self, environ):
        workspace = environ.get("HTTP_AUTHORIZATION", "").removeprefix("Bearer ")
        return workspace if workspace in self.text.workspaces else None

    def has_lease(self, now_s):
        return self.lease

    @property
    def is_isolated(self):
        return self.reachability.is_isolated

    def record_connect(self, address, is_open):
        now_s = self.clock.now_s()
        if is_open:
            self.reachability.record_success(address, now_s)
        else:
            self.reachability.record_failure(address, now_s)

    def was_isolated(self):
        return self.reachability.was_isolated(self.clock.now_s())

    def group_epoch(self, group_id):
        group = self.groups.get(group_id)
        return group.epoch if group is not None else None

    def wait_for_first_lease(self, deadline_s):
        return self.lease

    def wait_for_groups(self, service, deadline_s):
        pass

    def serving_groups(self, service, version):
        return [g.group_id for g in self.groups.values() if g.service == service]

    def choose_group(self, request, excluded, version):
        group = self._find_group(request, excluded)
        if group is None:
            return None
        head = Incarnation.of_member(group.members[0])
        self.send_budget.record_sent(head, self.clock.now_s())
        return GroupView(group=group, serving=True)

    def _find_group(self, request, excluded):
        now_s = self.clock.now_s()
        for group in self.groups.values():
            head = Incarnation.of_member(group.members[0])
            if not (self.may_send(head) and self.send_budget.may_send(head, now_s)):
                continue
            if group.service == request.service and group.group_id not in excluded:
                return group
        return None

    def has_alternative(self, request, excluded, version):
        return self._find_group(request, excluded) is not None

    def next_send_s(self, service):
        now_s = self.clock.now_s()
        heads = [
            Incarnation.of_member(group.members[0])
            for group in self.groups.values()
            if group.service == service
        ]
        times_s = [
            self.send_budget.next_send_s(head, now_s)
            for head in heads
            if self.send_budget.is_limited(head)
        ]
        return min(times_s, default=None)

    def may_send(self, endpoint):
        if self.is_evacuated(endpoint):
            return False
        return self.notices.may_send(endpoint, self.clock.now_s())

    def is_evacuated(self, endpoint):
        return endpoint.host_id in self.evacuated_hosts

    def record_notice(self, endpoint, notice):
        now_s = self.clock.now_s()
        statement = RateStatement(endpoint, notice.rate_limit_per_s, now_s)
        self.send_budget.record(statement, now_s)
        self.notices.record(endpoint, notice, now_s)

    def earliest_return_s(self, service):
        return None

    def report_attempt(self, report):
        self.reports.append((report.group_id, report.result))

    def report_kept_attempt(self, request, group_id, reason, silence_s):
        self.kept_attempts.append((group_id, reason))

    def commit(self, command, deadline_s):
        fault = self.log.faults.popleft() if self.log.faults else None
        if fault is not None:
            return fault(self.log, command)
        return self.log.apply(command)


class FakeEngine:
    """An engine that streams a fixed answer, with failures set by the test."""

    def __init__(self, group_id):
        self.group_id = group_id
        self.boot_id = "boot"
        self.requests = []
        self.cancelled = []
        # Number of events before the connection breaks; None for a complete answer.
        self.break_after = None
        self.refusal = None
        self.pause_s = 0.0
        self.crashes_on = None
        self.corrupt_data = None

    def __call__(self, environ, start_response):
        if environ["PATH_INFO"] == "/v1/membership":
            return self._membership(start_response)
        body = json.loads(environ["wsgi.input"].read())
        self.requests.append(body)
        if self.refusal is not None:
            status, code = self.refusal
            start_response(f"{status} X", [("Content-Type", "application/json")])
            return [json.dumps({"code": code, "message": "no"}).encode()]
        start_response("200 OK", [("Content-Type", "text/event-stream")])
        return self._stream(body)

    def _membership(self, start_response):
        start_response("200 OK", [])
        holding = {"group_id": self.group_id, "epoch": 1}
        document = {"boot_id": self.boot_id, "holding": holding}
        return [json.dumps(document).encode()]

    def _stream(self, body):
        if self.crashes_on and self.crashes_on in json.dumps(body["prompt"]):
            self.boot_id += "-again"
            raise ConnectionError("crash")
        attempt_id = body["attempt_id"]
        first_offset = body["resume_offset"]
        assert body["resume_text"] == "".join(WORDS[:first_offset])
        try:
            for sent_events, offset in enumerate(range(first_offset, len(WORDS))):
                if self.break_after is not None and sent_events >= self.break_after:
                    raise ConnectionError("break")
                event = make_event(body, offset, offset + 1, WORDS[offset])
                yield (
                    event
                    if self.corrupt_data is None
                    else _replace_data(event, self.corrupt_data)
                )
                eventlet.sleep(self.pause_s)
            if self.break_after == len(WORDS):
                raise ConnectionError("break")
            yield make_event(body, len(WORDS), len(WORDS), "", "stop")
            yield b"data: [DONE]\n\n"
        except GeneratorExit:
            self.cancelled.append(attempt_id)
            raise


class FakeService:
    """A plain service that counts its runs by idempotency key, or else by body."""

    def __init__(self):
        self.runs = collections.Counter()
        self.pause_s = 0.0
        self.break_after_run = False
        self.answer = b"done"

    def __call__(self, environ, start_response):
        body = environ["wsgi.input"].read()
        self.runs[environ.get("HTTP_IDEMPOTENCY_KEY") or body.decode()] += 1
        eventlet.sleep(self.pause_s)
        if self.break_after_run:
            raise ConnectionError("break")
        start_response("201 Created", [("Content-Type", "text/plain")])
        return [self.answer + body]


def make_event(body, first_offset, next_offset, text, finish_reason=None):
    choice = {"index": 0, "finish_reason": finish_reason}
    if body["form"] == "chat":
        choice["delta"] = {"content": text}
    else:
        choice["text"] = text
    chunk = {"id": body["request_id"], "model": body["service"], "choices": [choice]}
    chunk["created"] = 1
    if finish_reason:
        chunk["usage"] = {"completion_tokens": len(WORDS)}
    event_id_line = f"id: {body['attempt_id']}:{first_offset}:{next_offset}\n"
    return f"{event_id_line}data: {json.dumps(chunk)}\n\n".encode()


def _replace_data(event, data):
    return event.partition(b"data: ")[0] + b"data: " + data + b"\n\n"


class _NullLog:
    def write(self, text):
        pass


@contextlib.contextmanager
def serve(application):
    """Serve an application on the loopback interface; yield its address."""
    listener = eventlet.listen(("127.0.0.1", 0))
    task = eventlet.spawn(
        wsgi.server,
        listener,
        _ConnectionBreaker(application),
        log=_NullLog(),
        log_output=False,
        minimum_chunk_size=1,
    )
    try:
        yield f"127.0.0.1:{listener.getsockname()[1]}"
    finally:
        task.kill()
        listener.close()


class _ConnectionBreaker:
    """Closes the connection to the client when a fake raises `ConnectionError`."""

    def __init__(self, application):
        self._application = application

    def __call__(self, environ, start_response):
        sock = environ["eventlet.input"].get_socket()
        try:
            result = self._application(environ, start_response)
        except ConnectionError:
            sock.shutdown(socket.SHUT_RDWR)
            raise
        return self._iterate(result, sock)

    def _iterate(self, result, sock):
        try:
            yield from result
        except ConnectionError:
            sock.shutdown(socket.SHUT_RDWR)
            raise


def post(address, path, body, **headers):
    """Send a POST request over a new connection; return status, headers and body."""
    with open_post(address, path, body, **headers) as sock:
        data = b""
        while chunk := sock.recv(65536):
            data += chunk
    head, _, rest = data.partition(b"\r\n\r\n")
    status = int(head.split(b" ")[1])
    lines = head.decode().split("\r\n")[1:]
    answer_headers = {k.lower(): v for k, v in (x.split(": ", 1) for x in lines)}
    if answer_headers.get("transfer-encoding") == "chunked":
        rest = unchunk(rest)
    return status, answer_headers, rest


def open_post(address, path, body, **headers):
    """Send a POST request; return the socket from which to read the answer."""
    host, _, port = address.partition(":")
    sock = socket.create_connection((host, int(port)))
    sock.settimeout(10)
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    lines = [f"POST {path} HTTP/1.1", "Host: x", "Connection: close"]
    lines.append(f"Content-Length: {len(data)}")
    fields = {"Authorization": "Bearer ws-1", **headers}
    lines += [f"{k.replace('_', '-')}: {v}" for k, v in fields.items()]
    sock.sendall("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + data)
    return sock


def unchunk(data):
    """Decode a chunked body; raise ValueError if it is truncated."""
    parts = []
    while True:
        size, _, data = data.partition(b"\r\n")
        length = int(size, 16)
        if length == 0:
            return b"".join(parts)
        parts.append(data[:length])
        data = data[length + 2 :]


def wait_until(condition, timeout_s=5.0):
    with eventlet.Timeout(timeout_s):
        while not condition():
            eventlet.sleep(0.005)
