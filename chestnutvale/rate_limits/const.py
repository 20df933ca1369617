"""Constants of the rate limits that endpoints name."""

from typing import Final

# Shortest time between two divisions of the limits, and the limits per second that the
# leader sends to all entries together; with more of both, it divides less often.
MIN_DIVISION_INTERVAL_S: Final = 0.1
LIMITS_SENT_PER_S: Final = 50_000.0
# Smallest share of a limit that an entry gets, in requests per second. Each entry may
# send one request at once, so a limit is divided among few entries only.
MIN_SHARE_PER_S: Final = 1.0
# Requests that an entry may send at once, plus the requests of this time at its share.
BURST_REQUESTS: Final = 1.0
BURST_S: Final = 0.25
# Rate at which an endpoint that wants no requests is still asked, since only its
# answers tell when that ends.
MIN_RATE_PER_S: Final = 0.2
# Time for which the end of a limit is remembered; longer than an earlier statement can
# be under way.
ENDED_RETENTION_S: Final = 10.0
# The same for a limit of an endpoint that no view lists any more.
UNLISTED_RETENTION_S: Final = 30.0
# Upper limit of a rate that an endpoint names.
MAX_RATE_PER_S: Final = 1e6
# Window of tokens whose requests may arrive within the same second at a cold endpoint;
# a request may be sent up to 0.1 s after its token is taken.
COLD_WINDOW_S: Final = 1.1
# Requests of the bound of a cold endpoint that are kept for entries that pause between
# taking a token and sending the request.
COLD_RESERVE_REQUESTS: Final = 2.0
# Most slots of a cold endpoint, which bounds the work of a division.
MAX_SLOTS: Final = 128
# Added to the serving lease of an entry before its slots are given to another one, for
# clocks that run at different rates.
SLOT_EXPIRY_MARGIN_S: Final = 0.1
