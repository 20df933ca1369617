"""Identifies the shared prompt parts that crash groups."""

from collections import defaultdict
from collections.abc import Collection, Mapping, Set
from itertools import pairwise

import attrs

from chestnutvale.attempts.const import (
    BAN_CRASHES_ONE_GROUP,
    BAN_PART_CRASHES,
    HARMLESS_PART_MARGIN,
    MAX_CLEARED_PARTS,
    MAX_CRASHES,
    MAX_PARTS_PER_CRASH,
    MIN_CRASH_SPAN_MS,
    PART_EVIDENCE_RETENTION_MS,
    PART_EVIDENCE_SETTLE_MS,
    SEPARATE_CRASH_MS,
)
from chestnutvale.attempts.crash_evidence import CrashId
from chestnutvale.schema.peer_pb2 import CrashSuspicion

# For each part, the crashes that it is suspected of, and the Unix time in ms at which
# the last of its requests had started in that group.
SuspectParts = Mapping[int, Mapping[CrashId, int]]


@attrs.frozen
class PartBan:
    """Parts that ran in the same crashes; a request with all of them is refused.

    Attributes
    ----------
    part_hashes : frozenset of int
        The parts. If there are several, the crashes do not tell which is the cause.
    crash_ids : frozenset of CrashId
        The crashes that are attributed to them.
    last_crash_unix_ms : int
        Unix time of the last of these crashes in milliseconds.
    is_confirmed : bool
        Whether a crash came so late that it has no cause in common with the others.
    """

    part_hashes: frozenset[int]
    crash_ids: frozenset[CrashId]
    last_crash_unix_ms: int
    is_confirmed: bool


def find_part_bans(
    suspects: SuspectParts,
    crashed_at_unix_ms: Mapping[CrashId, int],
    known_harmless: Set[int],
) -> list[PartBan]:
    """Find the parts that explain the most crashes.

    The crashes of a part that was found no longer count against the parts that
    accompanied it.

    Parameters
    ----------
    suspects : mapping of int to mapping of CrashId to int
        For each part, its crashes and the start of its last request in each.
    crashed_at_unix_ms : mapping of CrashId to int
        Unix time of each crash in milliseconds; other crashes do not count.
    known_harmless : set of int
        Parts of which answers were written without a crash before. They are less likely
        to be the cause, so more evidence is needed.

    Returns
    -------
    list of PartBan
        The bans, that with the most crashes first.
    """
    crashes_by_part = {
        part: frozenset(
            crash_id for crash_id in starts if crash_id in crashed_at_unix_ms
        )
        for part, starts in suspects.items()
        if len(starts) >= BAN_PART_CRASHES
    }
    bans: list[PartBan] = []
    while True:
        parts_by_crashes: dict[frozenset[CrashId], list[int]] = defaultdict(list)
        causes: set[frozenset[CrashId]] = set()
        for part, crashes in crashes_by_part.items():
            parts_by_crashes[crashes].append(part)
            starts = {crash_id: suspects[part][crash_id] for crash_id in crashes}
            min_span_ms = MIN_CRASH_SPAN_MS if part in known_harmless else 0
            if _causes_crashes(starts, crashed_at_unix_ms, min_span_ms):
                causes.add(crashes)
        if not causes:
            return bans
        crashes, parts = max(
            (
                (crashes, _select_likeliest(parts_by_crashes[crashes], known_harmless))
                for crashes in causes
            ),
            key=lambda item: (
                len(item[0])
                - HARMLESS_PART_MARGIN * (not known_harmless.isdisjoint(item[1])),
                min(item[1]),
            ),
        )
        times = sorted(crashed_at_unix_ms[crash_id] for crash_id in crashes)
        is_confirmed = any(
            later - earlier >= SEPARATE_CRASH_MS for earlier, later in pairwise(times)
        )
        bans.append(PartBan(frozenset(parts), crashes, times[-1], is_confirmed))
        crashes_by_part = {
            part: rest
            for part, found in crashes_by_part.items()
            if len(rest := found - crashes) >= BAN_PART_CRASHES
        }


def _select_likeliest(parts: list[int], known_harmless: Set[int]) -> list[int]:
    """Return the parts that were never known to be harmless, or all if each was."""
    return [part for part in parts if part not in known_harmless] or parts


