"""The task that drives the replicated log over storage and transport."""

import random
from collections.abc import Sequence
from types import TracebackType
from typing import Any, Self

import eventlet

from chestnutvale.clock import Clock
from chestnutvale.consensus.config import RaftConfig, make_raft_config
from chestnutvale.consensus.const import (
    STEP_MEMBERS,
    STEP_PROPOSE,
    STEP_READ,
)
from chestnutvale.consensus.events import (
    ChangeKind,
    MembersChange,
    Proposal,
    ProposeCommands,
    ProposeMembers,
    ReadRequest,
    Role,
    TransferLeadership,
)
from chestnutvale.consensus.exceptions import (
    MembersChangeError,
)
from chestnutvale.consensus.loop import LeadershipCallback, RaftLoop
from chestnutvale.consensus.members import control_of, quorum_size
from chestnutvale.consensus.state_machine import StateMachine
from chestnutvale.exceptions import ChestnutError
from chestnutvale.schema.command_pb2 import Command, CommandResult
from chestnutvale.schema.raft_pb2 import (
    Members,
)
from chestnutvale.schema.settings_pb2 import ControlSettings
from chestnutvale.storage.store import DataStore
from chestnutvale.transport.node import TransportNode


class ConsensusTask:
    """Owns this control's part of the replicated log; a context manager.

    Parameters
    ----------
    settings : ControlSettings
        Names this control and the first voters.
    transport : TransportNode
        Carries messages; it must be open.
    storage : DataStore
        The data folder; it must be open.
    machine : StateMachine
        What the log drives. All its methods are called in this task.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of the election timeouts.
    config : RaftConfig, optional
        Times and limits in place of those in the settings.
    """

    def __init__(
        self,
        settings: ControlSettings,
        transport: TransportNode,
        storage: DataStore,
        state_machine: StateMachine,
        clock: Clock,
        rng: random.Random,
        config: RaftConfig | None = None,
    ) -> None:
        self._clock = clock
        self._config = config or make_raft_config(settings)
        self._own_id = storage.member_id
        self._loop = RaftLoop(
            settings, transport, storage, state_machine, clock, rng, self._config
        )

    # Life.

    def __enter__(self) -> Self:
        """Restore the state machine and start the tasks."""
        self._loop.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Hand leadership over and stop the tasks."""
        if kind is None and self.failure is None:
            self.transfer_leadership()
        self._loop.stop()

    def transfer_leadership(self) -> bool:
        """Hand leadership to another voter, as before a graceful shutdown.

        Returns
        -------
        bool
            Whether this control leads no more.
        """
        if not self.is_leader or len(self._loop.raft.log.members.voters) == 1:
            return not self.is_leader
        self._loop.post_event(TransferLeadership())
        deadline_s = self._clock.now_s() + self._config.election_timeout_s
        while self.is_leader and self._clock.now_s() < deadline_s:
            eventlet.sleep(self._config.heartbeat_interval_s / 4)
        return not self.is_leader

    # What callers ask.

    @property
    def failure(self) -> ChestnutError | None:
        """Why this control has stopped voting; None while it may."""
        return self._loop.failure

    @property
    def is_leader(self) -> bool:
        """Whether this control leads as far as it knows; no proof of it."""
        return self._loop.is_leader

    @property
    def leader_id(self) -> str:
        """Control that leads as far as this one knows; empty if unknown."""
        return self._loop.leader_id

    @property
    def term(self) -> int:
        """Current term."""
        return self._loop.raft.term

    @property
    def applied_index(self) -> int:
        """Index of the newest entry that the state machine holds."""
        return self._loop.applied_index

    @property
    def member_id(self) -> str:
        """Identity of this control's disk in the log."""
        return self._own_id

    @property
    def members(self) -> Members:
        """Voters and learners as the newest entry sets them."""
        return self._loop.raft.log.members

    def known_addresses(self) -> dict[str, str]:
        """Return where the other controls are reached, as far as this one knows.

        Returns
        -------
        dict of str to str
            Peer address by control, also of those that only other controls or the
            settings name; they may be gone.
        """
        return self._loop.cluster_membership.known_addresses(self.members)

    @property
    def committed_copies(self) -> int:
        """Disks that surely hold each committed entry.

        A quorum of the members in force, if the entry that set them is committed
        itself; 0 if it is not.
        """
        raft = self._loop.raft
        if raft.log.members_index > raft.commit_index:
            return 0
        return quorum_size(raft.log.members)

    def has_lease(self, now_s: float) -> bool:
        """Tell whether certainly no other control has led until now.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds, read after the work it protects was
            decided and before its first byte leaves.

        Returns
        -------
        bool
            Whether the leader lease holds.
        """
        return self.failure is None and self._loop.raft.has_lease(now_s)

    def on_leadership_change(self, callback: LeadershipCallback) -> None:
        """Register a callback for a new role, term or leader.

        Parameters
        ----------
        callback : callable
            Takes whether this control leads, the leader's control or an empty
            string, and the term. Runs in this task and must not block.
        """
        self._loop.on_leadership_change(callback)

    def propose(self, command: Command, deadline_s: float) -> CommandResult:
        """Commit a command and return what applying it gave.

        Parameters
        ----------
        command : Command
            The command.
        deadline_s : float
            Monotonic time up to which to wait.

        Returns
        -------
        CommandResult
            The result of the state machine.

        Raises
        ------
        NotLeaderError
            If the command was certainly not proposed or can't be committed.
        OutcomeUnknownError
            If nobody can tell yet whether it will be committed.
        """
        data = command.SerializeToString()
        request = lambda request_id: ProposeCommands([Proposal(request_id, data)])
        return self._loop.submit_request(request, STEP_PROPOSE, deadline_s)

    def confirm_read(self, deadline_s: float) -> int:
        """Make sure that the state holds all that was committed before the call.

        Parameters
        ----------
        deadline_s : float
            Monotonic time up to which to wait.

        Returns
        -------
        int
            Index up to which the state machine has applied the log.

        Raises
        ------
        NotLeaderError
            If this control does not lead.
        OutcomeUnknownError
            If no quorum answered in time.
        """
        return self._loop.submit_request(ReadRequest, STEP_READ, deadline_s)

    def status(self) -> dict[str, Any]:
        """Return the state for the dump."""
        raft = self._loop.raft
        members = raft.log.members
        now_s = self._clock.now_s()
        return {
            "member_id": self._own_id,
            "role": raft.role.value,
            "term": raft.term,
            "leader_id": raft.leader_id,
            "has_lease": self.has_lease(now_s),
            "commit_index": raft.commit_index,
            "applied_index": self._loop.applied_index,
            "last_index": raft.log.last_index,
            "snapshot_index": raft.log.snapshot.index,
            "voters": list(members.voters),
            "learners": list(members.learners),
            "wanted_voters": members.wanted_voters,
            "barred_controls": list(members.barred_controls),
            "match_index": {
                member: raft.match_index(member)
                for member in [*members.voters, *members.learners]
                if member != self._own_id and raft.role is Role.LEADER
            },
            "silent_s": {
                member: round(max(0.0, now_s - raft.silent_since_s(member)), 3)
                for member in [*members.voters, *members.learners]
                if member != self._own_id and raft.role is Role.LEADER
            },
            "waiting_for": (
                self._loop.cluster_membership.find_bootstrap_obstacle(now_s)
                if raft.is_empty
                else ""
            ),
            "syncs": self._loop.writer.syncs,
            "failure": str(self.failure) if self.failure else "",
        }

    # Voter changes by operators.

    def joiner_address(self, control_id: str) -> str:
        """Return the peer inbox that a control has named when it asked to join.

        Parameters
        ----------
        control_id : str
            The control.

        Returns
        -------
        str
            IP number and port; empty if it has not asked.
        """
        candidate = self._loop.cluster_membership.find_candidate(control_id)
        return candidate.address if candidate is not None else ""

    def add_learner(self, control_id: str, deadline_s: float) -> None:
        """Let a control that has asked to join receive the log.

        Parameters
        ----------
        control_id : str
            The control; it must be running.
        deadline_s : float
            Monotonic time up to which to wait.

        Raises
        ------
        MembersChangeError
            If the change is refused; nothing was proposed.
        NotLeaderError, OutcomeUnknownError
            As for `propose`.
        """
        candidate = self._loop.cluster_membership.find_candidate(control_id)
        if candidate is None:
            raise MembersChangeError(
                "the control has not asked to join; start it first",
                step=STEP_MEMBERS,
                peer=control_id,
            )
        self._propose_change(
            ChangeKind.ADD_LEARNER, candidate.member_id, candidate.address, deadline_s
        )

    def promote(self, control_id: str, deadline_s: float) -> None:
        """Make a caught-up learner a voter; see `add_learner` for errors."""
        member_id = self._find_member(control_id, self.members.learners)
        self._propose_change(ChangeKind.PROMOTE, member_id, "", deadline_s)

    def remove(self, control_id: str, deadline_s: float) -> None:
        """Remove a voter or learner for good; see `add_learner` for errors."""
        known = [*self.members.voters, *self.members.learners]
        member_id = self._find_member(control_id, known)
        self._propose_change(ChangeKind.REMOVE, member_id, "", deadline_s)

    @staticmethod
    def _find_member(control_id: str, member_ids: Sequence[str]) -> str:
        for member_id in member_ids:
            if control_id in (member_id, control_of(member_id)):
                return member_id
        raise MembersChangeError("is no member", step=STEP_MEMBERS, peer=control_id)

    def _propose_change(
        self, kind: ChangeKind, member_id: str, address: str, deadline_s: float
    ) -> None:
        change = MembersChange(kind, member_id, address, by_operator=True)
        request = lambda request_id: ProposeMembers(request_id, change)
        self._loop.submit_request(request, STEP_MEMBERS, deadline_s)
