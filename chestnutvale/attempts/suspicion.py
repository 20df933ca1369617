"""Tracks, at one entry, requests that are suspected of crashing groups."""

import json
import random
from collections import deque
from collections.abc import Callable
from typing import Any

import attrs
import logbook
import xxhash

from chestnutvale.attempts.const import (
    BAN_CRASHES,
    BAN_MS,
    EVIDENCE_REPEAT_MS,
    EVIDENCE_SETTLE_MS,
    MAX_REPEATED_PIECES,
    MAX_SUSPECT_ROUNDS,
    SUSPECT_ROUND_MS,
)
from chestnutvale.attempts.crash_evidence import Crash, CrashEvidence, limit_time
from chestnutvale.attempts.part_bans import PartBans
from chestnutvale.attempts.prompt_parts import format_parts
from chestnutvale.schema.peer_pb2 import CrashSuspicion

_LOGGER = logbook.Logger(__name__)

# Members of the request body that do not affect the computation of an engine.
_IGNORED_MEMBERS = frozenset({"stream", "stream_options", "user"})


def fingerprint_of(service: str, body: dict[str, Any]) -> int:
    """Return a fingerprint that is equal for requests with the same computation.

    Parameters
    ----------
    service : str
        Name of the service.
    body : dict
        The caller's parsed body.

    Returns
    -------
    int
        64-bit fingerprint.
    """
    work = {name: body[name] for name in body if name not in _IGNORED_MEMBERS}
    text = json.dumps([service, work], sort_keys=True, separators=(",", ":"))
    return xxhash.xxh64_intdigest(text.encode())


@attrs.frozen
class Clear:
    """The request is not suspected."""


@attrs.frozen
class Suspected:
    """The request may only run at one group, separate from other suspects.

    Attributes
    ----------
    group_id : str
        The group; empty if every group has been tried.
    not_before_unix_ms : int
        Wall-clock time in milliseconds before which it must not start.
    """

    group_id: str
    not_before_unix_ms: int


@attrs.frozen
class Banned:
    """The request is refused.

    Attributes
    ----------
    until_unix_ms : int
        End of the ban as Unix time in milliseconds.
    part_hashes : tuple of int
        Parts of the prompt that are banned; empty if the whole request is.
    """

    until_unix_ms: int
    part_hashes: tuple[int, ...] = ()


Verdict = Clear | Suspected | Banned


@attrs.define
class _Running:
    fingerprint: int
    group_id: str
    epoch: int
    fabric_domain: str
    started_unix_ms: int
    part_hashes: tuple[int, ...]
    is_harmless: bool = False


