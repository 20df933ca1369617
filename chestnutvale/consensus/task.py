"""Runs the replicated log over storage and transport."""

import math
import random
from collections.abc import Callable, Sequence
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
from chestnutvale.consensus.members import control_of, recoverable_copies
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
    """Runs this control's member of the replicated log; a context manager.

    Parameters
    ----------
    settings : ControlSettings
        Settings with this control and the initial voters.
    transport : TransportNode
        Transport for messages; must be open.
    storage : DataStore
        Data folder; must be open.
    state_machine : StateMachine
        State machine that the log drives; called only from this task.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of randomness for election timeouts.
    config : RaftConfig, optional
        Timeouts and limits that override those in the settings.
    process_started_s : float, optional
        Monotonic time in seconds at which this process started, if that is known to be
        earlier than now.
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
        process_started_s: float = math.inf,
    ) -> None:
        self._target_voters = settings.wanted_voters
        self._clock = clock
        self._config = config or make_raft_config(settings)
        self._own_id = storage.member_id
        self._loop = RaftLoop(
            settings,
            transport,
            storage,
            state_machine,
            clock,
            rng,
            self._config,
            process_started_s,
        )

    # Start and stop.

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
        """Transfer leadership and stop the tasks."""
        if kind is None and self.failure is None:
            self.transfer_leadership()
        self._loop.stop()

    def transfer_leadership(self) -> bool:
        """Transfer leadership to another voter, such as before a shutdown.

        Returns
        -------
        bool
            Whether this control no longer leads.
        """
        if not self.is_leader or len(self._loop.raft.log.members.voters) == 1:
            return not self.is_leader
        self._loop.post_event(TransferLeadership())
        deadline_s = self._clock.now_s() + self._config.election_timeout_s
        while self.is_leader and self._clock.now_s() < deadline_s:
            eventlet.sleep(self._config.heartbeat_interval_s / 4)
        return not self.is_leader

    # State and requests.

    @property
    def failure(self) -> ChestnutError | None:
        """Why this control has stopped participating; None if it has not."""
        return self._loop.failure

    @property
    def is_write_stalled(self) -> bool:
        """Whether a write to the data folder has not finished within the timeout."""
        return self._loop.raft.is_write_stalled

    @property
    def write_waited_s(self) -> float:
        """For how long the oldest unfinished write has waited, in seconds."""
        return self._loop.raft.write_waited_s

    @property
    def is_leader(self) -> bool:
        """Whether this control believes it leads; a newer leader may exist."""
        return self._loop.is_leader

    @property
    def leader_id(self) -> str:
        """Id of the control believed to lead; empty if unknown."""
        return self._loop.leader_id

    @property
    def term(self) -> int:
        """Current term."""
        return self._loop.raft.term

    @property
    def applied_index(self) -> int:
        """Index of the newest applied entry."""
        return self._loop.applied_index

    @property
    def has_applied_earlier_terms(self) -> bool:
        """Whether this control leads and has applied all entries of earlier terms."""
        leader = self._loop.raft.member.leader
        return leader is not None and self._loop.applied_index >= leader.first_index

    @property
    def member_id(self) -> str:
        """Member identity of this control; a new disk has a new one."""
        return self._own_id

    @property
    def members(self) -> Members:
        """Voters and learners set by the newest entry, committed or not."""
        return self._loop.raft.log.members

    def known_addresses(self) -> dict[str, str]:
        """Return the known peer addresses of the other controls.

        Returns
        -------
        dict of str to str
            Peer address by control, including controls known only from other
            controls or the settings, which may no longer exist.
        """
        return self._loop.cluster_membership.known_addresses(self.members)

    @property
    def committed_copies(self) -> int:
        """Number of disks that hold each committed entry; see `recoverable_copies`.

        0 while the entry that set the current members is not committed.
        """
        raft = self._loop.raft
        if raft.log.members_index > raft.commit_index:
            return 0
        return recoverable_copies(raft.log.members, self._target_voters)

    @property
    def skipped_commands(self) -> int:
        """Number of committed commands that no control can apply."""
        return self._loop.skipped_commands

    @property
    def silent_voters(self) -> int:
        """Number of voters that this leader has not heard for an election timeout."""
        return len(self._loop.raft.list_silences(self._clock.now_s()))

    def silent_controls(self) -> frozenset[str]:
        """Return the controls that this leader has not heard for a timeout."""
        silences = self._loop.raft.list_silences(self._clock.now_s())
        return frozenset(control_of(silence.member_id) for silence in silences)

    @property
    def delayed_s(self) -> float:
        """Time in seconds by which the task ran late, summed."""
        return self._loop.delayed_s

    def command_versions(self) -> dict[str, int | None]:
        """Return the versions of the commands that the members can read.

        Returns
        -------
        dict of str to int or None
            By voter and learner; None for one that has not replied to this control as
            leader.
        """
        return self._loop.raft.command_versions()

    @property
    def leader_command_version(self) -> int:
        """Version of the commands that the leader can read; 0 if unknown."""
        return self._loop.raft.member.leader_command_version

    def has_lease(self, now_s: float) -> bool:
        """Return whether it is certain that no other control has led until now.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds, read after the protected action was
            decided and before its first byte is sent.

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

    def on_failure(self, callback: Callable[[], None]) -> None:
        """Register a callback for the moment at which `failure` is set.

        Parameters
        ----------
        callback : callable
            Takes nothing; must not block.
        """
        self._loop.on_failure(callback)

    def propose(self, command: Command, deadline_s: float) -> CommandResult:
        """Commit a command and return the result of applying it.

        Parameters
        ----------
        command : Command
            Command to commit.
        deadline_s : float
            Monotonic time up to which to wait.

        Returns
        -------
        CommandResult
            Result returned by the state machine.

        Raises
        ------
        NotLeaderError
            If the command was not proposed or can never be committed.
        OutcomeUnknownError
            If it is not known whether the command will be committed.
        """
        data = command.SerializeToString()
        request = lambda request_id: ProposeCommands([Proposal(request_id, data)])
        return self._loop.submit_request(request, STEP_PROPOSE, deadline_s)

    def confirm_read(self, deadline_s: float) -> int:
        """Wait until the state includes everything committed before the call.

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
        """Return the consensus state for the dump."""
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
                if raft.holds_no_entries
                else ""
            ),
            "syncs": self._loop.writer.syncs,
            "write_waited_s": round(self.write_waited_s, 3),
            "failure": str(self.failure) if self.failure else "",
        }

    # Membership changes by operators.

    def joiner_address(self, control_id: str) -> str:
        """Return the peer address from a control's join request.

        Parameters
        ----------
        control_id : str
            The control.

        Returns
        -------
        str
            IP address and port; empty if it has not asked to join.
        """
        candidate = self._loop.cluster_membership.find_candidate(control_id)
        return candidate.address if candidate is not None else ""

    def add_learner(self, control_id: str, deadline_s: float) -> None:
        """Add a control that has asked to join as a learner.

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
        """Remove a voter or learner and bar its control; errors as `add_learner`."""
        known = [*self.members.voters, *self.members.learners]
        member_id = self._find_member(control_id, known)
        self._propose_change(ChangeKind.REMOVE, member_id, "", deadline_s)

    @staticmethod
    def _find_member(control_id: str, member_ids: Sequence[str]) -> str:
        for member_id in member_ids:
            if control_id in (member_id, control_of(member_id)):
                return member_id
        raise MembersChangeError(
            "is neither a voter nor a learner", step=STEP_MEMBERS, peer=control_id
        )

    def _propose_change(
        self, kind: ChangeKind, member_id: str, address: str, deadline_s: float
    ) -> None:
        change = MembersChange(kind, member_id, address, by_operator=True)
        request = lambda request_id: ProposeMembers(request_id, change)
        self._loop.submit_request(request, STEP_MEMBERS, deadline_s)
