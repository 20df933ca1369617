"""Durable state read from a data folder on opening."""

import attrs

from chestnutvale.schema.raft_pb2 import HardState, LogEntry, SnapshotMetadata


@attrs.define
class StoredState:
    """Durable state of one voter.

    Parameters
    ----------
    hard_state : HardState
        Term and vote.
    snapshot : SnapshotMetadata
        Metadata of the newest snapshot; index 0 if there is none.
    snapshot_size_bytes : int
        Size of the snapshot's data in bytes.
    entries : list of LogEntry
        Entries after the snapshot, without a gap.
    """

    hard_state: HardState = attrs.field(factory=HardState)
    snapshot: SnapshotMetadata = attrs.field(factory=SnapshotMetadata)
    snapshot_size_bytes: int = 0
    entries: list[LogEntry] = attrs.field(factory=list)
