"""Constants of the membership package."""

from typing import Final

DEFAULT_DETECTION_TIMEOUT_S: Final = 3.0
DEFAULT_LEASE_S: Final = 2.0

# Time without a report after which an entry no longer counts as live.
ENTRY_TIMEOUT_S: Final = 3.0
# Time after which an entry or a host that stays silent is forgotten.
ENTRY_RETENTION_S: Final = 600.0
HOST_RETENTION_S: Final = 3_600.0

# Time in seconds that is added to the detection timeout while hosts that announced
# themselves to a control that is gone look for another one.
CONTROL_SEARCH_GRACE_S: Final = 1.2

# Share of the detection timeout after which a member of a group that has stalled is
# missed: its silence and the group's go together.
STALLED_TIMEOUT_FRACTION: Final = 0.65

# Silence in seconds of the leading control after which an entry asks all controls.
LEADER_SILENCE_TIMEOUT_S: Final = 0.9

# Shortest time in seconds between two exchanges of what runs at each group: a tenth of
# what answers take, so that few begin or end unseen.
MIN_LOAD_EXCHANGE_INTERVAL_S: Final = 0.1
# Messages a second that the leading control takes for it, and sends; with more entries
# each of them tells less often.
LOAD_MESSAGES_PER_S: Final = 400.0
# Age in seconds up to which counts that did not change are not told again, and the age
# beyond which an entry does not go by them any more.
LOAD_RESEND_INTERVAL_S: Final = 0.5
LOAD_EXPIRY_S: Final = 1.2

# Window in seconds over which the shortest way of reports is measured.
DELAY_WINDOW_S: Final = 30.0

# Earlier lives of one host that are remembered.
MAX_SUPERSEDED_BOOTS: Final = 8
# Group changes of which a control keeps the version for views of changes only.
MAX_REMOVED_GROUPS: Final = 1_024
# Reports whose answer an entry still waits for.
MAX_OUTSTANDING_REPORTS: Final = 64

MAX_NAME_LENGTH: Final = 128
MAX_ACCELERATORS: Final = 1_024
MAX_ADAPTERS: Final = 256
MAX_CACHE_EVENTS: Final = 65_536
# Addresses whose check is remembered.
MAX_CACHED_ADDRESSES: Final = 8_192
MAX_LOAD_COUNT: Final = 1_000_000
MAX_SEQUENCE: Final = 2**63

KIND_ENGINE: Final = "engine"
KIND_SERVICE: Final = "service"

HOLDING_LOADING: Final = "loading"
HOLDING_READY: Final = "ready"
# The head of a group takes calls; only engines that are told to open say so.
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
    """Return how long a group may keep new work after it lost a member.

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
