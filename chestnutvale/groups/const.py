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

# Time for which an order is worth carrying out, and its answer is waited for.
ORDER_LIFETIME_S: Final = 5.0
ORDER_TIMEOUT_S: Final = 2.0
ORDER_RETRY_MIN_S: Final = 0.25
ORDER_RETRY_MAX_S: Final = 5.0
# A host that accepted an order but does not announce it is told again.
ORDER_RECHECK_S: Final = 5.0

# Longest time a leader lease may run; a new leader waits it out.
DEFAULT_LEADER_LEASE_S: Final = 2.0
# Time for which running requests of a draining group are waited for.
DEFAULT_DRAIN_TIMEOUT_S: Final = 120.0
# Time after which the record of a host that never came back is dropped.
RELEASE_RETENTION_MS: Final = 86_400_000

# Time in seconds after which a living member that never took its order, or never
# finished loading, is replaced.
ORDER_UNREACHABLE_S: Final = 30.0
LOAD_TIMEOUT_S: Final = 600.0
# Time after which a plain host that went silent is dropped.
PLAIN_HOST_EXPIRY_S: Final = 60.0

# A domain is dark if at least this many of its owned hosts, and this share of
# them, are missing.
DOMAIN_OUTAGE_MIN_HOSTS: Final = 3
DOMAIN_OUTAGE_SHARE: Final = 0.75
# Share of the known entries that must report before hosts are judged missing.
MIN_LIVE_ENTRY_SHARE: Final = 0.5
# Losses of a host within the window that make it unsteady.
FLAPPING_MIN_LOSSES: Final = 3
FLAPPING_WINDOW_S: Final = 900.0
# Time in seconds that a change of members costs when no weights are loaded.
MEMBER_CHANGE_S: Final = 2.0

# Time in seconds after which a round is planned although nothing changed.
PLAN_INTERVAL_S: Final = 1.0
# Time in seconds after a host's last moment to be heard at which it is looked at again.
SILENCE_MARGIN_S: Final = 0.01

# Time in seconds that is added to an engine's stall time, for clocks and timers that
# run at different rates: a member has let go before its announcement says so.
HEAD_STALL_MARGIN_S: Final = 0.3

# Time in seconds after which a member of a pool's group that never took its order, or
# never became ready, is given up: orders may be carried out 12 s late, and a load of
# 16 s takes several times as long while many others run.
POOL_ORDER_TIMEOUT_S: Final = 14.0
POOL_READY_TIMEOUT_S: Final = 120.0
# Time in seconds without a new host after which a pool is taken to be complete: more
# than an engine takes between two announcements.
POOL_SETTLE_S: Final = 1.5
# Time in seconds over which the demand for a pool's models is smoothed: longer than a
# burst of refusals, shorter than weights take to load.
DEMAND_TIME_CONSTANT_S: Final = 3.0
# Time in seconds after which an order to stage weights that never showed is given up.
STAGE_TIMEOUT_S: Final = 90.0
# Time in seconds for which a host that can't stage now, as it loads other weights, is
# left alone; a load takes several times as long.
STAGE_BUSY_RETRY_S: Final = 5.0
# Fabric domains that a model with small groups has at least: one may go dark.
MIN_DOMAINS_PER_SERVICE: Final = 2
# A model is pressed this much harder than another before free hosts that have the
# other's weights at hand load its own, and at least this hard by itself: below it, its
# groups have places left.
REBALANCE_PRESSURE_RATIO: Final = 1.6
REBALANCE_MIN_PRESSURE: Final = 0.85
# Groups that a model keeps whatever others need, and the time in seconds between two
# groups that are given up for another model: weights take longer to load.
MIN_GROUPS_PER_SERVICE: Final = 2
REBALANCE_INTERVAL_S: Final = 5.0
# Time in seconds for which a model must be pressed that hard: a lost group is healed
# within it.
REBALANCE_DELAY_S: Final = 2.0

# Loads that are ordered at once, as a multiple of those that a weight store serves at
# full speed: it should not wait for the next order when a load ends.
LOAD_OVERCOMMIT_RATIO: Final = 1.25

# Time in seconds within which entries hear of a changed view and report again.
VIEW_PROPAGATION_S: Final = 0.7

# Commands proposed in one round; the rest follows in the next.
MAX_COMMANDS_PER_ROUND: Final = 32

# Ends of the reasons for which what a group runs is lost.
FAULT_MISSING: Final = "is missing"
FAULT_RESTARTED: Final = "was restarted"
