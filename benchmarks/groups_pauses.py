"""Decisions about a group whose members pause, or are lost for good.

Run ``python -m benchmarks.groups_pauses``.
"""

import math
import random
import statistics
from collections.abc import Callable, Iterator
from typing import TypeAlias

import attrs

from chestnutvale.groups.const import PHASE_DRAINING, PHASE_SERVING
from chestnutvale.groups.fleet import Fleet
from chestnutvale.groups.idle_tracker import IdleTracker
from chestnutvale.groups.planner import GroupCommand, GroupPlanner, PlanInputs
from chestnutvale.groups.pools import PoolPlanner
from chestnutvale.groups.settings import GroupsPolicy
from chestnutvale.groups.state import GroupsState
from chestnutvale.membership.announcement_content import content_digest
from chestnutvale.membership.table import MembershipTable
from chestnutvale.routing.const import STALL_GAP_S
from chestnutvale.routing.stall_detection import StallAggregator
from chestnutvale.schema.configuration_pb2 import Service, Text
from chestnutvale.schema.groups_pb2 import Group, GroupMember, PutGroup
from chestnutvale.schema.membership_pb2 import Announcement, Heard, Holding

SIZE = 4
SPARE_RANK = SIZE
GROUP_ID = "g"
DETECTION_TIMEOUT_S = 3.0
ENGINE_STALL_S = 5.0
ANNOUNCEMENT_INTERVAL_S = 1.2
REPORT_INTERVAL_S = 0.25
ROUND_INTERVAL_S = 0.05
# Time of the rule that an active group is alive, as at the controls.
RESPONSIVE_TTL_S = 1.2
BEGIN_S = 4.0
END_S = 14.0
# Time from the begin of a term to the first plan, as set by the platform.
FIRST_PLAN_S = 1.0
TRIALS = 100

Plan: TypeAlias = Callable[[float], list[GroupCommand]]


@attrs.frozen
class Fault:
    """A fault that begins at `BEGIN_S`.

    Attributes
    ----------
    ranks : tuple of int
        Members that stand still; none if only the control does.
    length_s : float
        Time in seconds until they go on; infinite if they are lost.
    lost_ranks : tuple of int
        Those of them that never go on.
    control_length_s : float
        Time in seconds for which the control stands still.
    is_mute : bool
        Whether the members go on, and only their announcements are lost.
    has_new_leader : bool
        Whether a control that has just started leads from then on.
    is_draining : bool
        Whether the group drains under that leader.
    """

    ranks: tuple[int, ...] = ()
    length_s: float = 0.0
    lost_ranks: tuple[int, ...] = ()
    control_length_s: float = 0.0
    is_mute: bool = False
    has_new_leader: bool = False
    is_draining: bool = False