def _causes_crashes(
    starts: Mapping[CrashId, int],
    crashed_at_unix_ms: Mapping[CrashId, int],
    min_span_ms: int,
) -> bool:
    """Tell whether enough separate crashes followed each other.

    Groups that crash together for another reason break requests that had all started
    before. So a crash counts if its request started after the previous counted crash,
    or if it came much later.
    """
    counted_unix_ms: list[int] = []
    for crash_id in sorted(starts, key=crashed_at_unix_ms.__getitem__):
        at_unix_ms = crashed_at_unix_ms[crash_id]
        previous_unix_ms = counted_unix_ms[-1] if counted_unix_ms else 0
        if (
            starts[crash_id] >= previous_unix_ms
            or at_unix_ms >= previous_unix_ms + SEPARATE_CRASH_MS
        ):
            counted_unix_ms.append(at_unix_ms)
    has_many_groups = len({crash_id.group_id for crash_id in starts}) > 1
    min_crashes = BAN_PART_CRASHES if has_many_groups else BAN_CRASHES_ONE_GROUP
    return (
        len(counted_unix_ms) >= min_crashes
        and counted_unix_ms[-1] - counted_unix_ms[0] >= min_span_ms
    )


class PartEvidence:
    """Crashes and the prompt parts that are suspected of them.

    Merged from the evidence of all entries. An answer that is written without a crash
    clears its parts of the crashes before it.
    """

    def __init__(self) -> None:
        self._crashed_at_unix_ms: dict[CrashId, int] = {}
        self._suspects: dict[int, dict[CrashId, int]] = {}
        self._parts_by_crash: dict[CrashId, set[int]] = {}
        # Unix time in ms of the last harmless answer by part.
        self._cleared: dict[int, int] = {}
        self._bans: list[PartBan] = []
        self._is_changed = False
        # When the next crash counts; evidence of other entries may arrive until then.
        self._next_settled_unix_ms = 0

    def add(self, suspicion: CrashSuspicion) -> bool:
        """Add a piece of evidence; adding the same piece again has no effect.

        Parameters
        ----------
        suspicion : CrashSuspicion
            The evidence.

        Returns
        -------
        bool
            Whether it changed what is known about a part.
        """
        if not suspicion.part_hashes:
            return False
        if suspicion.cleared:
            return self._clear(suspicion.part_hashes, suspicion.crashed_at_unix_ms)
        return self._add_crash(suspicion)

    def suspected_parts(self, part_hashes: Collection[int]) -> list[int]:
        """Return those of some parts that are suspected of a crash.

        Parameters
        ----------
        part_hashes : collection of int
            Hashes of parts.

        Returns
        -------
        list of int
            The suspected ones.
        """
        return [part for part in part_hashes if part in self._suspects]

    def last_crash_unix_ms(self, part_hash: int) -> int:
        """Return the Unix time in ms of the last crash of a part; 0 if there is none.

        Parameters
        ----------
        part_hash : int
            Hash of the part.

        Returns
        -------
        int
            Unix time in milliseconds.
        """
        crash_ids = self._suspects.get(part_hash, ())
        return max((self._crashed_at_unix_ms[c] for c in crash_ids), default=0)

    def bans(
        self, now_unix_ms: int, known_harmless: Set[int] = frozenset()
    ) -> list[PartBan]:
        """Return the parts that are found to crash groups.

        Parameters
        ----------
        now_unix_ms : int
            Wall-clock time in milliseconds.
        known_harmless : set of int, optional
            Parts of which answers were written without a crash before, besides those
            that were cleared.

        Returns
        -------
        list of PartBan
            The bans; requests with all parts of one of them are refused.
        """
        if self._is_changed or now_unix_ms >= self._next_settled_unix_ms:
            self._is_changed = False
            self._find_bans(now_unix_ms, known_harmless)
        return self._bans

    def expire(self, now_unix_ms: int) -> None:
        """Drop evidence older than the retention time.

        Parameters
        ----------
        now_unix_ms : int
            Wall-clock time in milliseconds.
        """
        oldest = now_unix_ms - PART_EVIDENCE_RETENTION_MS
        for crash_id, at_unix_ms in list(self._crashed_at_unix_ms.items()):
            if at_unix_ms <= oldest:
                self._forget_crash(crash_id)
        for part, at_unix_ms in list(self._cleared.items()):
            if at_unix_ms <= oldest:
                del self._cleared[part]

    def to_suspicions(self, only: Set[int] | None = None) -> list[CrashSuspicion]:
        """Return the evidence of crashes as messages.

        Parameters
        ----------
        only : set of int, optional
            Parts to include; by default all.

        Returns
        -------
        list of CrashSuspicion
            One for each crash and start time, with the parts.
        """
        parts: dict[tuple[CrashId, int], list[int]] = defaultdict(list)
        for part, starts in self._suspects.items():
            if only is None or part in only:
                for item in starts.items():
                    parts[item].append(part)
        suspicions = []
        for (crash_id, started_unix_ms), part_hashes in parts.items():
            at_unix_ms = self._crashed_at_unix_ms[crash_id]
            suspicions.append(
                CrashSuspicion(
                    group_id=crash_id.group_id,
                    epoch=crash_id.epoch,
                    crashed_at_unix_ms=at_unix_ms,
                    ran_ms=max(0, at_unix_ms - started_unix_ms),
                    part_hashes=part_hashes,
                )
            )
        return suspicions

    def to_clears(self) -> list[CrashSuspicion]:
        """Return the last harmless answers as messages.

        Returns
        -------
        list of CrashSuspicion
            One for each time, with the parts.
        """
        parts: dict[int, list[int]] = defaultdict(list)
        for part, at_unix_ms in self._cleared.items():
            parts[at_unix_ms].append(part)
        return [
            CrashSuspicion(
                crashed_at_unix_ms=at_unix_ms, cleared=True, part_hashes=part_hashes
            )
            for at_unix_ms, part_hashes in parts.items()
        ]

    def _add_crash(self, suspicion: CrashSuspicion) -> bool:
        at_unix_ms = suspicion.crashed_at_unix_ms
        parts = [
            p for p in suspicion.part_hashes if self._cleared.get(p, 0) < at_unix_ms
        ]
        if not parts:
            return False
        crash_id = CrashId(suspicion.group_id, suspicion.epoch)
        # Entries observe a crash at slightly different times; see `CrashEvidence.add`.
        known_at_unix_ms = self._crashed_at_unix_ms.setdefault(crash_id, at_unix_ms)
        self._crashed_at_unix_ms[crash_id] = min(known_at_unix_ms, at_unix_ms)
        crash_parts = self._parts_by_crash.setdefault(crash_id, set())
        started_unix_ms = at_unix_ms - suspicion.ran_ms
        is_new = False
        for part in parts:
            if part not in crash_parts:
                if len(crash_parts) >= MAX_PARTS_PER_CRASH:
                    continue
                crash_parts.add(part)
                is_new = True
            starts = self._suspects.setdefault(part, {})
            if starts.get(crash_id, 0) < started_unix_ms:
                starts[crash_id] = started_unix_ms
                self._is_changed = True
        self._forget_oldest()
        return is_new

    def _clear(self, part_hashes: Collection[int], at_unix_ms: int) -> bool:
        is_changed = False
        for part in part_hashes:
            if self._cleared.get(part, 0) >= at_unix_ms:
                continue
            self._cleared.pop(part, None)
            self._cleared[part] = at_unix_ms
            for crash_id in list(self._suspects.get(part, ())):
                if self._crashed_at_unix_ms[crash_id] <= at_unix_ms:
                    self._forget_suspect(part, crash_id)
                    is_changed = True
        while len(self._cleared) > MAX_CLEARED_PARTS:
            del self._cleared[next(iter(self._cleared))]
        return is_changed

    def _find_bans(self, now_unix_ms: int, known_harmless: Set[int]) -> None:
        settled_unix_ms = now_unix_ms - PART_EVIDENCE_SETTLE_MS
        settled: dict[CrashId, int] = {}
        unsettled: list[int] = []
        for crash_id, at_unix_ms in self._crashed_at_unix_ms.items():
            # A crash in the future was recorded before the clock stepped back.
            if at_unix_ms <= settled_unix_ms or at_unix_ms > now_unix_ms:
                settled[crash_id] = at_unix_ms
            else:
                unsettled.append(at_unix_ms)
        self._bans = find_part_bans(
            self._suspects, settled, self._cleared.keys() | known_harmless
        )
        self._next_settled_unix_ms = (
            min(unsettled) + PART_EVIDENCE_SETTLE_MS if unsettled else 2**63
        )

    def _forget_oldest(self) -> None:
        if len(self._crashed_at_unix_ms) <= MAX_CRASHES:
            return
        # Other crashes must not end a ban.
        bans = find_part_bans(
            self._suspects, self._crashed_at_unix_ms, self._cleared.keys()
        )
        kept = {crash_id for ban in bans for crash_id in ban.crash_ids}
        oldest = min(
            self._crashed_at_unix_ms,
            key=lambda crash_id: (crash_id in kept, self._crashed_at_unix_ms[crash_id]),
        )
        self._forget_crash(oldest)

    def _forget_crash(self, crash_id: CrashId) -> None:
        for part in list(self._parts_by_crash.get(crash_id, ())):
            self._forget_suspect(part, crash_id)

    def _forget_suspect(self, part: int, crash_id: CrashId) -> None:
        self._is_changed = True
        starts = self._suspects[part]
        del starts[crash_id]
        if not starts:
            del self._suspects[part]
        crash_parts = self._parts_by_crash[crash_id]
        crash_parts.discard(part)
        if not crash_parts:
            del self._parts_by_crash[crash_id]
            del self._crashed_at_unix_ms[crash_id]
