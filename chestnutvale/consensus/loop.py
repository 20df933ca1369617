"""Event loop that drives a Raft object and carries out its effects."""

import random
from collections.abc import Callable, Sequence
from typing import Any

import eventlet
import logbook
from eventlet import queue

from chestnutvale.clock import Clock
from chestnutvale.consensus.cluster_membership import ClusterMembership
from chestnutvale.consensus.config import RaftConfig
from chestnutvale.consensus.const import (
    BODY_RAFT,
    JOIN_INTERVAL_S,
    REPLACEMENT_INTERVAL_S,
)
from chestnutvale.consensus.disk_writer import DiskWriter, SaveSnapshot
from chestnutvale.consensus.events import (
    ApplyEntries,
    Delayed,
    Effect,
    Event,
    InstallSnapshot,
    LeadershipChanged,
    MessageReceived,
    PersistLog,
    ProposeCommands,
    ProposeMembers,
    ReadReady,
    RequestAppended,
    RequestRefused,
    Role,
    SendMessage,
    SendSnapshotChunk,
    TakeSnapshot,
    Tick,
)
from chestnutvale.consensus.exceptions import (
    ConsensusFailedError,
    NotLeaderError,
)
from chestnutvale.consensus.members import control_of
from chestnutvale.consensus.raft import Raft
from chestnutvale.consensus.state_machine import StateMachine
from chestnutvale.consensus.waiters import Waiters
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
from chestnutvale.storage.exceptions import StorageError, StorageFullError
from chestnutvale.storage.state import StoredState
from chestnutvale.storage.store import DataStore
from chestnutvale.transport.node import TransportNode

_LOGGER = logbook.Logger(__name__)

# Events handled before the loop yields to other greenlets.
MAX_EVENT_BATCH = 256
# Fraction of the election timeout above which a delay of the loop is logged.
DELAY_WARNING_FRACTION = 0.5
# Request number of a proposal that has no waiting caller.
NO_REQUEST_ID = 0

LeadershipCallback = Callable[[bool, str, int], None]


