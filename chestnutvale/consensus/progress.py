"""Replication progress of one follower, as tracked by the leader."""

import enum
import math
from collections import deque

import attrs


class Mode(enum.Enum):
    """How the leader replicates to a follower."""

    PROBE = "probe"
    REPLICATE = "replicate"
    SNAPSHOT = "snapshot"


@attrs.define
class Progress:
    """Replication state of one follower.

    Parameters
    ----------
    next_index : int
        Index of the next entry to send.
    """

    next_index: int
    match_index: int = 0
    # Newest version of the commands that the follower can read, from its last reply;
    # None before the first one.
    command_version: int | None = None
    mode: Mode = Mode.PROBE
    # Monotonic time at which the newest acknowledged round was sent.
    acked_s: float = -math.inf
    acked_round: int = 0
    # Last index of each unacknowledged append.
    in_flight: deque[int] = attrs.field(factory=deque)
    snapshot_index: int = 0
    snapshot_offset: int = 0
    chunk_retry_at_s: float = 0.0

    def advance_match_index(self, match_index: int) -> None:
        """Record that the follower holds the log up to an index."""
        self.match_index = max(self.match_index, match_index)
        while self.in_flight and self.in_flight[0] <= self.match_index:
            self.in_flight.popleft()
        if self.mode is Mode.SNAPSHOT and self.match_index < self.snapshot_index:
            return
        if self.mode is not Mode.REPLICATE:
            self.mode = Mode.REPLICATE
            self.next_index = self.match_index + 1
        self.next_index = max(self.next_index, self.match_index + 1)

    def enter_probe_mode(self, hint_index: int) -> None:
        """Probe for the last index at which the logs match."""
        self.mode = Mode.PROBE
        self.in_flight.clear()
        self.next_index = max(hint_index, self.match_index) + 1

    def is_stale_rejection(self, rejected_index: int) -> bool:
        """Return whether a rejection belongs to an outdated append."""
        if rejected_index <= self.match_index or self.mode is Mode.SNAPSHOT:
            return True
        return self.mode is Mode.PROBE and rejected_index != self.next_index - 1

    def enter_snapshot_mode(self, index: int) -> None:
        """Start sending the snapshot at an index."""
        self.mode = Mode.SNAPSHOT
        self.in_flight.clear()
        self.snapshot_index = index
        self.snapshot_offset = 0
        self.chunk_retry_at_s = 0.0
