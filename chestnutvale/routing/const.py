"""Constants of routing."""

from typing import Final

# Assumed age of a load report that carries no age.
DEFAULT_REPORT_AGE_S: Final = 1.0
# Age at which a sent request no longer counts, even if no load report covers it.
SENT_EXPIRY_S: Final = 10.0

# Prefixes kept in the index per group; the least recently added are dropped first.
MAX_PREFIXES_PER_GROUP: Final = 4096
# Load that a full prefix hit subtracts from a group: a fraction of its KV cache, or a
# number of requests for a group that reports no KV cache.
PREFIX_HIT_DISCOUNT: Final = 0.3

# Minimum fraction of its normal traffic that a straggler receives, as a probe.
PROBE_SHARE: Final = 0.05
LATENCY_SMOOTHING: Final = 0.1
# Ratio to the median latency above which a group loses traffic.
STRAGGLER_RATIO: Final = 1.5
# A group that answers within this time is never a straggler.
STRAGGLER_MIN_S: Final = 0.3
# Time after which the traffic shares of groups are recomputed.
SHARES_EXPIRY_S: Final = 0.1
# Time without latency samples in which the traffic share of a straggler grows by one
# probe share, so that it is tried again.
STRAGGLER_FADE_S: Final = 30.0

# Share of its ordinary traffic with which a group begins that is or was cold, and the
# time after which it gets all of it: a worker that has just started is slow for some
# seconds.
SLOW_START_SHARE: Final = 0.5
SLOW_START_S: Final = 2.0

CANDIDATE_COUNT: Final = 2
# Penalty on the load of a group in another data centre: in requests, or as a fraction
# of its KV cache. Small, because one request more or less hardly changes the latency.
REMOTE_REQUESTS: Final = 1.5
REMOTE_MEMORY: Final = 0.05
# Penalty for each request beyond the slots of a group, in requests. Such a request
# waits for a running one to end, so a free slot in any other group is preferable.
QUEUED_REQUESTS: Final = 4.0

# Time without an event on any stream of a group after which it counts as stalled:
# several times one engine step, including a step that prefills a long prompt.
STALL_GAP_S: Final = 0.4
# The same before the first event of any stream; longer, as prompts queue in the engine.
STALL_FIRST_EVENT_S: Final = 0.9
# Time for which a stalled group gets no new requests. The failure detector finds lost
# hosts within this time.
STALL_HOLD_S: Final = 3.0
# Time without an event after which a stall is evidence of a lost member. It is longer
# than the pauses of healthy endpoints.
STALL_CONFIRMATION_S: Final = 2.0
# Age of an event up to which it proves that its group works: two report intervals of an
# entry plus the network delay of one report.
MAX_EVENT_AGE_S: Final = 1.2

# Different endpoints to which connections fail, without one that succeeds, before an
# entry counts as isolated. Fewer may be down by themselves.
ISOLATION_ENDPOINTS: Final = 3
# Shortest time from the first failure; several times what a probe of another one takes.
ISOLATION_CONFIRMATION_S: Final = 0.1
# Different endpoints that must be reached before it no longer does.
RECONNECTION_ENDPOINTS: Final = 2
# Time after its end for which calls that found no endpoint go on through a peer.
ISOLATION_MEMORY_S: Final = 1.0
# Time for which a failed connection counts.
UNREACHABLE_RETENTION_S: Final = 3.0

# Names of the load-balancing policies, as in the settings of an entry.
POLICY_LEAST_LOADED: Final = "least_loaded"
# Most candidates of one choice that are logged; those with the lowest costs come first.
MAX_LOGGED_CANDIDATES: Final = 4

# Number of recent answers over which the speed of a group is averaged.
SPEED_SAMPLES_KEPT: Final = 10
# Weight of the usual speed in the estimate for a group, in samples. The length of one
# answer says little, so a single sample must not halve the traffic of a group.
SPEED_PRIOR_SAMPLES: Final = 0.5
# Bound of the ratio between the speed of a group and the usual one; slower groups are
# left to the straggler detection.
MAX_SLOWNESS: Final = 10.0
# Running time of a request that is assumed before the first answer.
DEFAULT_RUN_S: Final = 1.0

POLICY_EVEN_LOAD: Final = "even_load"
# Expected wait in another data centre is longer than here by at least this if a request
# is sent there. Traffic between data centres is paid for by the byte.
REMOTE_WAIT_S: Final = 0.04
# Steps of the bisection of the share that is sent to other data centres: 1/256.
SPILL_STEPS: Final = 8
# Standard deviation of the number of requests at a group, besides what changed since
# the counts.
WAIT_DEVIATION: Final = 3.0
# Exponent with which the places of a slow group count less. With 1 the other groups
# fill up, with 0 a slow group runs as many requests as a fast one.
SLOWNESS_EXPONENT: Final = 0.5
# Time in which the load of a new group comes to count as it is.
NEW_GROUP_S: Final = 2.0
# Expected sends of other entries to each group since the counts, below which the counts
# are fresh enough to compare groups by them. 24 entries with counts that are 0.1 s old
# expect 1.3, 126 entries with counts that are 0.3 s old expect 3.5.
FRESH_SENDS: Final = 2.0

# Consecutive answers without end after which an endpoint is paused.
ENDLESS_ANSWERS_TO_PAUSE: Final = 3
# First and longest pause; each is twice as long as the one before.
MIN_ENDLESS_ANSWER_PAUSE_S: Final = 2.0
MAX_ENDLESS_ANSWER_PAUSE_S: Final = 30.0
# Time without such an answer after which the count of an endpoint is dropped.
ENDLESS_ANSWER_MEMORY_S: Final = 120.0
