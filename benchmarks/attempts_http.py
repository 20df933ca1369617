"""Measures the CPU time per token of the HTTP streaming path of an entry.

The entry handler runs in this process, the engine and the callers in two others.
"""

import json
import random
import subprocess
import sys
import time
from typing import Any

import defopt
import eventlet
from eventlet import wsgi
from eventlet.green import socket

from benchmarks.attempts_stream import make_stream
from chestnutvale.attempts.retry_budget import AttemptBudgets
from chestnutvale.attempts.suspicion import SuspicionTracker
from chestnutvale.clock import SystemClock
from chestnutvale.configuration.lookup import TextLookup
from chestnutvale.membership.endpoint_notices import EndpointNotice, Incarnation
from chestnutvale.programs.entry.context import AdmitAll, AttemptReport, CallRequest
from chestnutvale.programs.entry.model_calls import ModelCallHandler
from chestnutvale.programs.entry.running_attempts import RunningAttempts
from chestnutvale.routing.stall_detection import StallDetector
from chestnutvale.schema.configuration_pb2 import Text
from chestnutvale.schema.groups_pb2 import Group, GroupMember
from chestnutvale.schema.peer_pb2 import GroupView

ENGINE_ADDRESS = ("127.0.0.1", 39_471)
ENTRY_ADDRESS = ("127.0.0.1", 39_472)
TOKENS_PER_ANSWER = 346
TOKEN_INTERVAL_S = 0.028
LISTEN_BACKLOG = 1_024
ENTRY_START_DELAY_S = 1.0
RUN_TIMEOUT_S = 120.0


class _NullLog:
    def write(self, text: str) -> None:
        """Discard the line."""


def serve(address: tuple[str, int], app: Any) -> None:
    """Serve a WSGI application until the process is killed.

    Parameters
    ----------
    address : tuple of (str, int)
        Host and port to listen on.
    app : WSGI application
        The application.
    """
    wsgi.server(
        eventlet.listen(address, backlog=LISTEN_BACKLOG),
        app,
        log=_NullLog(),
        log_output=False,
        minimum_chunk_size=1,
        max_size=10_000,
    )


def answer_as_engine(environ: dict[str, Any], start_response: Any) -> Any:
    """Stream one answer at the token rate of an engine.

    Parameters
    ----------
    environ : dict
        The WSGI environment.
    start_response : callable
        Called with status and headers.

    Yields
    ------
    bytes
        One event.
    """
    body = json.loads(environ["wsgi.input"].read())
    start_response("200 OK", [("Content-Type", "text/event-stream")])
    for event in make_stream(body["attempt_id"], TOKENS_PER_ANSWER):
        yield event
        eventlet.sleep(TOKEN_INTERVAL_S)


def make_call(results: list[bool], delay_s: float) -> None:
    """Make one call and record whether its answer was complete.

    Parameters
    ----------
    results : list of bool
        Receives the result.
    delay_s : float
        Time in seconds before the call.
    """
    eventlet.sleep(delay_s)
    message = {"role": "user", "content": "hello"}
    data = json.dumps({"model": "llm", "messages": [message], "stream": True}).encode()
    sock = socket.create_connection(ENTRY_ADDRESS)
    head = "POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
    head += f"Content-Length: {len(data)}\r\n\r\n"
    sock.sendall(head.encode() + data)
    last = b""
    while chunk := sock.recv(65_536):
        last = (last + chunk)[-200:]
    results.append(b"[DONE]" in last)


def run_callers(streams: int) -> None:
    """Make calls whose start times are spread over a quarter of an answer.

    Parameters
    ----------
    streams : int
        Number of calls.
    """
    results: list[bool] = []
    rng = random.Random(1)
    spread_s = TOKENS_PER_ANSWER * TOKEN_INTERVAL_S / 4
    pool = eventlet.GreenPool(streams)
    for _ in range(streams):
        pool.spawn_n(make_call, results, rng.uniform(0, spread_s))
    pool.waitall()
    print(sum(results), flush=True)


