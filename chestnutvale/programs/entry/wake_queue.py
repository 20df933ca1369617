"""Resumes stream readers in short time slices, so that new calls are not delayed."""

import time
from collections import deque
from typing import Any, Final, Protocol

from eventlet import hubs

# Longest time for which readers are resumed before the hub runs other tasks. An engine
# sends the tokens of all its streams at the same moment.
SLICE_S: Final = 0.001


class ResumableReader(Protocol):
    """A reader whose greenlet waits for bytes."""

    def resume(self) -> None:
        """Run the reader's greenlet until it waits again."""


class WakeQueue:
    """FIFO queue of the readers whose bytes have arrived.

    Without the queue, each reader would run as soon as its bytes arrive, and a new call
    would wait until the tokens of all streams of an engine's step are handled. Bytes
    that arrive for a queued reader are read together.

    Parameters
    ----------
    hub : eventlet hub
        Schedules the slices.
    """

    def __init__(self, hub: Any) -> None:
        self._hub = hub
        self._readers: deque[ResumableReader] = deque()
        self._is_scheduled = False

    def add(self, reader: ResumableReader) -> None:
        """Append a reader, which must not be in the queue.

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
            # The other readers must be resumed even if this one raised an exception.
            if self._readers and not self._is_scheduled:
                self._schedule()


_queues: dict[int, WakeQueue] = {}


def get_wake_queue() -> WakeQueue:
    """Return the queue of the current thread's hub, created on first use.

    Returns
    -------
    WakeQueue
        The queue that all readers of this hub share.
    """
    hub = hubs.get_hub()
    queue = _queues.get(id(hub))
    if queue is None or queue._hub is not hub:
        queue = WakeQueue(hub)
        _queues[id(hub)] = queue
    return queue
