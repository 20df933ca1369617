"""Deterministic simulation of Raft members, disks and faulty links."""

import heapq
import itertools
import json
import random

import attrs

from chestnutvale.consensus.cluster_membership import ClusterMembership
from chestnutvale.consensus.config import RaftConfig
from chestnutvale.consensus.events import (
    ApplyEntries,
    InstallSnapshot,
    MessageReceived,
    PersistLog,
    Proposal,
    ProposeCommands,
    ProposeMembers,
    ReadReady,
    ReadRequest,
    RequestAppended,
    RequestRefused,
    Role,
    SendMessage,
    SendSnapshotChunk,
    SnapshotSaved,
    TakeSnapshot,
    Tick,
    WritePersisted,
)
from chestnutvale.consensus.members import control_of
from chestnutvale.consensus.raft import Raft
from chestnutvale.schema.raft_pb2 import (
    ENTRY_KIND_COMMAND,
    ENTRY_KIND_MEMBERS,
    HardState,
    LogEntry,
    Members,
    RaftMessage,
)
from chestnutvale.schema.settings_pb2 import ControlSettings, PeerAddress
from chestnutvale.storage.state import StoredState
from tests.history import Operation

DELAY_S = 0.002
OPERATION_TIMEOUT_S = 1.5


def address_of(control):
    return f"{control}:1"


class Disk:
    """Durable state; `write` is called when the sync completes."""

    def __init__(self, members, term=1):
        data = members.SerializeToString()
        self.log = [LogEntry(index=1, term=term, kind=ENTRY_KIND_MEMBERS, data=data)]
        self.hard_state = HardState(term=term)
        self.snapshot = StoredState().snapshot
        self.data = b""

    def write(self, disk_write):
        if isinstance(disk_write, PersistLog):
            self.hard_state = disk_write.hard_state or self.hard_state
            for entry in disk_write.entries:
                self.log = [e for e in self.log if e.index < entry.index]
                self.log.append(entry)
            return
        if isinstance(disk_write, InstallSnapshot):
            self.log = []
        elif disk_write.metadata.index <= self.snapshot.index:
            return
        self.snapshot = disk_write.metadata
        self.data = disk_write.data
        self.log = [e for e in self.log if e.index > disk_write.metadata.index]

    def read(self):
        size = len(self.data)
        return StoredState(self.hard_state, self.snapshot, size, list(self.log))


@attrs.define
class SnapshotWrite:
    metadata: object
    data: bytes


class Register:
    """State machine: one value with compare-and-set; counts what it applied."""

    def __init__(self):
        self.value = None
        self.applied = 0

    def apply(self, data):
        self.applied += 1
        kind, argument = json.loads(data)
        if kind == "write":
            self.value = argument
            return None
        is_equal = self.value == argument[0]
        self.value = argument[1] if is_equal else self.value
        return is_equal


class Node:
    """A control with a disk and, while running, a Raft object."""

    def __init__(self, member_id, disk):
        self.member_id = member_id
        self.disk = disk
        self.incarnation = 0
        self.raft = None
        self.is_frozen = False
        self.backlog = []
        self.is_spare = False


