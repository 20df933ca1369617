"""Submits commands of an entry to the leading control."""

import itertools

import attrs
import eventlet
from eventlet.event import Event

from chestnutvale.clock import Clock
from chestnutvale.programs.entry.const import COMMIT_RESEND_INTERVAL_MS
from chestnutvale.programs.entry.exceptions import (
    CommitRefusedError,
    CommitUnknownError,
)
from chestnutvale.schema.command_pb2 import Command, CommandResult
from chestnutvale.schema.peer_pb2 import CommitReply, CommitRequest, Envelope
from chestnutvale.schema.settings_pb2 import PeerAddress
from chestnutvale.transport.node import TransportNode

OUTCOME_COMMITTED = "committed"
OUTCOME_NOT_LEADER = "not_leader"
STEP_COMMIT = "commit"


@attrs.define
class PendingCommit:
    """A command that waits for its result.

    Attributes
    ----------
    request : CommitRequest
        The request that is sent.
    result_event : Event
        Receives the result of the committed command.
    target_index : int
        Index of the control that gets the next request.
    unresolved_sends : int
        Requests sent for which no control has confirmed that it did not propose them.
    """

    request: CommitRequest
    result_event: Event = attrs.field(factory=Event)
    target_index: int = 0
    unresolved_sends: int = 0


class CommitClient:
    """Sends commands to the leading control and resends them until answered.

    Every command of an entry is idempotent (claims carry their own identity), so a
    command without a timely answer is sent again, to the next control in the list in
    case the known leader is down.

    Parameters
    ----------
    transport : TransportNode
        The process's peer sockets.
    controls : list of PeerAddress
        All controls of the region.
    clock : Clock
        Source of time.
    """

    def __init__(
        self, transport: TransportNode, controls: list[PeerAddress], clock: Clock
    ) -> None:
        self._transport = transport
        self._controls = controls
        self._clock = clock
        self._request_ids = itertools.count(1)
        self._pending: dict[int, PendingCommit] = {}
        self._leader_index = 0
        transport.register_handler("commit_reply", self._receive_reply)

    def set_leader(self, control_id: str) -> None:
        """Set the control that gets requests first.

        Parameters
        ----------
        control_id : str
            Identity of the control; an unknown one is ignored.
        """
        for index, control in enumerate(self._controls):
            if control.id == control_id:
                self._leader_index = index

    def commit(self, command: Command, deadline_s: float) -> CommandResult:
        """Have a command committed; blocks the calling greenlet.

        Parameters
        ----------
        command : Command
            An idempotent command.
        deadline_s : float
            Monotonic time in seconds after which the caller gives up.

        Returns
        -------
        CommandResult
            Result of the command.

        Raises
        ------
        CommitRefusedError
            If every control that was asked confirmed that it did not propose it.
        CommitUnknownError
            If a control did not answer in time; the command may be committed.
        """
        request = CommitRequest(
            request_id=next(self._request_ids),
            reply_address=self._transport.address,
            command=command,
        )
        pending = PendingCommit(request, target_index=self._leader_index)
        self._pending[request.request_id] = pending
        try:
            return self._send_until_answered(pending, deadline_s)
        finally:
            del self._pending[request.request_id]

    def _send_until_answered(
        self, pending: PendingCommit, deadline_s: float
    ) -> CommandResult:
        while True:
            wait_s = min(
                COMMIT_RESEND_INTERVAL_MS / 1_000, deadline_s - self._clock.now_s()
            )
            if wait_s <= 0:
                raise self._make_error(pending)
            self._send(pending)
            with eventlet.Timeout(wait_s, False):
                return pending.result_event.wait()
            pending.target_index = (pending.target_index + 1) % len(self._controls)

    def _make_error(
        self, pending: PendingCommit
    ) -> CommitRefusedError | CommitUnknownError:
        if pending.unresolved_sends > 0:
            return CommitUnknownError(
                "no control reported the result of the command before the deadline",
                step=STEP_COMMIT,
            )
        return CommitRefusedError(
            "no control proposed the command, because none leads", step=STEP_COMMIT
        )

    def _send(self, pending: PendingCommit) -> None:
        control = self._controls[pending.target_index]
        pending.unresolved_sends += 1
        self._transport.send(
            control.id,
            control.address,
            "commit_request",
            pending.request,
            expiry_ms=COMMIT_RESEND_INTERVAL_MS,
        )

    def _receive_reply(self, envelope: Envelope) -> None:
        reply: CommitReply = envelope.commit_reply
        pending = self._pending.get(reply.request_id)
        if pending is None or pending.result_event.ready():
            return
        if reply.outcome == OUTCOME_COMMITTED:
            self.set_leader(envelope.sender_id)
            pending.result_event.send(reply.result)
            return
        if reply.outcome == OUTCOME_NOT_LEADER:
            pending.unresolved_sends -= 1
            self._follow_leader(pending, reply.leader_id)

    def _follow_leader(self, pending: PendingCommit, leader_id: str) -> None:
        # Without a known leader the next control is tried after the resend interval:
        # resending immediately would flood the controls during an election.
        for index, control in enumerate(self._controls):
            if control.id == leader_id and index != pending.target_index:
                pending.target_index = index
                self._leader_index = index
                self._send(pending)
                return
