"""Liveness checks of a group's head for the other members."""

from collections.abc import Callable
from types import TracebackType
from typing import Any, Self

import eventlet
import logbook
import urllib3

from chestnutvale.emulator.const import (
    MEMBER_PING_INTERVAL_BUSY_MS,
    MEMBER_PING_INTERVAL_IDLE_MS,
    MEMBER_PING_TIMEOUT_S,
    PHASE_READY,
)
from chestnutvale.schema.groups_pb2 import GroupMember
from chestnutvale.schema.membership_pb2 import Holding

_LOGGER = logbook.Logger(__name__)


class MemberMonitor:
    """Pings the members of one group in one epoch; a context manager.

    Parameters
    ----------
    holding : Holding
        Holding of the head; each member must hold the same group and epoch.
    members : list of GroupMember
        The members other than the head.
    is_busy : callable
        Returns whether requests are running, during which pings are more frequent.
    is_paused : callable
        Returns whether the head is paused, during which it draws no conclusion from
        a ping.
    on_missing : callable
        Called with the reason each time a ping finds a member missing.

    Attributes
    ----------
    missing : dict of str to str
        Reason for each missing member, by host; empty if all members are ready.
    slow_factor : float
        Slow factor of the slowest member; 1 if none is slow.
    """

    def __init__(
        self,
        holding: Holding,
        members: list[GroupMember],
        is_busy: Callable[[], bool],
        is_paused: Callable[[], bool],
        on_missing: Callable[[str], None],
    ) -> None:
        self.missing = {m.host_id: "not pinged yet" for m in members}
        self._slow_factors: dict[str, float] = {}
        self._holding = holding
        self._members = members
        self._is_busy = is_busy
        self._is_paused = is_paused
        self._on_missing = on_missing
        self._tasks: list[eventlet.greenthread.GreenThread] = []
        self._http = urllib3.PoolManager(
            maxsize=1, retries=False, timeout=MEMBER_PING_TIMEOUT_S
        )

    @property
    def slow_factor(self) -> float:
        """Slow factor of the slowest member."""
        return max(self._slow_factors.values(), default=1.0)

    def __enter__(self) -> Self:
        """Start one task per member that pings it at intervals."""
        self._tasks = [eventlet.spawn(self._monitor_member, m) for m in self._members]
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop the tasks and close the connections to the members."""
        for task in self._tasks:
            task.kill()
        self._http.clear()

    def ping_missing_members(self) -> bool:
        """Ping the missing members again; return whether none is missing any more."""
        for member in self._members:
            if member.host_id in self.missing:
                self._record_ping_result(member, self._ping_member(member))
        return not self.missing

    def _monitor_member(self, member: GroupMember) -> None:
        while True:
            self._record_ping_result(member, self._ping_member(member))
            interval_ms = (
                MEMBER_PING_INTERVAL_BUSY_MS
                if self._is_busy()
                else MEMBER_PING_INTERVAL_IDLE_MS
            )
            eventlet.sleep(interval_ms / 1e3)

    def _record_ping_result(self, member: GroupMember, problem: str) -> None:
        if self._is_paused():
            return
        if not problem:
            self.missing.pop(member.host_id, None)
            return
        if self.missing.get(member.host_id) != problem:
            _LOGGER.info(
                "Member {} of group {} is missing in epoch {}: {}",
                member.host_id,
                self._holding.group_id,
                self._holding.epoch,
                problem,
            )
        self.missing[member.host_id] = problem
        self._on_missing(problem)

    def _ping_member(self, member: GroupMember) -> str:
        """Return why a member counts as missing; empty if it does not."""
        try:
            response = self._http.request(
                "GET", f"http://{member.address}/v1/membership"
            )
            answer = response.json()
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            return type(error).__name__
        if not isinstance(answer, dict) or response.status != 200:
            return "no valid answer"
        self._slow_factors[member.host_id] = float(answer.get("slow_factor", 1.0))
        return self._compare_holding(member, answer)

    def _compare_holding(self, member: GroupMember, answer: dict[str, Any]) -> str:
        if answer.get("boot_id") != member.boot_id:
            return "rebooted"
        reported_holding = answer.get("holding") or {}
        if reported_holding.get("group_id") != self._holding.group_id:
            return "holds another group"
        if int(reported_holding.get("epoch", 0)) != self._holding.epoch:
            return "holds another epoch"
        if reported_holding.get("phase") != PHASE_READY:
            return "not ready"
        return ""
