"""Constants of the membership package."""

from typing import Final

DEFAULT_DETECTION_TIMEOUT_S: Final = 3.0
DEFAULT_LEASE_S: Final = 2.0

# Time without a report after which an entry is no longer considered live.
ENTRY_TIMEOUT_S: Final = 3.0
# Time for which the running attempts of a silent entry delay the drain of a group.
SILENT_ATTEMPTS_RETENTION_S: Final = 15.0
# Interval at which the leader tells the other controls all entries that it hears; it
# tells them of new ones at once.
ENTRY_ROSTER_INTERVAL_S: Final = 5.0
# Time within which all entries report to a leader that none has told of them.
ENTRY_DISCOVERY_S: Final = 6.0
# Age of announcements that are reported again to a control that has started: a group
# none of whose members is heard is kept for as long.
REPEATED_REPORT_MAX_AGE_S: Final = 60.0
# Time after which the record of a silent entry or host is removed.
ENTRY_RETENTION_S: Final = 600.0
HOST_RETENTION_S: Final = 3_600.0

# Added to the detection timeout while hosts that announced themselves to a failed
# control search for another one.
CONTROL_SEARCH_GRACE_S: Final = 1.2

# Time from the begin of a term in which entries expect the groups that the leader has
# yet to hear: an interval of announcements. Groups that appear later probably lost a
# member, and calls must not wait for them until their deadlines.
GROUP_DISCOVERY_S: Final = 1.0

# Fraction of the detection timeout after which a silent member of a stalled group
# counts as missing: its silence and the stall of its group confirm each other.
STALLED_TIMEOUT_FRACTION: Final = 0.65

# Silence of the leader after which an entry reports to all controls.
LEADER_SILENCE_TIMEOUT_S: Final = 0.9

# Minimum interval between exchanges of running attempt counts. It is a tenth of the
# usual answer time, so that few attempts start or end between two exchanges.
MIN_LOAD_EXCHANGE_INTERVAL_S: Final = 0.1
# Load messages per second that the leader receives, and that it sends; with more
# entries, each exchanges its counts less often.
LOAD_MESSAGES_PER_S: Final = 400.0
# Unchanged counts are resent after the interval; an entry ignores counts older than the
# expiry.
LOAD_RESEND_INTERVAL_S: Final = 0.5
LOAD_EXPIRY_S: Final = 1.2

# Window over which the minimum delay of reports is measured.
DELAY_WINDOW_S: Final = 30.0

# Bytes of texts that may be on their way to entries at a time. Heartbeats wait behind
# them on the leader's link, 0.15 s at 170 Mbit/s. Most of the bytes wait for the slower
# links of entries, so a smaller limit would leave the link of the leader idle.
MAX_UNCONFIRMED_TEXT_BYTES: Final = 3 * 1024 * 1024
# Time after which an unconfirmed text is sent to an entry again, and the limit up to
# which it doubles. The second repetition comes after a silent connection was reopened
# (`PEER_SILENCE_TIMEOUT_S` of the transport).
TEXT_RETRY_S: Final = 0.75
MAX_TEXT_RETRY_S: Final = 6.0

# Upper limit of the pause that an endpoint asks for in an answer.
MAX_PAUSE_S: Final = 300.0
# Time for which an endpoint's departure is remembered after no view lists it any more;
# longer than an entry takes to install the views of a new leader.
DEPARTURE_RETENTION_S: Final = 30.0

# Commands of this version and later ones include records of departures.
DEPARTURE_COMMAND_VERSION: Final = 2
# Age at which a recorded departure is dropped: by then nothing that was sent before it
# is still under way. Also the largest number of records, which bounds the snapshot.
RECORDED_DEPARTURE_RETENTION_S: Final = 3_600.0
MAX_RECORDED_DEPARTURES: Final = 16_384

# Addresses of other entries that an isolated entry gets.
MAX_RELAY_PEERS: Final = 16

# Superseded boots remembered per host.
MAX_SUPERSEDED_BOOTS: Final = 8
# Group removals whose versions a control keeps to build incremental views.
MAX_REMOVED_GROUPS: Final = 1_024
# Reports of an entry that may await an answer; beyond it, the oldest are dropped.
MAX_OUTSTANDING_REPORTS: Final = 64

# Length in characters of the identities of hosts and boots.
MAX_NAME_LENGTH: Final = 128
# Length in characters of names that operators choose, and of names made of them.
MAX_LABEL_LENGTH: Final = 1_024
MAX_ACCELERATORS: Final = 1_024
MAX_ADAPTERS: Final = 256
MAX_CACHE_EVENTS: Final = 65_536
# Addresses whose validation result is cached.
MAX_CACHED_ADDRESSES: Final = 8_192
MAX_COLD_REMAINING_MS: Final = 600_000
# Changes of the deadline of a cold host below this come from the transit of its
# announcements.
COLD_DEADLINE_JITTER_S: Final = 0.2
# Longest transit of an announcement. One that arrives later than this after the end of
# an evacuation was sent after that end.
ANNOUNCEMENT_TRANSIT_S: Final = 0.5
MAX_LOAD_COUNT: Final = 1_000_000
MAX_SEQUENCE: Final = 2**63
# Above the epochs of all groups.
LAST_EPOCH: Final = 2**63

KIND_ENGINE: Final = "engine"
KIND_SERVICE: Final = "service"

HOLDING_LOADING: Final = "loading"
HOLDING_READY: Final = "ready"
# The head of a group accepts calls; only engines that get an open order report it.
HOLDING_OPEN: Final = "open"
HOLDING_RELEASING: Final = "releasing"
HOLDING_BROKEN: Final = "broken"
HOLDING_PHASES: Final = frozenset(
    {
        HOLDING_LOADING,
        HOLDING_READY,
        HOLDING_OPEN,
        HOLDING_RELEASING,
        HOLDING_BROKEN,
    }
)


def detection_bound_s(detection_timeout_s: float, lease_s: float) -> float:
    """Return the longest time a group may get new work after it lost a member.

    Parameters
    ----------
    detection_timeout_s : float
        Silence in seconds after which a host counts as missing.
    lease_s : float
        Serving lease of an entry in seconds.

    Returns
    -------
    float
        The bound in seconds, counted from the last announcement.
    """
    return detection_timeout_s + lease_s
