"""Follower side of log replication and snapshot installation."""

from collections.abc import Sequence

from chestnutvale.consensus.const import COMMAND_VERSION
from chestnutvale.consensus.member_state import MemberState
from chestnutvale.schema.raft_pb2 import (
    AppendReply,
    AppendRequest,
    LogEntry,
    RaftMessage,
    SnapshotMetadata,
    SnapshotReply,
    SnapshotRequest,
)


class Follower:
    """Accepts entries and snapshots from the leader.

    Parameters
    ----------
    member : MemberState
        The member's state.
    """

    def __init__(self, member: MemberState) -> None:
        self._member = member
        self._incoming: tuple[SnapshotMetadata, bytearray] | None = None

    def receive_append(
        self, message: RaftMessage, request: AppendRequest, now_s: float
    ) -> None:
        """Append entries if the log matches at the preceding index."""
        self._member.record_leader_contact(message.from_id, now_s)
        self._member.leader_command_version = request.command_version
        self._member.reported_silence.record(message.from_id, request.silences, now_s)
        reply = AppendReply(round=request.round, command_version=COMMAND_VERSION)
        previous = request.previous_index
        if previous < self._member.commit_index:
            # Committed entries are identical in every leader's log.
            self._append_new(request.entries)
            known = previous + len(request.entries)
            reply.match_index = max(self._member.commit_index, known)
        elif self._member.log.term_at(previous) == request.previous_term:
            self._append_new(request.entries)
            reply.match_index = previous + len(request.entries)
        else:
            reply.rejected_index = previous
            reply.hint_index = self._find_hint(previous)
            self._member.send_after_sync(message.from_id, append_reply=reply)
            return
        reply.accepted = True
        known_commit = min(request.commit_index, reply.match_index)
        self._member.commit_index = max(self._member.commit_index, known_commit)
        self._member.send_after_sync(message.from_id, append_reply=reply)

    def _find_hint(self, previous: int) -> int:
        """Return an index up to which the logs may match."""
        if previous > self._member.log.last_index:
            return self._member.log.last_index
        conflict_term = self._member.log.term_at(previous)
        index = previous - 1
        while (
            index > self._member.commit_index
            and self._member.log.term_at(index) == conflict_term
        ):
            index -= 1
        return index

    def _append_new(self, entries: Sequence[LogEntry]) -> None:
        for position, entry in enumerate(entries):
            if entry.index <= self._member.commit_index:
                continue
            if entry.index <= self._member.log.last_index:
                if self._member.log.term_at(entry.index) == entry.term:
                    continue
                self._truncate_from(entry.index)
            self._member.log.append(entries[position:])
            self._member.outbox.add_entries(entries[position:])
            return

    def _truncate_from(self, index: int) -> None:
        self._member.log.truncate_from(index)
        self._member.outbox.truncate_from(index)

    def receive_snapshot_chunk(
        self, message: RaftMessage, request: SnapshotRequest, now_s: float
    ) -> None:
        """Collect snapshot chunks and install the snapshot once complete."""
        self._member.record_leader_contact(message.from_id, now_s)
        index = request.metadata.index
        reply = SnapshotReply(index=index, round=request.round)
        if index <= self._member.commit_index:
            reply.installed = True
        elif self._member.log.term_at(index) == request.metadata.term:
            # The log already covers the snapshot; keep the later entries, since
            # they may have been acknowledged.
            self._member.commit_index = index
            reply.installed = True
        else:
            data = self._collect_chunk(request)
            reply.next_offset = len(data)
            if request.done and request.offset + len(request.data) == len(data):
                self._install(request.metadata, bytes(data))
                reply.installed = True
        self._member.send_after_sync(message.from_id, snapshot_reply=reply)

    def _collect_chunk(self, request: SnapshotRequest) -> bytearray:
        if self._incoming is None or self._incoming[0] != request.metadata:
            self._incoming = (request.metadata, bytearray())
        data = self._incoming[1]
        if request.offset == len(data):
            data.extend(request.data)
        return data

    def _install(self, metadata: SnapshotMetadata, data: bytes) -> None:
        self._incoming = None
        self._member.log.reset(metadata, len(data))
        self._member.outbox.install_snapshot(metadata, data)
        self._member.commit_index = metadata.index
        self._member.applied_index = metadata.index
