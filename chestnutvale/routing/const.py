"""Constants of routing."""

from typing import Final

# Age that a load report is taken to have when the reporter gives none.
DEFAULT_REPORT_AGE_S: Final = 1.0
# Age at which a send is left out even if no report covers it.
SENT_EXPIRY_S: Final = 10.0

# Prefixes remembered for one group.
MAX_PREFIXES_PER_GROUP: Final = 4096
# Cost that a full prefix hit takes off, in seconds of queueing.
PREFIX_HIT_DISCOUNT: Final = 0.3

# Lowest share of its normal traffic that a straggler still gets as a probe.
PROBE_SHARE: Final = 0.05
LATENCY_SMOOTHING: Final = 0.1
# A group this many times slower than the median begins to lose traffic.
STRAGGLER_RATIO: Final = 1.5
# No group is a straggler while it answers within this time.
STRAGGLER_MIN_S: Final = 0.3
# Age at which the shares of groups are computed anew.
SHARES_EXPIRY_S: Final = 0.1
# Latency samples of a straggler fade, so that it is tried again.
STRAGGLER_FADE_S: Final = 30.0

CANDIDATE_COUNT: Final = 2
# By how much a group in another data centre counts as more loaded: in requests, or as a
# share of its memory. A place more or less does not change an answer's time by much.
REMOTE_REQUESTS: Final = 1.5
REMOTE_MEMORY: Final = 0.05
# Cost of each request beyond those that a group runs at once, in requests: it waits for
# one of them to end, so a place elsewhere is always better.
QUEUED_REQUESTS: Final = 4.0

# Silence in seconds of all streams of a group after which it has stalled: several
# times what a pass takes, also one that reads a long prompt.
STALL_GAP_S: Final = 0.4
# The same while none of them has begun: prompts wait for their turn in the engine.
STALL_FIRST_EVENT_S: Final = 0.9
# Time in seconds for which a group that has stalled gets no new work: its hosts are
# missed within it.
STALL_HOLD_S: Final = 3.0
# Age in seconds of an event up to which it shows that its group works: two reports of
# entries and the way of one.
MAX_EVENT_AGE_S: Final = 1.2
