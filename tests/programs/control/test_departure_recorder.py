"""Recording of departures by the leader, and the wait of other controls for it."""

import eventlet
import pytest

from chestnutvale.clock import SystemClock
from chestnutvale.consensus.exceptions import NotLeaderError, OutcomeUnknownError
from chestnutvale.membership.endpoint_notices import Incarnation
from chestnutvale.membership.exceptions import DepartureNotRecordedError
from chestnutvale.membership.table import MembershipTable
from chestnutvale.programs.control.departure_recorder import DepartureRecorder
from chestnutvale.programs.control.state import ControlState
from chestnutvale.schema.command_pb2 import Command, ConfirmReaders
from chestnutvale.schema.membership_pb2 import (
    Announcement,
    Heard,
    RecordDepartures,
    RecordedDeparture,
)

CLOCK = SystemClock()
DEPARTURE = Incarnation("h1", "b1")


class FakeLog:
    """A log that commits at once; all members are of this build."""

    def __init__(self, state):
        self.state = state
        self.is_leader = True
        self.leader_id = "c1"
        self.leader_command_version = 2
        self.versions = {"c1#1": 2, "c2#1": 2}
        self.committed_copies = 2
        self.proposed = []
        self.error = None

    def command_versions(self):
        return self.versions

    def propose(self, command, deadline_s):
        if self.error is not None:
            raise self.error
        self.proposed.append(command)
        return self.state.apply(len(self.proposed), command)


class Fixture:
    def __init__(self, durable_copies=0):
        self.state = ControlState()
        self.log = FakeLog(self.state)
        self.table = MembershipTable(
            is_recorded_departure=lambda *boot: self.state.departures.contains(*boot)
        )
        self.recorder = DepartureRecorder(
            self.log, self.state, self.table, CLOCK, durable_copies
        )

    def hear(self, sequence, leaving):
        content = Announcement(host_id="h1", boot_id="b1", leaving=leaving)
        heard = Heard(host_id="h1", boot_id="b1", sequence=sequence, changed=content)
        self.table.merge_control_report("c1", [heard], CLOCK.now_s())

    def confirm(self, timeout_s=0.3):
        self.recorder.confirm(DEPARTURE, CLOCK.now_s() + timeout_s)

    def confirm_readers(self):
        readers = ConfirmReaders(command_version=2, member_ids=["c1#1", "c2#1"])
        self.state.apply(1, Command(confirm_readers=readers))


@pytest.fixture
def fixture():
    fixture = Fixture()
    with eventlet.Timeout(20):
        task = eventlet.spawn(fixture.recorder.run)
        yield fixture
        task.kill()


def test_departure_is_recorded_once(fixture):
    fixture.hear(1, True)
    fixture.confirm()
    fixture.hear(2, True)
    fixture.confirm()
    fixture.recorder.run_round()
    (command,) = fixture.log.proposed
    assert command.record_departures.departures[0].host_id == "h1"


def test_ordinary_announcement_is_not_recorded(fixture):
    fixture.hear(1, False)
    fixture.recorder.run_round()
    assert not fixture.log.proposed


def test_follower_acknowledges_once_its_replica_has_the_record(fixture):
    fixture.log.is_leader = False
    fixture.confirm_readers()
    fixture.hear(1, True)
    command = Command(
        record_departures=RecordDepartures(
            departures=[RecordedDeparture(host_id="h1", boot_id="b1")]
        )
    )
    eventlet.spawn_after(0.1, fixture.state.apply, 2, command)
    fixture.confirm(timeout_s=5.0)
    assert not fixture.log.proposed
    assert not fixture.table.unrecorded_departures()


@pytest.mark.parametrize("error", [NotLeaderError("c2"), OutcomeUnknownError("slow")])
def test_failed_record_is_refused_and_retried(fixture, error):
    fixture.log.error = error
    fixture.hear(1, True)
    with pytest.raises(DepartureNotRecordedError):
        fixture.confirm()
    fixture.log.error = None
    fixture.confirm()


def test_departure_is_refused_at_once_without_a_leader(fixture):
    # Guards against hosts that wait although nothing can be recorded.
    fixture.log.is_leader = False
    fixture.log.leader_id, fixture.log.leader_command_version = "", 0
    fixture.hear(1, True)
    started_s = CLOCK.now_s()
    with pytest.raises(DepartureNotRecordedError):
        fixture.confirm(timeout_s=5.0)
    assert CLOCK.now_s() - started_s < 1.0


def test_departure_is_kept_in_memory_beside_an_older_build(fixture):
    # Guards against a control that skips the record and differs from then on.
    fixture.log.versions["c2#1"] = 1
    fixture.hear(1, True)
    fixture.confirm()
    assert not fixture.log.proposed
    # It is recorded as soon as all members can read it.
    fixture.log.versions["c2#1"] = 2
    fixture.recorder.run_round()
    assert fixture.state.departures.contains("h1", "b1")


def test_departure_waits_for_the_required_disks():
    fixture = Fixture(durable_copies=3)
    fixture.hear(1, True)
    fixture.recorder.run_round()
    with pytest.raises(OutcomeUnknownError):
        fixture.confirm()
    fixture.log.committed_copies = 3
    fixture.confirm()


def test_recent_record_is_found_for_a_resent_departure(fixture):
    assert not fixture.recorder.was_recorded_since("h1", 60.0)
    fixture.hear(1, True)
    fixture.confirm()
    assert fixture.recorder.was_recorded_since("h1", 60.0)
    assert not fixture.recorder.was_recorded_since("h1", -60.0)
