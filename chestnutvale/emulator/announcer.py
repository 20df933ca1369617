"""The task that announces an endpoint to the entries."""

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
from chestnutvale.emulator.http import to_dict
from chestnutvale.schema.membership_pb2 import Announcement, CacheEvents, Load

_LOGGER = logbook.Logger(__name__)

# Time between two samples of the load, and the longest wait for a change.
LOAD_SAMPLE_INTERVAL_S = 0.1


class DelayedLoadReports:
    """Gives load reports that are old by a fixed lag.

    Parameters
    ----------
    lag_s : float
        Age of a report in seconds.
    """

    def __init__(self, lag_s: float) -> None:
        self._lag_s = lag_s
        self._samples: deque[tuple[float, Load]] = deque()

    def record(self, load: Load, now_s: float) -> None:
        """Keep a sample taken now."""
        self._samples.append((now_s, load))
        while len(self._samples) > 1 and self._samples[1][0] <= now_s - self._lag_s:
            self._samples.popleft()

    def report(self) -> Load | None:
        """Return the sample that is as old as the lag, or the oldest."""
        return self._samples[0][1] if self._samples else None


class DelayedCacheEvents:
    """Hands out cache events late and with gaps.

    Parameters
    ----------
    lag_s : float
        Time in seconds before an event may be told.
    gap_share : float
        Share of reports that are lost, between 0 and 1.
    random_source : random.Random
        Decides which are lost.
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

    def record(self, added: list[int], removed: list[int], now_s: float) -> None:
        """Keep changes of the cache until they are due."""
        if added or removed:
            self._pending.append((now_s + self._lag_s, added, removed))

    def report(self, now_s: float) -> CacheEvents | None:
        """Return the events that are due, None if there are none or a gap.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        CacheEvents or None
            The events with their sequence numbers.
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
    """One announcement that an entry has taken."""

    sequence: int
    entry: str


class Announcer:
    """Announces an endpoint to one entry after the other; a context manager.

    Parameters
    ----------
    entries : list of str
        IP number and port of each entry.
    make_announcement : callable
        Returns the `Announcement` of this moment, without its sequence.
    record_sample : callable
        Called each 100 ms, for samples of the load.
    random_source : random.Random
        Picks the entry.

    Attributes
    ----------
    drops_announcements : bool
        Set to lose all announcements on the way.
    last_accepted : AcceptedAnnouncement or None
        The last one that was taken.
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
        """Start announcing."""
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
        """Stop announcing."""
        for task in self._tasks:
            task.kill()
        self._http.clear()

    def request_announcement(self) -> None:
        """Announce a change without waiting for the next time."""
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
        body = json.dumps(to_dict(announcement)).encode()
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
                _LOGGER.debug("Entry {} answered {}", entry, response.data[:200])
                return None
            answer = response.json()
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            _LOGGER.debug("Entry {} took no announcement: {}", entry, error)
            return None
        return answer if isinstance(answer, dict) else None
