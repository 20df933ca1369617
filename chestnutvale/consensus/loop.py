"""The loop that feeds a Raft object and carries out its effects."""

import random
from collections.abc import Callable, Sequence
from typing import Any

import eventlet
import logbook
from eventlet import queue

from chestnutvale.clock import Clock
from chestnutvale.consensus.config import RaftConfig
from chestnutvale.consensus.const import (
    BODY_RAFT,
    JOIN_INTERVAL_S,
    REPLACEMENT_INTERVAL_S,
)
from chestnutvale.consensus.events import (
    Accepted,
    Apply,
    Effect,
    Event,
    InstallSnapshot,
    LeadershipChanged,
    Persist,
    Propose,
    ProposeMembers,
    ReadReady,
    Received,
    Refused,
    Role,
    Send,
    SendSnapshotChunk,
    TakeSnapshot,
    Tick,
)
from chestnutvale.consensus.exceptions import (
    ConsensusFailedError,
    NotLeaderError,
)
from chestnutvale.consensus.joining import Joining
from chestnutvale.consensus.machine import StateMachine
from chestnutvale.consensus.members import control_of
from chestnutvale.consensus.raft import Raft
from chestnutvale.consensus.waiters import Waiters
from chestnutvale.consensus.writer import SaveSnapshot, Writer
from chestnutvale.exceptions import ChestnutError
from chestnutvale.schema.command_pb2 import Command, CommandResult
from chestnutvale.schema.peer_pb2 import Envelope
from chestnutvale.schema.raft_pb2 import (
    ENTRY_KIND_COMMAND,
    ENTRY_KIND_MEMBERS,
    HardState,
    LogEntry,
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
# Request number of what no caller waits for.
NO_REQUEST = 0

LeadershipCallback = Callable[[bool, str, int], None]


class RaftLoop:
    """Owns the Raft object; one greenlet handles all its events.

    Parameters
    ----------
    settings : ControlSettings
        Names this control and the first voters.
    transport : TransportNode
        Carries messages; it must be open.
    storage : DataStore
        The data folder; it must be open.
    machine : StateMachine
        What the log drives.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of the election timeouts.
    config : RaftConfig
        Times and limits.

    Attributes
    ----------
    failure : ChestnutError or None
        Why this control has stopped voting.
    raft : Raft
        This member.
    applied_index : int
        Index of the newest entry that the state machine holds.
    """

    def __init__(
        self,
        settings: ControlSettings,
        transport: TransportNode,
        storage: DataStore,
        machine: StateMachine,
        clock: Clock,
        rng: random.Random,
        config: RaftConfig,
    ) -> None:
        self.failure: ChestnutError | None = None
        self.joining = Joining(settings, storage.member_id)
        self._transport = transport
        self._storage = storage
        self._machine = machine
        self._clock = clock
        self._rng = rng
        self._config = config
        self._own_id = storage.member_id
        self.raft = self._make_raft(storage.state)
        self.applied_index = storage.state.snapshot.index
        self._events: queue.LightQueue = queue.LightQueue()
        self.writer = Writer(storage, self._events.put, self._fail)
        self._waiters = Waiters()
        self._callbacks: list[LeadershipCallback] = []
        self._last_obstacle = ""
        self._join_due_s = 0.0
        self._replacement_due_s = 0.0
        self._task: eventlet.greenthread.GreenThread | None = None

    def _make_raft(self, state: StoredState) -> Raft:
        now_s = self._clock.now_s()
        return Raft(self._own_id, state, self._config, self._rng, now_s)

    def start(self) -> None:
        """Restore the state machine and start the tasks."""
        if self._storage.state.snapshot.index:
            self._machine.restore(self._storage.load_snapshot())
        self._transport.on(BODY_RAFT, self._receive)
        self.writer.start()
        self._task = eventlet.spawn(self._run)

    def stop(self) -> None:
        """Stop the tasks once the disk has what was ordered."""
        if self._task is not None:
            self._task.kill()
        self.writer.stop()
        self._waiters.fail_all("the control stops")

    @property
    def is_leader(self) -> bool:
        """Whether this control leads as far as it knows; no proof of it."""
        return self.failure is None and self.raft.role is Role.LEADER

    @property
    def leader_id(self) -> str:
        """Control that leads as far as this one knows; empty if unknown."""
        return "" if self.failure else control_of(self.raft.leader_id)

    def put(self, event: Event) -> None:
        """Give the loop an event; never blocks."""
        self._events.put(event)

    def on_leadership_change(self, callback: LeadershipCallback) -> None:
        """Register a callback for a new role, term or leader."""
        self._callbacks.append(callback)

    def ask(
        self, make_event: Callable[[int], Event], step: str, deadline_s: float
    ) -> Any:
        """Hand a request to the loop and wait for its answer.

        Parameters
        ----------
        make_event : callable
            Makes the event from the request's number.
        step : str
            The step, for errors.
        deadline_s : float
            Monotonic time up to which to wait.

        Returns
        -------
        object
            The result.

        Raises
        ------
        NotLeaderError, MembersChangeError, OutcomeUnknownError
            As the methods of `ConsensusTask` say.
        """
        if not self.is_leader:
            raise NotLeaderError(self.leader_id, step=step)
        waiter = self._waiters.add()
        self._events.put(make_event(waiter.request_id))
        try:
            return waiter.wait(max(0.0, deadline_s - self._clock.now_s()), step)
        finally:
            self._waiters.forget(waiter)

    def _fail(self, error: ChestnutError) -> None:
        """Stop voting; nobody knows what the disk or this task holds."""
        self.failure = error
        self._waiters.fail_all(str(error))
        for callback in self._callbacks:
            callback(False, "", self.raft.term)
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
            self._act(self.raft.handle(event, now_s))
        if now_s >= self.raft.next_deadline_s():
            self._act(self.raft.handle(Tick(), now_s))
        self._maintain(now_s)

    def _wait_for_events(self) -> list[Event]:
        due_s = min(self.raft.next_deadline_s(), self._maintenance_due_s())
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
        body = message.WhichOneof("body")
        if body == "join_request":
            self._note_join(message)
        elif body == "join_reply":
            self._note_join_reply(message)
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
                    self._waiters.note_accepted(effect)
                case Refused():
                    self._waiters.refuse(effect)
                case ReadReady(request_id, _):
                    self._waiters.finish(request_id, self.applied_index)
                case SendSnapshotChunk():
                    self._send_chunk(effect)
                case TakeSnapshot(metadata):
                    data = self._machine.snapshot()
                    self.writer.order(SaveSnapshot(metadata, data))
                case LeadershipChanged():
                    self._report_leadership(effect)

    def _order_write(self, effect: Persist | InstallSnapshot) -> None:
        self.writer.order(effect)
        if not isinstance(effect, InstallSnapshot):
            return
        self._machine.restore(effect.data)
        self.applied_index = effect.metadata.index
        self._waiters.fail_up_to(self.applied_index)

    def _apply(self, entries: Sequence[LogEntry]) -> None:
        for entry in entries:
            result = CommandResult()
            if entry.kind == ENTRY_KIND_COMMAND:
                command = Command.FromString(entry.data)
                result = self._machine.apply(entry.index, command)
            self.applied_index = entry.index
            self._waiters.finish_entry(entry, result, self.leader_id)

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
        members = self.raft.log.members
        address = self.joining.find_address(message.to_id, members)
        if address:
            control_id = control_of(message.to_id)
            self._transport.send(control_id, address, BODY_RAFT, message)

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
        if not self.raft.leader_id:
            self._ask_to_join()
        if self.raft.is_empty:
            self._consider_bootstrap(now_s)

    def _ask_to_join(self) -> None:
        for address, message in self.joining.make_requests(self.raft):
            control_id = control_of(message.to_id)
            self._transport.send(control_id, address, BODY_RAFT, message)

    def _note_join(self, message: RaftMessage) -> None:
        now_s = self._clock.now_s()
        is_new = self.joining.note(message, now_s)
        if is_new:
            self._hurry_to_join(now_s)
        reply = self.joining.make_reply(message, self.raft.log.members)
        if reply is not None:
            control_id = control_of(message.from_id)
            address = message.join_request.address
            self._transport.send(control_id, address, BODY_RAFT, reply)

    def _note_join_reply(self, message: RaftMessage) -> None:
        if message.to_id != self._own_id or not self.joining.note_reply(message):
            return
        _LOGGER.info(
            "{} names controls that are new here: {}",
            message.from_id,
            sorted(message.join_reply.addresses),
        )
        self._hurry_to_join(self._clock.now_s())

    def _hurry_to_join(self, now_s: float) -> None:
        if not self.raft.leader_id:
            self._join_due_s = now_s
            self._events.put(Tick())

    def _consider_bootstrap(self, now_s: float) -> None:
        members = self.joining.decide_first_members(now_s)
        if members is None:
            self._report_obstacle(self.joining.find_obstacle(now_s))
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
        self.raft = self._make_raft(StoredState(hard_state, entries=[entry]))

    def _report_obstacle(self, obstacle: str) -> None:
        if obstacle != self._last_obstacle:
            self._last_obstacle = obstacle
            _LOGGER.info("Waiting to join or to begin a cluster: {}", obstacle)

    def _consider_members(self, now_s: float) -> None:
        change = self.joining.decide_change(self.raft, now_s)
        if change is None:
            return
        _LOGGER.info("Changing members: {} {}", change.kind.value, change.member_id)
        self._act(self.raft.handle(ProposeMembers(NO_REQUEST, change), now_s))
