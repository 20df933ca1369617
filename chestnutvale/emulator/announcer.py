"""Periodic announcements of an emulated endpoint to the entries."""

import json
import random
from collections import deque
from collections.abc import Callable
from types import TracebackType
from typing import Any, Self

import attrs
import eventlet
import logbook
import urllib3
from eventlet.event import Event

from chestnutvale.emulator.const import (
    ANNOUNCE_TIMEOUT_S,
    ANNOUNCEMENTS_PATH,
    DEFAULT_ANNOUNCE_INTERVAL_MS,
    MAX_CACHE_EVENTS,
)
from chestnutvale.emulator.http import message_to_dict
from chestnutvale.schema.membership_pb2 import Announcement, CacheEvents, Load

_LOGGER = logbook.Logger(__name__)

# Interval between two samples of the load and the cache; also the longest time until
# a change of them is seen.
LOAD_SAMPLE_INTERVAL_S = 0.1


class DelayedLoadReports:
    """Delays load reports by a fixed time.

    Parameters
    ----------
    lag_s : float
        Minimum age of a reported sample in seconds.
    """

    def __init__(self, lag_s: float) -> None:
        self._lag_s = lag_s
        self._samples: deque[tuple[float, Load]] = deque()

    def record_sample(self, load: Load, now_s: float) -> None:
        """Record a load sample; ``now_s`` is a monotonic time in seconds."""
        self._samples.append((now_s, load))
        while len(self._samples) > 1 and self._samples[1][0] <= now_s - self._lag_s:
            self._samples.popleft()

    def find_due_sample(self) -> Load | None:
        """Return the newest sample older than the lag, or else the oldest sample.

        None means that no sample has been recorded yet.
        """
        return self._samples[0][1] if self._samples else None


class DelayedCacheEvents:
    """Reports prefix cache events with a delay and with gaps in the sequence.

    Parameters
    ----------
    lag_s : float
        Delay of each event in seconds.
    gap_share : float
        Probability, from 0 to 1, that a report is lost.
    random_source : random.Random
        Source of the decision which reports are lost.

    Attributes
    ----------
    drops_events : bool
        Whether every report is lost.
    """

    def __init__(
        self, lag_s: float, gap_share: float, random_source: random.Random
    ) -> None:
        self.drops_events = False
        self._lag_s = lag_s
        self._gap_share = gap_share
        self._random = random_source
        self._sequence = 0
        self._pending: deque[tuple[float, list[int], list[int]]] = deque()

    def record_changes(
        self, added: list[int], removed: list[int], now_s: float
    ) -> None:
        """Queue added and removed prefix hashes until their delay has passed."""
        if added or removed:
            self._pending.append((now_s + self._lag_s, added, removed))

    def pop_due_events(self, now_s: float) -> CacheEvents | None:
        """Return the events that are due.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        CacheEvents or None
            The events with their sequence numbers; None if none is due or the
            report is lost. A lost report leaves a gap in the sequence numbers.
        """
        events = CacheEvents(first_sequence=self._sequence + 1)
        while self._pending and self._pending[0][0] <= now_s:
            if len(events.added) + len(events.removed) > MAX_CACHE_EVENTS:
                break
            _, added, removed = self._pending.popleft()
            self._sequence += len(added) + len(removed)
            events.added.extend(added)
            events.removed.extend(removed)
        events.last_sequence = self._sequence
        if events.last_sequence < events.first_sequence:
            return None
        if self.drops_events or self._random.random() < self._gap_share:
            return None
        return events


@attrs.frozen
class AcceptedAnnouncement:
    """Sequence number of an accepted announcement and address of its entry."""

    sequence: int
    entry: str


class Announcer:
    """Announces an endpoint periodically; a context manager.

    Each announcement goes to the entries in random order until one accepts it.

    Parameters
    ----------
    entries : list of str
        IP address and port of each entry.
    make_announcement : callable
        Returns the current `Announcement`, without its sequence number.
    record_sample : callable
        Called every `LOAD_SAMPLE_INTERVAL_S` seconds to sample the load.
    random_source : random.Random
        Source of the order in which entries are tried.

    Attributes
    ----------
    drops_announcements : bool
        Whether announcements are discarded instead of sent.
    last_accepted : AcceptedAnnouncement or None
        The last announcement that an entry accepted.
    """

    def __init__(
        self,
        entries: list[str],
        make_announcement: Callable[[], Announcement],
        record_sample: Callable[[], None],
        random_source: random.Random,
    ) -> None:
        self.drops_announcements = False
        self.last_accepted: AcceptedAnnouncement | None = None
        self._entries = entries
        self._make_announcement = make_announcement
        self._record_sample = record_sample
        self._random = random_source
        self._sequence = 0
        self._changed = Event()
        self._interval_s = DEFAULT_ANNOUNCE_INTERVAL_MS / 1e3
        self._http = urllib3.PoolManager(
            maxsize=1, retries=False, timeout=ANNOUNCE_TIMEOUT_S
        )
        self._tasks: list[eventlet.greenthread.GreenThread] = []

    def __enter__(self) -> Self:
        """Start the announcement and sampling tasks."""
        self._tasks = [
            eventlet.spawn(self._run_announcements),
            eventlet.spawn(self._run_sampling),
        ]
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop the tasks and close the connections to the entries."""
        for task in self._tasks:
            task.kill()
        self._http.clear()

    def request_announcement(self) -> None:
        """Announce a change now instead of at the next interval."""
        if not self._changed.ready():
            self._changed.send()

    def _run_sampling(self) -> None:
        while True:
            self._record_sample()
            eventlet.sleep(LOAD_SAMPLE_INTERVAL_S)

    def _run_announcements(self) -> None:
        while True:
            self._send_announcement()
            with eventlet.Timeout(self._interval_s, False):
                self._changed.wait()
            self._changed = Event()

    def _send_announcement(self) -> None:
        announcement = self._make_announcement()
        self._sequence += 1
        announcement.sequence = self._sequence
        if self.drops_announcements:
            return
        body = json.dumps(message_to_dict(announcement)).encode()
        for entry in self._random.sample(self._entries, len(self._entries)):
            answer = self._post(entry, body)
            if answer is not None:
                self.last_accepted = AcceptedAnnouncement(self._sequence, entry)
                interval_ms = answer.get("next_announcement_ms")
                if isinstance(interval_ms, int) and interval_ms > 0:
                    self._interval_s = interval_ms / 1e3
                return

    def _post(self, entry: str, body: bytes) -> dict[str, Any] | None:
        try:
            response = self._http.request(
                "POST",
                f"http://{entry}{ANNOUNCEMENTS_PATH}",
                body=body,
                headers={"Content-Type": "application/json"},
            )
            if response.status != 200:
                _LOGGER.debug(
                    "Entry {} rejected an announcement with status {}: {}",
                    entry,
                    response.status,
                    response.data[:200],
                )
                return None
            answer = response.json()
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            _LOGGER.debug(
                "Sending an announcement to entry {} failed: {}", entry, error
            )
            return None
        return answer if isinstance(answer, dict) else None
