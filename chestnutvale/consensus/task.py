"""The task that drives the replicated log over storage and transport."""

import random
from collections.abc import Callable, Sequence
from types import TracebackType
from typing import Any, Self

import attrs
import eventlet
import logbook
from eventlet import queue
from eventlet.event import Event as Signal

from chestnutvale.clock import Clock
from chestnutvale.consensus.bootstrap import Bootstrap
from chestnutvale.consensus.config import RaftConfig
from chestnutvale.consensus.const import (
    BODY_RAFT,
    DEFAULT_ELECTION_TIMEOUT_S,
    DEFAULT_HEARTBEAT_INTERVAL_S,
    DEFAULT_VOTER_LOST_S,
    JOIN_INTERVAL_S,
    REPLACEMENT_INTERVAL_S,
    STEP_MEMBERS,
    STEP_PROPOSE,
    STEP_READ,
)
from chestnutvale.consensus.events import (
    Accepted,
    Apply,
    ChangeKind,
    Effect,
    Event,
    InstallSnapshot,
    LeadershipChanged,
    MembersChange,
    Persist,
    Proposal,
    Propose,
    ProposeMembers,
    Read,
    ReadReady,
    Received,
    Refused,
    Role,
    Send,
    SendSnapshotChunk,
    TakeSnapshot,
    Tick,
    TransferLeadership,
)
from chestnutvale.consensus.exceptions import (
    ConsensusFailedError,
    MembersChangeError,
    NotLeaderError,
    OutcomeUnknownError,
)
from chestnutvale.consensus.machine import StateMachine
from chestnutvale.consensus.members import control_of
from chestnutvale.consensus.raft import Raft
from chestnutvale.consensus.replacement import (
    Joiner,
    MemberContact,
    ReplacementPolicy,
)
from chestnutvale.consensus.writer import SaveSnapshot, Writer
from chestnutvale.exceptions import ChestnutError
from chestnutvale.schema.command_pb2 import Command, CommandResult
from chestnutvale.schema.peer_pb2 import Envelope
from chestnutvale.schema.raft_pb2 import (
    ENTRY_KIND_COMMAND,
    ENTRY_KIND_MEMBERS,
    HardState,
    JoinRequest,
    LogEntry,
    Members,
    RaftMessage,
)
from chestnutvale.schema.settings_pb2 import ControlSettings
from chestnutvale.storage.exceptions import StorageError
from chestnutvale.storage.state import StoredState
from chestnutvale.storage.store import DataStore
from chestnutvale.transport.node import TransportNode

_LOGGER = logbook.Logger(__name__)

# Events handled before other tasks get a turn.
EVENT_BATCH = 256
MS_PER_S = 1000

LeadershipCallback = Callable[[bool, str, int], None]


@attrs.define(eq=False)
class _Waiter:
    """A caller that waits for a request.

    Parameters
    ----------
    signal : Signal
        Wakes the caller with its result or error.
    index, term : int
        Where the request was appended; 0 before that.
    """

    signal: Signal = attrs.field(factory=Signal)
    index: int = 0
    term: int = 0

    def finish(self, result: object) -> None:
        """Wake the caller with a result."""
        if not self.signal.ready():
            self.signal.send(result)

    def fail(self, error: Exception) -> None:
        """Wake the caller with an error."""
        if not self.signal.ready():
            self.signal.send_exception(error)


