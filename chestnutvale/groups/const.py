"""Constants of the groups package."""

from typing import Final

PHASE_FORMING: Final = "forming"
PHASE_SERVING: Final = "serving"
PHASE_DRAINING: Final = "draining"
PHASE_RELEASING: Final = "releasing"

OUTCOME_DONE: Final = "done"
OUTCOME_CONFLICT: Final = "conflict"

ORDER_ASSIGN: Final = "assign"
ORDER_OPEN: Final = "open"
ORDER_STAGE: Final = "stage"
ORDER_RELEASE: Final = "release"

SERVICE_PLAIN: Final = "plain"

REPAIR_SPARE: Final = "spare"
REPAIR_MERGE: Final = "merge"
REPAIR_MOVE: Final = "move"

# Validity of an order, and how long to wait for the answer to it.
ORDER_LIFETIME_S: Final = 5.0
ORDER_TIMEOUT_S: Final = 2.0
ORDER_RETRY_MIN_S: Final = 0.25
ORDER_RETRY_MAX_S: Final = 5.0
# An accepted order is sent again if the host has not announced its effect by then.
ORDER_RECHECK_S: Final = 5.0

# Longest leader lease; a new leader waits until an earlier one must have expired.
DEFAULT_LEADER_LEASE_S: Final = 2.0
# How long a draining group may finish its running requests.
DEFAULT_DRAIN_TIMEOUT_S: Final = 120.0
# Retention of the release record of a host that never came back.
RELEASE_RETENTION_MS: Final = 86_400_000

# A live member is replaced if it has not taken its order, or has not finished loading,
# within these times.
ORDER_UNREACHABLE_S: Final = 30.0
LOAD_TIMEOUT_S: Final = 600.0
# The group of a plain host that went silent is removed after this time.
PLAIN_HOST_EXPIRY_S: Final = 60.0

# A fabric domain has failed if at least this many of the hosts owned by its groups,
# and this share of them, are missing.
DOMAIN_OUTAGE_MIN_HOSTS: Final = 3
DOMAIN_OUTAGE_SHARE: Final = 0.75
# Share of the known entries that must report before silent hosts count as missing.
MIN_LIVE_ENTRY_SHARE: Final = 0.5
# A host that is lost this often within the window is flapping.
FLAPPING_MIN_LOSSES: Final = 3
FLAPPING_WINDOW_S: Final = 900.0
# Time that a change of members takes when no weights are loaded.
MEMBER_CHANGE_S: Final = 2.0

# Longest time between two planning rounds when nothing changes.
PLAN_INTERVAL_S: Final = 1.0
# Delay after a host's detection deadline before the next round checks it.
SILENCE_MARGIN_S: Final = 0.01

# Added to an engine's stall time, as clocks and timers run at different rates; a member
# releases its group before it announces that.
HEAD_STALL_MARGIN_S: Final = 0.3

# A member of a pooled group is lost if it has not taken its order, or is not ready,
# within these times: orders may be carried out 12 s late, and a load that takes 16 s
# alone takes several times as long while many others run.
POOL_ORDER_TIMEOUT_S: Final = 14.0
POOL_READY_TIMEOUT_S: Final = 120.0
# A pool counts as complete when no new host has appeared for this long, which exceeds
# the interval between two announcements of an engine.
POOL_SETTLE_S: Final = 1.5
# Fraction of the detection timeout after which the next announcement of a host is
# overdue; longer than the interval between two.
OVERDUE_FRACTION: Final = 0.5
# Time from the first announcement of a group none of whose members was heard, within
# which the others announce themselves if they went on as well.
RETURN_GRACE_S: Final = 1.5
# Time between two rounds of decisions above which this control may have stood still.
MAX_ROUND_GAP_S: Final = 1.5
# Time for which a group with a silent member is kept while calls stay there, since they
# can't go on elsewhere and the member may only pause; for engines whose stall time is
# unknown.
RUNNING_CALLS_GRACE_S: Final = 1.0
# A pooled group none of whose members was heard for this long is dissolved.
UNHEARD_GROUP_EXPIRY_S: Final = 60.0
# Time constant of the exponential smoothing of demand: longer than a burst of
# rejected requests, shorter than a load of weights.
DEMAND_TIME_CONSTANT_S: Final = 3.0
# A staging order is abandoned if the staged weights are not announced by then.
STAGE_TIMEOUT_S: Final = 90.0
# A warm-up is ordered again if the host does not announce it by then; an order may be
# carried out 12 s late.
WARM_UP_RETRY_S: Final = 14.0
WARM_UP_GROUP_PREFIX: Final = "warm-up-"
# Delay before retrying a host that rejected staging because it loads other weights; a
# load takes several times as long.
STAGE_BUSY_RETRY_S: Final = 5.0
# A model may have at least this many fabric domains to itself, as one may fail.
MIN_DOMAINS_PER_SERVICE: Final = 2
# Hosts with staged weights of one model load those of another only if the pressure on
# the other model is higher by this ratio, and at least this high: below that, its
# groups have free capacity.
REBALANCE_PRESSURE_RATIO: Final = 1.6
REBALANCE_MIN_PRESSURE: Final = 0.85
# The same for weights that no group of the host's domain uses: nothing is given up for
# the load but the time of the weight store.
UNUSED_MIN_PRESSURE: Final = 0.5
# Groups that a model keeps whatever the demand for others, and the shortest time
# between two groups given up for another model: weights take longer than that to load.
MIN_GROUPS_PER_SERVICE: Final = 2
REBALANCE_INTERVAL_S: Final = 5.0
# How long the pressure must last before a group is given up; a lost group recovers
# within that time and needs no rebalancing.
REBALANCE_DELAY_S: Final = 2.0

# Concurrent loads as a multiple of those that the weight store serves at full speed,
# so that it does not idle until the next order when a load ends.
LOAD_OVERCOMMIT_RATIO: Final = 1.25

# Time within which a changed view reaches the entries and they report again.
VIEW_PROPAGATION_S: Final = 0.7

# Commands proposed per round; the remaining ones follow in the next round.
MAX_COMMANDS_PER_ROUND: Final = 32

# Suffix of the fault reasons that mean that a new leader has not heard a member yet.
FAULT_UNKNOWN: Final = "is not known yet"
# Fault reason of a group whose removal is proposed.
FAULT_DISSOLVING: Final = "the group is being dissolved"
# Suffixes of the fault reasons that suggest that a group's running requests are lost.
FAULT_MISSING: Final = "is missing"
FAULT_RESTARTED: Final = "was restarted"
