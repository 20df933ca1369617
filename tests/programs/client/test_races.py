"""Operators that concurrently apply texts with equal numbers and lose responses.

The recorded history must show that exactly one text wins each number, that no
operator is told a wrong outcome, and that the number in force never decreases.
"""

import random

import attrs
import eventlet
import pytest
from eventlet import tpool

from chestnutvale.configuration.digest import compute_text_digest
from chestnutvale.configuration.parser import parse_text
from chestnutvale.configuration.state import ConfigurationState
from chestnutvale.programs.client.control_client import ControlClient
from chestnutvale.programs.client.exceptions import ClientError
from chestnutvale.programs.control.operator_const import PATH_TEXT
from chestnutvale.settings.client import load_client_settings
from tests.programs.operator_fakes import TOKEN, FakeError

OPERATORS = 4
ROUNDS = 5


@attrs.define
class ApplyRecord:
    """One apply: the text sent, its start and end event, and the outcome reported."""

    number: int
    digest: str
    start_event: int
    end_event: int = 0
    outcome: str = ""
    number_in_force: int = 0


class History:
    """Applies of all operators, with totally ordered event numbers."""

    def __init__(self):
        self.records = []
        self.events = 0

    def next_event_number(self):
        self.events += 1
        return self.events


def apply_all_texts(name, settings, history, operator_random):
    for number in range(1, ROUNDS + 1):
        raw = f'{{"number": {number}, "workspaces": {{"of-{name}": {{}}}}}}'
        record = ApplyRecord(
            number, compute_text_digest(parse_text(raw)), history.next_event_number()
        )
        history.records.append(record)
        with ControlClient(settings, TOKEN, operator=name) as client:
            try:
                answer = tpool.execute(
                    client.call,
                    "POST",
                    PATH_TEXT,
                    raw.encode(),
                    is_mutation=True,
                )
                record.outcome = answer["outcome"]
                record.number_in_force = answer["number_in_force"]
            except ClientError as error:
                record.outcome = error.code
                if error.code == "configuration_conflict":
                    record.number_in_force = error.answer["number_in_force"]
        record.end_event = history.next_event_number()
        eventlet.sleep(operator_random.random() * 0.01)


class FaultInjectingState:
    """Configuration state that injects faults when a text is applied.

    The response to each text accepted under an even number is lost, so that its
    operator has to resend it; other applies are followed by seeded random faults.
    """

    def __init__(self, cluster, controls, seed):
        self.state = cluster.state
        self.cluster = cluster
        self.controls = controls
        self.random = random.Random(seed)

    def __getattr__(self, name):
        return getattr(self.state, name)

    def apply_text(self, command, at_unix_ms):
        result = self.state.apply_text(command, at_unix_ms)
        if result.outcome == "accepted" and command.text.number % 2 == 0:
            raise FakeError("outcome_unknown")
        control = self.random.choice(self.controls)
        match self.random.randrange(6):
            case 0:
                control.lost_answers += 1
            case 1:
                control.backend.errors.append("after:outcome_unknown")
            case 2:
                control.backend.errors.append("before:outcome_unknown")
            case 3:
                self.cluster.leader = control.backend.control_id
        return result


def find_violations(history, accepted):
    """Compare a history with the digests that the log accepted for each number."""
    violations = []
    for record in history.records:
        is_accepted_text = accepted.get(record.number) == record.digest
        if record.outcome in ("accepted", "resent") and not is_accepted_text:
            violations.append(("reported as accepted, but was not", record))
        if record.outcome == "configuration_conflict" and is_accepted_text:
            violations.append(("reported as conflict, but was accepted", record))
        for other in history.records:
            later = record.end_event < other.start_event and other.number_in_force
            if later and other.number_in_force < record.number_in_force:
                violations.append(("the number in force went back", other))
    return violations


def run_race(cluster, controls, settings, seed):
    history = History()
    cluster.state = FaultInjectingState(cluster, controls, seed)
    operators = [
        eventlet.spawn(
            apply_all_texts, f"op{n}", settings, history, random.Random(seed + n)
        )
        for n in range(OPERATORS)
    ]
    for operator in operators:
        operator.wait()
    snapshot = cluster.state.to_snapshot()
    return history, {item.number: item.digest for item in snapshot.accepted}


@pytest.mark.parametrize("seed", [11, 12, 13])
def test_race_with_lost_answers(cluster, controls, write_settings, seed):
    settings = load_client_settings(write_settings(timeout_ms=8_000))
    history, accepted = run_race(cluster, controls, settings, seed)
    assert find_violations(history, accepted) == []
    assert sorted(accepted) == list(range(1, ROUNDS + 1))
    outcomes = [record.outcome for record in history.records]
    assert set(outcomes) <= {"accepted", "resent", "configuration_conflict"}
    assert "resent" in outcomes and "configuration_conflict" in outcomes


class ResendUnawareState(ConfigurationState):
    """Forgets accepted numbers, so that a resend is reported as a conflict."""

    def is_accepted(self, number, digest):
        return False


class LastWriteWinsState(ConfigurationState):
    """Accepts any number, as if there were no compare-and-set."""

    def apply_text(self, command, at_unix_ms):
        self.text.number = 0
        return super().apply_text(command, at_unix_ms)


@pytest.mark.parametrize("state", [ResendUnawareState, LastWriteWinsState])
def test_history_check_detects_broken_states(cluster, controls, write_settings, state):
    cluster.state = state()
    settings = load_client_settings(write_settings(timeout_ms=8_000))
    history, accepted = run_race(cluster, controls, settings, 11)
    assert find_violations(history, accepted) != []