def make_config(settings: ControlSettings) -> RaftConfig:
    """Return times from the settings; zero means the default.

    Parameters
    ----------
    settings : ControlSettings
        The settings.

    Returns
    -------
    RaftConfig
        The times and limits.
    """
    election_s = settings.election_timeout_ms / MS_PER_S
    heartbeat_s = settings.heartbeat_interval_ms / MS_PER_S
    return RaftConfig(
        election_timeout_s=election_s or DEFAULT_ELECTION_TIMEOUT_S,
        heartbeat_interval_s=heartbeat_s or DEFAULT_HEARTBEAT_INTERVAL_S,
    )


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

    Attributes
    ----------
    failure : ChestnutError or None
        Why this control has stopped voting.
    """

    def __init__(
        self,
        settings: ControlSettings,
        transport: TransportNode,
        storage: DataStore,
        machine: StateMachine,
        clock: Clock,
        rng: random.Random,
        config: RaftConfig | None = None,
    ) -> None:
        self.failure: ChestnutError | None = None
        self._settings = settings
        self._transport = transport
        self._storage = storage
        self._machine = machine
        self._clock = clock
        self._rng = rng
        self._config = config or make_config(settings)
        self._own_id = storage.member_id
        self._raft = self._make_raft(storage.state)
        self._applied_index = storage.state.snapshot.index
        self._events: queue.LightQueue = queue.LightQueue()
        self._writer = Writer(storage, self._events.put, self._fail)
        self._waiters: dict[int, _Waiter] = {}
        self._waiters_by_index: dict[int, list[_Waiter]] = {}
        self._next_request_id = 0
        self._callbacks: list[LeadershipCallback] = []
        self._joiners: dict[str, Joiner] = {}
        self._greeted: set[tuple[str, bool]] = set()
        self._bootstrap = Bootstrap(
            self._own_id,
            settings.peer_address,
            [peer.id for peer in settings.controls],
            settings.spare,
        )
        voter_lost_s = settings.voter_lost_ms / MS_PER_S or DEFAULT_VOTER_LOST_S
        self._replacement = ReplacementPolicy(voter_lost_s=voter_lost_s)
        self._join_due_s = 0.0
        self._replacement_due_s = 0.0
        self._task: eventlet.greenthread.GreenThread | None = None

    def _make_raft(self, state: StoredState) -> Raft:
        now_s = self._clock.now_s()
        return Raft(self._own_id, state, self._config, self._rng, now_s)

    # Life.

    def __enter__(self) -> Self:
        """Restore the state machine and start the tasks."""
        if self._storage.state.snapshot.index:
            self._machine.restore(self._storage.load_snapshot())
        self._transport.on(BODY_RAFT, self._receive)
        self._writer.start()
        self._task = eventlet.spawn(self._run)
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
        if self._task is not None:
            self._task.kill()
        self._writer.stop()
        for waiter in list(self._waiters.values()):
            waiter.fail(OutcomeUnknownError("the control stops", step=STEP_PROPOSE))
        self._waiters.clear()

    def transfer_leadership(self) -> bool:
        """Hand leadership to another voter, as before a graceful shutdown.

        Returns
        -------
        bool
            Whether this control leads no more.
        """
        if not self.is_leader or len(self._raft.log.members.voters) == 1:
            return not self.is_leader
        self._events.put(TransferLeadership())
        deadline_s = self._clock.now_s() + self._config.election_timeout_s
        while self.is_leader and self._clock.now_s() < deadline_s:
            eventlet.sleep(self._config.heartbeat_interval_s / 4)
        return not self.is_leader

    # What callers ask.

    @property
    def is_leader(self) -> bool:
        """Whether this control leads as far as it knows; no proof of it."""
        return self.failure is None and self._raft.role is Role.LEADER

    @property
    def leader_id(self) -> str:
        """Control that leads as far as this one knows; empty if unknown."""
        return "" if self.failure else control_of(self._raft.leader_id)

    @property
    def term(self) -> int:
        """Current term."""
        return self._raft.term

    @property
    def applied_index(self) -> int:
        """Index of the newest entry that the state machine holds."""
        return self._applied_index

    @property
    def member_id(self) -> str:
        """Identity of this control's disk in the log."""
        return self._own_id

    @property
    def members(self) -> Members:
        """Voters and learners as the newest entry sets them."""
        return self._raft.log.members

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
        return self.failure is None and self._raft.has_lease(now_s)

    def on_leadership_change(self, callback: LeadershipCallback) -> None:
        """Register a callback for a new role, term or leader.

        Parameters
        ----------
        callback : callable
            Takes whether this control leads, the leader's control or an empty
            string, and the term. Runs in this task and must not block.
        """
        self._callbacks.append(callback)

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
        request = lambda request_id: Propose([Proposal(request_id, data)])
        return self._ask(request, STEP_PROPOSE, deadline_s)

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
        return self._ask(Read, STEP_READ, deadline_s)

    def status(self) -> dict[str, Any]:
        """Return the state for the dump."""
        raft = self._raft
        members = raft.log.members
        now_s = self._clock.now_s()
        return {
            "member_id": self._own_id,
            "role": raft.role.value,
            "term": raft.term,
            "leader_id": raft.leader_id,
            "has_lease": self.has_lease(now_s),
            "commit_index": raft.commit_index,
            "applied_index": self._applied_index,
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
            "syncs": self._writer.syncs,
            "failure": str(self.failure) if self.failure else "",
        }

    # Voter changes by operators.

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
        joiners = [
            joiner
            for joiner in self._joiners.values()
            if control_of(joiner.member_id) == control_id
        ]
        if not joiners:
            raise MembersChangeError(
                "the control has not asked to join; start it first",
                step=STEP_MEMBERS,
                peer=control_id,
            )
        joiner = max(joiners, key=lambda joiner: joiner.heard_s)
        self._change(
            ChangeKind.ADD_LEARNER, joiner.member_id, joiner.address, deadline_s
        )

    def promote(self, control_id: str, deadline_s: float) -> None:
        """Make a caught-up learner a voter; see `add_learner` for errors."""
        member_id = self._find_member(control_id, self.members.learners)
        self._change(ChangeKind.PROMOTE, member_id, "", deadline_s)

    def remove(self, control_id: str, deadline_s: float) -> None:
        """Remove a voter or learner for good; see `add_learner` for errors."""
        known = [*self.members.voters, *self.members.learners]
        member_id = self._find_member(control_id, known)
        self._change(ChangeKind.REMOVE, member_id, "", deadline_s)

    @staticmethod
    def _find_member(control_id: str, member_ids: Sequence[str]) -> str:
        for member_id in member_ids:
            if control_id in (member_id, control_of(member_id)):
                return member_id
        raise MembersChangeError("is no member", step=STEP_MEMBERS, peer=control_id)

    def _change(
        self, kind: ChangeKind, member_id: str, address: str, deadline_s: float
    ) -> None:
        change = MembersChange(kind, member_id, address, by_operator=True)
        request = lambda request_id: ProposeMembers(request_id, change)
        self._ask(request, STEP_MEMBERS, deadline_s)

    # Requests and their answers.

    def _ask(
        self, make_event: Callable[[int], Event], step: str, deadline_s: float
    ) -> Any:
        if not self.is_leader:
            raise NotLeaderError(self.leader_id, step=step)
        self._next_request_id += 1
        request_id = self._next_request_id
        waiter = _Waiter()
        self._waiters[request_id] = waiter
        self._events.put(make_event(request_id))
        remaining_s = max(0.0, deadline_s - self._clock.now_s())
        try:
            with eventlet.Timeout(remaining_s, False):
                return waiter.signal.wait()
            raise OutcomeUnknownError("no quorum answered in time", step=step)
        finally:
            self._forget(request_id, waiter)

    def _forget(self, request_id: int, waiter: _Waiter) -> None:
        self._waiters.pop(request_id, None)
        waiters = self._waiters_by_index.get(waiter.index)
        if waiters and waiter in waiters:
            waiters.remove(waiter)
        if not waiters:
            self._waiters_by_index.pop(waiter.index, None)

    def _fail(self, error: ChestnutError) -> None:
        """Stop voting; nobody knows what the disk or this task holds."""
        self.failure = error
        for waiter in list(self._waiters.values()):
            waiter.fail(OutcomeUnknownError(str(error), step=STEP_PROPOSE))
        for callback in self._callbacks:
            callback(False, "", self.term)
        if self._task is not None:
            self._task.kill()

    # The loop.

    def _run(self) -> None:
        try:
            while True:
                self._run_once()
        except Exception as error:
            # Half of an event's effects may be done, so nothing may follow them.
            _LOGGER.exception("The replicated log's task failed")
            self._fail(ConsensusFailedError(str(error)))

    def _run_once(self) -> None:
        events = self._wait_for_events()
        now_s = self._clock.now_s()
        for event in events:
            self._act(self._raft.handle(event, now_s))
        if now_s >= self._raft.next_deadline_s():
            self._act(self._raft.handle(Tick(), now_s))
        self._maintain(now_s)

    def _wait_for_events(self) -> list[Event]:
        due_s = min(self._raft.next_deadline_s(), self._maintenance_due_s())
        wait_s = max(0.0, min(due_s - self._clock.now_s(), JOIN_INTERVAL_S))
        try:
            events = [self._events.get(timeout=wait_s)]
        except queue.Empty:
            return []
        while len(events) < EVENT_BATCH and not self._events.empty():
            events.append(self._events.get_nowait())
        return self._join_proposals(events)

    @staticmethod
    def _join_proposals(events: Sequence[Event]) -> list[Event]:
        """Join neighbouring proposals, so that they share messages and a sync."""
        joined: list[Event] = []
        for event in events:
            previous = joined[-1] if joined else None
            if isinstance(event, Propose) and isinstance(previous, Propose):
                joined[-1] = Propose([*previous.proposals, *event.proposals])
            else:
                joined.append(event)
        return joined

    def _receive(self, envelope: Envelope) -> None:
        message = envelope.raft
        if self.failure is not None or message.from_id == self._own_id:
            return
        if message.WhichOneof("body") == "join_request":
            self._note_join(message)
        elif message.to_id == self._own_id:
            self._events.put(Received(message))

    # Effects.

    def _act(self, effects: Sequence[Effect]) -> None:
        for effect in effects:
            match effect:
                case Send(message):
                    self._send(message)
                case Persist() | InstallSnapshot():
                    self._order_write(effect)
                case Apply(entries):
                    self._apply(entries)
                case Accepted():
                    self._note_accepted(effect)
                case Refused():
                    self._note_refused(effect)
                case ReadReady(request_id, _):
                    self._finish_request(request_id, self._applied_index)
                case SendSnapshotChunk():
                    self._send_chunk(effect)
                case TakeSnapshot(metadata):
                    data = self._machine.snapshot()
                    self._writer.order(SaveSnapshot(metadata, data))
                case LeadershipChanged():
                    self._report_leadership(effect)

    def _order_write(self, effect: Persist | InstallSnapshot) -> None:
        self._writer.order(effect)
        if not isinstance(effect, InstallSnapshot):
            return
        self._machine.restore(effect.data)
        self._applied_index = effect.metadata.index
        for index in [i for i in self._waiters_by_index if i <= self._applied_index]:
            for waiter in self._waiters_by_index.pop(index):
                error = OutcomeUnknownError("followed by snapshot", step=STEP_PROPOSE)
                waiter.fail(error)

    def _apply(self, entries: Sequence[LogEntry]) -> None:
        for entry in entries:
            result = CommandResult()
            if entry.kind == ENTRY_KIND_COMMAND:
                command = Command.FromString(entry.data)
                result = self._machine.apply(entry.index, command)
            self._applied_index = entry.index
            for waiter in self._waiters_by_index.pop(entry.index, ()):
                if waiter.term == entry.term:
                    waiter.finish(result)
                else:
                    # Another entry took the place, so this one never commits.
                    waiter.fail(NotLeaderError(self.leader_id, step=STEP_PROPOSE))

    def _note_accepted(self, effect: Accepted) -> None:
        waiter = self._waiters.get(effect.request_id)
        if waiter is None:
            return
        waiter.index = effect.index
        waiter.term = effect.term
        self._waiters_by_index.setdefault(effect.index, []).append(waiter)

    def _note_refused(self, effect: Refused) -> None:
        waiter = self._waiters.get(effect.request_id)
        if waiter is None:
            return
        if effect.reason:
            waiter.fail(MembersChangeError(effect.reason, step=STEP_MEMBERS))
        else:
            waiter.fail(NotLeaderError(control_of(effect.leader_id)))

    def _finish_request(self, request_id: int, result: object) -> None:
        waiter = self._waiters.get(request_id)
        if waiter is not None:
            waiter.finish(result)

    def _report_leadership(self, effect: LeadershipChanged) -> None:
        _LOGGER.info(
            "{} is {} in term {}; leader {!r}",
            self._own_id,
            effect.role.value,
            effect.term,
            effect.leader_id,
        )
        for callback in self._callbacks:
            callback(self.is_leader, self.leader_id, effect.term)

    # Messages.

    def _send(self, message: RaftMessage) -> None:
        address = self._find_address(message.to_id)
        if address:
            control_id = control_of(message.to_id)
            self._transport.send(control_id, address, BODY_RAFT, message)

    def _find_address(self, member_id: str) -> str:
        address = self._raft.log.members.addresses.get(member_id, "")
        if address:
            return address
        if member_id in self._joiners:
            return self._joiners[member_id].address
        control_id = control_of(member_id)
        return next(
            (p.address for p in self._settings.controls if p.id == control_id), ""
        )

    def _send_chunk(self, effect: SendSnapshotChunk) -> None:
        request = effect.message.snapshot_request
        index = request.metadata.index
        data = self._storage.read_snapshot(index, request.offset, effect.length)
        if data is None or len(data) != effect.length:
            return
        request.data = data
        self._send(effect.message)

    # Joining, the first start, replacements.

    def _maintenance_due_s(self) -> float:
        return self._replacement_due_s if self.is_leader else self._join_due_s

    def _maintain(self, now_s: float) -> None:
        if self.is_leader:
            if now_s >= self._replacement_due_s:
                self._replacement_due_s = now_s + REPLACEMENT_INTERVAL_S
                self._consider_members(now_s)
            return
        if now_s < self._join_due_s:
            return
        self._join_due_s = now_s + JOIN_INTERVAL_S
        if not self._raft.leader_id:
            self._ask_to_join()
        if self._raft.is_empty:
            self._consider_bootstrap(now_s)

    def _ask_to_join(self) -> None:
        request = JoinRequest(
            address=self._settings.peer_address,
            spare=self._settings.spare,
            empty=self._raft.is_empty,
            initial_controls=[peer.id for peer in self._settings.controls],
        )
        addresses = {peer.id: peer.address for peer in self._settings.controls}
        for member_id, address in self._raft.log.members.addresses.items():
            addresses[control_of(member_id)] = address
        newest = {control_of(member_id): member_id for member_id in self._joiners}
        for control_id, address in addresses.items():
            if control_id == self._settings.control_id:
                continue
            message = RaftMessage(
                from_id=self._own_id,
                to_id=newest.get(control_id, ""),
                join_request=request,
            )
            self._transport.send(control_id, address, BODY_RAFT, message)

    def _note_join(self, message: RaftMessage) -> None:
        now_s = self._clock.now_s()
        address = message.join_request.address
        # A later identity of a control goes behind its earlier ones.
        self._joiners.pop(message.from_id, None)
        self._joiners[message.from_id] = Joiner(message.from_id, address, now_s)
        self._bootstrap.note(message, now_s)
        greeting = (message.from_id, message.to_id == self._own_id)
        if greeting not in self._greeted and not self._raft.leader_id:
            # Answer a newcomer at once, but only once.
            self._greeted.add(greeting)
            self._join_due_s = now_s
            self._events.put(Tick())

    def _consider_bootstrap(self, now_s: float) -> None:
        members = self._bootstrap.decide(now_s)
        if members is None:
            return
        _LOGGER.info("Beginning a new cluster with {}", list(members.voters))
        entry = LogEntry(
            index=1, term=1, kind=ENTRY_KIND_MEMBERS, data=members.SerializeToString()
        )
        hard_state = HardState(term=1)
        try:
            self._storage.write(hard_state, [entry])
        except StorageError as error:
            self._fail(error)
            return
        self._raft = self._make_raft(StoredState(hard_state, entries=[entry]))

    def _consider_members(self, now_s: float) -> None:
        raft = self._raft
        members = raft.log.members
        if raft.log.members_index > raft.commit_index:
            return
        contacts = {
            member: MemberContact(raft.silent_since_s(member), raft.match_index(member))
            for member in [*members.voters, *members.learners]
            if member != self._own_id
        }
        change = self._replacement.decide(
            self._own_id,
            members,
            contacts,
            list(self._joiners.values()),
            raft.log.last_index,
            now_s,
        )
        if change is None:
            return
        _LOGGER.info("Changing members: {} {}", change.kind.value, change.member_id)
        self._act(raft.handle(ProposeMembers(0, change), now_s))
