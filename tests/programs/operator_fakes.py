"""In-memory fake of a control for operators that can raise errors and lose answers."""

from chestnutvale.clock import SystemClock
from chestnutvale.configuration.state import ConfigurationState
from chestnutvale.evacuations.exceptions import UnknownDataCentreError
from chestnutvale.evacuations.state import EvacuationState
from chestnutvale.exceptions import ChestnutError
from chestnutvale.http_server.server import HttpServer
from chestnutvale.programs.control.operator_api import OperatorApi
from chestnutvale.schema.operator_pb2 import (
    EntryStatus,
    EvacuationStatus,
    GroupStatus,
    HostStatus,
    OperatorResult,
    ServiceStatus,
    Status,
    StatusMeasures,
    VoterStatus,
)
from chestnutvale.schema.settings_pb2 import HttpLimits
from chestnutvale.settings.token import hash_token

TOKEN = "a-token-for-operators"
LIMITS = HttpLimits(
    max_body_bytes=8 * 1024 * 1024,
    max_header_bytes=16_000,
    max_connections=50,
    idle_timeout_ms=5_000,
)


class FakeError(ChestnutError):
    """An error with an arbitrary code."""

    def __init__(self, code):
        super().__init__(f"injected error: {code}", step="propose", peer="c2")
        self.code = code


class FakeCluster:
    """State and leader that the fake controls share."""

    def __init__(self):
        self.state = ConfigurationState()
        self.leader = ""
        self.addresses = {}
        self.domain_hosts = {}
        self.voters = {}
        self.draining = {}
        self.evacuations = EvacuationState()
        self.at_unix_ms = 0


class FakeBackend:
    """In-memory `OperatorBackend`.

    ``errors`` holds one item per command: ``before:CODE`` raises without running the
    command, ``after:CODE`` raises after running it, an empty item raises nothing.
    """

    def __init__(self, cluster, control_id):
        self.cluster = cluster
        self.control_id = control_id
        self.errors = []
        self.follower_error = "not_leader"

    def is_leader(self):
        return self.cluster.leader == self.control_id

    def leader_http_address(self):
        return self.cluster.addresses.get(self.cluster.leader, "")

    def read_configuration(self, deadline_s):
        return self.cluster.state.to_snapshot()

    def is_accepted(self, number, digest):
        return self.cluster.state.is_accepted(number, digest)

    def fabric_domain_hosts(self):
        return self.cluster.domain_hosts

    def _run(self, command):
        when, _, code = (self.errors.pop(0) if self.errors else "").partition(":")
        if when == "before":
            raise FakeError(code)
        result = command()
        if when == "after":
            raise FakeError(code)
        return result

    def apply_text(self, command, deadline_s):
        self.cluster.at_unix_ms += 1
        at_unix_ms = self.cluster.at_unix_ms
        return self._run(lambda: self.cluster.state.apply_text(command, at_unix_ms))

    def drain_host(self, request, deadline_s):
        if request.host_id == "nobody":
            return OperatorResult(outcome="refused", reason="unknown host")
        self.cluster.draining[request.host_id] = request.draining
        return OperatorResult(outcome="done")

    def set_evacuation(self, command, deadline_s):
        if not self.is_leader():
            raise FakeError(self.follower_error)

        def run():
            if command.data_centre == "nowhere":
                raise UnknownDataCentreError("the data centre nowhere is unknown")
            self.cluster.at_unix_ms += 1
            at_unix_ms = self.cluster.at_unix_ms
            return self.cluster.evacuations.apply(command, at_unix_ms)

        return self._run(run)

    def evacuated_data_centres(self):
        return sorted(self.cluster.evacuations.evacuated)

    def change_voter(self, change, deadline_s):
        def run():
            if change.action == "add":
                self.cluster.voters[change.id] = change.address
            else:
                self.cluster.voters.pop(change.id, None)
            return OperatorResult(outcome="done")

        return self._run(run)

    def status(self, deadline_s):
        return Status(
            cluster_id="x",
            control_id=self.control_id,
            number=self.cluster.state.number,
            confirmed=self.is_leader(),
            services=[
                ServiceStatus(name="chat", groups_wanted=2, reason="ledger is down")
            ],
            groups=[GroupStatus(group_id="g1", service="chat", reason="h2 is missing")],
            hosts=[HostStatus(host_id="h1", state="stranded", reason="g1 is broken")],
            voters=[VoterStatus(id="c1", role="leader", reachable=True)],
            entries=[EntryStatus(id="e1", reason="silent for 9 s")],
            evacuations=[
                EvacuationStatus(data_centre="dc-2", begun_at_unix_ms=1_767_323_045_000)
            ],
            measures=StatusMeasures(stranded_hosts=1, group_downtime_s=7.5),
        )

    def dump(self):
        return {"control_id": self.control_id}


class FakeControl:
    """A fake backend behind the real operator API and HTTP server."""

    def __init__(self, cluster, control_id, address):
        self.backend = FakeBackend(cluster, control_id)
        self.api = OperatorApi(hash_token(TOKEN), self.backend, SystemClock())
        self.address = address
        self.lost_answers = 0
        self.requests = 0
        cluster.addresses[control_id] = address
        self.server = HttpServer(self._app, address, LIMITS)

    def _app(self, environ, start_response):
        self.requests += 1
        answer = self.api(environ, start_response)
        if self.lost_answers:
            self.lost_answers -= 1
            # The command has run, but the client's connection breaks.
            environ["wsgi.input"]._source.get_socket().shutdown(2)
        return answer
