"""Measure log growth, snapshots and recovery for several lengths of the history.

Run with ``python -m benchmarks.storage_growth --folder FOLDER-ON-THE-DISK``.
"""

import random
import shutil
import time
from pathlib import Path

import defopt
from tabulate import tabulate

from chestnutvale.consensus.config import RaftConfig
from chestnutvale.consensus.raft import Raft
from chestnutvale.schema.raft_pb2 import HardState, LogEntry, SnapshotMetadata
from chestnutvale.schema.settings_pb2 import ControlSettings
from chestnutvale.storage.store import DataStore

RECORD_BYTES = 200
BATCH_ENTRIES = 64


def make_settings(folder: Path) -> ControlSettings:
    """Make the settings of a control that stores its data in a folder."""
    return ControlSettings(cluster_id="bench", control_id="c0", data_folder=str(folder))


def append_entries(folder: Path, first: int, count: int) -> None:
    """Append entries to the log in batches, each synced to disk."""
    with DataStore(make_settings(folder)) as store:
        for start in range(first, first + count, BATCH_ENTRIES):
            stop = min(start + BATCH_ENTRIES, first + count)
            entries = [
                LogEntry(index=index, term=1, data=random.randbytes(RECORD_BYTES))
                for index in range(start, stop)
            ]
            store.write(HardState(term=1), entries)


def measure_size_bytes(folder: Path) -> int:
    """Return the total size of all files in a folder."""
    return sum(path.stat().st_size for path in folder.iterdir())


def measure_recovery_s(folder: Path) -> float:
    """Return the time in seconds to open a data folder and restore its log."""
    start_s = time.monotonic()
    with DataStore(make_settings(folder)) as store:
        Raft("c0#0", store.state, RaftConfig(), random.Random(0), 0.0)
        store.load_snapshot()
    return time.monotonic() - start_s


def measure_history(folder: Path, count: int) -> dict[str, float]:
    """Measure a log before and after a snapshot of its complete history."""
    shutil.rmtree(folder, ignore_errors=True)
    append_entries(folder, 1, count)
    log_bytes = measure_size_bytes(folder)
    recovery_s = measure_recovery_s(folder)
    with DataStore(make_settings(folder)) as store:
        store.save_snapshot(SnapshotMetadata(index=count, term=1), b"state")
    return {
        "entries": count,
        "log B/entry": log_bytes / count,
        "recovery ms": recovery_s * 1000,
        "size after snapshot": measure_size_bytes(folder),
        "recovery after ms": measure_recovery_s(folder) * 1000,
    }


def measure_snapshot(folder: Path, size_mb: int) -> dict[str, float]:
    """Measure how long a snapshot of a given size takes to save and to load."""
    shutil.rmtree(folder, ignore_errors=True)
    data = random.randbytes(size_mb * 1_000_000)
    with DataStore(make_settings(folder)) as store:
        start_s = time.monotonic()
        store.save_snapshot(SnapshotMetadata(index=1, term=1), data)
        save_end_s = time.monotonic()
    recovery_s = measure_recovery_s(folder)
    return {
        "state MB": size_mb,
        "file MB": measure_size_bytes(folder) / 1e6,
        "save ms": (save_end_s - start_s) * 1000,
        "recovery ms": recovery_s * 1000,
    }


def main(
    *,
    folder: str = "build/bench/growth",
    histories: str = "1000,4000,16000,64000",
    sizes_mb: str = "1,10,50",
) -> None:
    """Print log growth and recovery times, then snapshot times by size."""
    path = Path(folder)
    path.parent.mkdir(parents=True, exist_ok=True)
    counts = [int(text) for text in histories.split(",")]
    rows = [measure_history(path, count) for count in counts]
    print(tabulate(rows, headers="keys", floatfmt=".1f"))
    state_sizes_mb = [int(text) for text in sizes_mb.split(",")]
    rows = [measure_snapshot(path, size_mb) for size_mb in state_sizes_mb]
    print(tabulate(rows, headers="keys", floatfmt=".1f"))
    shutil.rmtree(path)


if __name__ == "__main__":
    defopt.run(main)
