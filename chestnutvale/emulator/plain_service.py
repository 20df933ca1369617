"""Program that emulates a plain service and counts the calls that it executes."""

import random
import time
from collections import Counter
from contextlib import ExitStack
from typing import Any

import defopt
import eventlet

from chestnutvale.emulator.announcer import Announcer
from chestnutvale.emulator.const import CODE_NOT_FOUND, KIND_SERVICE
from chestnutvale.emulator.exceptions import RefusedError
from chestnutvale.emulator.http import HttpServer, Request, Response, json_response
from chestnutvale.emulator.runtime import run_until_stopped, setup_eventlet
from chestnutvale.schema.membership_pb2 import Announcement

POSTINGS_PATH = "/postings"
RUNS_PATH = "/runs"
MISSING_KEY = ""
# A call whose body contains this text is executed but gets no answer.
DROP_ANSWER_MARKER = b"drop-answer"


class PlainService:
    """Executes calls and counts the runs of each idempotency key.

    The service does not deduplicate by key: executing each call at most once is the
    responsibility of the entries in front of it.

    Parameters
    ----------
    service : str
        Name of the service.
    processing_s : float
        Duration in seconds of a call that adds a record.

    Attributes
    ----------
    runs : Counter of str
        Number of runs of each idempotency key.
    reads : Counter of str
        Number of executed reads of each path.
    is_leaving : bool
        Whether the service announces that it is leaving.
    """

    def __init__(self, service: str, processing_s: float) -> None:
        self.service = service
        self.is_leaving = False
        self.runs: Counter[str] = Counter()
        self.reads: Counter[str] = Counter()
        self._processing_s = processing_s

    def handle(self, request: Request) -> Response:
        """Answer a request.

        Raises
        ------
        RefusedError
            With ``not_found``, if the path or method is unknown.
        """
        if request.path == RUNS_PATH and request.method == "GET":
            return json_response({"runs": dict(self.runs), "reads": dict(self.reads)})
        if request.path == "/leave" and request.method == "POST":
            self.is_leaving = True
            return json_response({"leaving": True})
        if request.path.startswith(POSTINGS_PATH):
            if request.method == "GET":
                return self._read_postings(request)
            if request.method == "POST":
                return self._create_posting(request)
        raise RefusedError(
            404, CODE_NOT_FOUND, f"no handler for {request.method} {request.path}"
        )

    def _read_postings(self, request: Request) -> Response:
        self.reads[request.path] += 1
        return json_response(
            {"service": self.service, "path": request.path, "runs": self.runs.total()}
        )

    def _create_posting(self, request: Request) -> Response:
        key = request.headers.get("idempotency-key", MISSING_KEY)
        # A run is counted when it starts, so that one without an answer counts too.
        self.runs[key] += 1
        number = self.runs.total()
        eventlet.sleep(self._processing_s)
        if DROP_ANSWER_MARKER in request.body:
            request.socket.shutdown(2)
        answer: dict[str, Any] = {
            "service": self.service,
            "record": number,
            "key": key,
            "request_id": request.headers.get("x-request-id", ""),
            "workspace": request.headers.get("x-workspace", ""),
        }
        return json_response(answer, 201)


def run(
    *,
    host_id: str,
    entries: list[str],
    service: str,
    address: str = "127.0.0.1:0",
    data_centre: str = "dc-1",
    fabric_domain: str = "fabric-a",
    work_ms: int = 20,
    cold_start_ms: int = 0,
    seed: int = 1,
) -> None:
    """Run an emulated plain service until SIGTERM.

    Parameters
    ----------
    host_id : str
        Identifier of the host.
    entries : list[str]
        IP address and port of each entry.
    service : str
        Name of the service.
    address : str
        IP address and port to listen on; port 0 selects a free port.
    data_centre : str
        Data centre of the host.
    fabric_domain : str
        Fabric domain of the host.
    work_ms : int
        Duration in milliseconds of a call that adds a record.
    cold_start_ms : int
        Time in milliseconds after the start for which it announces that it is cold.
    seed : int
        Seed of the random choices.
    """
    setup_eventlet()
    plain_service = PlainService(service, work_ms / 1e3)
    warm_at_s = time.monotonic() + cold_start_ms / 1e3
    boot_id = f"{time.time_ns():016x}-{host_id}"
    with ExitStack() as stack:
        server = stack.enter_context(HttpServer(address, plain_service.handle))

        def make_announcement() -> Announcement:
            return Announcement(
                host_id=host_id,
                boot_id=boot_id,
                address=server.address,
                data_centre=data_centre,
                fabric_domain=fabric_domain,
                kind=KIND_SERVICE,
                service=service,
                leaving=plain_service.is_leaving,
                cold_remaining_ms=max(0, round(1e3 * (warm_at_s - time.monotonic()))),
            )

        random_source = random.Random(f"{seed} {host_id}")
        announcer = Announcer(entries, make_announcement, lambda: None, random_source)
        stack.enter_context(announcer)
        run_until_stopped(
            {"address": server.address, "hosts": {host_id: server.address}}
        )


def main() -> None:
    """Parse the command line and run the service."""
    defopt.run(run)
