"""Data folder: recovery after crashes, torn writes and corruption."""

import errno
import itertools
import shutil
from pathlib import Path

import pytest

from chestnutvale.schema.raft_pb2 import HardState, LogEntry, SnapshotMetadata
from chestnutvale.schema.settings_pb2 import ControlSettings
from chestnutvale.storage import frames, segments
from chestnutvale.storage.exceptions import (
    StorageCorruptError,
    StorageError,
    StorageFullError,
    StorageLockedError,
    StorageReadOnlyError,
)
from chestnutvale.storage.file_system import FileSystem
from chestnutvale.storage.store import DataStore

SMALL_SEGMENT_BYTES = 300
# More than the refusals of any test.
MAX_ATTEMPTS = 10


class Crash(BaseException):
    """Simulated crash of the machine."""


class FailingFileSystem(FileSystem):
    """Crashes or fails at the n-th operation and can discard unsynced data."""

    def __init__(self, fail_at=None, error=None, syncs=True):
        self.operations = 0
        self.fail_at = fail_at
        self.error = error
        self.syncs = syncs
        self.paths = {}
        self.synced_bytes = {}
        self.new_names = {}
        self.removed = {}

    def _count(self):
        self.operations += 1
        if self.operations == self.fail_at:
            raise self.error or Crash

    def open_append(self, path):
        self._count()
        if not path.exists():
            self.new_names[path] = None
        descriptor = super().open_append(path)
        self.paths[descriptor] = path
        self.synced_bytes.setdefault(path, path.stat().st_size)
        return descriptor

    def write(self, descriptor, data):
        try:
            self._count()
        except BaseException:
            super().write(descriptor, data[: len(data) // 2])
            raise
        super().write(descriptor, data)

    def sync(self, descriptor):
        self._count()
        if self.syncs:
            path = self.paths[descriptor]
            self.synced_bytes[path] = path.stat().st_size

    def rename(self, source, target):
        self._count()
        super().rename(source, target)
        self.new_names.pop(source, None)
        self.new_names[target] = source
        self.synced_bytes[target] = self.synced_bytes.pop(source)

    def truncate(self, path, size_bytes):
        super().truncate(path, size_bytes)
        self.synced_bytes[path] = size_bytes

    def remove(self, path):
        self._count()
        if path.exists():
            self.removed[path] = path.read_bytes()
        super().remove(path)
        self.synced_bytes.pop(path, None)

    def sync_folder(self, folder):
        self._count()
        if self.syncs:
            self.new_names.clear()
            self.removed.clear()

    def restore_removed(self, number):
        """Undo one removal that was not synced, as a loss of power may."""
        path, data = list(self.removed.items())[number]
        path.write_bytes(data)

    def lose_unsynced(self):
        for path, size_bytes in self.synced_bytes.items():
            if path.exists():
                self.truncate(path, size_bytes)
        for path, source in self.new_names.items():
            if source is not None:
                path.rename(source)
            elif path.exists():
                path.unlink()


class FullFileSystem(FileSystem):
    """File system without space from its n-th write or sync on, for some of them."""

    def __init__(self, full_at=0, refusals=0):
        self.operations = 0
        self.full_at = full_at
        self.refusals = refusals

    def _count(self):
        self.operations += 1
        if self.full_at <= self.operations < self.full_at + self.refusals:
            raise OSError(errno.ENOSPC, "no space")

    def open_append(self, path):
        self._count()
        return super().open_append(path)

    def write(self, descriptor, data):
        try:
            self._count()
        except OSError:
            super().write(descriptor, data[: len(data) // 2])
            raise
        super().write(descriptor, data)

    def sync(self, descriptor):
        self._count()
        super().sync(descriptor)

    def sync_folder(self, folder):
        self._count()
        super().sync_folder(folder)


def make_settings(folder):
    return ControlSettings(cluster_id="t", control_id="c0", data_folder=str(folder))


def open_store(folder, file_system=None):
    suffix = itertools.count().__next__
    return DataStore(
        make_settings(folder), file_system, lambda: str(suffix()), SMALL_SEGMENT_BYTES
    )


def make_entry(index, term=1):
    data = f"entry {index} of term {term}".encode()
    return LogEntry(index=index, term=term, data=data)


def write_entries(store, first, last, term=1):
    for index in range(first, last + 1):
        store.write(HardState(term=term), [make_entry(index, term)])


def read_indexes(folder):
    with open_store(folder) as store:
        for entry in store.state.entries:
            assert entry == make_entry(entry.index, entry.term)
        return [entry.index for entry in store.state.entries]


def read_terms(folder):
    with open_store(folder) as store:
        return [entry.term for entry in store.state.entries]


def read_state(folder):
    """Return the term, snapshot and entries that a folder holds."""
    with open_store(folder) as store:
        state = store.state
        entries = [(entry.index, entry.term) for entry in state.entries]
        return state.hard_state.term, store.load_snapshot(), entries


@pytest.fixture
def folder(tmp_path):
    return tmp_path / "data"


def copy_with(folder, target, name, data):
    shutil.rmtree(target, ignore_errors=True)
    shutil.copytree(folder, target)
    (target / name).write_bytes(data)
    return target


def test_entries_vote_and_identity_survive(folder):
    with open_store(folder) as store:
        member_id = store.member_id
        store.write(HardState(term=3, voted_for="c1#0"), [make_entry(1), make_entry(2)])
        store.write(None, [make_entry(2, term=3), make_entry(3, term=3)])
    with open_store(folder) as store:
        assert store.member_id == member_id
        assert store.state.hard_state == HardState(term=3, voted_for="c1#0")
        assert [(e.index, e.term) for e in store.state.entries] == [
            (1, 1),
            (2, 3),
            (3, 3),
        ]


def test_torn_tail_is_cut_at_every_offset(folder, tmp_path):
    with open_store(folder) as store:
        write_entries(store, 1, 3)
    name = max(path.name for path in folder.glob("log-*"))
    data = (folder / name).read_bytes()
    ends = [f.end_bytes for f in frames.read_frames(data, name, may_be_torn=True)]
    for size_bytes in range(len(data) + 1):
        whole = sum(end <= size_bytes for end in ends)
        copy = copy_with(folder, tmp_path / "copy", name, data[:size_bytes])
        if whole == 0:
            with pytest.raises(StorageCorruptError, match="missing log"):
                open_store(copy).__enter__()
            continue
        # The first frame of a segment has no entries.
        assert read_indexes(copy) == list(range(1, whole))
        with open_store(copy) as store:
            write_entries(store, whole, 4)
        assert read_indexes(copy) == [1, 2, 3, 4]


def check_flips(folder, target):
    """Flip each byte; synced data must never be read back altered."""
    names = sorted(path.name for path in folder.glob("log-*"))
    refused = 0
    for name in names:
        data = (folder / name).read_bytes()
        found = list(frames.read_frames(data, name, may_be_torn=True))
        last_offset = found[-1].offset_bytes if name == names[-1] else len(data)
        for offset in range(len(data)):
            flipped = bytearray(data)
            flipped[offset] ^= 0x55
            copy = copy_with(folder, target, name, bytes(flipped))
            if offset >= last_offset:
                assert read_indexes(copy) == list(range(1, 12))
                continue
            with pytest.raises(StorageCorruptError) as caught:
                open_store(copy).__enter__()
            assert caught.value.file == str(copy / name)
            assert caught.value.offset_bytes <= offset
            refused += 1
    return refused


def test_corrupt_middle_is_refused_with_file_and_offset(folder, tmp_path, monkeypatch):
    with open_store(folder) as store:
        write_entries(store, 1, 12)
    assert check_flips(folder, tmp_path / "copy") > 500
    monkeypatch.setattr(frames.xxhash, "xxh3_64_intdigest", lambda data, seed=0: 0)
    shutil.rmtree(folder)
    with open_store(folder) as store:
        write_entries(store, 1, 12)
    with pytest.raises((AssertionError, pytest.fail.Exception)):
        check_flips(folder, tmp_path / "copy")


def make_metadata(index, term=1):
    return SnapshotMetadata(index=index, term=term)


def run_once(write, *arguments):
    write(*arguments)


def run_workload(folder, file_system, acknowledged, run=run_once):
    """Write, rotate segments, snapshot, replace a tail, install a snapshot."""
    with open_store(folder, file_system) as store:
        for index in range(1, 9):
            run(store.write, HardState(term=1), [make_entry(index)])
            acknowledged[index] = 1
        run(store.save_snapshot, make_metadata(6), b"six")
        acknowledged["snapshot"] = 6
        # The replaced entry is not committed, so it may be lost from now on.
        del acknowledged[8]
        run(store.write, HardState(term=2), [make_entry(8, term=2)])
        acknowledged[8] = 2
        acknowledged.clear()
        run(store.install_snapshot, make_metadata(20, term=2), b"twenty")
        acknowledged["snapshot"] = 20
        run(store.write, None, [make_entry(21, term=2)])
        acknowledged[21] = 2
        run(store.save_snapshot, make_metadata(21, term=2), b"twenty-one")
        acknowledged["snapshot"] = 21


def check_recovery(folder, acknowledged):
    with open_store(folder) as store:
        index = store.state.snapshot.index
        data = {0: b"", 6: b"six", 20: b"twenty", 21: b"twenty-one"}
        assert store.load_snapshot() == data[index]
        assert index >= acknowledged.get("snapshot", 0)
        terms = {entry.index: entry.term for entry in store.state.entries}
        for place, term in acknowledged.items():
            if place != "snapshot" and place > index:
                assert terms[place] == term
        last = index + len(terms)
        write_entries(store, last + 1, last + 2, term=2)
    assert read_indexes(folder)[-2:] == [last + 1, last + 2]


def crash_everywhere(tmp_path, syncs=True):
    counting = FailingFileSystem()
    run_workload(tmp_path / "whole", counting, {})
    for lose, operation in itertools.product(
        [False, True], range(1, counting.operations + 1)
    ):
        folder = tmp_path / f"{lose}-{operation}"
        file_system = FailingFileSystem(operation, syncs=syncs)
        acknowledged = {}
        with pytest.raises(Crash):
            run_workload(folder, file_system, acknowledged)
        if lose:
            file_system.lose_unsynced()
        check_recovery(folder, acknowledged)
    return counting.operations


def test_power_loss_after_a_refused_rotation_leaves_no_second_segment(
    tmp_path, monkeypatch
):
    monkeypatch.setattr(segments, "MIN_SEGMENT_BYTES", 100)
    counting = FailingFileSystem()
    with open_store(tmp_path / "whole", counting):
        first = counting.operations + 1
    run_workload(tmp_path / "whole", counting, {})
    for operation in range(first, counting.operations + 1):
        folder = tmp_path / str(operation)
        file_system = FailingFileSystem(operation, OSError(errno.ENOSPC, "full"))
        acknowledged = {}
        run_workload(folder, file_system, acknowledged, repeat_while_full)
        if file_system.removed:
            file_system.restore_removed(0)
        check_recovery(folder, acknowledged)


def test_rotation_after_a_refused_write_leaves_no_torn_segment(folder, monkeypatch):
    monkeypatch.setattr(segments, "MIN_SEGMENT_BYTES", 100)
    file_system = FullFileSystem()
    with open_store(folder, file_system) as store:
        write_entries(store, 1, 2)
        file_system.full_at, file_system.refusals = file_system.operations + 1, 1
        with pytest.raises(StorageFullError):
            write_entries(store, 3, 3)
        store.save_snapshot(make_metadata(1), b"one")
        write_entries(store, 3, 3)
    assert read_indexes(folder) == [2, 3]


def cover_segments(folder, file_system):
    """Write several segments and save a snapshot that covers all but the last."""
    with open_store(folder, file_system) as store:
        for index in range(1, 31):
            store.write(HardState(term=1), [make_entry(index)])
        store.save_snapshot(make_metadata(30), b"thirty")


def test_power_loss_may_undo_any_removal_that_was_not_synced(tmp_path):
    counting = FailingFileSystem()
    cover_segments(tmp_path / "whole", counting)
    restored = 0
    for operation in range(1, counting.operations + 1):
        for number in itertools.count():
            folder = tmp_path / f"{operation}-{number}"
            file_system = FailingFileSystem(operation)
            with pytest.raises(Crash):
                cover_segments(folder, file_system)
            if number >= len(file_system.removed):
                break
            file_system.restore_removed(number)
            with open_store(folder) as store:
                assert store.load_snapshot() == b"thirty"
                assert not store.state.entries
            restored += 1
    assert restored > 1


def test_crash_at_every_operation(tmp_path):
    assert crash_everywhere(tmp_path / "on") > 40
    with pytest.raises((AssertionError, KeyError, StorageError)):
        crash_everywhere(tmp_path / "off", syncs=False)


def test_what_a_restarted_process_counts_as_durable_outlives_a_power_loss(tmp_path):
    counting = FailingFileSystem()
    run_workload(tmp_path / "whole", counting, {})
    for operation in range(1, counting.operations + 1):
        folder = tmp_path / str(operation)
        file_system = FailingFileSystem(operation)
        with pytest.raises(Crash):
            run_workload(folder, file_system, {})
        with open_store(folder, file_system) as store:
            member_id, restarted = store.member_id, store.state
        file_system.lose_unsynced()
        with open_store(folder) as store:
            assert store.member_id == member_id, operation
            assert store.state == restarted, operation


def count_set_up(tmp_path):
    """Return how many calls to a FullFileSystem set up an empty folder."""
    file_system = FullFileSystem()
    with open_store(tmp_path / "set-up", file_system):
        return file_system.operations


def repeat_while_full(write, *arguments):
    """Run a write until the disk has space."""
    for _ in range(MAX_ATTEMPTS):
        try:
            return write(*arguments)
        except StorageFullError:
            continue
    raise AssertionError("refused although the disk has space")


@pytest.mark.parametrize("refusals", [1, 2, 5])
def test_writes_refused_by_a_full_disk_succeed_once_repeated(tmp_path, refusals):
    counting = FullFileSystem()
    run_workload(tmp_path / "whole", counting, {})
    expected = read_state(tmp_path / "whole")
    first = count_set_up(tmp_path) + 1
    for operation in range(first, counting.operations + 1):
        folder = tmp_path / str(operation)
        acknowledged = {}
        file_system = FullFileSystem(operation, refusals)
        run_workload(folder, file_system, acknowledged, repeat_while_full)
        assert read_state(folder) == expected
        check_recovery(folder, acknowledged)


def test_crash_while_the_disk_is_full_keeps_what_was_synced(tmp_path):
    counting = FullFileSystem()
    run_workload(tmp_path / "whole", counting, {})
    for operation in range(count_set_up(tmp_path) + 1, counting.operations + 1):
        folder = tmp_path / str(operation)
        acknowledged = {}
        with pytest.raises(StorageFullError):
            run_workload(folder, FullFileSystem(operation, 1), acknowledged)
        check_recovery(folder, acknowledged)


def test_a_write_refused_by_a_full_disk_is_not_durable(folder):
    file_system = FullFileSystem()
    with open_store(folder, file_system) as store:
        write_entries(store, 1, 2)
        # The write succeeds and its sync does not.
        file_system.full_at, file_system.refusals = file_system.operations + 2, 1
        with pytest.raises(StorageFullError):
            write_entries(store, 3, 3)
        store.write(None, [make_entry(3, term=2)])
    assert read_terms(folder) == [1, 1, 2]


@pytest.mark.parametrize(
    ("number", "kind"),
    [
        (errno.EROFS, StorageReadOnlyError),
        (errno.EIO, StorageError),
    ],
)
def test_failed_write_is_refused_and_nothing_follows(folder, number, kind):
    counting = FailingFileSystem()
    with open_store(folder, counting) as store:
        write_entries(store, 1, 2)
        # The next operations are a write and its sync; let the sync fail.
        counting.fail_at = counting.operations + 2
        counting.error = OSError(number, "no")
        with pytest.raises(kind):
            write_entries(store, 3, 3)
        counting.fail_at = None
        with pytest.raises(kind):
            write_entries(store, 3, 3)
    assert read_indexes(folder)[:2] == [1, 2]


def test_folder_that_cannot_be_set_up_is_a_clear_error(folder):
    file_system = FailingFileSystem(1, OSError(errno.EROFS, "read-only"))
    with pytest.raises(StorageReadOnlyError) as caught:
        open_store(folder, file_system).__enter__()
    assert caught.value.peer == str(folder)


def test_second_process_is_refused(folder):
    with open_store(folder), pytest.raises(StorageLockedError):
        open_store(folder).__enter__()
    assert read_indexes(folder) == []


def test_lost_disk_gets_another_identity(tmp_path):
    members = []
    for life in ("first", "second"):
        with DataStore(make_settings(tmp_path / life)) as store:
            members.append(store.member_id)
    assert members[0] != members[1]
    assert all(member.startswith("c0#") for member in members)


def remove_identity(folder):
    (folder / "identity").unlink()


def damage_identity(folder):
    path = folder / "identity"
    path.write_bytes(path.read_bytes()[:-1])


def remove_first_segment(folder):
    min(folder.glob("log-*")).unlink()


def remove_middle_segment(folder):
    sorted(folder.glob("log-*"))[1].unlink()


def remove_snapshot(folder):
    next(folder.glob("snapshot-*")).unlink()


def damage_snapshot(folder):
    path: Path = next(folder.glob("snapshot-*"))
    path.write_bytes(path.read_bytes()[:-1] + b"?")


@pytest.mark.parametrize(
    "damage",
    [
        remove_identity,
        damage_identity,
        remove_first_segment,
        remove_middle_segment,
        remove_snapshot,
        damage_snapshot,
    ],
)
def test_missing_or_damaged_parts_are_refused(folder, damage):
    with open_store(folder) as store:
        write_entries(store, 1, 12)
        store.save_snapshot(make_metadata(4), b"four")
        write_entries(store, 13, 30)
        store.save_snapshot(make_metadata(9), b"nine")
    damage(folder)
    with pytest.raises(StorageCorruptError):
        open_store(folder).__enter__()


def test_folder_of_another_cluster_is_refused(folder):
    with open_store(folder):
        pass
    settings = make_settings(folder)
    settings.cluster_id = "other"
    with pytest.raises(StorageError, match="belongs to"):
        DataStore(settings).__enter__()