class RaftLoop:
    """Owns the Raft object; one greenlet handles all its events.

    Parameters
    ----------
    settings : ControlSettings
        Settings with this control and the initial voters.
    transport : TransportNode
        Transport for messages; must be open.
    storage : DataStore
        Data folder; must be open.
    state_machine : StateMachine
        State machine that the log drives.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of randomness for election timeouts.
    config : RaftConfig
        Timeouts and limits.
    process_started_s : float
        Monotonic time in seconds at which this process started.

    Attributes
    ----------
    failure : ChestnutError or None
        Why this control has stopped participating.
    raft : Raft
        This member.
    applied_index : int
        Index of the newest applied entry.
    delayed_s : float
        Time in seconds by which the loop ran late, summed.
    """

    def __init__(
        self,
        settings: ControlSettings,
        transport: TransportNode,
        storage: DataStore,
        state_machine: StateMachine,
        clock: Clock,
        rng: random.Random,
        config: RaftConfig,
        process_started_s: float,
    ) -> None:
        self.failure: ChestnutError | None = None
        self.cluster_membership = ClusterMembership(settings, storage.member_id)
        self._transport = transport
        self._storage = storage
        self._state_machine = state_machine
        self._clock = clock
        self._rng = rng
        self._config = config
        self._process_started_s = process_started_s
        self._own_id = storage.member_id
        self.raft = self._make_raft(storage.state)
        self.skipped_commands = 0
        self.applied_index = storage.state.snapshot.index
        self.delayed_s = 0.0
        # By how much the loop was late for the events that it handles now.
        self._last_delay_s = 0.0
        self._events: queue.LightQueue = queue.LightQueue()
        self.writer = DiskWriter(storage, self._events.put, self._fail)
        self._waiters = Waiters()
        self._callbacks: list[LeadershipCallback] = []
        self._failure_callbacks: list[Callable[[], None]] = []
        self._last_bootstrap_obstacle = ""
        self._was_write_stalled = False
        self._join_due_s = 0.0
        self._replacement_due_s = 0.0
        self._task: eventlet.greenthread.GreenThread | None = None

    def _make_raft(self, state: StoredState) -> Raft:
        now_s = self._clock.now_s()
        return Raft(
            self._own_id,
            state,
            self._config,
            self._rng,
            now_s,
            self._process_started_s,
        )

    def start(self) -> None:
        """Restore the state machine and start the tasks."""
        if self._storage.state.snapshot.index:
            self._state_machine.restore(self._storage.load_snapshot())
        self._log_stored_state()
        self._transport.register_handler(BODY_RAFT, self._handle_message)
        self.writer.start()
        self._task = eventlet.spawn(self._run)

    def _log_stored_state(self) -> None:
        log = self.raft.log
        started_s = min(self._process_started_s, self._clock.now_s())
        _LOGGER.info(
            "Read the log {:.2f} s after the start of the process: snapshot {} of {} "
            "bytes, last entry {}, term {}",
            self._clock.now_s() - started_s,
            log.snapshot.index,
            log.snapshot_size_bytes,
            log.last_index,
            self.raft.term,
        )

    def stop(self) -> None:
        """Finish submitted writes and stop the tasks."""
        if self._task is not None:
            self._task.kill()
        self.writer.stop()
        self._waiters.fail_all("this control is shutting down")

    @property
    def is_leader(self) -> bool:
        """Whether this control believes it leads; a newer leader may exist."""
        return self.failure is None and self.raft.role is Role.LEADER

    @property
    def leader_id(self) -> str:
        """Id of the control believed to lead; empty if unknown."""
        return "" if self.failure else control_of(self.raft.leader_id)

    def post_event(self, event: Event) -> None:
        """Queue an event for the loop; never blocks."""
        self._events.put(event)

    def on_leadership_change(self, callback: LeadershipCallback) -> None:
        """Register a callback for changes of role, term or leader."""
        self._callbacks.append(callback)

    def on_failure(self, callback: Callable[[], None]) -> None:
        """Register a callback for the end of the participation."""
        self._failure_callbacks.append(callback)

    def submit_request(
        self, make_event: Callable[[int], Event], step: str, deadline_s: float
    ) -> Any:
        """Submit a request to the loop and wait for its result.

        Parameters
        ----------
        make_event : callable
            Creates the event from the request number.
        step : str
            Name of the step, reported in errors.
        deadline_s : float
            Monotonic time up to which to wait.

        Returns
        -------
        object
            Result of the request.

        Raises
        ------
        NotLeaderError, MembersChangeError, OutcomeUnknownError
            As documented for the methods of `ConsensusTask`.
        """
        if not self.is_leader:
            raise NotLeaderError(self.leader_id, step=step)
        waiter = self._waiters.add()
        self._events.put(make_event(waiter.request_id))
        try:
            return waiter.wait(max(0.0, deadline_s - self._clock.now_s()), step)
        finally:
            self._waiters.discard(waiter)

    def _fail(self, error: ChestnutError) -> None:
        """Stop participating, since disk and memory state are unreliable."""
        self.failure = error
        self._waiters.fail_all(str(error))
        for callback in self._callbacks:
            callback(False, "", self.raft.term)
        for report_failure in self._failure_callbacks:
            report_failure()
        if self._task is not None:
            self._task.kill()

    # Event loop.

    def _run(self) -> None:
        try:
            while True:
                self._run_once()
        except Exception as error:
            # The effects of an event may be partially done, so handle no more.
            _LOGGER.exception("Consensus task failed; this control stops participating")
            self._fail(ConsensusFailedError(str(error)))

    def _run_once(self) -> None:
        events = self._wait_for_events()
        now_s = self._clock.now_s()
        if self._last_delay_s > self._config.heartbeat_interval_s:
            self._execute_effects(self.raft.handle(Delayed(), now_s))
        for event in events:
            self._execute_effects(self.raft.handle(event, now_s))
        if now_s >= self.raft.next_deadline_s():
            self._execute_effects(self.raft.handle(Tick(), now_s))
        self._log_write_stall()
        self._run_maintenance(now_s)

    def _wait_for_events(self) -> list[Event]:
        due_s = min(self.raft.next_deadline_s(), self._next_maintenance_s())
        wait_s = max(0.0, min(due_s - self._clock.now_s(), JOIN_INTERVAL_S))
        latest_s = self._clock.now_s() + wait_s
        try:
            events = [self._events.get(timeout=wait_s)]
        except queue.Empty:
            events = []
        self._record_delay(self._clock.now_s() - latest_s)
        if not events:
            return []
        while len(events) < MAX_EVENT_BATCH and not self._events.empty():
            events.append(self._events.get_nowait())
        return self._merge_proposals(events)

    def _record_delay(self, delay_s: float) -> None:
        """Record by how much the loop woke later than it had asked for."""
        self._last_delay_s = max(0.0, delay_s)
        if delay_s <= 0:
            return
        self.delayed_s += delay_s
        if delay_s > DELAY_WARNING_FRACTION * self._config.election_timeout_s:
            _LOGGER.warning(
                "The consensus task ran {:.2f} s late; the process did other work or "
                "did not run",
                delay_s,
            )

    @staticmethod
    def _merge_proposals(events: Sequence[Event]) -> list[Event]:
        """Merge adjacent proposals, so that they share messages and a sync."""
        merged: list[Event] = []
        for event in events:
            previous = merged[-1] if merged else None
            if isinstance(event, ProposeCommands) and isinstance(
                previous, ProposeCommands
            ):
                merged[-1] = ProposeCommands([*previous.proposals, *event.proposals])
            else:
                merged.append(event)
        return merged

    def _handle_message(self, envelope: Envelope) -> None:
        message = envelope.raft
        if self.failure is not None or message.from_id == self._own_id:
            return
        body = message.WhichOneof("body")
        if body == "join_request":
            self._handle_join_request(message)
        elif body == "join_reply":
            self._handle_join_reply(message)
        elif message.to_id == self._own_id:
            self._events.put(MessageReceived(message))

    # Effects.

    def _execute_effects(self, effects: Sequence[Effect]) -> None:
        for effect in effects:
            match effect:
                case SendMessage(message):
                    self._send(message)
                case PersistLog() | InstallSnapshot():
                    self._submit_write(effect)
                case ApplyEntries(entries):
                    self._apply(entries)
                case RequestAppended():
                    self._waiters.record_appended(effect)
                case RequestRefused():
                    self._waiters.fail_refused(effect)
                case ReadReady(request_id, _):
                    self._waiters.finish(request_id, self.applied_index)
                case SendSnapshotChunk():
                    self._send_snapshot_chunk(effect)
                case TakeSnapshot(metadata):
                    data = self._state_machine.snapshot()
                    self.writer.submit(SaveSnapshot(metadata, data))
                case LeadershipChanged():
                    self._report_leadership_change(effect)

    def _submit_write(self, effect: PersistLog | InstallSnapshot) -> None:
        self.writer.submit(effect)
        if not isinstance(effect, InstallSnapshot):
            return
        self._state_machine.restore(effect.data)
        self.applied_index = effect.metadata.index
        self._waiters.fail_up_to(self.applied_index)

    def _apply(self, entries: Sequence[LogEntry]) -> None:
        for entry in entries:
            result = CommandResult()
            if entry.kind == ENTRY_KIND_COMMAND:
                result = self._apply_command(entry)
            elif entry.kind == ENTRY_KIND_MEMBERS:
                # The next change of members may follow now.
                self._replacement_due_s = 0.0
            self.applied_index = entry.index
            self._waiters.finish_entry(entry, result, self.leader_id)

    def _apply_command(self, entry: LogEntry) -> CommandResult:
        """Apply a command; pass over one that can't be applied.

        All controls have the same entry and the same state before it, so all pass it
        over alike; if it had begun to change the state, the changes are alike, too.
        """
        try:
            command = Command.FromString(entry.data)
            return self._state_machine.apply(entry.index, command)
        except (MemoryError, OSError):
            # Not a property of the entry; another control may apply it.
            raise
        except Exception:
            self.skipped_commands += 1
            _LOGGER.exception("Entry {} can't be applied and is skipped", entry.index)
            return CommandResult()

    def _report_leadership_change(self, effect: LeadershipChanged) -> None:
        if effect.reason:
            _LOGGER.warning("Gave up leadership: {}", effect.reason)
        if effect.cause:
            _LOGGER.info(
                "{}; this process ran {:.2f} s late", effect.cause, self._last_delay_s
            )
        _LOGGER.info(
            "{} is {} in term {}; leader {!r}",
            self._own_id,
            effect.role.value,
            effect.term,
            effect.leader_id,
        )
        for callback in self._callbacks:
            callback(self.is_leader, self.leader_id, effect.term)

    def _log_write_stall(self) -> None:
        is_stalled = self.raft.is_write_stalled
        if is_stalled == self._was_write_stalled:
            return
        self._was_write_stalled = is_stalled
        if is_stalled:
            _LOGGER.error(
                "A write to the data folder has not finished for {:.1f} s; this "
                "control does not lead until it has",
                self.raft.write_waited_s,
            )
        else:
            _LOGGER.info("Writes to the data folder finish again")

    # Messages.

    def _send(self, message: RaftMessage) -> None:
        members = self.raft.log.members
        address = self.cluster_membership.find_address(message.to_id, members)
        if address:
            control_id = control_of(message.to_id)
            self._transport.send(control_id, address, BODY_RAFT, message)

    def _send_snapshot_chunk(self, effect: SendSnapshotChunk) -> None:
        request = effect.message.snapshot_request
        index = request.metadata.index
        data = self._storage.read_snapshot(index, request.offset, effect.length)
        if data is None or len(data) != effect.length:
            return
        request.data = data
        self._send(effect.message)

    # Joining, bootstrap and voter replacement.

    def _next_maintenance_s(self) -> float:
        return self._replacement_due_s if self.is_leader else self._join_due_s

    def _run_maintenance(self, now_s: float) -> None:
        if self.is_leader:
            if now_s >= self._replacement_due_s:
                self._replacement_due_s = now_s + REPLACEMENT_INTERVAL_S
                self._propose_next_change(now_s)
            if now_s >= self._join_due_s:
                self._join_due_s = now_s + JOIN_INTERVAL_S
                self._invite_silent_voters(now_s)
            return
        if now_s < self._join_due_s:
            return
        self._join_due_s = now_s + JOIN_INTERVAL_S
        if not self.raft.leader_id:
            self._send_join_requests()
        if self.raft.holds_no_entries:
            self._bootstrap_if_allowed(now_s)

    def _send_join_requests(self) -> None:
        for address, message in self.cluster_membership.make_join_requests(self.raft):
            control_id = control_of(message.to_id)
            self._transport.send(control_id, address, BODY_RAFT, message)

    def _invite_silent_voters(self, now_s: float) -> None:
        for address, message in self.cluster_membership.make_invitations(
            self.raft, now_s
        ):
            control_id = control_of(message.to_id)
            self._transport.send(control_id, address, BODY_RAFT, message)

    def _handle_join_request(self, message: RaftMessage) -> None:
        now_s = self._clock.now_s()
        is_new = self.cluster_membership.record_join_request(message, now_s)
        if is_new:
            self._send_join_requests_soon(now_s)
        reply = self.cluster_membership.make_reply(message, self.raft.log.members)
        if reply is not None:
            control_id = control_of(message.from_id)
            address = message.join_request.address
            self._transport.send(control_id, address, BODY_RAFT, reply)

    def _handle_join_reply(self, message: RaftMessage) -> None:
        # The reply may be addressed to the identity of an earlier disk.
        is_own = control_of(message.to_id) == control_of(self._own_id)
        if not is_own or not self.cluster_membership.record_join_reply(message):
            return
        _LOGGER.info(
            "Join reply from {} adds unknown controls; it lists {}",
            message.from_id,
            sorted(message.join_reply.addresses),
        )
        self._send_join_requests_soon(self._clock.now_s())

    def _send_join_requests_soon(self, now_s: float) -> None:
        if not self.raft.leader_id:
            self._join_due_s = now_s
            self._events.put(Tick())

    def _bootstrap_if_allowed(self, now_s: float) -> None:
        members = self.cluster_membership.decide_initial_members(now_s)
        if members is None:
            self._log_bootstrap_obstacle(
                self.cluster_membership.find_bootstrap_obstacle(now_s)
            )
            return
        _LOGGER.info("Bootstrapping a new cluster with voters {}", list(members.voters))
        # This member may have voted in the terms before.
        term = self.raft.term + 1
        entry = LogEntry(
            index=1,
            term=term,
            kind=ENTRY_KIND_MEMBERS,
            data=members.SerializeToString(),
        )
        hard_state = HardState(term=term)
        try:
            self._storage.write(hard_state, [entry])
        except StorageFullError as error:
            _LOGGER.error("Bootstrap waits until the disk has space: {}", error)
            return
        except StorageError as error:
            self._fail(error)
            return
        self.raft = self._make_raft(StoredState(hard_state, entries=[entry]))

    def _log_bootstrap_obstacle(self, obstacle: str) -> None:
        if obstacle != self._last_bootstrap_obstacle:
            self._last_bootstrap_obstacle = obstacle
            _LOGGER.info("Waiting to join or bootstrap a cluster: {}", obstacle)

    def _propose_next_change(self, now_s: float) -> None:
        change = self.cluster_membership.decide_next_change(self.raft, now_s)
        if change is None:
            return
        _LOGGER.info(
            "Proposing membership change: {} {}", change.kind.value, change.member_id
        )
        self._execute_effects(
            self.raft.handle(ProposeMembers(NO_REQUEST_ID, change), now_s)
        )