class Cluster:
    """Nodes, links and clients on one simulated clock."""

    def __init__(
        self,
        size=3,
        seed=0,
        raft=Raft,
        replaces_members=False,
        spares=0,
        is_bootstrapped=True,
        seeds=None,
        wanted_voters=0,
        voter_lost_ms=5_000,
        maintenance_interval_s=1.0,
        **config,
    ):
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.raft_class = raft
        self.config = RaftConfig(**config)
        self.voter_lost_ms = voter_lost_ms
        # Number of controls in the settings; None for all.
        self.seeds = seeds
        self.wanted_voters = wanted_voters
        self.maintenance_interval_s = maintenance_interval_s
        self.nodes = {}
        self.history = []
        self.sent = []
        self.blocked_links = set()
        self.hung_disks = set()
        # Factor by which the syncs of a control take longer.
        self.slow_disks = {}
        self.loss = self.duplication = self.reordering = 0.0
        self.sync_delay_s = 0.001
        self.edit_message = lambda message: None
        self.writes = 0
        self.installs = 0
        self.crash_at_write = None
        self._queue = []
        self._leader_by_term = {}
        self._applied = {}
        self._sequence = itertools.count()
        self._requests = {}
        self._request_ids = itertools.count(1)
        self._values = itertools.count(1)
        self._disks = itertools.count(1)
        self.controls = [f"c{i}" for i in range(size + spares)]
        voters = [f"{control}#0" for control in self.controls[:size]]
        addresses = {voter: address_of(control_of(voter)) for voter in voters}
        self.members = Members(voters=voters, wanted_voters=size, addresses=addresses)
        for voter in voters:
            self.start_new(control_of(voter), voter if is_bootstrapped else None)
        for spare in self.controls[size:]:
            self.start_new(spare)
        if replaces_members:
            self.start_maintenance()

    # Time.

    def schedule(self, delay_s, action, *arguments):
        due_s = self.now_s + delay_s
        heapq.heappush(self._queue, (due_s, next(self._sequence), action, arguments))

    def run(self, duration_s):
        end_s = self.now_s + duration_s
        while self._queue and self._queue[0][0] <= end_s:
            self.now_s, _, action, arguments = heapq.heappop(self._queue)
            action(*arguments)
        self.now_s = end_s

    def run_until(self, condition, limit_s=20.0, step_s=0.05):
        end_s = self.now_s + limit_s
        while not condition() and self.now_s < end_s:
            self.run(step_s)
        assert condition(), "not reached in time"

    # Faults.

    def start_new(self, control, member_id=None, is_spare=False):
        """Start a control with an empty disk under a new identity."""
        is_first = member_id is not None
        member_id = member_id or f"{control}#{next(self._disks)}"
        disk = Disk(self.members)
        if not is_first:
            disk.log, disk.hard_state = [], HardState()
        self.nodes[control] = Node(member_id, disk)
        self.nodes[control].is_spare = is_spare
        self.start(control)

    def start(self, control):
        node = self.nodes[control]
        node.incarnation += 1
        node.is_frozen = False
        node.backlog = []
        settings = ControlSettings(
            control_id=control,
            peer_address=address_of(control),
            voter_lost_ms=self.voter_lost_ms,
            election_timeout_ms=round(1_000 * self.config.election_timeout_s),
            wanted_voters=self.wanted_voters,
            spare=node.is_spare,
        )
        settings.controls.extend(
            PeerAddress(id=c, address=address_of(c))
            for c in self.controls[: self.seeds]
        )
        node.cluster_membership = ClusterMembership(settings, node.member_id)
        stored = node.disk.read()
        rng = random.Random(self.rng.random())
        node.raft = self.raft_class(
            node.member_id, stored, self.config, rng, self.now_s
        )
        node.state_machine = Register()
        if stored.snapshot.index:
            node.state_machine.value = json.loads(node.disk.data)
        node.pending_writes = []
        node.timer_s = -1.0
        self._set_timer(node)

    def crash(self, control):
        """Stop a control and lose its unsynced state."""
        node = self.nodes[control]
        node.raft = None
        node.incarnation += 1

    def lose_disk(self, control):
        self.crash(control)
        self.start_new(control)

    def freeze(self, control):
        self.nodes[control].is_frozen = True

    def resume(self, control):
        node = self.nodes[control]
        node.is_frozen = False
        backlog, node.backlog = node.backlog, []
        for event in backlog:
            self._handle(node, event)
        self._handle(node, Tick())

    def block_link(self, source, target):
        self.blocked_links.add((source, target))

    def isolate(self, control):
        for other in self.nodes:
            self.blocked_links |= {(control, other), (other, control)}

    def reconnect(self, control):
        self.blocked_links = {
            link for link in self.blocked_links if control not in link
        }

    def clear_faults(self):
        self.blocked_links.clear()
        self.loss = self.duplication = self.reordering = 0.0
        for control, node in self.nodes.items():
            if node.raft is None:
                self.start(control)
            elif node.is_frozen:
                self.resume(control)

    # Queries for tests.

    def leaders(self):
        return [
            control
            for control, node in self.nodes.items()
            if node.raft and not node.is_frozen and node.raft.role is Role.LEADER
        ]

    def wait_for_leader(self, besides=()):
        found = lambda: [
            c
            for c in self.leaders()
            if c not in besides and self.raft(c).has_lease(self.now_s)
        ]
        self.run_until(found)
        return found()[0]

    def raft(self, control):
        return self.nodes[control].raft

    # Clients.

    def start_operation(self, control, kind, argument=None):
        """Start an operation; it stays in the history unless it was refused."""
        operation = Operation(kind, self.now_s, argument)
        node = self.nodes[control]
        if node.raft is None:
            return operation
        request_id = next(self._request_ids)
        self._requests[request_id] = operation
        self.history.append(operation)
        if kind == "read":
            self._handle(node, ReadRequest(request_id))
        else:
            data = json.dumps([kind, argument]).encode()
            self._handle(node, ProposeCommands([Proposal(request_id, data)]))
        return operation

    def commit(self, control, value):
        operation = self.start_operation(control, "write", value)
        self.run_until(lambda: operation.returned_s <= self.now_s)

    def change(self, control, change):
        self._handle(self.nodes[control], ProposeMembers(0, change))

    def run_clients(self, count, until_s):
        """Run clients that issue one operation at a time until a deadline."""
        for _ in range(count):
            self.schedule(self.rng.random(), self._act_as_client, None, until_s)

    def _act_as_client(self, last, until_s):
        is_waiting = last is not None and last.returned_s > self.now_s
        if is_waiting and self.now_s < last.called_s + OPERATION_TIMEOUT_S:
            self.schedule(0.01, self._act_as_client, last, until_s)
            return
        if self.now_s >= until_s:
            return
        controls = self.leaders() or list(self.nodes)
        frozen = [c for c, n in self.nodes.items() if n.is_frozen]
        control = self.rng.choice(controls * 4 + frozen)
        kind = self.rng.choice(["read", "write", "cas"])
        argument = next(self._values)
        if kind == "cas":
            argument = (self.nodes[control].state_machine.value, argument)
        operation = self.start_operation(
            control, kind, None if kind == "read" else argument
        )
        self.schedule(0.1 * self.rng.random(), self._act_as_client, operation, until_s)

    # Events and effects.

    def _set_timer(self, node):
        due_s = node.raft.next_deadline_s()
        if due_s < 1e9 and due_s != node.timer_s:
            node.timer_s = due_s
            delay_s = max(0.0, due_s - self.now_s)
            self.schedule(delay_s, self._tick_if_due, node, node.incarnation, due_s)

    def _tick_if_due(self, node, incarnation, due_s):
        if (
            node.incarnation == incarnation
            and node.timer_s == due_s
            and not node.is_frozen
        ):
            node.timer_s = -1.0
            self._handle(node, Tick())

    def _handle(self, node, event):
        if node.raft is None:
            return
        if node.is_frozen:
            node.backlog.append(event)
            return
        incarnation = node.incarnation
        for effect in node.raft.handle(event, self.now_s):
            if node.incarnation != incarnation:
                return
            self._execute_effect(node, effect)
        if node.incarnation == incarnation:
            self._set_timer(node)
        self._check_invariants(node)

    def _check_invariants(self, node):
        """Check that terms have one leader and at most one lease is held."""
        raft = node.raft
        if raft is not None and raft.role is Role.LEADER:
            leader = self._leader_by_term.setdefault(raft.term, node.member_id)
            assert leader == node.member_id, f"two leaders in term {raft.term}"
        # A frozen node may act when it resumes, so its lease counts too.
        nodes = [n for n in self.nodes.values() if n.raft]
        holders = [n.member_id for n in nodes if n.raft.has_lease(self.now_s)]
        assert len(holders) <= 1, f"two leases: {holders}"

    def _execute_effect(self, node, effect):
        match effect:
            case SendMessage(message):
                self._send(message)
            case SendSnapshotChunk(message, length):
                if node.disk.snapshot == message.snapshot_request.metadata:
                    start = message.snapshot_request.offset
                    message.snapshot_request.data = node.disk.data[
                        start : start + length
                    ]
                    self._send(message)
            case PersistLog() | InstallSnapshot():
                if isinstance(effect, InstallSnapshot):
                    self.installs += 1
                    node.state_machine.value = json.loads(effect.data)
                self._queue_write(node, effect)
            case TakeSnapshot(metadata):
                data = json.dumps(node.state_machine.value).encode()
                self._queue_write(node, SnapshotWrite(metadata, data))
            case ApplyEntries(entries):
                for entry in entries:
                    self._apply(node, entry)
            case RequestAppended(request_id, index, term):
                self._requests[node.member_id, index, term] = self._requests.get(
                    request_id
                )
            case RequestRefused(request_id):
                operation = self._requests.pop(request_id, None)
                if operation in self.history:
                    self.history.remove(operation)
                    operation.returned_s = self.now_s
            case ReadReady(request_id):
                operation = self._requests.pop(request_id)
                operation.finish(self.now_s, node.state_machine.value)

    def _apply(self, node, entry):
        entry_key = (entry.term, entry.data)
        known = self._applied.setdefault(entry.index, entry_key)
        assert known == entry_key, f"two entries at {entry.index}"
        if entry.kind != ENTRY_KIND_COMMAND:
            return
        result = node.state_machine.apply(entry.data)
        key = (node.member_id, entry.index, entry.term)
        operation = self._requests.pop(key, None)
        if operation is not None:
            operation.finish(self.now_s, result)

    def _queue_write(self, node, disk_write):
        node.pending_writes.append(disk_write)
        if len(node.pending_writes) == 1:
            self._schedule_sync(node)

    def _schedule_sync(self, node):
        factor = self.slow_disks.get(control_of(node.member_id), 1.0)
        delay_s = factor * self.sync_delay_s
        self.schedule(delay_s, self._sync, node, node.incarnation)

    def _sync(self, node, incarnation):
        if node.incarnation != incarnation:
            return
        if control_of(node.member_id) in self.hung_disks:
            self.schedule(self.sync_delay_s, self._sync, node, incarnation)
            return
        self.writes += 1
        if self.crash_at_write == (self.writes, "before"):
            self.crash(control_of(node.member_id))
            return
        disk_write = node.pending_writes.pop(0)
        node.disk.write(disk_write)
        if self.crash_at_write == (self.writes, "after"):
            self.crash(control_of(node.member_id))
            return
        if node.pending_writes:
            self._schedule_sync(node)
        if isinstance(disk_write, SnapshotWrite):
            self._handle(node, SnapshotSaved(disk_write.metadata, len(disk_write.data)))
        else:
            self._handle(node, WritePersisted(disk_write.write_id))

    # Links.

    def _send(self, message):
        source, target = control_of(message.from_id), control_of(message.to_id)
        self.edit_message(message)
        self.sent.append(message)
        if target not in self.nodes or self.rng.random() < self.loss:
            return
        copies = 2 if self.rng.random() < self.duplication else 1
        for _ in range(copies):
            delay_s = DELAY_S * (1 + self.rng.random())
            if self.rng.random() < self.reordering:
                delay_s += 0.3 * self.rng.random()
            data = message.SerializeToString()
            self.schedule(delay_s, self._deliver, source, target, data)

    def _deliver(self, source, target, data):
        if (source, target) in self.blocked_links:
            return
        node = self.nodes[target]
        message = RaftMessage.FromString(data)
        if message.HasField("join_request"):
            self._receive_join_request(node, message)
            return
        if message.HasField("join_reply"):
            node.cluster_membership.record_join_reply(message)
            return
        self._handle(node, MessageReceived(message))

    # Joining and replacement.

    def start_maintenance(self):
        self.schedule(self.maintenance_interval_s, self._run_maintenance)

    def _receive_join_request(self, node, message):
        node.cluster_membership.record_join_request(message, self.now_s)
        if node.raft is None or node.is_frozen:
            return
        reply = node.cluster_membership.make_reply(message, node.raft.log.members)
        if reply is not None:
            self._send(reply)

    def _bootstrap_if_allowed(self, node):
        members = node.cluster_membership.decide_initial_members(self.now_s)
        if members and node.raft.holds_no_entries:
            node.disk = Disk(members, node.raft.term + 1)
            self.start(control_of(node.member_id))

    def _run_maintenance(self):
        for node in self.nodes.values():
            if node.raft is None or node.is_frozen:
                continue
            if node.raft.role is Role.LEADER:
                change = node.cluster_membership.decide_next_change(
                    node.raft, self.now_s
                )
                if change:
                    self._handle(node, ProposeMembers(0, change))
            elif not node.raft.leader_id:
                for _, message in node.cluster_membership.make_join_requests(node.raft):
                    self._send(message)
                self._bootstrap_if_allowed(node)
        self.schedule(self.maintenance_interval_s, self._run_maintenance)
