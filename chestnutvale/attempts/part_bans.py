"""Decides, at one entry, which prompts are refused because of their parts."""

import random
from collections import Counter
from collections.abc import Iterable

import attrs
import logbook

from chestnutvale.attempts.const import (
    DOUBTFUL_PART_BAN_MS,
    MAX_AMBIGUOUS_CRASHES,
    MAX_CLEARED_PARTS,
    PART_BAN_MS,
    PART_TRIAL_SPREAD_MS,
)
from chestnutvale.attempts.part_evidence import PartBan, PartEvidence
from chestnutvale.attempts.prompt_parts import format_parts

_LOGGER = logbook.Logger(__name__)


@attrs.frozen
class PartRefusal:
    """Why a prompt is refused.

    Attributes
    ----------
    part_hashes : tuple of int
        Its banned parts.
    until_unix_ms : int
        Unix time in milliseconds at which this entry may try such a prompt.
    """

    part_hashes: tuple[int, ...]
    until_unix_ms: int


@attrs.frozen
class _Match:
    """A ban and those of its parts that a prompt has."""

    ban: PartBan
    part_hashes: frozenset[int]

    @property
    def is_complete(self) -> bool:
        return self.part_hashes == self.ban.part_hashes


class PartBans:
    """Applies the evidence to prompts and lets some pass to find out more.

    Parameters
    ----------
    rng : random.Random
        Source of random numbers, which spread the trials of the entries.

    Attributes
    ----------
    evidence : PartEvidence
        Evidence of this entry merged with that of others.
    counts : Counter
        Number of parts ``banned``, prompts ``refused`` and ``trial`` runs.
    """

    def __init__(self, rng: random.Random) -> None:
        self.evidence = PartEvidence()
        self.counts: Counter[str] = Counter()
        self._rng = rng
        # Unix time in ms at which an answer was last written without a crash, by part.
        self._harmless_at_unix_ms: dict[int, int] = {}
        self._known_bans: list[PartBan] = []
        self._next_trial_unix_ms: dict[_Match, int] = {}

    def find_refusal(
        self, part_hashes: tuple[int, ...], now_unix_ms: int
    ) -> PartRefusal | None:
        """Decide whether a prompt may run.

        Parameters
        ----------
        part_hashes : tuple of int
            Hashes of the parts that other requests may share.
        now_unix_ms : int
            Wall-clock time in milliseconds.

        Returns
        -------
        PartRefusal or None
            None if it may run.
        """
        for match in self._find_matches(part_hashes, now_unix_ms):
            until_unix_ms = self._find_next_trial_unix_ms(match)
            if until_unix_ms > now_unix_ms:
                self.counts["refused"] += 1
                return PartRefusal(tuple(sorted(match.part_hashes)), until_unix_ms)
        return None

    def record_started(self, part_hashes: tuple[int, ...], now_unix_ms: int) -> None:
        """Record that a prompt runs, which is a trial if its parts are banned.

        Parameters
        ----------
        part_hashes : tuple of int
            Hashes of the parts that other requests may share.
        now_unix_ms : int
            Wall-clock time in milliseconds.
        """
        for match in self._find_matches(part_hashes, now_unix_ms):
            self.counts["trial"] += 1
            self._next_trial_unix_ms[match] = now_unix_ms + PART_TRIAL_SPREAD_MS

    def record_harmless(
        self, part_hashes: tuple[int, ...], now_unix_ms: int
    ) -> list[int]:
        """Record that an answer was written without a crash.

        Parameters
        ----------
        part_hashes : tuple of int
            Hashes of the parts of its prompt.
        now_unix_ms : int
            Wall-clock time in milliseconds.

        Returns
        -------
        list of int
            The parts that are suspected and should be cleared.
        """
        for part in part_hashes:
            self._harmless_at_unix_ms.pop(part, None)
            self._harmless_at_unix_ms[part] = now_unix_ms
        while len(self._harmless_at_unix_ms) > MAX_CLEARED_PARTS:
            del self._harmless_at_unix_ms[next(iter(self._harmless_at_unix_ms))]
        return self.evidence.suspected_parts(part_hashes)

    def find_harmless_since_crash(self, part_hashes: Iterable[int]) -> dict[int, int]:
        """Find parts with answers written without a crash here since their last one.

        Parameters
        ----------
        part_hashes : iterable of int
            Hashes of parts.

        Returns
        -------
        dict of int to int
            Unix time in ms of the harmless answer by part.
        """
        harmless = [part for part in part_hashes if part in self._harmless_at_unix_ms]
        return {
            part: self._harmless_at_unix_ms[part]
            for part in harmless
            if 0
            < self.evidence.last_crash_unix_ms(part)
            <= self._harmless_at_unix_ms[part]
        }

    def _find_matches(
        self, part_hashes: tuple[int, ...], now_unix_ms: int
    ) -> list[_Match]:
        if not part_hashes:
            return []
        bans = self.evidence.bans(now_unix_ms, self._harmless_at_unix_ms.keys())
        if bans is not self._known_bans:
            self._install_bans(bans)
        matches = [
            _Match(ban, ban.part_hashes.intersection(part_hashes)) for ban in bans
        ]
        return [
            match
            for match in matches
            if match.is_complete
            or (match.part_hashes and len(match.ban.crash_ids) > MAX_AMBIGUOUS_CRASHES)
        ]

    def _install_bans(self, bans: list[PartBan]) -> None:
        known_parts = {ban.part_hashes for ban in self._known_bans}
        self._known_bans = bans
        self._next_trial_unix_ms = {
            match: at_unix_ms
            for match, at_unix_ms in self._next_trial_unix_ms.items()
            if match.ban in bans
        }
        for ban in bans:
            if ban.part_hashes in known_parts:
                continue
            self.counts["banned"] += len(ban.part_hashes)
            crashes = (f"{c.group_id}@{c.epoch}" for c in ban.crash_ids)
            _LOGGER.warning(
                "suspect_banned",
                extra={
                    "parts": format_parts(sorted(ban.part_hashes)),
                    "crashes": sorted(crashes),
                },
            )

    def _find_next_trial_unix_ms(self, match: _Match) -> int:
        if match not in self._next_trial_unix_ms:
            ban = match.ban
            has_few_crashes = len(ban.crash_ids) <= MAX_AMBIGUOUS_CRASHES
            was_harmless = self._harmless_at_unix_ms.keys() >= ban.part_hashes
            is_doubtful = not match.is_complete or (
                (has_few_crashes or was_harmless) and not ban.is_confirmed
            )
            ban_ms = DOUBTFUL_PART_BAN_MS if is_doubtful else PART_BAN_MS
            spread_ms = self._rng.randrange(PART_TRIAL_SPREAD_MS)
            trial_unix_ms = ban.last_crash_unix_ms + ban_ms + spread_ms
            self._next_trial_unix_ms[match] = trial_unix_ms
        return self._next_trial_unix_ms[match]
