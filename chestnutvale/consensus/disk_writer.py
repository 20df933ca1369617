"""Task that writes to disk in order and batches writes into one sync."""

import atexit
from collections.abc import Callable, Sequence

import eventlet
import logbook
from eventlet import queue, tpool

from chestnutvale.consensus.events import (
    Event,
    InstallSnapshot,
    PersistLog,
    SnapshotSaved,
    WritePersisted,
)
from chestnutvale.consensus.exceptions import ConsensusFailedError
from chestnutvale.exceptions import ChestnutError
from chestnutvale.schema.raft_pb2 import HardState, LogEntry, SnapshotMetadata
from chestnutvale.storage.exceptions import StorageError, StorageFullError
from chestnutvale.storage.store import DataStore

_LOGGER = logbook.Logger(__name__)

# Seconds that a stopping writer may take to finish pending writes.
STOP_TIMEOUT_S = 5.0
# Seconds between two attempts to write to a full disk.
FULL_DISK_RETRY_S = 0.25


class SaveSnapshot:
    """Request to save a snapshot of this member's own state.

    Parameters
    ----------
    metadata : SnapshotMetadata
        Index, term and members of the snapshot.
    data : bytes
        Serialised state.
    """

    def __init__(self, metadata: SnapshotMetadata, data: bytes) -> None:
        self.metadata = metadata
        self.data = data


WriteRequest = PersistLog | InstallSnapshot | SaveSnapshot


class DiskWriter:
    """Runs write requests in order in a thread, so that eventlet's hub never blocks.

    A write to a full disk is repeated until there is space; until then it is pending,
    like a write to a disk that hangs.

    Parameters
    ----------
    storage : DataStore
        Data folder to write to.
    report : callable
        Receives the event that reports a finished write.
    fail : callable
        Receives the error of the first failed write; no write follows it.
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
        self._requests: queue.LightQueue = queue.LightQueue()
        self._is_stopping = False
        self._task: eventlet.greenthread.GreenThread | None = None

    def start(self) -> None:
        """Start the writing task."""
        self._task = eventlet.spawn(self._run)

    def stop(self) -> None:
        """Finish the submitted writes and stop the task."""
        if self._task is None:
            return
        self._is_stopping = True
        self._requests.put(None)
        with eventlet.Timeout(STOP_TIMEOUT_S, False):
            self._task.wait()
        if not self._task.dead:
            self._abandon_write()
        self._task.kill()
        self._task = None

    @staticmethod
    def _abandon_write() -> None:
        """Let the process exit without the thread whose write does not finish."""
        _LOGGER.error(
            "A write to the data folder did not finish within {} s; leaving it",
            STOP_TIMEOUT_S,
        )
        # tpool waits for its threads when the process exits.
        atexit.unregister(tpool.killall)

    def submit(self, request: WriteRequest) -> None:
        """Queue a write; never blocks."""
        self._requests.put(request)

    def _run(self) -> None:
        while True:
            requests = [self._requests.get()]
            while not self._requests.empty():
                requests.append(self._requests.get_nowait())
            is_stopping = None in requests
            try:
                self._write_requests(
                    [request for request in requests if request is not None]
                )
            except StorageError as error:
                _LOGGER.critical(
                    "Write to the data folder failed; this control stops "
                    "participating: {}",
                    error,
                )
                self._fail(error)
                return
            except Exception as error:
                _LOGGER.exception(
                    "Disk writer task failed; this control stops participating"
                )
                self._fail(ConsensusFailedError(str(error)))
                return
            if is_stopping:
                return

    def _write_requests(self, requests: Sequence[WriteRequest]) -> None:
        pending: list[PersistLog] = []
        for request in requests:
            if isinstance(request, PersistLog):
                pending.append(request)
                continue
            self._write_batch(pending)
            pending = []
            self._write_snapshot(request)
        self._write_batch(pending)

    def _write_batch(self, requests: Sequence[PersistLog]) -> None:
        """Write several requests with one sync."""
        if not requests:
            return
        hard_state: HardState | None = None
        entries: list[LogEntry] = []
        for request in requests:
            hard_state = request.hard_state or hard_state
            entries.extend(request.entries)
        self._execute(self._storage.write, hard_state, entries)
        self.syncs += 1
        self._report(WritePersisted(requests[-1].write_id))

    def _write_snapshot(self, request: InstallSnapshot | SaveSnapshot) -> None:
        if isinstance(request, InstallSnapshot):
            self._execute(
                self._storage.install_snapshot, request.metadata, request.data
            )
            self._report(WritePersisted(request.write_id))
            return
        self._execute(self._storage.save_snapshot, request.metadata, request.data)
        self._report(SnapshotSaved(request.metadata, len(request.data)))

    def _execute(self, write: Callable[..., None], *arguments: object) -> None:
        """Run a write in a thread; repeat it while the disk is full."""
        refusals = 0
        while True:
            try:
                tpool.execute(write, *arguments)
            except StorageFullError as error:
                if self._is_stopping:
                    raise
                if not refusals:
                    _LOGGER.error("Writes wait until the disk has space: {}", error)
                refusals += 1
                eventlet.sleep(FULL_DISK_RETRY_S)
            else:
                break
        if refusals:
            _LOGGER.info("The disk has space again after {} refusals", refusals)
