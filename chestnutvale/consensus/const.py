"""Timeouts and limits of the replicated log."""

from typing import Final

DEFAULT_ELECTION_TIMEOUT_S: Final = 1.0
DEFAULT_HEARTBEAT_INTERVAL_S: Final = 0.1
# Fraction of the election timeout that a leader lease lasts; the remainder is a
# margin for clock drift between controls.
LEASE_TIMEOUT_FRACTION: Final = 0.9
# Spread of the first campaigns of restarted members, as a fraction of the election
# timeout; several round trips and disk syncs, so that they rarely split the votes.
FIRST_ELECTION_SPREAD: Final = 0.4
# Bounds of the pause before another pre-vote, as fractions of the election timeout.
# Members that start one after the other may vote only some moments after the first of
# them has asked.
PRE_VOTE_RETRY_MIN_FRACTION: Final = 0.2
PRE_VOTE_RETRY_MAX_FRACTION: Final = 0.4
# A follower that lags by more entries than this receives a snapshot.
MAX_REPLAY_ENTRIES: Final = 256
# Largest lag at which a learner may still be promoted.
MAX_PROMOTE_LAG_ENTRIES: Final = 64
# Limits of one AppendEntries message.
MAX_APPEND_ENTRIES: Final = 512
MAX_APPEND_BYTES: Final = 512 * 1024
# Unacknowledged append messages allowed per follower.
MAX_IN_FLIGHT_APPENDS: Final = 32
SNAPSHOT_CHUNK_BYTES: Final = 256 * 1024
# Heartbeat intervals after which an unacknowledged snapshot chunk is resent.
CHUNK_RETRY_HEARTBEATS: Final = 5
# Log size that triggers a snapshot.
DEFAULT_SNAPSHOT_ENTRIES: Final = 4_096
DEFAULT_SNAPSHOT_BYTES: Final = 8 * 1024 * 1024

# Heartbeat intervals that count at most between two checks of a silence or of a write.
MAX_SILENCE_STEP_HEARTBEATS: Final = 2
# Seconds without progress after which a pending write counts as stalled.
DEFAULT_WRITE_STALL_TIMEOUT_S: Final = 5.0

# Seconds without contact after which a voter is considered lost.
DEFAULT_VOTER_LOST_S: Final = 30.0
# Seconds without contact after which a learner is removed.
LEARNER_REMOVAL_TIMEOUT_S: Final = 3_600.0
JOIN_INTERVAL_S: Final = 0.5
# Age in seconds up to which a join request is considered current.
JOIN_REQUEST_MAX_AGE_S: Final = 5.0
# Time after which no message of a process that was lost is still under way.
BOOTSTRAP_TAKEOVER_DELAY_S: Final = 1.0
REPLACEMENT_INTERVAL_S: Final = 0.25

BODY_RAFT: Final = "raft"
STEP_PROPOSE: Final = "propose"
STEP_READ: Final = "read"
STEP_MEMBERS: Final = "members"
# Newest version of the commands that this build can read, and the first that has a
# number. Raise it with every command that older builds would skip.
COMMAND_VERSION: Final = 3
IDENTITY_SEPARATOR: Final = "#"
