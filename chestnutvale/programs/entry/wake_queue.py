"""Wakes the readers of streams in short slices, so that new calls get their turn."""

import time
from collections import deque
from typing import Any, Final, Protocol

from eventlet import hubs

# Longest time in seconds for which readers are woken before the hub looks for
# other work. An engine sends the tokens of all its streams at the same moment.
SLICE_S: Final = 0.001


class ResumableReader(Protocol):
    """A reader that waits for bytes that have arrived."""

    def resume(self) -> None:
        """Let the reader's task run until it waits again."""


class WakeQueue:
    """Holds the readers that have something to read, first come first served.

    Without it each reader would run as soon as its bytes arrive, and the steps of a
    new call would wait for all tokens of an engine's step. What arrives for a reader
    while it is queued is read together.

    Parameters
    ----------
    hub : eventlet hub
        Runs the slices.
    """

    def __init__(self, hub: Any) -> None:
        self._hub = hub
        self._readers: deque[ResumableReader] = deque()
        self._is_scheduled = False

    def add(self, reader: ResumableReader) -> None:
        """Queue a reader; it must not be queued already.

        Parameters
        ----------
        reader : ResumableReader
            The reader.
        """
        self._readers.append(reader)
        if not self._is_scheduled:
            self._schedule()

    def _schedule(self) -> None:
        self._is_scheduled = True
        self._hub.schedule_call_global(0, self._run_slice)

    def _run_slice(self) -> None:
        self._is_scheduled = False
        slice_end_s = time.monotonic() + SLICE_S
        try:
            while self._readers:
                self._readers.popleft().resume()
                if time.monotonic() >= slice_end_s:
                    break
        finally:
            # Also after an error in one reader's task the others must be woken.
            if self._readers and not self._is_scheduled:
                self._schedule()


_queues: dict[int, WakeQueue] = {}


def get_wake_queue() -> WakeQueue:
    """Return the queue of the running hub.

    Returns
    -------
    WakeQueue
        The one queue of this hub.
    """
    hub = hubs.get_hub()
    queue = _queues.get(id(hub))
    if queue is None or queue._hub is not hub:
        queue = WakeQueue(hub)
        _queues[id(hub)] = queue
    return queue