@attrs.define
class GroupUnderFault:
    """One serving group and the control that decides about it.

    Parameters
    ----------
    fault : Fault
        What stands still.
    phases_s : list of float
        Time of the first announcement of each member, in seconds.
    has_streams : bool
        Whether entries run streams at the group, which stall with any member.
    calls_left : int
        Number of these that stay there however long the group is silent.
    is_pooled : bool
        Whether it shares a pool; a group without a pool has a spare in its domain.
    engine_stall_s : float
        Time in seconds after which its engine ends stalled calls; 0 if unknown.
    """

    fault: Fault
    phases_s: list[float]
    has_streams: bool = True
    calls_left: int = 0
    is_pooled: bool = True
    engine_stall_s: float = ENGINE_STALL_S
    table: MembershipTable = attrs.field(
        factory=lambda: MembershipTable(DETECTION_TIMEOUT_S)
    )
    _state: GroupsState = attrs.field(factory=GroupsState)
    _stalls: StallAggregator = attrs.field(factory=StallAggregator)
    _sequence: int = 0

    def find_dissolved_s(self) -> float:
        """Return when the group is dissolved, or gets another member.

        Returns
        -------
        float
            Time in seconds since the fault began; infinite if it never is.
        """
        plan = self._plan_pool() if self.is_pooled else self._plan_service()
        self._form_group()
        messages = sorted(self._announcements())
        next_report_s = self.phases_s[0] % REPORT_INTERVAL_S
        now_s = 0.0
        leads_from_s = BEGIN_S if self.fault.has_new_leader else math.inf
        while now_s < END_S:
            now_s += ROUND_INTERVAL_S
            if now_s >= leads_from_s:
                leads_from_s = math.inf
                plan = self._change_leader(now_s)
            if 0.0 <= now_s - BEGIN_S < self.fault.control_length_s:
                continue
            # The round precedes the messages that arrived while the control stood.
            is_waiting = (
                self.fault.has_new_leader and 0.0 <= now_s - BEGIN_S < FIRST_PLAN_S
            )
            if not is_waiting and any(is_change(command) for command in plan(now_s)):
                return now_s - BEGIN_S
            while messages and messages[0][0] <= now_s:
                self._announce(messages.pop(0)[1], now_s)
            if now_s >= next_report_s:
                next_report_s = now_s + REPORT_INTERVAL_S
                self._report_streams(now_s)
        return math.inf

    def _plan_pool(self) -> Plan:
        policy = GroupsPolicy(engine_stall_s=self.engine_stall_s)
        idle_tracker = IdleTracker(policy)
        planner = PoolPlanner(idle_tracker)

        def plan(now_s: float) -> list[GroupCommand]:
            fleet = Fleet.collect(self._state, self.table, now_s)
            idle_tracker.observe(self._state, self.table, _TEXT, now_s)
            return list(planner.plan(self._state, self.table, _TEXT, fleet, now_s))

        return plan

    def _change_leader(self, now_s: float) -> Plan:
        self.table = MembershipTable(DETECTION_TIMEOUT_S)
        self.table.extend_detection_timeout(now_s + DETECTION_TIMEOUT_S, now_s)
        self._stalls = StallAggregator()
        if self.fault.is_draining:
            group = self._state.groups[GROUP_ID]
            draining = PutGroup(group=group, expected_epoch=group.epoch)
            draining.group.phase = PHASE_DRAINING
            self._state.put_group(draining, 1)
        return self._plan_pool()

    def _plan_service(self) -> Plan:
        planner = GroupPlanner()
        planner.became_leader(0.0)
        text = Text(number=1)
        text.services["s"].CopyFrom(
            Service(kind="model", hosts_per_group=SIZE, groups=1)
        )

        def plan(now_s: float) -> list[GroupCommand]:
            inputs = PlanInputs(self._state, self.table, text, round(1_000 * now_s))
            return planner.plan(inputs, now_s)

        return plan

    def _form_group(self) -> None:
        members = [
            GroupMember(host_id=f"h{rank}", boot_id="b", rank=rank)
            for rank in range(SIZE)
        ]
        group = Group(
            group_id=GROUP_ID,
            service="s",
            members=members,
            phase="forming",
            pooled=self.is_pooled,
            fabric_domain="d",
        )
        self._state.put_group(PutGroup(group=group), 1)
        epoch = self._state.groups[GROUP_ID].epoch
        group.phase = "serving"
        self._state.put_group(PutGroup(group=group, expected_epoch=epoch), 1)
        for rank in range(SIZE):
            self._announce(rank, 0.0)

    def _announcements(self) -> Iterator[tuple[float, int]]:
        """Yield times and members; what is due in a pause is sent at its end."""
        resume_s = BEGIN_S + self.fault.length_s
        for rank in range(SIZE):
            at_s = self.phases_s[rank]
            while at_s < END_S:
                if at_s >= BEGIN_S and rank in self.fault.lost_ranks:
                    break
                if rank in self.fault.ranks and BEGIN_S <= at_s < resume_s:
                    at_s = resume_s
                    continue
                yield at_s, rank
                at_s += ANNOUNCEMENT_INTERVAL_S
        if not self.is_pooled:
            for number in range(int(END_S)):
                yield float(number), SPARE_RANK

    def _announce(self, rank: int, now_s: float) -> None:
        self._sequence += 1
        group = self._state.groups[GROUP_ID]
        announcement = Announcement(
            host_id=f"h{rank}",
            boot_id="b",
            sequence=self._sequence,
            address=f"10.0.0.1:{1_000 + rank}",
            data_centre="a",
            fabric_domain="d",
            kind="engine",
            pool="p" if self.is_pooled else "",
            fencing=True,
            opens=True,
        )
        if rank != SPARE_RANK:
            holding = Holding(
                group_id=GROUP_ID,
                epoch=group.epoch,
                rank=rank,
                service="s",
                phase="ready" if rank else "open",
            )
            announcement.holding.CopyFrom(holding)
        heard = Heard(
            host_id=announcement.host_id,
            boot_id="b",
            sequence=self._sequence,
            changed=announcement,
            content_digest=content_digest(announcement),
        )
        self.table.merge_control_report("control", [heard], now_s)

    def _report_streams(self, now_s: float) -> None:
        resume_s = BEGIN_S + self.fault.length_s
        if self.fault.lost_ranks:
            resume_s = math.inf
        stalls = bool(self.fault.ranks) and not self.fault.is_mute
        is_silent = stalls and BEGIN_S <= now_s < resume_s
        silence_s = now_s - BEGIN_S if is_silent else 0.0
        self.table.merge_entry_report("entry", [], now_s)
        self.table.record_running_attempts("h0", self.calls_left if is_silent else 1)
        if not self.has_streams:
            return
        stalled = frozenset({GROUP_ID} if silence_s > STALL_GAP_S else ())
        self._stalls.record_report("entry", {GROUP_ID: silence_s}, stalled, now_s)
        self.table.mark_responsive(
            self._stalls.active_groups(now_s), now_s + RESPONSIVE_TTL_S
        )
        self.table.set_stalled_groups(self._stalls.confirmed_stalls(now_s))


