"""Silence of one attempt, and when its call reconsiders the attempt."""

import math

import attrs

from chestnutvale.attempts.call_limits import CallLimits
from chestnutvale.attempts.const import LOST_GROUP_SILENCE_S, REASON_SILENT


@attrs.define
class AttemptSilence:
    """Tracks when bytes of an attempt arrive, and when it counts as silent.

    A silent attempt may only be late, and so may the announcements of the hosts that
    run it. So a reported loss of its group shortens the time after which it counts as
    silent, until its next event proves that the group works.

    Parameters
    ----------
    limits : CallLimits
        Limits on the attempts of the call.
    due_s : float
        Monotonic time in seconds at which the call reconsiders the attempt.
    reason : str
        Why it does: the silence, or the loss that was reported since the last event.
    """

    limits: CallLimits
    due_s: float = math.inf
    reason: str = REASON_SILENT
    _received_s: float = -math.inf
    _timeout_s: float = math.inf
    # Time by which an event must be complete whose first bytes have arrived.
    _event_due_s: float = math.inf

    def begin(self, now_s: float) -> None:
        """Record that an attempt was sent.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.
        """
        self._received_s = now_s
        self._timeout_s = self.limits.first_event_timeout_s
        self._event_due_s = math.inf
        self.reason = REASON_SILENT
        self.due_s = now_s + self._timeout_s

    def resume(self, now_s: float) -> None:
        """Record that an attempt which has sent bytes before is read again.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.
        """
        self.begin(now_s)
        self._timeout_s = self.limits.gap_timeout_s
        self.due_s = now_s + self._timeout_s

    def end(self) -> None:
        """Record that no attempt runs any more."""
        self.due_s = math.inf

    def record_arrival(self, has_events: bool, now_s: float) -> bool:
        """Record bytes of the attempt.

        Parameters
        ----------
        has_events : bool
            Whether they complete an event.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            Whether the attempt has sent bytes for too long without completing an event.
        """
        was_silent = self.elapsed_s(now_s) >= self._timeout_s
        self._received_s = now_s
        if has_events:
            self._timeout_s = self.limits.gap_timeout_s
            self._event_due_s = math.inf
            self.reason = REASON_SILENT
            self.due_s = now_s + self._timeout_s
            return False
        # A pause within an event does not count towards the time for its bytes.
        if was_silent or self._event_due_s == math.inf:
            self._event_due_s = now_s + self._timeout_s
        return now_s >= self._event_due_s

    def record_group_loss(self, reason: str, now_s: float) -> None:
        """Record that the group of the attempt was reported as lost.

        Parameters
        ----------
        reason : str
            What was reported.
        now_s : float
            Monotonic time in seconds.
        """
        self.reason = reason
        silent_at_s = self._received_s + LOST_GROUP_SILENCE_S
        self.due_s = min(self.due_s, max(now_s, silent_at_s))

    def postpone(self, now_s: float) -> None:
        """Set when the call reconsiders an attempt that it has kept.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.
        """
        self.due_s = now_s + self._recheck_interval_s

    def elapsed_s(self, now_s: float) -> float:
        """Return the time since the attempt began or its last bytes arrived.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        float
            Time in seconds.
        """
        return now_s - self._received_s

    @property
    def _recheck_interval_s(self) -> float:
        if self.reason == REASON_SILENT:
            return self._timeout_s
        return min(self._timeout_s, LOST_GROUP_SILENCE_S)
