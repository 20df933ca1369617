"""Plans which groups to form, change, repair and dissolve."""

from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import TypeAlias

import attrs

from chestnutvale.groups.assembly import GroupAssembler
from chestnutvale.groups.const import (
    MAX_COMMANDS_PER_ROUND,
    PHASE_DRAINING,
    PHASE_FORMING,
    PHASE_SERVING,
)
from chestnutvale.groups.failure_detector import (
    BrokenGroup,
    GroupFailureDetector,
    lacks_live_entries,
)
from chestnutvale.groups.fleet import Fleet, make_member
from chestnutvale.groups.free_hosts import SpareRequest
from chestnutvale.groups.idle_tracker import IdleTracker
from chestnutvale.groups.plain_services import plan_plain_groups
from chestnutvale.groups.pools import (
    PoolPlanner,
    is_pooled,
    is_settled,
    select_pooled_services,
)
from chestnutvale.groups.repair import RepairInputs, RepairPlanner
from chestnutvale.groups.repair_cost import CostChooser, RepairChooser
from chestnutvale.groups.rollout import ServicePlanner
from chestnutvale.groups.services import sort_model_services
from chestnutvale.groups.serving import find_readiness_fault
from chestnutvale.groups.settings import GroupsPolicy
from chestnutvale.groups.staging import StagingPlanner
from chestnutvale.groups.state import GroupsState
from chestnutvale.groups.warm_up import WarmUpPlanner
from chestnutvale.membership.table import MembershipTable
from chestnutvale.schema.configuration_pb2 import Service, Text
from chestnutvale.schema.groups_pb2 import (
    EndRepair,
    Group,
    PutGroup,
    PutRepair,
    ReleaseHost,
    RemoveGroup,
)

GroupCommand: TypeAlias = PutGroup | RemoveGroup | ReleaseHost | PutRepair | EndRepair


@attrs.frozen
class PlanInputs:
    """Inputs of one planning round.

    Attributes
    ----------
    state : GroupsState
        Replicated state of the groups.
    table : MembershipTable
        Liveness and announcements of hosts.
    text : Text
        Configuration in force.
    now_unix_ms : int
        Wall-clock time in milliseconds, for records.
    demand : mapping of str to float
        Number of requests that wait or run, by service.
    remaining_loads : int
        Number of weight loads that may start now.
    evacuated : frozenset of str
        Evacuated data centres: nothing is formed, staged or repaired there, and the
        groups there are kept without counting as capacity.
    """

    state: GroupsState
    table: MembershipTable
    text: Text
    now_unix_ms: int
    demand: Mapping[str, float] = attrs.field(factory=dict)
    remaining_loads: int = 0
    evacuated: frozenset[str] = frozenset()


