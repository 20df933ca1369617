"""Tracks, at one entry, requests that are suspected of crashing groups."""

import json
from collections.abc import Callable
from typing import Any

import attrs
import logbook
import xxhash

from chestnutvale.attempts.const import (
    BAN_MS,
    EVIDENCE_REPEAT_MS,
    EVIDENCE_SETTLE_MS,
    MAX_SUSPECT_ROUNDS,
    SUSPECT_ROUND_MS,
)
from chestnutvale.attempts.crash_evidence import Crash, CrashEvidence
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
    """

    until_unix_ms: int


Verdict = Clear | Suspected | Banned


@attrs.frozen
class _Running:
    fingerprint: int
    group_id: str
    epoch: int
    fabric_domain: str
    started_unix_ms: int
    part_hashes: tuple[int, ...]


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

    Attributes
    ----------
    evidence : CrashEvidence
        Evidence of this entry merged with that of others.
    notify : callable or None
        Called when there is new evidence to report; must not block.
    """

    def __init__(self, ban_after: int = 0) -> None:
        self._ban_after = ban_after
        self.evidence = CrashEvidence()
        self.notify: Callable[[], None] | None = None
        self._running: dict[str, _Running] = {}
        self._reports: list[CrashSuspicion] = []

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

    def attempt_ended(self, attempt_id: str) -> None:
        """Record that an attempt ended without a crash and without an answer.

        Parameters
        ----------
        attempt_id : str
            Identity of the attempt.
        """
        self._running.pop(attempt_id, None)

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
        if running is None or not self.evidence.crashes_of(running.fingerprint):
            return
        self._add(
            CrashSuspicion(
                fingerprint=running.fingerprint,
                crashed_at_unix_ms=now_unix_ms,
                cleared=True,
            )
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
        _LOGGER.info(
            "crash_suspected",
            extra={
                "request": attempt_id.rpartition(".")[0],
                "attempt": attempt_id,
                "group": running.group_id,
                "epoch": running.epoch,
                "ran_ms": ran_ms,
                "fingerprint": f"{running.fingerprint:016x}",
                "parts": format_parts(running.part_hashes),
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
            )
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
        for suspicion in suspicions:
            self.evidence.add(suspicion)
        self.evidence.expire(now_unix_ms)

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
        self._reports = [r for r in self._reports if r.crashed_at_unix_ms > oldest]
        return list(self._reports)

    def judge(self, fingerprint: int, groups: list[str], now_unix_ms: int) -> Verdict:
        """Decide whether and where a request may run.

        Parameters
        ----------
        fingerprint : int
            The request.
        groups : list of str
            Groups that currently serve its service.
        now_unix_ms : int
            Wall-clock time in milliseconds.

        Returns
        -------
        Verdict
            ``Clear``, ``Suspected`` or ``Banned``.
        """
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

    def _add(self, suspicion: CrashSuspicion) -> None:
        if self.evidence.add(suspicion):
            self._reports.append(suspicion)
            if self.notify is not None:
                self.notify()
