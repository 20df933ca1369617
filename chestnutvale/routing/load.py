"""Load of one group: its last report and the requests sent since."""

from collections import deque

import attrs

from chestnutvale.membership.const import LOAD_EXPIRY_S
from chestnutvale.routing.const import SENT_EXPIRY_S
from chestnutvale.schema.membership_pb2 import Load


@attrs.define
class SentRequest:
    """A request that this entry sent to the group.

    Attributes
    ----------
    tokens : int
        Predicted tokens of prompt and answer.
    urgent : bool
        Whether the request is of urgent priority.
    sent_s : float
        Monotonic time of sending in seconds.
    """

    tokens: int
    urgent: bool
    sent_s: float


@attrs.define
class GroupLoad:
    """Reported load plus the requests that this entry sent since the report."""

    reported: Load = attrs.field(factory=Load)
    measured_s: float = float("-inf")
    peer_running: int = 0
    peer_running_until_s: float = float("-inf")
    peer_interval_s: float | None = None
    since_s: float = float("-inf")
    in_flight: dict[str, SentRequest] = attrs.field(factory=dict)
    _unanswered: dict[str, SentRequest] = attrs.field(factory=dict)
    _sent_since_report: deque[SentRequest] = attrs.field(factory=deque)
    _tokens_since_report: int = 0

    def report(self, load: Load, measured_s: float) -> None:
        """Store a load report measured at `measured_s`; older reports are ignored."""
        if measured_s < self.measured_s:
            return
        self.reported = load
        self.measured_s = measured_s
        self._forget_sends(measured_s)

    def update_peer_running(self, running: int, now_s: float) -> None:
        """Update the number of requests that other entries run at the group."""
        if now_s < self.peer_running_until_s:
            self.peer_interval_s = self.peer_age_s(now_s)
        self.peer_running = running
        self.peer_running_until_s = now_s + LOAD_EXPIRY_S

    def peer_age_s(self, now_s: float) -> float:
        """Return the time in seconds since the count of other entries was received."""
        return now_s - (self.peer_running_until_s - LOAD_EXPIRY_S)

    def describe(self, now_s: float) -> dict[str, int | None]:
        """Return running requests and the age of the peers' count, for the log."""
        is_known = now_s < self.peer_running_until_s
        age_s = self.peer_age_s(now_s)
        return {
            "running_here": len(self.in_flight),
            "running_elsewhere": self.peer_running if is_known else None,
            "elsewhere_age_ms": round(1_000 * age_s) if is_known else None,
        }

    def record_sent(self, request_id: str, sent: SentRequest) -> None:
        """Record a request that was sent to the group."""
        self.in_flight[request_id] = sent
        self._unanswered[request_id] = sent
        self._sent_since_report.append(sent)
        self._tokens_since_report += sent.tokens
        # Without load reports, sent requests would otherwise accumulate for ever.
        self._forget_sends(sent.sent_s - SENT_EXPIRY_S)

    def pop_first_token_latency_s(self, request_id: str, now_s: float) -> float | None:
        """Return the time to first token in seconds; None if already recorded."""
        sent = self._unanswered.pop(request_id, None)
        return None if sent is None else now_s - sent.sent_s

    def oldest_unanswered_s(self, now_s: float) -> float:
        """Return the longest current wait for a first token in seconds."""
        oldest = next(iter(self._unanswered.values()), None)
        return 0.0 if oldest is None else now_s - oldest.sent_s

    def record_finished(self, request_id: str) -> SentRequest | None:
        """Remove a request that ended, and return it if it was known."""
        self._unanswered.pop(request_id, None)
        return self.in_flight.pop(request_id, None)

    @property
    def has_memory(self) -> bool:
        """Whether `pressure` is a fraction of KV cache memory, not a request count."""
        return bool(self.reported.kv_capacity_tokens)

    def pressure(
        self, extra_tokens: int, mean_tokens: float, now_s: float = float("inf")
    ) -> float:
        """Return the expected KV cache utilisation as a fraction of the capacity.

        For engines that report no KV cache it is the number of requests at the group.

        Parameters
        ----------
        extra_tokens : int
            Tokens of the request to place.
        mean_tokens : float
            Mean tokens of a request; each queued request counts as this many.
        now_s : float, optional
            Monotonic time in seconds. By default the counts of other entries are
            treated as expired.
        """
        used = self.reported.kv_used_tokens + self.reported.waiting * mean_tokens
        capacity = self.reported.kv_capacity_tokens
        if not capacity and now_s < self.peer_running_until_s:
            return float(self.peer_running + len(self.in_flight))
        if not capacity:
            queued = self.reported.running + self.reported.waiting
            return float(
                max(queued + len(self._sent_since_report), len(self.in_flight))
            )
        return (used + self._tokens_since_report + extra_tokens) / capacity

    def _forget_sends(self, until_s: float) -> None:
        while self._sent_since_report and self._sent_since_report[0].sent_s <= until_s:
            self._tokens_since_report -= self._sent_since_report.popleft().tokens