@attrs.define
class GroupPlanner:
    """Plans changes of groups; the plan is a deterministic function of its inputs.

    Parameters
    ----------
    policy : GroupsPolicy
        Cost weights and durations.
    chooser : RepairChooser, optional
        Chooses how to repair broken groups; by cost if not given.
    """

    policy: GroupsPolicy = attrs.field(factory=GroupsPolicy)
    chooser: RepairChooser = attrs.field(
        default=attrs.Factory(lambda self: CostChooser(self.policy), takes_self=True)
    )
    failure_detector: GroupFailureDetector = attrs.field(
        factory=GroupFailureDetector, init=False
    )
    idle_tracker: IdleTracker = attrs.field(
        default=attrs.Factory(lambda self: IdleTracker(self.policy), takes_self=True),
        init=False,
    )

    pools: PoolPlanner = attrs.field(
        default=attrs.Factory(
            lambda self: PoolPlanner(self.idle_tracker), takes_self=True
        ),
        init=False,
    )
    staging: StagingPlanner = attrs.field(
        default=attrs.Factory(
            lambda self: StagingPlanner(self.pools.pool_demand), takes_self=True
        ),
        init=False,
    )
    warm_up: WarmUpPlanner = attrs.field(factory=WarmUpPlanner, init=False)
    _spare_requests: list[SpareRequest] = attrs.field(factory=list, init=False)

    def became_leader(self, now_s: float) -> None:
        """Discard observations from an earlier term as leader.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.
        """
        self.failure_detector.reset(now_s)
        self.idle_tracker.reset()
        self.staging.reset()
        self.warm_up.reset()

    def pop_spare_requests(self) -> list[SpareRequest]:
        """Return what free hosts should do after the last round, and clear it.

        Returns
        -------
        list of SpareRequest
            Hosts and the weights that they should stage or warm up for.
        """
        chosen, self._spare_requests = self._spare_requests, []
        return chosen

    def plan(self, inputs: PlanInputs, now_s: float) -> list[GroupCommand]:
        """Plan one round.

        Parameters
        ----------
        inputs : PlanInputs
            Inputs of this round.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        list of GroupCommand
            Commands, to be proposed in this order. No host is in two commands, or in a
            command and another group in force, and no group is changed twice.
        """
        state, table = inputs.state, inputs.table
        fleet = Fleet.collect(state, table, now_s, inputs.evacuated)
        self.idle_tracker.observe(state, table, inputs.text, now_s)
        broken = [
            item
            for item in self.failure_detector.find_broken_groups(state, table, now_s)
            if not is_pooled(item.group)
            and item.group.group_id not in fleet.evacuated_group_ids
        ]
        repairs = RepairPlanner(self.policy, self.chooser, self.failure_detector)
        repair_inputs = RepairInputs(
            state, table, fleet, self.idle_tracker, now_s, inputs.now_unix_ms
        )
        commands = [
            *_release_orphaned_hosts(fleet),
            *_promote_ready_groups(inputs, now_s),
            *_update_restarted_members(inputs, fleet),
            *repairs.plan(broken, repair_inputs),
            *self._plan_pools(inputs, fleet, now_s),
            *plan_plain_groups(
                state, table, inputs.text, fleet, self.idle_tracker, now_s
            ),
            *self._plan_services(inputs, fleet, broken, now_s),
        ]
        return _keep_first_of_each_group(commands)[:MAX_COMMANDS_PER_ROUND]

    def _plan_pools(
        self, inputs: PlanInputs, fleet: Fleet, now_s: float
    ) -> Iterator[PutGroup | RemoveGroup]:
        if lacks_live_entries(inputs.table, now_s) and inputs.state.groups:
            return
        self.pools.pool_demand.observe(inputs.demand, now_s)
        yield from self.pools.plan(
            inputs.state,
            inputs.table,
            inputs.text,
            fleet,
            now_s,
            may_load=inputs.remaining_loads > len(self.staging.pending_host_ids),
        )
        self._spare_requests = self.staging.plan(
            select_pooled_services(inputs.text),
            fleet.select_counted(inputs.state.groups.values()),
            fleet,
            inputs.remaining_loads,
            # Once there is demand, a new host is only useful with staged weights.
            self.pools.pool_demand.has_demand or is_settled(inputs.table, now_s),
            now_s,
        )
        if not inputs.state.last_fence:
            # A warm-up needs an epoch, and before the first group no host is spare.
            return
        self._spare_requests += self.warm_up.plan(
            select_pooled_services(inputs.text),
            fleet,
            self.staging.pending_host_ids,
            now_s,
        )

    def _plan_services(
        self,
        inputs: PlanInputs,
        fleet: Fleet,
        broken: Sequence[BrokenGroup],
        now_s: float,
    ) -> Iterator[PutGroup | RemoveGroup]:
        pooled = select_pooled_services(inputs.text)
        services = {
            name: service
            for name, service in sort_model_services(inputs.text)
            if name not in pooled
        }
        counted = fleet.select_counted(inputs.state.groups.values())
        groups_of = _groups_by_service(counted)
        broken_ids = {item.group.group_id for item in broken}
        planners = {
            name: ServicePlanner(
                name=name,
                service=services.get(name, Service()),
                groups=groups_of[name],
                state=inputs.state,
                table=inputs.table,
                idle_tracker=self.idle_tracker,
                broken_ids=broken_ids,
                now_s=now_s,
            )
            for name in [*services, *sorted(groups_of.keys() - services.keys())]
        }
        assembler = _make_assembler(inputs, fleet, services, groups_of)
        for name, planner in planners.items():
            may_form = name in services and all(
                _is_available(dependency, planners, counted, self.idle_tracker)
                for dependency in services[name].depends_on
            )
            yield from planner.plan(assembler, may_form)


