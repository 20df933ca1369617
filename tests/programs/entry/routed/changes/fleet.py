"""Real entries over scripted endpoints, whose views come from a small leader."""

import contextlib
import random

import eventlet

from chestnutvale.admission.controller import AdmissionController
from chestnutvale.clock import SystemClock
from chestnutvale.configuration.lookup import hash_key
from chestnutvale.http_server.server import HttpServer
from chestnutvale.membership.entry_view import EntryView
from chestnutvale.programs.entry.admission_gate import AdmissionGate
from chestnutvale.programs.entry.caller_timeouts import CallerTimeouts
from chestnutvale.programs.entry.entry_context import EntryContext
from chestnutvale.programs.entry.group_router import GroupRouter
from chestnutvale.programs.entry.peers.relay import PeerRelay
from chestnutvale.programs.entry.routed.connections import ConnectionPool
from chestnutvale.programs.entry.routed.handler import RoutedHandler
from chestnutvale.routing.selector import Selector
from chestnutvale.schema.configuration_pb2 import Route, RouteShare, Service, Text
from chestnutvale.schema.groups_pb2 import Group, GroupMember
from chestnutvale.schema.peer_pb2 import ControlView, GroupView
from chestnutvale.settings.common import default_http_limits
from tests.programs.entry.routed.routed_fakes import (
    API_KEY,
    PlainProtocol,
    ScriptedEndpoint,
    chunk,
    complete_answer,
    event,
)

LAST_EVENT = 4
EVENTS = [event(number) for number in range(1, LAST_EVENT + 1)]
STREAM = b"".join(EVENTS)
PLAIN_ANSWER = b"done"
MODEL_SERVICE, PLAIN_SERVICE = "gpu-m", "app"
ROUTES = {
    "/gen/": ("streaming", "gpu"),
    "/fixed/": ("streaming", "gpu"),
    "/safe/": ("repeatable", PLAIN_SERVICE),
    "/once/": ("once", PLAIN_SERVICE),
}


def make_text():
    text = Text(number=1)
    plain = text.services[PLAIN_SERVICE]
    plain.CopyFrom(Service(kind="plain", hosts_per_group=1))
    plain.limits.max_running_requests = 1
    model = Service(kind="model", model="m", pool="gpu", work_share=1.0, pace=1.0)
    model.hosts_per_group = 1
    model.limits.max_running_requests = 1
    text.services[MODEL_SERVICE].CopyFrom(model)
    text.workspaces["ws-1"].weight = 1
    text.workspaces["ws-1"].key_sha256.append(hash_key(API_KEY))
    text.workspaces["ws-2"].weight = 1
    for prefix, (kind, service) in ROUTES.items():
        text.routes.append(make_route(prefix, kind, service))
    return text


def make_route(prefix, kind, service):
    return Route(
        name=prefix,
        host="shop.example",
        path_prefix=prefix,
        kind=kind,
        timeout_ms=4000,
        target_latency_ms=2000,
        target_gap_ms=400,
        rank=1,
        max_attempts=2,
        is_resumable=prefix == "/gen/",
        shares=[RouteShare(service=service, weight=1)],
    )


class Leader:
    """Forms a group per service and endpoint, and drains those of services that left.

    Parameters
    ----------
    addresses : list of str
        Addresses of the endpoints.
    count_running : callable
        Returns the running attempts by group at all entries.
    """

    def __init__(self, addresses, count_running):
        self.text = make_text()
        self.addresses = addresses
        self.is_discovering = False
        self._count_running = count_running
        self._groups = {}
        self._formed = 0
        self._version = 0

    def put_in_force(self, change):
        text = Text()
        text.CopyFrom(self.text)
        text.number += 1
        change(text)
        self.text = text

    def make_view(self, *, has_lease=True, peers=()):
        self._version += 1
        self._plan()
        return ControlView(
            nonce=self._version if has_lease else 0,
            source="s",
            term=1,
            view_version=self._version,
            whole=True,
            configuration_number=self.text.number,
            text=self.text,
            entry_count=1,
            discovering=self.is_discovering,
            groups=list(self._groups.values()),
            peers=peers,
        )

    def _plan(self):
        running = self._count_running()
        for key, view in list(self._groups.items()):
            service, address = key
            if service not in self.text.services or address not in self.addresses:
                view.serving, view.reason = False, "the group is draining"
            if not view.serving and not running.get(view.group.group_id):
                del self._groups[key]
        for service in self.text.services:
            for address in self.addresses:
                if (service, address) not in self._groups:
                    self._groups[service, address] = self._form(service, address)

    def _form(self, service, address):
        self._formed += 1
        name = f"{service}-{self._formed}"
        group = Group(group_id=name, service=service, epoch=self._formed)
        group.members.append(
            GroupMember(host_id=address, boot_id="boot", address=address)
        )
        return GroupView(group=group, serving=True)