class SuspicionTracker:
    """Records an entry's crash evidence and assigns suspects to groups.

    All entries compute the same group for a suspect from the same evidence. Thus copies
    of a request at several entries run at the same group, and different suspects of a
    crash run at different groups.

    Parameters
    ----------
    ban_after : int, optional
        Number of crashes after which a request is refused; until then suspects run like
        any other request. With 0, suspects are assigned to separate groups instead.
    rng : random.Random, optional
        Source of random numbers, which spread the tries of the entries.

    Attributes
    ----------
    evidence : CrashEvidence
        Evidence of this entry merged with that of others.
    part_bans : PartBans
        The same for prompt parts that requests share.
    notify : callable or None
        Called when there is new evidence to report; must not block.
    """

    def __init__(self, ban_after: int = 0, rng: random.Random | None = None) -> None:
        self._ban_after = ban_after
        self.evidence = CrashEvidence()
        self.part_bans = PartBans(rng or random.Random())
        self.notify: Callable[[], None] | None = None
        self._running: dict[str, _Running] = {}
        # Unix time in ms of the first report, and the evidence.
        self._reports: deque[tuple[int, CrashSuspicion]] = deque(
            maxlen=MAX_REPEATED_PIECES
        )

    def attempt_started(
        self,
        attempt_id: str,
        fingerprint: int,
        group_id: str,
        epoch: int,
        fabric_domain: str,
        now_unix_ms: int,
        part_hashes: tuple[int, ...] = (),
    ) -> None:
        """Record that a group runs a request.

        Parameters
        ----------
        attempt_id : str
            Identity of the attempt.
        fingerprint : int
            The request.
        group_id : str
            The group.
        epoch : int
            Epoch of the group.
        fabric_domain : str
            Fabric domain of the group.
        now_unix_ms : int
            Wall-clock time in milliseconds.
        part_hashes : tuple of int, optional
            Hashes of the parts of its prompt that other requests may share.
        """
        self._running[attempt_id] = _Running(
            fingerprint, group_id, epoch, fabric_domain, now_unix_ms, part_hashes
        )
        self.part_bans.record_started(part_hashes, now_unix_ms)

    def attempt_ended(self, attempt_id: str) -> None:
        """Record that an attempt ended without a crash and without an answer.

        Parameters
        ----------
        attempt_id : str
            Identity of the attempt.
        """
        self._running.pop(attempt_id, None)

    def answer_progressed(self, attempt_id: str, now_unix_ms: int) -> None:
        """Record that an answer has been written for `HARMLESS_WRITING_MS`.

        This clears the parts of its prompt of suspicion.

        Parameters
        ----------
        attempt_id : str
            Identity of the attempt.
        now_unix_ms : int
            Wall-clock time in milliseconds.
        """
        running = self._running.get(attempt_id)
        if running is None or running.is_harmless:
            return
        running.is_harmless = True
        self._record_harmless(running, 0, running.part_hashes, attempt_id, now_unix_ms)

    def answer_completed(self, attempt_id: str, now_unix_ms: int) -> None:
        """Record a complete answer, which clears the request of suspicion.

        Parameters
        ----------
        attempt_id : str
            Identity of the attempt.
        now_unix_ms : int
            Wall-clock time in milliseconds.
        """
        running = self._running.pop(attempt_id, None)
        if running is None:
            return
        is_suspected = bool(self.evidence.crashes_of(running.fingerprint))
        fingerprint = running.fingerprint if is_suspected else 0
        # What began to be written earlier tells nothing about crashes since then.
        part_hashes = () if running.is_harmless else running.part_hashes
        self._record_harmless(
            running, fingerprint, part_hashes, attempt_id, now_unix_ms
        )

    def group_crashed(self, attempt_id: str, now_unix_ms: int) -> None:
        """Record that the group that ran an attempt crashed.

        Parameters
        ----------
        attempt_id : str
            Identity of the attempt.
        now_unix_ms : int
            Wall-clock time in milliseconds.
        """
        running = self._running.pop(attempt_id, None)
        if running is None:
            return
        ran_ms = max(0, now_unix_ms - running.started_unix_ms)
        part_hashes = () if running.is_harmless else running.part_hashes
        _LOGGER.info(
            "crash_suspected",
            extra={
                "request": attempt_id.rpartition(".")[0],
                "attempt": attempt_id,
                "group": running.group_id,
                "epoch": running.epoch,
                "ran_ms": ran_ms,
                "fingerprint": f"{running.fingerprint:016x}",
                "parts": format_parts(part_hashes),
            },
        )
        self._add(
            CrashSuspicion(
                fingerprint=running.fingerprint,
                group_id=running.group_id,
                epoch=running.epoch,
                fabric_domain=running.fabric_domain,
                crashed_at_unix_ms=now_unix_ms,
                ran_ms=ran_ms,
                part_hashes=part_hashes,
            ),
            now_unix_ms,
        )

    def merge(self, suspicions: list[CrashSuspicion], now_unix_ms: int) -> None:
        """Merge the evidence of other entries.

        Parameters
        ----------
        suspicions : list of CrashSuspicion
            Evidence from a view pushed by the control plane.
        now_unix_ms : int
            Wall-clock time in milliseconds.
        """
        parts = self.part_bans.evidence
        for suspicion in suspicions:
            limit_time(suspicion, now_unix_ms)
            self.evidence.add(suspicion)
            if parts.add(suspicion) and not suspicion.cleared:
                harmless = self.part_bans.find_harmless_since_crash(
                    suspicion.part_hashes
                )
                for part, at_unix_ms in harmless.items():
                    self._add_clear(0, [part], at_unix_ms, now_unix_ms)
        self.evidence.expire(now_unix_ms)
        parts.expire(now_unix_ms)

    def reports(self, now_unix_ms: int) -> list[CrashSuspicion]:
        """Return the evidence for the next report, including recently sent pieces.

        Parameters
        ----------
        now_unix_ms : int
            Wall-clock time in milliseconds.

        Returns
        -------
        list of CrashSuspicion
            The evidence.
        """
        oldest = now_unix_ms - EVIDENCE_REPEAT_MS
        while self._reports and self._reports[0][0] <= oldest:
            self._reports.popleft()
        return [suspicion for _, suspicion in self._reports]

    def repeat_bans(self, now_unix_ms: int) -> None:
        """Report the evidence of all bans again, for a control that may not have it.

        Parameters
        ----------
        now_unix_ms : int
            Wall-clock time in milliseconds.
        """
        bans = self.part_bans.evidence.bans(now_unix_ms)
        parts = frozenset(part for ban in bans for part in ban.part_hashes)
        min_crashes = self._ban_after or BAN_CRASHES
        evidence = self.evidence.to_suspicions(min_crashes)
        evidence += self.part_bans.evidence.to_suspicions(parts)
        self._reports.extend((now_unix_ms, suspicion) for suspicion in evidence)

    def judge(
        self,
        fingerprint: int,
        groups: list[str],
        now_unix_ms: int,
        part_hashes: tuple[int, ...] = (),
    ) -> Verdict:
        """Decide whether and where a request may run.

        Parameters
        ----------
        fingerprint : int
            The request.
        groups : list of str
            Groups that currently serve its service.
        now_unix_ms : int
            Wall-clock time in milliseconds.
        part_hashes : tuple of int, optional
            Hashes of the parts of its prompt that other requests may share.

        Returns
        -------
        Verdict
            ``Clear``, ``Suspected`` or ``Banned``.
        """
        refusal = self.part_bans.find_refusal(part_hashes, now_unix_ms)
        if refusal is not None:
            return Banned(refusal.until_unix_ms, refusal.part_hashes)
        crashed = self.evidence.crashes_of(fingerprint)
        if not crashed:
            return Clear()
        if self._ban_after:
            is_banned = len(crashed) >= self._ban_after
            return Banned(now_unix_ms + BAN_MS) if is_banned else Clear()
        until_unix_ms = self.evidence.banned_until_unix_ms(fingerprint, now_unix_ms)
        if until_unix_ms:
            return Banned(until_unix_ms)
        crashes = self.evidence.unattributed_crashes_of(fingerprint, now_unix_ms)
        if not crashes:
            return Clear()
        return self._assign_group(fingerprint, crashes, groups)

    def _assign_group(
        self, fingerprint: int, crashes: list[Crash], groups: list[str]
    ) -> Suspected:
        latest = max(crashes, key=lambda crash: crash.at_unix_ms)
        slots = sorted(set(groups) - {latest.crash_id.group_id})
        # Requests that had just started are the likeliest cause, so they are assigned
        # to groups first.
        order = sorted(latest.suspects, key=lambda f: (latest.suspects[f], f))
        free = list(slots)
        rounds = 0
        group_id = ""
        for suspect in order[: order.index(fingerprint) + 1]:
            group_id = self._first_untried_group(suspect, free)
            if not group_id:
                rounds += 1
                free = list(slots)
                group_id = self._first_untried_group(suspect, free)
            if group_id:
                free.remove(group_id)
        rounds = min(rounds, MAX_SUSPECT_ROUNDS - 1)
        delay_ms = EVIDENCE_SETTLE_MS + rounds * SUSPECT_ROUND_MS
        return Suspected(group_id, latest.at_unix_ms + delay_ms)

    def _first_untried_group(self, suspect: int, groups: list[str]) -> str:
        crashes = self.evidence.crashes_of(suspect)
        tried = {crash.crash_id.group_id for crash in crashes}
        return next((group for group in groups if group not in tried), "")

    def _record_harmless(
        self,
        running: _Running,
        fingerprint: int,
        part_hashes: tuple[int, ...],
        attempt_id: str,
        now_unix_ms: int,
    ) -> None:
        parts = self.part_bans.record_harmless(part_hashes, now_unix_ms)
        if not fingerprint and not parts:
            return
        _LOGGER.info(
            "suspect_cleared",
            extra={
                "request": attempt_id.rpartition(".")[0],
                "group": running.group_id,
                "epoch": running.epoch,
                "fingerprint": f"{fingerprint:016x}" if fingerprint else "",
                "parts": format_parts(parts),
            },
        )
        self._add_clear(fingerprint, parts, now_unix_ms, now_unix_ms)

    def _add_clear(
        self, fingerprint: int, parts: list[int], at_unix_ms: int, now_unix_ms: int
    ) -> None:
        self._add(
            CrashSuspicion(
                fingerprint=fingerprint,
                crashed_at_unix_ms=at_unix_ms,
                cleared=True,
                part_hashes=parts,
            ),
            now_unix_ms,
        )

    def _add(self, suspicion: CrashSuspicion, now_unix_ms: int) -> None:
        is_new = self.evidence.add(suspicion)
        if self.part_bans.evidence.add(suspicion) or is_new:
            self._reports.append((now_unix_ms, suspicion))
            if self.notify is not None:
                self.notify()
