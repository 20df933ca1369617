"""Decides which groups to form, change and dissolve."""

from collections import defaultdict
from collections.abc import Iterator
from typing import TypeAlias

import attrs

from chestnutvale.groups.assembly import Assembler
from chestnutvale.groups.const import (
    MAX_COMMANDS_PER_ROUND,
    PHASE_DRAINING,
    PHASE_FORMING,
    PHASE_SERVING,
)
from chestnutvale.groups.fleet import Fleet, to_member
from chestnutvale.groups.services import model_services_in_order
from chestnutvale.groups.serving import find_readiness_fault, find_serving_fault
from chestnutvale.groups.settings import GroupsPolicy
from chestnutvale.groups.state import GroupsState
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
    """What one round of planning looks at.

    Attributes
    ----------
    state : GroupsState
        The replicated groups.
    table : MembershipTable
        What is known of hosts.
    text : Text
        The text in force.
    now_unix_ms : int
        Wall-clock time, for records.
    """

    state: GroupsState
    table: MembershipTable
    text: Text
    now_unix_ms: int


@attrs.define
class GroupPlanner:
    """Plans changes of groups; equal input gives an equal plan.

    Parameters
    ----------
    policy : GroupsPolicy
        Weights and times.
    """

    policy: GroupsPolicy = attrs.field(factory=GroupsPolicy)

    def became_leader(self, now_s: float) -> None:
        """Forget what an earlier leadership saw.

        Parameters
        ----------
        now_s : float
            Monotonic time.
        """

    def plan(self, inputs: PlanInputs, now_s: float) -> list[GroupCommand]:
        """Plan one round.

        Parameters
        ----------
        inputs : PlanInputs
            What is known now.
        now_s : float
            Monotonic time.

        Returns
        -------
        list of GroupCommand
            Commands to propose in this order; none names a host that another one
            of the list or a group in force has.
        """
        fleet = Fleet.survey(inputs.state, inputs.table, now_s)
        commands = [
            *self._release_unclaimed(fleet),
            *self._promote(inputs, now_s),
            *self._rejoin(inputs, fleet),
            *self._assemble(inputs, fleet, now_s),
        ]
        return commands[:MAX_COMMANDS_PER_ROUND]

    def _release_unclaimed(self, fleet: Fleet) -> Iterator[ReleaseHost]:
        for record in fleet.unclaimed:
            yield ReleaseHost(
                host_id=record.host_id,
                boot_id=record.boot_id,
                address=record.announcement.address,
            )

    def _promote(self, inputs: PlanInputs, now_s: float) -> Iterator[PutGroup]:
        for group in inputs.state.groups.values():
            if group.phase != PHASE_FORMING:
                continue
            if not find_readiness_fault(group, inputs.table, now_s):
                yield _with_phase(group, PHASE_SERVING)

    def _rejoin(self, inputs: PlanInputs, fleet: Fleet) -> Iterator[PutGroup]:
        """Take up members that came back under another boot."""
        for group in inputs.state.groups.values():
            if group.phase == PHASE_DRAINING:
                continue
            changed = Group()
            changed.CopyFrom(group)
            for member in changed.members:
                record = fleet.fresh.get(member.host_id)
                if record is not None and not record.announcement.leaving:
                    member.CopyFrom(to_member(record, member.rank))
            if changed.members != group.members:
                changed.phase = PHASE_FORMING
                yield PutGroup(group=changed, expected_epoch=group.epoch)

    def _assemble(
        self, inputs: PlanInputs, fleet: Fleet, now_s: float
    ) -> Iterator[PutGroup]:
        services = model_services_in_order(inputs.text)
        groups_of = _groups_by_service(inputs.state)
        assembler = Assembler(
            fleet=fleet,
            smallest_group=min(
                (item.hosts_per_group for _, item in services if item.hosts_per_group),
                default=1,
            ),
            first_number=inputs.state.last_fence + 1,
            domains_of_service={
                name: [group.fabric_domain for group in groups]
                for name, groups in groups_of.items()
            },
        )
        for name, service in services:
            if not _are_dependencies_met(inputs, service, groups_of, now_s):
                continue
            for _ in range(service.groups - len(groups_of[name])):
                command = assembler.assemble(name, service)
                if command is None:
                    break
                yield command


def _with_phase(group: Group, phase: str) -> PutGroup:
    changed = Group()
    changed.CopyFrom(group)
    changed.phase = phase
    return PutGroup(group=changed, expected_epoch=group.epoch)


def _groups_by_service(state: GroupsState) -> defaultdict[str, list[Group]]:
    groups_of = defaultdict(list)
    for group in state.groups.values():
        groups_of[group.service].append(group)
    return groups_of


def _are_dependencies_met(
    inputs: PlanInputs,
    service: Service,
    groups_of: dict[str, list[Group]],
    now_s: float,
) -> bool:
    return all(
        any(
            not find_serving_fault(group, inputs.table, now_s)
            for group in groups_of.get(name, ())
        )
        for name in service.depends_on
    )