class _NoCommits:
    """A commit client for calls that commit nothing."""

    def set_leader(self, control_id):
        self.leader = control_id


class Entry:
    """An entry with its real view, admission, router and server."""

    def __init__(self, entry_id, address, relay_address):
        self.clock = SystemClock()
        rng = random.Random(entry_id)
        self.view = EntryView(lease_s=100.0)
        self.gate = AdmissionGate(AdmissionController(rng), self.clock)
        router = GroupRouter(
            self.view, Selector(rng), self.gate.predicted_tokens, self.clock
        )
        self.context = EntryContext(
            entry_id, "i1", self.view, self.gate, router, _NoCommits(), self.clock, rng
        )
        self.context.has_crashed = lambda group, is_engine: False
        protocol = PlainProtocol()
        self.pool = ConnectionPool(self.clock, self.context.record_connect)
        relay = PeerRelay(self.context, protocol)
        limits = default_http_limits()
        timeouts = CallerTimeouts(self.context, limits)
        self.servers = [
            HttpServer(
                RoutedHandler(self.context, protocol, self.pool, None, relay),
                listen_address,
                limits,
                read_timeouts=timeouts.read,
                memory=self.context.memory,
            )
            for listen_address, relay in ((address, relay), (relay_address, None))
        ]
        self.server = self.servers[0]
        self.relay_address = relay_address

    @contextlib.contextmanager
    def serve(self):
        task = eventlet.spawn(self.gate.run)
        try:
            with self.servers[0], self.servers[1]:
                yield
        finally:
            task.kill()

    def install(self, view):
        self.view.record_report_sent(view.nonce, self.clock.now_s())
        self.view.install_view(view, self.clock.now_s())
        self.context.install(view, "control-1")


class Fleet:
    """Entries, two endpoints and the leader whose views they get.

    Attributes
    ----------
    steps : list of callable
        What the endpoints do with the next requests, whichever of them gets one; they
        take the socket and the request. Further requests are answered whole.
    requests : list of bytes
        The requests that the endpoints got.
    """

    def __init__(self, free_address, entry_count=1):
        self.endpoints = [ScriptedEndpoint(), ScriptedEndpoint()]
        self.steps = []
        self.requests = []
        self.entries = [
            Entry(f"entry-{number}", free_address(), free_address())
            for number in range(entry_count)
        ]
        self.leader = None

    @property
    def entry(self):
        """The entry that callers use."""
        return self.entries[0]

    @contextlib.contextmanager
    def serve(self):
        with contextlib.ExitStack() as exits:
            addresses = []
            for endpoint in self.endpoints:
                endpoint.default = self._answer
                addresses.append(exits.enter_context(endpoint.serve()))
            self.leader = Leader(addresses, self.count_running)
            for entry in self.entries:
                exits.enter_context(entry.serve())
            yield self

    def count_running(self):
        counts = {}
        for entry in self.entries:
            for group_id, count in entry.context.running.counts_by_group().items():
                counts[group_id] = counts.get(group_id, 0) + count
        return counts

    def publish(self, **options):
        for entry in self.entries:
            peers = [item.relay_address for item in self.entries if item is not entry]
            entry.install(self.leader.make_view(peers=peers, **options))

    def _answer(self, sock, request):
        self.requests.append(request)
        step = self.steps.pop(0) if self.steps else answer_whole
        step(sock, request)


def answer_whole(sock, request):
    """Answer as the endpoint of a model or of a plain service."""
    if read_header(request, "x-model"):
        send_events(sock, request, read_last_event(request) + 1, LAST_EVENT)
        sock.sendall(b"0\r\n\r\n")
    else:
        sock.sendall(complete_answer(PLAIN_ANSWER, read_header(request, "x-call")))


def send_events(sock, request, first, last):
    """Send the head of a stream and some of its events."""
    call = read_header(request, "x-call")
    head = f"HTTP/1.1 200 OK\r\nX-Call: {call}\r\nX-Made-By: e1\r\n"
    head += "Transfer-Encoding: chunked\r\n\r\n"
    sock.sendall(head.encode() + b"".join(map(chunk, EVENTS[first - 1 : last])))


def read_last_event(request):
    return int(read_header(request, "x-last") or 0)


def read_header(request, name):
    head = request.partition(b"\r\n\r\n")[0].decode()
    for line in head.split("\r\n")[1:]:
        key, _, value = line.partition(": ")
        if key.lower() == name:
            return value
    return ""
