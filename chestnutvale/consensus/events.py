"""Events that a Raft object handles and effects that it returns."""

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
    """Role of a member in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class ChangeKind(enum.Enum):
    """Kind of a membership change."""

    ADD_LEARNER = "add_learner"
    PROMOTE = "promote"
    REMOVE = "remove"


@attrs.frozen
class MembersChange:
    """A single-member change.

    Parameters
    ----------
    kind : ChangeKind
        Kind of the change.
    member_id : str
        Identity of the member.
    address : str
        Peer address; required to add a learner.
    by_operator : bool
        Whether an operator requested it, which also sets the wanted number
        of voters.
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
class Delayed:
    """This process ran late; messages may have arrived that are not read yet."""


@attrs.frozen
class Proposal:
    """A command to commit; effects refer to it by its request id."""

    request_id: int
    data: bytes


@attrs.frozen
class ProposeCommands:
    """Commands to propose in one batch."""

    proposals: Sequence[Proposal]


@attrs.frozen
class ProposeMembers:
    """A membership change to commit."""

    request_id: int
    change: MembersChange


@attrs.frozen
class ReadRequest:
    """A linearizable read of everything committed before the request."""

    request_id: int


@attrs.frozen
class WritePersisted:
    """All writes up to an id are on disk."""

    write_id: int


@attrs.frozen
class SnapshotSaved:
    """A snapshot of this member's own state is on disk."""

    metadata: SnapshotMetadata
    size_bytes: int


@attrs.frozen
class TransferLeadership:
    """Transfer leadership to another voter, such as before a shutdown."""


Event = (
    MessageReceived
    | Tick
    | Delayed
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
    """Write to the log, sync it, then report `WritePersisted`."""

    write_id: int
    hard_state: HardState | None
    entries: Sequence[LogEntry]


@attrs.frozen
class InstallSnapshot:
    """Install a leader's snapshot, then report `WritePersisted`."""

    write_id: int
    metadata: SnapshotMetadata
    data: bytes


@attrs.frozen
class ApplyEntries:
    """Apply committed entries in order."""

    entries: Sequence[LogEntry]


@attrs.frozen
class TakeSnapshot:
    """Take and save a snapshot of the current state."""

    metadata: SnapshotMetadata


@attrs.frozen
class RequestAppended:
    """A request was appended at this index in this term."""

    request_id: int
    index: int
    term: int


@attrs.frozen
class RequestRefused:
    """A request was not proposed; it is safe to retry."""

    request_id: int
    leader_id: str
    reason: str = ""


@attrs.frozen
class ReadReady:
    """A read may be served from state applied up to the index."""

    request_id: int
    index: int


@attrs.frozen
class LeadershipChanged:
    """The role, the term or the known leader has changed."""

    role: Role
    term: int
    leader_id: str
    # Why this member gave up its leadership; empty if it did not.
    reason: str = ""
    # What a member that is not the leader saw that caused the change; empty if it
    # heard from the leader that is named here.
    cause: str = ""


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
