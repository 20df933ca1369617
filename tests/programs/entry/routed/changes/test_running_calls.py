"""A call goes on under the terms under which it was accepted, whatever changes."""

import logbook
import pytest

from tests.programs.entry.entry_fakes import wait_until
from tests.programs.entry.routed.changes.changes import CHANGES, REFUSED
from tests.programs.entry.routed.changes.fleet import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    Fleet,
)
from tests.programs.entry.routed.changes.phases import PHASES, Scene

PHASE_WITHOUT_LEASE = "waiting for the lease"


def run_phase(phase, change, free_address):
    """Return the answer, the fleet, and what the entries logged as errors."""
    fleet = Fleet(free_address, phase.entries)
    log = logbook.TestHandler(level=logbook.WARNING)
    with log.applicationbound(), fleet.serve():
        fleet.publish(has_lease=phase.name != PHASE_WITHOUT_LEASE)
        scene = Scene(fleet, change.steps)
        answer = phase.run(scene)
        check_nothing_is_left(fleet)
        # The hosts of groups that have ended form new ones.
        fleet.publish()
        check_connection_goes_on(scene, change)
        check_nothing_is_left(fleet)
        scene.connection.sock.close()
    return answer, fleet, [record.message for record in log.records]


def check_nothing_is_left(fleet):
    for entry in fleet.entries:
        wait_until(lambda entry=entry: not entry.server.running_requests)
        controller = entry.gate.controller
        wait_until(lambda controller=controller: not any_reserved(controller))
        assert not entry.context.running.counts_by_group()
        assert not entry.context.memory.used_bytes
        assert controller.next_deadline_s is None
        assert not entry.gate._tickets
        assert not controller._service_of


def any_reserved(controller):
    return any(map(controller.reserved_tokens, (MODEL_SERVICE, PLAIN_SERVICE)))


def check_connection_goes_on(scene, change):
    """The next request on the connection gets a whole answer."""
    if scene.connection.is_closing:
        return
    scene.send("/gen/x", call="c9")
    answer = scene.connection.read_answer()
    assert answer.is_whole
    assert answer.status in change.find_next_statuses(MODEL_SERVICE)


# A call that needs another group has none if its service is gone.
CELLS = [
    pytest.param(phase, change, id=f"{phase.name}-{change.name}")
    for phase in PHASES
    for change in CHANGES
    if not (phase.needs_group and phase.service in change.gone)
]


@pytest.mark.parametrize(("phase", "change"), CELLS)
def test_call_is_answered_whole(phase, change, free_address, capfd):
    answer, fleet, errors = run_phase(phase, change, free_address)
    assert answer.is_whole
    assert answer.status in phase.find_statuses(change)
    if answer.status == 200:
        assert answer.body == phase.body
    requests = [item for item in fleet.requests if b"X-Call: c1\r\n" in item]
    is_failed = answer.status == 502
    if answer.status in REFUSED:
        assert not requests
    elif phase.is_accepted:
        assert len(requests) == phase.requests
    # Attempts that their endpoint breaks off, or answers with something else.
    assert len(errors) in (phase.requests - 1, phase.requests - 1 + is_failed)
    assert all(error.startswith("Attempt c1.1 failed") for error in errors)
    assert "Traceback" not in capfd.readouterr().err