_TEXT = Text(number=1)
_TEXT.services["s"].CopyFrom(
    Service(kind="model", hosts_per_group=SIZE, pool="p", work_share=1.0, pace=1.0)
)


def is_change(command: GroupCommand) -> bool:
    """Tell whether a command dissolves a group or changes its members."""
    if isinstance(command, PutGroup):
        return command.group.phase != PHASE_SERVING
    return True


def find_dissolved_times_s(
    fault: Fault,
    has_streams: bool = True,
    calls_left: int = 0,
    trials: int = TRIALS,
    *,
    is_pooled: bool = True,
    engine_stall_s: float = ENGINE_STALL_S,
) -> list[float]:
    """Return when a group is dissolved or changed, with random announcements.

    Parameters
    ----------
    fault : Fault
        What stands still.
    has_streams : bool, optional
        Whether entries run streams at the group.
    calls_left : int, optional
        Number of these that stay there however long the group is silent.
    trials : int, optional
        Number of random phases.
    is_pooled : bool, optional
        Whether the group shares a pool.
    engine_stall_s : float, optional
        Time in seconds after which its engine ends stalled calls; 0 if unknown.

    Returns
    -------
    list of float
        Seconds from the begin of the fault; infinite where the group is kept.
    """
    rng = random.Random(1)
    return [
        GroupUnderFault(
            fault,
            [rng.uniform(0.0, ANNOUNCEMENT_INTERVAL_S) for _ in range(SIZE)],
            has_streams,
            calls_left,
            is_pooled,
            engine_stall_s,
        ).find_dissolved_s()
        for _ in range(trials)
    ]


def describe(times_s: list[float]) -> str:
    """Return the share of dissolved groups, and when they were dissolved."""
    dissolved_s = [at_s for at_s in times_s if at_s < math.inf]
    share = f"{len(dissolved_s) / len(times_s):4.0%}"
    if not dissolved_s:
        return share
    return f"{share} after {statistics.mean(dissolved_s):.2f} s"


def print_new_leader() -> None:
    """Print the decisions of a new leader that lacks announcements."""
    print("| lost for s | whose announcements | serving | draining |")
    for length_s in (1.2, 2.6, 3.6, 6.0, math.inf):
        for name, ranks in (
            ("all members", tuple(range(SIZE))),
            ("the head", (0,)),
            ("another member", (1,)),
        ):
            faults = [
                Fault(
                    ranks,
                    length_s,
                    is_mute=True,
                    has_new_leader=True,
                    is_draining=is_draining,
                )
                for is_draining in (False, True)
            ]
            columns = [describe(find_dissolved_times_s(fault)) for fault in faults]
            print(f"| {length_s} | {name} | {' | '.join(columns)} |")
    print("| new leader, lost for good | streams, all left | calls stay |")
    for name, ranks in (("the head", (0,)), ("another member", (1,))):
        fault = Fault(ranks, math.inf, has_new_leader=True)
        columns = [
            describe(find_dissolved_times_s(fault, calls_left=calls_left))
            for calls_left in (0, 1)
        ]
        print(f"| {name} | {' | '.join(columns)} |")


def main() -> None:
    """Print the decisions for each fault."""
    everyone = tuple(range(SIZE))
    print("| pause s | who | idle | streams | streams that stay |")
    for length_s in (1.2, 2.6, 3.6, math.inf):
        for name, ranks in (
            ("all members", everyone),
            ("the head", (0,)),
            ("another member", (1,)),
            ("all but one", everyone[1:]),
        ):
            fault = Fault(ranks, length_s)
            columns = [
                describe(find_dissolved_times_s(fault, has_streams, calls_left))
                for has_streams, calls_left in ((False, 0), (True, 0), (True, 1))
            ]
            print(f"| {length_s} | {name} | {' | '.join(columns)} |")
    for length_s in (2.2, 2.8):
        fault = Fault(control_length_s=length_s)
        columns = [
            describe(find_dissolved_times_s(fault, has_streams))
            for has_streams in (False, True)
        ]
        print(f"| {length_s} | the control | {' | '.join(columns)} | |")
    print_new_leader()
    print("| pause s | who | group without a pool |")
    for length_s in (2.6, 3.6, 4.6, 6.0, math.inf):
        for name, ranks in (("all members", everyone), ("the head", (0,))):
            times_s = find_dissolved_times_s(Fault(ranks, length_s), is_pooled=False)
            print(f"| {length_s} | {name} | {describe(times_s)} |")


if __name__ == "__main__":
    main()
