"""Measures log growth, snapshots and recovery against the length of history.

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
    """Return the settings of a control that keeps its data in a folder."""
    return ControlSettings(cluster_id="bench", control_id="c0", data_folder=str(folder))


def append_entries(folder: Path, first: int, count: int) -> None:
    """Append entries in synced batches."""
    with DataStore(make_settings(folder)) as store:
        for start in range(first, first + count, BATCH_ENTRIES):
            stop = min(start + BATCH_ENTRIES, first + count)
            entries = [
                LogEntry(index=index, term=1, data=random.randbytes(RECORD_BYTES))
                for index in range(start, stop)
            ]
            store.write(HardState(term=1), entries)


def measure_size_bytes(folder: Path) -> int:
    """Return the bytes of all files in a folder."""
    return sum(path.stat().st_size for path in folder.iterdir())


def measure_recovery_s(folder: Path) -> float:
    """Return the time in seconds to open the folder and to build the log."""
    start_s = time.monotonic()
    with DataStore(make_settings(folder)) as store:
        Raft("c0#0", store.state, RaftConfig(), random.Random(0), 0.0)
        store.load_snapshot()
    return time.monotonic() - start_s


def measure_history(folder: Path, count: int) -> dict[str, float]:
    """Measure a log without and with a snapshot of its whole history."""
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
    """Measure saving and loading of a state of some size."""
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
    """Print log growth and recovery, then snapshot times by size."""
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
