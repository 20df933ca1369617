"""Sums the capacity of serving groups for admission."""

import math
from collections import Counter
from collections.abc import Callable, Collection, Mapping
from types import MappingProxyType
from typing import Final

from chestnutvale.admission.messages import (
    NO_LIMITED_GROUPS,
    LimitedGroups,
    ServiceCapacity,
)
from chestnutvale.clock import Clock
from chestnutvale.membership.endpoint_notices import EndpointNotices, Incarnation
from chestnutvale.membership.entry_view import EntryView
from chestnutvale.rate_limits.send_budget import SendBudget
from chestnutvale.schema.membership_pb2 import Load
from chestnutvale.schema.peer_pb2 import GroupView

NOTHING_RUNNING: Final[Mapping[str, int]] = MappingProxyType({})


class GroupCapacity:
    """Capacity of the groups that an entry knows, by service.

    Parameters
    ----------
    view : EntryView
        The groups, and the loads that they report.
    notices : EndpointNotices
        Endpoints that told this entry that they leave or pause.
    send_budget : SendBudget
        Shares of this entry in the limits that endpoints named.
    head_of : callable
        Returns the head of a group.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        view: EntryView,
        notices: EndpointNotices,
        send_budget: SendBudget,
        head_of: Callable[[GroupView], Incarnation],
        clock: Clock,
    ) -> None:
        self._view = view
        self._notices = notices
        self._send_budget = send_budget
        self._head_of = head_of
        self._clock = clock

    def by_service(
        self,
        running: Mapping[str, int] = NOTHING_RUNNING,
        stalled: Collection[str] = (),
    ) -> dict[str, ServiceCapacity]:
        """Return the total capacity of the serving groups of each service.

        Groups whose head leaves or pauses are left out, and so are stalled groups: they
        get calls only as a last resort, so the other groups would have to run those
        that are admitted for them. Groups whose head names a limit are counted apart,
        with the shares of this entry.

        Parameters
        ----------
        running : mapping of str to int, optional
            Running attempts of this entry by group; only those at groups of evacuated
            data centres are read.
        stalled : collection of str, optional
            Stalled groups. They count if a service has no others.

        Returns
        -------
        dict of str to ServiceCapacity
            By service; a service without a serving group is absent.
        """
        now_s = self._clock.now_s()
        loads: dict[str, list[Load]] = {}
        limited: dict[str, LimitedGroups] = {}
        returns_at_s: dict[str, float] = {}
        evacuated_running: Counter[str] = Counter()
        uncounted = self._find_uncounted(stalled, now_s)
        for group_view in self._view.groups():
            service = group_view.group.service
            if group_view.evacuated:
                evacuated_running[service] += running.get(group_view.group.group_id, 0)
            if not group_view.serving or group_view.group.group_id in uncounted:
                continue
            usable_loads = loads.setdefault(service, [])
            head = self._head_of(group_view)
            if self._notices.may_send(head, now_s):
                if self._send_budget.is_limited(head):
                    share_per_s = self._send_budget.share_per_s(head)
                    sums = limited.get(service, NO_LIMITED_GROUPS)
                    limited[service] = sums.with_group(share_per_s)
                    continue
                load = self._view.load(group_view.group.group_id)
                usable_loads.append(load or Load())
                continue
            pause_end_s = self._notices.pause_end_s(head, now_s)
            if pause_end_s is not None:
                earliest_s = returns_at_s.get(service, math.inf)
                returns_at_s[service] = min(earliest_s, pause_end_s)
        return {
            service: _sum_loads(
                items,
                returns_at_s.get(service, math.inf),
                limited.get(service, NO_LIMITED_GROUPS),
                evacuated_running[service],
            )
            for service, items in loads.items()
        }

    def count_shared_running(
        self, running: Mapping[str, int], stalled: Collection[str] = ()
    ) -> Counter[str]:
        """Sum running attempts by service at the groups whose capacity is shared.

        Leaves out the groups that `by_service` leaves out or counts apart: attempts at
        groups that stalled, pause, leave or have a rate limit take no place of the
        others.

        Parameters
        ----------
        running : mapping of str to int
            Attempts at each group.
        stalled : collection of str, optional
            Stalled groups. They count if a service has no others.

        Returns
        -------
        Counter of str
            Attempts by service.
        """
        now_s = self._clock.now_s()
        totals: Counter[str] = Counter()
        uncounted = self._find_uncounted(stalled, now_s)
        for group_id, count in running.items():
            group_view = self._view.group(group_id)
            if group_view is None or group_id in uncounted:
                continue
            head = self._head_of(group_view)
            if self._send_budget.is_limited(head) or not self._notices.may_send(
                head, now_s
            ):
                continue
            totals[group_view.group.service] += count
        return totals

    def _find_uncounted(self, stalled: Collection[str], now_s: float) -> frozenset[str]:
        """Return the stalled groups of the services that have others."""
        if not stalled:
            return frozenset()
        others = {
            group_view.group.service
            for group_view in self._view.groups()
            if group_view.serving
            and group_view.group.group_id not in stalled
            and self._takes_requests(self._head_of(group_view), now_s)
        }
        return frozenset(
            group_view.group.group_id
            for group_view in self._view.groups()
            if group_view.group.group_id in stalled
            and group_view.group.service in others
        )

    def _takes_requests(self, head: Incarnation, now_s: float) -> bool:
        if not self._notices.may_send(head, now_s):
            return False
        budget = self._send_budget
        return not budget.is_limited(head) or budget.share_per_s(head) > 0.0


def _sum_loads(
    loads: list[Load],
    returns_at_s: float,
    limited: LimitedGroups,
    evacuated_running: int,
) -> ServiceCapacity:
    return ServiceCapacity(
        groups=len(loads),
        kv_capacity_tokens=sum(load.kv_capacity_tokens for load in loads),
        kv_used_tokens=sum(load.kv_used_tokens for load in loads),
        running=sum(load.running for load in loads),
        waiting=sum(load.waiting for load in loads),
        largest_group_tokens=max(
            (load.kv_capacity_tokens for load in loads), default=0
        ),
        returns_at_s=returns_at_s,
        limited=limited,
        evacuated_running=evacuated_running,
    )