class FakeEntryContext:
    """Context of an entry with one group and no limits."""

    def __init__(self) -> None:
        self.entry_id = "entry-1"
        self.incarnation = "life-1"
        self.clock = SystemClock()
        self.rng = random.Random(1)
        self.admission = AdmitAll()
        self.budgets = AttemptBudgets()
        self.suspicions = SuspicionTracker()
        self.running = RunningAttempts()
        self.stall_detector = StallDetector()
        self.is_isolated = False
        self.text = Text()
        self.text.services["llm"].kind = "model"
        self.text.workspaces["w"].weight = 1
        group = Group(group_id="g", service="llm", epoch=1, version="1")
        address = f"{ENGINE_ADDRESS[0]}:{ENGINE_ADDRESS[1]}"
        group.members.append(GroupMember(host_id="h", address=address))
        self.lookup = TextLookup.from_text(self.text)
        self._view = GroupView(group=group, serving=True)

    def authenticate(self, environ: dict[str, Any]) -> str:
        """Accept every caller as the one workspace."""
        return "w"

    def has_crashed(self, group: Group, *, is_engine: bool) -> bool:
        """Return that the group is intact."""
        return False

    def has_lease(self, now_s: float) -> bool:
        """Return that the lease is held."""
        return True

    def wait_for_groups(self, service: str, deadline_s: float) -> None:
        """Return immediately, since the one group is known."""

    def group_epoch(self, group_id: str) -> int:
        """Return the epoch of the one group."""
        return self._view.group.epoch

    def may_send(self, endpoint: Incarnation) -> bool:
        """Return that the endpoint takes requests."""
        return True

    def is_evacuated(self, endpoint: Incarnation) -> bool:
        """Return that no data centre is evacuated."""
        return False

    def record_notice(self, endpoint: Incarnation, notice: EndpointNotice) -> None:
        """Discard the notice."""

    def next_send_s(self, service: str) -> None:
        """No endpoint limits the rate of requests."""

    def earliest_return_s(self, service: str) -> None:
        """Return that no endpoint pauses."""

    def serving_groups(self, service: str, version: str) -> list[str]:
        """Return the one group."""
        return ["g"]

    def choose_group(
        self, request: CallRequest, excluded: frozenset[str], version: str
    ) -> GroupView:
        """Return the one group."""
        return self._view

    def has_alternative(
        self, request: CallRequest, excluded: frozenset[str], version: str
    ) -> bool:
        """Return that no other group is left."""
        return False

    def report_attempt(self, report: AttemptReport) -> None:
        """Discard the report."""


def main(*, streams: int = 200, role: str = "entry") -> None:
    """Print the CPU time of the entry per token.

    Parameters
    ----------
    streams : int
        Total number of streams; nearly all of them run concurrently.
    role : str
        ``entry``, which starts the roles ``engine`` and ``callers`` itself.
    """
    if role == "engine":
        serve(ENGINE_ADDRESS, answer_as_engine)
        return
    if role == "callers":
        run_callers(streams)
        return
    command = [sys.executable, "-W", "ignore", "-m", "benchmarks.attempts_http"]
    command += ["--streams", str(streams), "--role"]
    engine = subprocess.Popen([*command, "engine"])
    try:
        eventlet.spawn(
            serve, ENTRY_ADDRESS, ModelCallHandler(FakeEntryContext(), "chat")
        )
        eventlet.sleep(ENTRY_START_DELAY_S)
        callers = subprocess.Popen(
            [*command, "callers"], stdout=subprocess.PIPE, text=True
        )
        cpu_s, start_s = time.process_time(), time.monotonic()
        while callers.poll() is None and time.monotonic() < start_s + RUN_TIMEOUT_S:
            eventlet.sleep(0.2)
        cpu_s = time.process_time() - cpu_s
        wall_s = time.monotonic() - start_s
        callers.kill()
        completed = int(callers.stdout.read() or 0)
    finally:
        engine.kill()
    tokens = completed * TOKENS_PER_ANSWER
    print(
        f"{completed} of {streams} answers whole, {tokens} tokens in {wall_s:.1f} s, "
        f"{cpu_s:.2f} s of processor time, "
        f"{1e6 * cpu_s / max(1, tokens):.0f} us a token"
    )


if __name__ == "__main__":
    defopt.run(main)
