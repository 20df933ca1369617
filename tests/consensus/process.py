"""A control with a register in its own process, driven over a pipe."""

import json
import multiprocessing
import os
import random
import signal

import eventlet

from chestnutvale.clock import SystemClock
from chestnutvale.consensus.exceptions import NotLeaderError, OutcomeUnknownError
from chestnutvale.consensus.member_state import MemberState
from chestnutvale.consensus.request_handler import RequestHandler
from chestnutvale.consensus.task import ConsensusTask
from chestnutvale.schema.command_pb2 import Command, CommandResult
from chestnutvale.schema.settings_pb2 import ControlSettings
from chestnutvale.storage.store import DataStore
from chestnutvale.transport.message_filter import make_incarnation
from chestnutvale.transport.node import TransportNode
from tests.consensus.driver import Register

POLL_S = 0.002
OPERATION_TIMEOUT_S = 2.0


class RegisterMachine(Register):
    """Register state machine that accepts real commands."""

    def apply(self, index, command):
        result = super().apply(command.drain_host.host_id)
        answer = CommandResult()
        answer.group.outcome = json.dumps(result)
        return answer

    def snapshot(self):
        return json.dumps(self.value).encode()

    def restore(self, data):
        self.value = json.loads(data)


def run(settings_data, without_lease_checks, connection):
    settings = ControlSettings.FromString(settings_data)
    if without_lease_checks:
        RequestHandler.check_quorum = lambda requests, now_s: True
        MemberState.has_lease = lambda member, now_s: member.leader is not None
    clock = SystemClock()
    state_machine = RegisterMachine()
    incarnation = make_incarnation(clock.unix_ms(), 0)
    with (
        DataStore(settings) as storage,
        TransportNode(
            "t", settings.control_id, incarnation, settings.peer_address, clock
        ) as transport,
        ConsensusTask(
            settings,
            transport,
            storage,
            state_machine,
            clock,
            random.Random(os.getpid()),
        ) as task,
    ):
        while True:
            while connection.poll():
                eventlet.spawn(answer, task, state_machine, clock, connection)
                eventlet.sleep(0)
            eventlet.sleep(POLL_S)


def answer(task, state_machine, clock, connection):
    number, kind, argument = connection.recv()
    deadline_s = clock.now_s() + OPERATION_TIMEOUT_S
    try:
        if kind == "read":
            task.confirm_read(deadline_s)
            result = state_machine.value
        else:
            command = Command()
            command.drain_host.host_id = json.dumps([kind, argument])
            result = json.loads(task.propose(command, deadline_s).group.outcome)
    except NotLeaderError:
        connection.send((number, "not_run", None))
    except OutcomeUnknownError:
        connection.send((number, "unknown", None))
    else:
        connection.send((number, "done", result))


class Process:
    """Handle of a control process in the test process."""

    def __init__(self, settings, without_lease_checks=False):
        self.settings = settings
        self.without_lease_checks = without_lease_checks
        self.start()

    def start(self):
        context = multiprocessing.get_context("spawn")
        self.connection, theirs = context.Pipe()
        self.process = context.Process(
            target=run,
            args=(self.settings.SerializeToString(), self.without_lease_checks, theirs),
        )
        self.process.start()
        theirs.close()

    def signal(self, number):
        os.kill(self.process.pid, number)
        if number == signal.SIGKILL:
            self.process.join()
            self.connection.close()
