"""Per-term leader state: rounds, lease, replication progress, reads."""

import math
from collections import OrderedDict

import attrs

from chestnutvale.consensus.const import (
    COMMAND_VERSION,
    MAX_APPEND_BYTES,
    MAX_APPEND_ENTRIES,
    MAX_IN_FLIGHT_APPENDS,
    MAX_REPLAY_ENTRIES,
    SNAPSHOT_CHUNK_BYTES,
)
from chestnutvale.consensus.log import RaftLog
from chestnutvale.consensus.members import quorum_size
from chestnutvale.consensus.progress import Mode, Progress
from chestnutvale.schema.raft_pb2 import AppendRequest, Members, SnapshotRequest

# Rounds whose send time is kept for the leader lease.
MAX_REMEMBERED_ROUNDS = 256


@attrs.frozen
class PendingRead:
    """A read waiting for a quorum to acknowledge a round."""

    request_id: int
    index: int
    round: int


@attrs.define
class Leader:
    """State of a leader for one term.

    Parameters
    ----------
    own_id : str
        Identity of the leader.
    log : RaftLog
        The leader's log.
    started_s : float
        Monotonic time of the election, in seconds.
    first_index : int
        Index of its first entry; membership changes wait for its commit.
    """

    own_id: str
    log: RaftLog
    started_s: float
    first_index: int
    progress: dict[str, Progress] = attrs.field(factory=dict)
    reads: list[PendingRead] = attrs.field(factory=list)
    round: int = 0
    heartbeat_due_s: float = 0.0
    transfer_target: str = ""
    transfer_deadline_s: float = math.inf
    is_transfer_sent: bool = False
    is_snapshot_wanted: bool = False
    _silence_s: float = 0.0
    _silence_checked_s: float = -math.inf
    _quorum_contact_s: float = -math.inf
    _round_sent_s: OrderedDict[int, float] = attrs.field(factory=OrderedDict)

    def update_followers(self, members: Members) -> None:
        """Track the progress of exactly the members other than this one."""
        others = [*members.voters, *members.learners]
        self.progress = {
            member_id: self.progress.get(member_id)
            or Progress(next_index=self.log.last_index + 1)
            for member_id in others
            if member_id != self.own_id
        }

    def begin_round(self, now_s: float) -> None:
        """Start a heartbeat round; acknowledgements extend the lease from now."""
        self.round += 1
        self._round_sent_s[self.round] = now_s
        if len(self._round_sent_s) > MAX_REMEMBERED_ROUNDS:
            self._round_sent_s.popitem(last=False)

    def record_ack(self, member_id: str, acked_round: int) -> None:
        """Record that a member acknowledged a round."""
        progress = self.progress[member_id]
        sent_s = self._round_sent_s.get(acked_round, -math.inf)
        progress.acked_s = max(progress.acked_s, sent_s)
        progress.acked_round = max(progress.acked_round, acked_round)

    def quorum_acked_s(self, members: Members, now_s: float) -> float:
        """Return when the newest round that a quorum acknowledged was sent."""
        times = [
            now_s if voter == self.own_id else self.progress[voter].acked_s
            for voter in members.voters
        ]
        times.sort(reverse=True)
        return times[quorum_size(members) - 1]

    def measure_silence_s(
        self, members: Members, now_s: float, max_step_s: float
    ) -> float:
        """Return for how long no quorum has replied, as far as this leader watched.

        Parameters
        ----------
        members : Members
            The voters.
        now_s : float
            Monotonic time in seconds.
        max_step_s : float
            Time in seconds that counts at most between two calls. While this process
            did not run, replies could not be read, so their absence proves nothing.

        Returns
        -------
        float
            Silence in seconds.
        """
        contact_s = max(self.quorum_acked_s(members, now_s), self.started_s)
        if contact_s > self._quorum_contact_s:
            self._quorum_contact_s = contact_s
            self._silence_s = 0.0
        step_s = now_s - max(contact_s, self._silence_checked_s)
        self._silence_s += min(max(0.0, step_s), max_step_s)
        self._silence_checked_s = now_s
        return self._silence_s

    def quorum_acked_round(self, members: Members) -> int:
        """Return the newest round that a quorum acknowledged."""
        rounds = [
            self.round if voter == self.own_id else self.progress[voter].acked_round
            for voter in members.voters
        ]
        rounds.sort(reverse=True)
        return rounds[quorum_size(members) - 1]

    def quorum_match_index(self, members: Members, own_durable_index: int) -> int:
        """Return the highest index that a quorum has on disk."""
        matches = [
            own_durable_index
            if voter == self.own_id
            else self.progress[voter].match_index
            for voter in members.voters
        ]
        matches.sort(reverse=True)
        return matches[quorum_size(members) - 1]

    def needs_snapshot(self, progress: Progress, commit_index: int) -> bool:
        """Return whether a follower lags too far to replay log entries."""
        held_index = progress.next_index - 1
        is_far = commit_index - held_index > MAX_REPLAY_ENTRIES
        return is_far or not self.log.holds_after(held_index)

    def is_snapshot_recent(self, commit_index: int) -> bool:
        """Return whether few committed entries follow the stored snapshot."""
        index = self.log.snapshot.index
        return index > 0 and commit_index - index <= MAX_REPLAY_ENTRIES

    def next_append(self, progress: Progress, commit_index: int) -> AppendRequest:
        """Return the next append for a follower; a heartbeat if it has no entries."""
        previous = progress.next_index - 1
        if progress.mode is Mode.SNAPSHOT:
            # Acts as a heartbeat; the empty prefix matches every log.
            return AppendRequest(
                previous_index=0,
                commit_index=0,
                round=self.round,
                command_version=COMMAND_VERSION,
            )
        request = AppendRequest(
            previous_index=previous,
            previous_term=self.log.term_at(previous),
            commit_index=commit_index,
            round=self.round,
            command_version=COMMAND_VERSION,
        )
        if not self.may_send_entries(progress):
            return request
        last = min(self.log.last_index, previous + MAX_APPEND_ENTRIES)
        request.entries.extend(
            self.log.slice(progress.next_index, last, MAX_APPEND_BYTES)
        )
        self._record_sent_entries(progress, previous + len(request.entries))
        return request

    def may_send_entries(self, progress: Progress) -> bool:
        """Return whether a follower lacks entries and its window is not full."""
        if progress.mode is not Mode.REPLICATE:
            return False
        is_behind = progress.next_index <= self.log.last_index
        return is_behind and len(progress.in_flight) < MAX_IN_FLIGHT_APPENDS

    def _record_sent_entries(self, progress: Progress, last_index: int) -> None:
        progress.in_flight.append(last_index)
        progress.next_index = last_index + 1

    def next_snapshot_chunk(self, progress: Progress) -> tuple[SnapshotRequest, int]:
        """Return the next snapshot chunk without data, and its length in bytes."""
        if progress.snapshot_index != self.log.snapshot.index:
            progress.enter_snapshot_mode(self.log.snapshot.index)
        remaining = self.log.snapshot_size_bytes - progress.snapshot_offset
        length = min(SNAPSHOT_CHUNK_BYTES, remaining)
        request = SnapshotRequest(
            metadata=self.log.snapshot,
            offset=progress.snapshot_offset,
            done=length == remaining,
            round=self.round,
        )
        return request, length