def _is_available(
    name: str,
    planners: dict[str, ServicePlanner],
    groups: Iterable[Group],
    idle_tracker: IdleTracker,
) -> bool:
    """Tell whether the services that depend on a service may be formed."""
    if name in planners:
        return planners[name].is_rolled_out()
    return any(
        group.service == name and idle_tracker.is_serving(group) for group in groups
    )


def _release_orphaned_hosts(fleet: Fleet) -> Iterator[ReleaseHost]:
    for record in fleet.orphaned:
        yield ReleaseHost(
            host_id=record.host_id,
            boot_id=record.boot_id,
            address=record.announcement.address,
        )


def _promote_ready_groups(inputs: PlanInputs, now_s: float) -> Iterator[PutGroup]:
    for group in inputs.state.groups.values():
        if group.phase != PHASE_FORMING:
            continue
        if not find_readiness_fault(group, inputs.table, now_s):
            yield _with_phase(group, PHASE_SERVING)


def _update_restarted_members(inputs: PlanInputs, fleet: Fleet) -> Iterator[PutGroup]:
    """Reassign members that restarted with another boot id."""
    for group in inputs.state.groups.values():
        if group.phase == PHASE_DRAINING or is_pooled(group):
            continue
        changed = Group()
        changed.CopyFrom(group)
        for member in changed.members:
            record = fleet.live_hosts.get(member.host_id)
            if record is None or record.boot_id == member.boot_id:
                continue
            if not record.announcement.leaving:
                member.CopyFrom(make_member(record, member.rank))
        if changed.members != group.members:
            changed.phase = PHASE_FORMING
            yield PutGroup(group=changed, expected_epoch=group.epoch)


def _make_assembler(
    inputs: PlanInputs,
    fleet: Fleet,
    services: dict[str, Service],
    groups_of: dict[str, list[Group]],
) -> GroupAssembler:
    sizes = [item.hosts_per_group for item in services.values()]
    return GroupAssembler(
        fleet=fleet,
        smallest_group=min((size for size in sizes if size), default=1),
        first_number=inputs.state.last_fence + 1,
        domains_of_service={
            name: [group.fabric_domain for group in groups]
            for name, groups in groups_of.items()
        },
    )


def _groups_by_service(groups: Iterable[Group]) -> defaultdict[str, list[Group]]:
    groups_of = defaultdict(list)
    for group in groups:
        if not group.plain and not is_pooled(group):
            groups_of[group.service].append(group)
    return groups_of


def _with_phase(group: Group, phase: str) -> PutGroup:
    changed = Group()
    changed.CopyFrom(group)
    changed.phase = phase
    return PutGroup(group=changed, expected_epoch=group.epoch)


def _keep_first_of_each_group(commands: list[GroupCommand]) -> list[GroupCommand]:
    """Drop commands for a group that an earlier command of the round changes."""
    kept = []
    changed_ids = set()
    for command in commands:
        group_id = _group_of(command)
        if group_id in changed_ids:
            continue
        if group_id:
            changed_ids.add(group_id)
        kept.append(command)
    return kept


def _group_of(command: GroupCommand) -> str:
    match command:
        case PutGroup():
            return command.group.group_id
        case PutRepair():
            return command.repair.group_id
        case ReleaseHost():
            return ""
        case _:
            return command.group_id
