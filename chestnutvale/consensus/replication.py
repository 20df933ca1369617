"""Leader side of log replication and snapshot transfer."""

import math

from chestnutvale.consensus.const import CHUNK_RETRY_HEARTBEATS
from chestnutvale.consensus.events import ReadReady, Role, SendSnapshotChunk
from chestnutvale.consensus.leader import Leader
from chestnutvale.consensus.member_state import MemberState
from chestnutvale.consensus.progress import Mode, Progress
from chestnutvale.schema.raft_pb2 import (
    ENTRY_KIND_NOOP,
    AppendReply,
    RaftMessage,
    SnapshotReply,
    TimeoutNow,
)


class Replication:
    """Replicates the leader's log to its followers.

    Parameters
    ----------
    member : MemberState
        The member's state.
    """

    def __init__(self, member: MemberState) -> None:
        self._member = member

    def become_leader(self, now_s: float) -> None:
        """Become leader and append a no-op entry of the current term."""
        self._member.role = Role.LEADER
        self._member.leader_id = self._member.own_id
        self._member.leader = Leader(
            self._member.own_id,
            self._member.log,
            now_s,
            self._member.log.last_index + 1,
        )
        self._member.leader.update_followers(self._member.log.members)
        self._member.append_entry(ENTRY_KIND_NOOP, b"")
        self.broadcast(now_s)

    def broadcast(self, now_s: float) -> None:
        """Start a round and send an append to each follower."""
        leader = self._member.leader
        leader.begin_round(now_s)
        leader.heartbeat_due_s = now_s + self._member.config.heartbeat_interval_s
        for member_id, progress in leader.progress.items():
            is_alive = self._is_alive(progress, now_s)
            if progress.mode is Mode.REPLICATE and not is_alive:
                # Stop sending entries, so that none queue in the socket of a
                # follower that does not reply.
                progress.enter_probe_mode(0)
            self._send_append(member_id, progress, now_s)
            is_due = now_s >= progress.chunk_retry_at_s
            if progress.mode is Mode.SNAPSHOT and is_alive and is_due:
                self._send_snapshot_chunk(member_id, progress, now_s)

    def _is_alive(self, progress: Progress, now_s: float) -> bool:
        return now_s < progress.acked_s + self._member.config.election_timeout_s

    def _send_append(self, member_id: str, progress: Progress, now_s: float) -> None:
        is_held = self._member.log.holds_after(progress.next_index - 1)
        if progress.mode is not Mode.SNAPSHOT and not is_held:
            self._start_snapshot_transfer(member_id, progress, now_s)
        request = self._member.leader.next_append(progress, self._member.commit_index)
        request.silences.extend(self._member.list_silences(now_s))
        self._member.send(member_id, append_request=request)

    def send_entries(self, now_s: float) -> None:
        """Send new entries to all followers with room in their window."""
        for member_id, progress in self._member.leader.progress.items():
            self._send_entries_to(member_id, progress, now_s)

    def _send_entries_to(
        self, member_id: str, progress: Progress, now_s: float
    ) -> None:
        while self._member.leader.may_send_entries(progress):
            self._send_append(member_id, progress, now_s)

    def _start_snapshot_transfer(
        self, member_id: str, progress: Progress, now_s: float
    ) -> None:
        progress.enter_snapshot_mode(self._member.log.snapshot.index)
        if not self._member.leader.is_snapshot_recent(self._member.commit_index):
            # The next snapshot covers at least the current commit index.
            progress.enter_snapshot_mode(self._member.commit_index)
            progress.chunk_retry_at_s = math.inf
            self._member.leader.is_snapshot_wanted = True
        elif self._is_alive(progress, now_s):
            self._send_snapshot_chunk(member_id, progress, now_s)

    def receive_append_reply(
        self, message: RaftMessage, reply: AppendReply, now_s: float
    ) -> None:
        """Update a follower's progress and send missing entries."""
        if self._member.leader is None:
            return
        member_id = message.from_id
        progress = self._member.leader.progress[member_id]
        progress.command_version = reply.command_version
        self._member.leader.record_ack(member_id, reply.round)
        if reply.accepted:
            self._handle_accepted_append(member_id, progress, reply.match_index, now_s)
        elif not progress.is_stale_rejection(reply.rejected_index):
            progress.enter_probe_mode(reply.hint_index)
            if self._member.leader.needs_snapshot(progress, self._member.commit_index):
                self._start_snapshot_transfer(member_id, progress, now_s)
            else:
                self._send_append(member_id, progress, now_s)
        if self._member.leader is None:
            return
        self.complete_confirmed_reads()
        self._send_entries_to(member_id, progress, now_s)
        self.send_timeout_now_if_ready()

    def _handle_accepted_append(
        self, member_id: str, progress: Progress, match_index: int, now_s: float
    ) -> None:
        was_probed = progress.mode is Mode.PROBE
        progress.advance_match_index(match_index)
        self.advance_commit(now_s)
        if self._member.leader is None or not was_probed:
            return
        if self._member.leader.needs_snapshot(progress, self._member.commit_index):
            self._start_snapshot_transfer(member_id, progress, now_s)

    def advance_commit(self, now_s: float) -> None:
        """Commit what a quorum has on disk, if it is of the current term."""
        members = self._member.log.members
        index = self._member.leader.quorum_match_index(
            members, self._member.outbox.durable_index
        )
        if (
            index <= self._member.commit_index
            or self._member.log.term_at(index) != self._member.term
        ):
            return
        self._member.commit_index = index
        is_removed = (
            not self._member.is_voter and self._member.log.members_index <= index
        )
        if is_removed:
            self.broadcast(now_s)
            self._member.become_follower(self._member.term, now_s)
            return
        self.complete_confirmed_reads()

    def _send_snapshot_chunk(
        self, member_id: str, progress: Progress, now_s: float
    ) -> None:
        request, length = self._member.leader.next_snapshot_chunk(progress)
        wait_s = self._member.config.heartbeat_interval_s * CHUNK_RETRY_HEARTBEATS
        progress.chunk_retry_at_s = now_s + wait_s
        message = self._member.make_message(member_id, snapshot_request=request)
        self._member.outbox.add_effect(SendSnapshotChunk(message, length))

    def receive_snapshot_chunk_reply(
        self, message: RaftMessage, reply: SnapshotReply, now_s: float
    ) -> None:
        """Send the next snapshot chunk, or resume appends after the last one."""
        if self._member.leader is None:
            return
        member_id = message.from_id
        progress = self._member.leader.progress[member_id]
        self._member.leader.record_ack(member_id, reply.round)
        if progress.mode is not Mode.SNAPSHOT:
            return
        if reply.index != progress.snapshot_index:
            return
        if reply.installed:
            progress.advance_match_index(reply.index)
            self._send_entries_to(member_id, progress, now_s)
            return
        if reply.next_offset == progress.snapshot_offset and reply.next_offset:
            return
        progress.snapshot_offset = reply.next_offset
        self._send_snapshot_chunk(member_id, progress, now_s)

    def send_deferred_snapshots(self, now_s: float) -> None:
        """Start the transfers that were waiting for a new snapshot."""
        leader = self._member.leader
        if leader is None or not leader.is_snapshot_wanted:
            return
        leader.is_snapshot_wanted = False
        for member_id, progress in leader.progress.items():
            is_waiting = progress.chunk_retry_at_s == math.inf
            if progress.mode is Mode.SNAPSHOT and is_waiting:
                self._send_snapshot_chunk(member_id, progress, now_s)

    def complete_confirmed_reads(self) -> None:
        """Complete the reads that a quorum has confirmed."""
        leader = self._member.leader
        if not leader.reads:
            return
        acked_round = leader.quorum_acked_round(self._member.log.members)
        waiting = []
        for read in leader.reads:
            is_confirmed = acked_round >= read.round
            if is_confirmed and self._member.commit_index >= read.index:
                self._member.outbox.add_read(ReadReady(read.request_id, read.index))
            else:
                waiting.append(read)
        leader.reads = waiting

    def send_timeout_now_if_ready(self) -> None:
        """Send TimeoutNow to the transfer target once its log is complete."""
        leader = self._member.leader
        if leader is None or not leader.transfer_target or leader.is_transfer_sent:
            return
        if (
            self._member.match_index(leader.transfer_target)
            < self._member.log.last_index
        ):
            return
        # From now on another leader may be elected within the lease period.
        leader.is_transfer_sent = True
        self._member.send(leader.transfer_target, timeout_now=TimeoutNow())
