"""Voter changes and fabric domain counts of a control for operators."""

from types import SimpleNamespace

import pytest

from chestnutvale.clock import SystemClock
from chestnutvale.configuration.const import (
    COMPRESSED_TEXT_COMMAND_VERSION,
    MIN_COMPRESSED_COMMAND_BYTES,
)
from chestnutvale.configuration.exceptions import TextError
from chestnutvale.consensus.const import COMMAND_VERSION
from chestnutvale.consensus.exceptions import MembersChangeError
from chestnutvale.membership.table import MembershipTable
from chestnutvale.programs.control import operations as operations_module
from chestnutvale.programs.control.operations import ControlOperations
from chestnutvale.programs.control.state import ControlState
from chestnutvale.schema.command_pb2 import CommandResult
from chestnutvale.schema.configuration_pb2 import ApplyText, Text
from chestnutvale.schema.membership_pb2 import Announcement, Heard
from chestnutvale.schema.operator_pb2 import VoterChange
from chestnutvale.schema.settings_pb2 import ControlSettings

ADDRESS = "10.0.0.2:7101"


class Log:
    """A replicated log that refuses to promote a learner for some attempts."""

    def __init__(self, refusals):
        self.refusals = refusals
        self.members = SimpleNamespace(voters=["c1#1"], learners=[])

    def joiner_address(self, control_id):
        return ADDRESS

    def add_learner(self, control_id, deadline_s):
        self.members.learners.append(f"{control_id}#2")

    def promote(self, control_id, deadline_s):
        if self.refusals:
            self.refusals -= 1
            raise MembersChangeError("too few of the voters would be alive")
        self.members.voters.append(self.members.learners.pop())


def add_voter(log, address=ADDRESS, limit_s=5.0):
    clock = SystemClock()
    settings = ControlSettings(control_id="c1")
    control_operations = ControlOperations(settings, log, None, None, None, None, clock)
    voter_change = VoterChange(action="add", id="c2", address=address)
    return control_operations.change_voter(voter_change, clock.now_s() + limit_s)


def test_learner_is_promoted_once_it_is_ready():
    log = Log(refusals=2)
    assert add_voter(log).outcome == "done"
    assert log.members.voters == ["c1#1", "c2#2"]
    assert add_voter(log).outcome == "done"


def test_learner_that_never_gets_ready_is_refused_with_the_reason():
    result = add_voter(Log(refusals=1_000), limit_s=0.5)
    assert result.outcome == "refused"
    assert "too few" in result.reason


@pytest.mark.parametrize("address", ["10.0.0.3:7101", "10.0.0.2:1"])
def test_address_other_than_the_joiner_s_is_refused(address):
    log = Log(refusals=0)
    result = add_voter(log, address=address)
    assert (result.outcome, log.members.learners) == ("refused", [])
    assert ADDRESS in result.reason


def test_domains_are_unknown_while_new_hosts_appear():
    clock = SimpleNamespace(now_s=lambda: now_s)
    table = MembershipTable()
    control_operations = ControlOperations(
        ControlSettings(), None, None, table, None, None, clock
    )

    def report_hosts(*names):
        announcements = [
            Announcement(host_id=name, kind="engine", fabric_domain="f")
            for name in names
        ]
        heard = [
            Heard(host_id=item.host_id, boot_id="b", sequence=1, changed=item)
            for item in announcements
        ]
        table.merge_entry_report("e1", heard, now_s)

    now_s = 100.0
    report_hosts("h1", "h2")
    now_s = 102.0
    assert control_operations.fabric_domain_hosts() == {}
    report_hosts("h3")
    now_s = 111.0
    assert control_operations.fabric_domain_hosts() == {}
    now_s = 113.0
    assert control_operations.fabric_domain_hosts() == {"f": 3}


def make_operations(log, state):
    """Return the operations of a control whose log is a fake."""
    settings = ControlSettings(control_id="c1")
    return ControlOperations(settings, log, state, None, None, None, SystemClock())


@pytest.mark.parametrize(
    ("other_version", "body"),
    [
        (COMMAND_VERSION, "compressed_apply_text"),
        (COMPRESSED_TEXT_COMMAND_VERSION - 1, "apply_text"),
        (None, "apply_text"),
    ],
)
def test_text_is_compressed_only_if_all_controls_read_it(other_version, body):
    # Guards against a control of an older build that skips the text.
    proposed = []
    state = ControlState()

    def propose(command, deadline_s):
        proposed.append(command)
        return state.apply(1, command)

    log = SimpleNamespace(
        committed_copies=1,
        propose=propose,
        command_versions=lambda: {"c1#1": COMMAND_VERSION, "c2#1": other_version},
    )
    control_operations = make_operations(log, state)
    document = bytes(MIN_COMPRESSED_COMMAND_BYTES)
    command = ApplyText(text=Text(number=1), document=document)
    result = control_operations.apply_text(command, SystemClock().now_s() + 1.0)
    assert result.outcome == "accepted"
    assert [command.WhichOneof("body") for command in proposed] == [body]


@pytest.mark.parametrize("is_leader_older", [False, True])
def test_text_that_no_control_could_read_from_the_log_is_refused(
    monkeypatch, is_leader_older
):
    # Guards against a committed entry that no control can apply.
    monkeypatch.setattr(operations_module, "MAX_TEXT_COMMAND_BYTES", 50_000)
    proposed = []
    version = 1 if is_leader_older else COMMAND_VERSION
    log = SimpleNamespace(
        committed_copies=1,
        propose=lambda command, deadline_s: proposed.append(command),
        command_versions=lambda: {"c1#1": version},
    )
    control_operations = make_operations(log, ControlState())
    command = ApplyText(text=Text(number=1), document=bytes(60_000))
    with pytest.raises(TextError, match="larger than"):
        control_operations.apply_text(command, SystemClock().now_s() + 1.0)
    assert proposed == []


def test_text_that_was_skipped_is_not_acknowledged():
    log = SimpleNamespace(
        committed_copies=1,
        propose=lambda command, deadline_s: CommandResult(),
        command_versions=lambda: {"c1#1": COMMAND_VERSION},
    )
    control_operations = make_operations(log, ControlState())
    with pytest.raises(TextError, match="apply"):
        control_operations.apply_text(
            ApplyText(text=Text(number=1)), SystemClock().now_s() + 1.0
        )
