"""What goes into a Raft object and what comes out of it."""

import enum
from collections.abc import Sequence

import attrs

from chestnutvale.schema.raft_pb2 import (
    HardState,
    LogEntry,
    RaftMessage,
    SnapshotMetadata,
)


class Role(enum.Enum):
    """Part that a member plays in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class ChangeKind(enum.Enum):
    """Kind of a change of members."""

    ADD_LEARNER = "add_learner"
    PROMOTE = "promote"
    REMOVE = "remove"


@attrs.frozen
class MembersChange:
    """A change of one member.

    Parameters
    ----------
    kind : ChangeKind
        What changes.
    member_id : str
        Identity of the member.
    address : str
        Peer inbox; needed to add a learner.
    by_operator : bool
        An operator's change also moves the wanted number of voters.
    """

    kind: ChangeKind
    member_id: str
    address: str = ""
    by_operator: bool = False


@attrs.frozen
class MessageReceived:
    """A message from another member."""

    message: RaftMessage


@attrs.frozen
class Tick:
    """The deadline of `Raft.next_deadline_s` has passed."""


@attrs.frozen
class Proposal:
    """A command to commit; the answer names the request."""

    request_id: int
    data: bytes


@attrs.frozen
class ProposeCommands:
    """Commands that are proposed together."""

    proposals: Sequence[Proposal]


@attrs.frozen
class ProposeMembers:
    """A change of members to commit."""

    request_id: int
    change: MembersChange


@attrs.frozen
class ReadRequest:
    """A read that must see all that was committed before it was asked."""

    request_id: int


@attrs.frozen
class WritePersisted:
    """All writes up to a ticket are on the disk."""

    write_id: int


@attrs.frozen
class SnapshotSaved:
    """A snapshot of this member's own state is on the disk."""

    metadata: SnapshotMetadata
    size_bytes: int


@attrs.frozen
class TransferLeadership:
    """Hand leadership to another voter, as before a graceful shutdown."""


Event = (
    MessageReceived
    | Tick
    | ProposeCommands
    | ProposeMembers
    | ReadRequest
    | WritePersisted
    | SnapshotSaved
    | TransferLeadership
)


@attrs.frozen
class SendMessage:
    """Send a message; it may be lost."""

    message: RaftMessage


@attrs.frozen
class SendSnapshotChunk:
    """Fill a chunk from the stored snapshot and send it."""

    message: RaftMessage
    length: int


@attrs.frozen
class PersistLog:
    """Write to the log, sync it, then answer with `Persisted`."""

    write_id: int
    hard_state: HardState | None
    entries: Sequence[LogEntry]


@attrs.frozen
class InstallSnapshot:
    """Replace the state by a leader's snapshot and answer with `Persisted`."""

    write_id: int
    metadata: SnapshotMetadata
    data: bytes


@attrs.frozen
class ApplyEntries:
    """Apply committed entries in order."""

    entries: Sequence[LogEntry]


@attrs.frozen
class TakeSnapshot:
    """Take a snapshot of the state as it is now and save it."""

    metadata: SnapshotMetadata


@attrs.frozen
class RequestAppended:
    """A request was appended at this index in this term."""

    request_id: int
    index: int
    term: int


@attrs.frozen
class RequestRefused:
    """A request was certainly not proposed."""

    request_id: int
    leader_id: str
    reason: str = ""


@attrs.frozen
class ReadReady:
    """A read may be served from the state as applied up to the index."""

    request_id: int
    index: int


@attrs.frozen
class LeadershipChanged:
    """The role, the term or the known leader has changed."""

    role: Role
    term: int
    leader_id: str


Effect = (
    SendMessage
    | SendSnapshotChunk
    | PersistLog
    | InstallSnapshot
    | ApplyEntries
    | TakeSnapshot
    | RequestAppended
    | RequestRefused
    | ReadReady
    | LeadershipChanged
)
