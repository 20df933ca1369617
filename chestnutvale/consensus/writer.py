"""The task that writes to the disk in order, many writes behind one sync."""

from collections.abc import Callable, Sequence

import eventlet
import logbook
from eventlet import queue, tpool

from chestnutvale.consensus.events import (
    Event,
    InstallSnapshot,
    Persist,
    Persisted,
    SnapshotSaved,
)
from chestnutvale.consensus.exceptions import ConsensusFailedError
from chestnutvale.exceptions import ChestnutError
from chestnutvale.schema.raft_pb2 import HardState, LogEntry, SnapshotMetadata
from chestnutvale.storage.exceptions import StorageError
from chestnutvale.storage.store import DataStore

_LOGGER = logbook.Logger(__name__)

# Time in seconds that a stopping writer gets for what it is writing.
STOP_TIMEOUT_S = 5.0


class SaveSnapshot:
    """A snapshot of the own state to be saved.

    Parameters
    ----------
    metadata : SnapshotMetadata
        Its place in the log.
    data : bytes
        The state.
    """

    def __init__(self, metadata: SnapshotMetadata, data: bytes) -> None:
        self.metadata = metadata
        self.data = data


WriteOrder = Persist | InstallSnapshot | SaveSnapshot


class Writer:
    """Writes orders in turn, in another thread, so that the hub never blocks.

    Parameters
    ----------
    storage : DataStore
        Where to write.
    report : callable
        Takes the event that tells of a finished write.
    fail : callable
        Takes the error of the first failed write; nothing is written after it.
    """

    def __init__(
        self,
        storage: DataStore,
        report: Callable[[Event], None],
        fail: Callable[[ChestnutError], None],
    ) -> None:
        self.syncs = 0
        self._storage = storage
        self._report = report
        self._fail = fail
        self._orders: queue.LightQueue = queue.LightQueue()
        self._task: eventlet.greenthread.GreenThread | None = None

    def start(self) -> None:
        """Start the task."""
        self._task = eventlet.spawn(self._run)

    def stop(self) -> None:
        """Finish what was ordered and end the task."""
        if self._task is None:
            return
        self._orders.put(None)
        with eventlet.Timeout(STOP_TIMEOUT_S, False):
            self._task.wait()
        self._task.kill()
        self._task = None

    def order(self, order: WriteOrder) -> None:
        """Order a write; never blocks."""
        self._orders.put(order)

    def _run(self) -> None:
        while True:
            orders = [self._orders.get()]
            while not self._orders.empty():
                orders.append(self._orders.get_nowait())
            is_last = None in orders
            try:
                self._write_all([order for order in orders if order is not None])
            except StorageError as error:
                _LOGGER.critical("The data folder failed; voting ends: {}", error)
                self._fail(error)
                return
            except Exception as error:
                _LOGGER.exception("The writing task failed")
                self._fail(ConsensusFailedError(str(error)))
                return
            if is_last:
                return

    def _write_all(self, orders: Sequence[WriteOrder]) -> None:
        pending: list[Persist] = []
        for order in orders:
            if isinstance(order, Persist):
                pending.append(order)
                continue
            self._write_batch(pending)
            pending = []
            self._write_snapshot(order)
        self._write_batch(pending)

    def _write_batch(self, orders: Sequence[Persist]) -> None:
        """Write several orders behind one sync."""
        if not orders:
            return
        hard_state: HardState | None = None
        entries: list[LogEntry] = []
        for order in orders:
            hard_state = order.hard_state or hard_state
            entries.extend(order.entries)
        tpool.execute(self._storage.write, hard_state, entries)
        self.syncs += 1
        self._report(Persisted(orders[-1].ticket))

    def _write_snapshot(self, order: InstallSnapshot | SaveSnapshot) -> None:
        if isinstance(order, InstallSnapshot):
            tpool.execute(self._storage.install_snapshot, order.metadata, order.data)
            self._report(Persisted(order.ticket))
            return
        tpool.execute(self._storage.save_snapshot, order.metadata, order.data)
        self._report(SnapshotSaved(order.metadata, len(order.data)))
