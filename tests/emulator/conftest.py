"""Fixtures that run emulated hosts as processes, with a stub in place of an entry."""

import json
import os
import threading
from contextlib import ExitStack
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import pytest
import urllib3

from chestnutvale.emulator.processes import ManagedProcess, program_path, wait_until

SERVICE = "chestnut-llm"


class Cluster:
    """Starts a weight store, emulated hosts and a stub entry for announcements."""

    def __init__(self, folder, stack):
        self.folder = folder
        self.stack = stack
        self.http = urllib3.PoolManager(retries=False, timeout=20)
        self.announcements = {}
        self.entry = self._start_entry_listener()
        self.store = self.start("weights", "chestnut-emulated-weights")
        self.hosts = {}
        self.fence = 0
        self.epoch = 0

    def _start_entry_listener(self):
        announcements = self.announcements

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_POST(self):
                body = self.rfile.read(int(self.headers["Content-Length"]))
                data = json.loads(body)
                announcements.setdefault(data["host_id"], []).append(data)
                answer = b'{"next_announcement_ms": 200}'
                self.send_response(200)
                self.send_header("Content-Length", str(len(answer)))
                self.end_headers()
                self.wfile.write(answer)

            def log_message(self, *arguments):
                pass

        server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        server.daemon_threads = True
        threading.Thread(target=server.serve_forever, daemon=True).start()
        self.stack.callback(server.server_close)
        self.stack.callback(server.shutdown)
        return f"127.0.0.1:{server.server_port}"

    def start(self, name, program, *arguments):
        command = [program_path(program), *arguments]
        process = ManagedProcess(name, command, self.folder)
        self.stack.enter_context(process)
        process.wait_ready()
        return process

    def start_host(self, name, *arguments):
        # Nothing listens on the first address, so the host must try the next entry.
        command = ["--host-id", name, "--entries", "127.0.0.1:9", self.entry]
        command += ["--step-ms", "5", "--weights-bytes", "100000", *arguments]
        self.hosts[name] = self.start(name, "chestnut-emulated-engine", *command)
        return self.hosts[name]

    def last_announcement(self, name):
        return self.announcements.get(name, [{}])[-1]

    def address(self, name):
        return self.hosts[name].description["address"]

    def post(self, address, path, data, **options):
        return self.http.request(
            "POST", f"http://{address}{path}", body=json.dumps(data), **options
        )

    def group_members(self, names):
        return [
            {
                "host_id": name,
                "boot_id": self.last_announcement(name)["boot_id"],
                "address": self.address(name),
                "rank": rank,
            }
            for rank, name in enumerate(names)
        ]

    def assign_group(self, names):
        """Assign hosts to group g1 in a new epoch and wait until all are ready."""
        self.fence += 1
        self.epoch += 1
        for name in names:
            wait_until(
                lambda name=name: self.last_announcement(name),
                20,
                f"announcement of {name}",
            )
        for rank, name in enumerate(names):
            order = {
                "kind": "assign",
                "group_id": "g1",
                "epoch": self.epoch,
                "fence": self.fence,
                "rank": rank,
                "service": SERVICE,
                "model": "m",
                "version": "1",
                "members": self.group_members(names),
                "weight_store_address": self.store.description["address"],
            }
            answer = self.post(self.address(name), "/v1/orders", order)
            assert answer.status == 200, answer.data
        wait_until(lambda: self.is_ready(names), 20, "group to be ready")

    def is_ready(self, names):
        holdings = [self.last_announcement(name).get("holding", {}) for name in names]
        return all(
            h.get("phase") == "ready" and int(h["epoch"]) == self.epoch
            for h in holdings
        )

    def generate(self, head, prompt, max_tokens, **changes):
        request = {
            "request_id": "r",
            "attempt_id": "a",
            "group_id": "g1",
            "epoch": self.epoch,
            "service": SERVICE,
            "form": "completion",
            "prompt": prompt,
            "max_tokens": max_tokens,
            **changes,
        }
        path = "/v1/generate"
        return self.post(self.address(head), path, request, preload_content=False)


@pytest.fixture
def cluster(tmp_path):
    with ExitStack() as stack:
        yield Cluster(tmp_path, stack)


@pytest.fixture(scope="module")
def shared_cluster(tmp_path_factory):
    with ExitStack() as stack:
        cluster = Cluster(tmp_path_factory.mktemp(f"cluster-{os.getpid()}"), stack)
        cluster.start_host("h1")
        cluster.start_host("h2")
        cluster.assign_group(["h1", "h2"])
        yield cluster
