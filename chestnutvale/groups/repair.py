"""Repairs broken groups; repairs of several steps are committed first."""

from collections.abc import Iterator, Sequence
from typing import TypeAlias

import attrs

from chestnutvale.groups.budget import has_weights
from chestnutvale.groups.const import (
    PHASE_DRAINING,
    PHASE_FORMING,
    REPAIR_MERGE,
    REPAIR_MOVE,
    REPAIR_SPARE,
)
from chestnutvale.groups.failure_detector import BrokenGroup, GroupFailureDetector
from chestnutvale.groups.fleet import Fleet, make_member
from chestnutvale.groups.idle_tracker import IdleTracker
from chestnutvale.groups.repair_cost import RepairChooser, RepairOption
from chestnutvale.groups.settings import GroupsPolicy
from chestnutvale.groups.state import GroupsState
from chestnutvale.membership.host_record import HostRecord
from chestnutvale.membership.table import MembershipTable
from chestnutvale.schema.groups_pb2 import (
    EndRepair,
    Group,
    GroupMember,
    PutGroup,
    PutRepair,
    RemoveGroup,
    Repair,
)

RepairCommand: TypeAlias = PutGroup | RemoveGroup | PutRepair | EndRepair


@attrs.frozen
class RepairInputs:
    """Inputs of one round of repair planning.

    Attributes
    ----------
    state : GroupsState
        Replicated state of the groups.
    table : MembershipTable
        Liveness and announcements of hosts.
    fleet : Fleet
        Hosts available in this round; allocated hosts are removed from it.
    idle_tracker : IdleTracker
        Tells which groups serve and which have no requests left.
    now_s : float
        Monotonic time in seconds.
    now_unix_ms : int
        Wall-clock time in milliseconds, for records.
    """

    state: GroupsState
    table: MembershipTable
    fleet: Fleet
    idle_tracker: IdleTracker
    now_s: float
    now_unix_ms: int


@attrs.define
class RepairPlanner:
    """Plans the repairs of one round.

    A spare replaces a lost member in one committed change. Dissolving a donor, or
    forming the group in another domain, takes several changes. Such a repair is
    committed first, with the hosts that it reserves, so that another leader can
    continue it and a group has at most one repair at a time.

    Parameters
    ----------
    policy : GroupsPolicy
        Cost weights and durations.
    chooser : RepairChooser
        Chooses among the possible repairs.
    failure_detector : GroupFailureDetector
        Tells which hosts are flapping.
    """

    policy: GroupsPolicy
    chooser: RepairChooser
    failure_detector: GroupFailureDetector

    def plan(
        self, broken_groups: Sequence[BrokenGroup], inputs: RepairInputs
    ) -> list[RepairCommand]:
        """Plan repairs, starting with the most valuable group.

        Parameters
        ----------
        broken_groups : sequence of BrokenGroup
            Groups with lost members.
        inputs : RepairInputs
            Inputs of this round.

        Returns
        -------
        list of RepairCommand
            Commands, to be proposed in this order.
        """
        broken_by_id = {item.group.group_id: item for item in broken_groups}
        commands = list(self._restore_returned_members(broken_by_id, inputs))
        changed = _affected_group_ids(commands)
        for repair in list(inputs.state.repairs.values()):
            if repair.group_id not in changed:
                commands.extend(self._continue_repair(repair, broken_by_id, inputs))
        changed |= _affected_group_ids(commands)
        busy_groups = changed | _groups_in_repair(inputs.state)
        for broken in sorted(broken_groups, key=self._priority_key):
            if broken.group.group_id in busy_groups:
                continue
            new = list(
                self._plan_new_repair(broken, broken_groups, busy_groups, inputs)
            )
            commands.extend(new)
            busy_groups |= _affected_group_ids(new)
        return commands

    def _priority_key(self, broken: BrokenGroup) -> tuple[float, str]:
        value = self.policy.group_downtime_weight
        value += self.policy.stranded_hosts_weight * broken.healthy_count
        return (-value / len(broken.lost), broken.group.group_id)

    def _restore_returned_members(
        self, broken_by_id: dict[str, BrokenGroup], inputs: RepairInputs
    ) -> Iterator[PutGroup]:
        """Restore members that returned while their spares are still loading."""
        for group in inputs.state.groups.values():
            if group.phase != PHASE_FORMING or group.plain:
                continue
            changed = Group()
            changed.CopyFrom(group)
            for member in changed.members:
                record = self._find_returned(group, member, inputs)
                if record is not None:
                    member.CopyFrom(make_member(record, member.rank))
            if changed.members != group.members:
                yield PutGroup(group=changed, expected_epoch=group.epoch)

    def _find_returned(
        self, group: Group, member: GroupMember, inputs: RepairInputs
    ) -> HostRecord | None:
        """Find the former member with a rank, if it still has the weights."""
        current = inputs.fleet.live_hosts.get(member.host_id)
        if current is not None and has_weights(current, group, member.rank):
            return None
        for release in inputs.state.releases.values():
            if release.group_id != group.group_id:
                continue
            record = inputs.fleet.live_hosts.get(release.host_id)
            if record is None or record.boot_id != release.boot_id:
                continue
            if record.announcement.leaving:
                continue
            if release.host_id in inputs.state.draining_hosts:
                continue
            if self.failure_detector.is_flapping(release.host_id, inputs.now_s):
                continue
            if has_weights(record, group, member.rank):
                return record
        return None

    def _continue_repair(
        self,
        repair: Repair,
        broken_by_id: dict[str, BrokenGroup],
        inputs: RepairInputs,
    ) -> Iterator[RepairCommand]:
        broken = broken_by_id.get(repair.group_id)
        if repair.action == REPAIR_MOVE:
            group = inputs.state.groups[repair.group_id]
            if broken is None and inputs.idle_tracker.is_serving(group):
                yield _make_end_repair(repair)
            elif broken is not None and not _is_replaced(group, inputs.state):
                yield from self._replace_with_spares(broken, inputs)
            return
        if broken is None or not self._are_reserved_usable(repair, broken, inputs):
            yield _make_end_repair(repair)
            return
        donor = inputs.state.groups.get(repair.donor_group_id)
        if donor is not None:
            if repair.donor_group_id not in broken_by_id:
                yield _make_end_repair(repair)
                return
            yield RemoveGroup(group_id=donor.group_id, expected_epoch=donor.epoch)
            return
        if any(
            host_id in inputs.state.releases for host_id in repair.reserved_host_ids
        ):
            return
        hosts = [
            inputs.fleet.live_hosts[host_id] for host_id in repair.reserved_host_ids
        ]
        yield _replace_lost_members(broken, hosts)

    def _replace_with_spares(
        self, broken: BrokenGroup, inputs: RepairInputs
    ) -> Iterator[PutGroup]:
        """Use spares that appeared in the domain before a move could begin."""
        domain = broken.group.fabric_domain
        missing_count = len(broken.lost)
        if (
            inputs.fleet.count_free_hosts(domain) >= missing_count
            and not broken.has_leaving
        ):
            yield _replace_lost_members(
                broken, inputs.fleet.allocate(domain, missing_count)
            )

    def _are_reserved_usable(
        self, repair: Repair, broken: BrokenGroup, inputs: RepairInputs
    ) -> bool:
        if len(repair.reserved_host_ids) != len(broken.lost):
            return False
        for host_id in repair.reserved_host_ids:
            record = inputs.fleet.live_hosts.get(host_id)
            if record is None or record.announcement.leaving:
                return False
            if host_id in inputs.state.draining_hosts:
                return False
            owner = inputs.state.owners.get(host_id, repair.donor_group_id)
            if owner != repair.donor_group_id:
                return False
        return True

    def _plan_new_repair(
        self,
        broken: BrokenGroup,
        broken_groups: Sequence[BrokenGroup],
        busy_groups: set[str],
        inputs: RepairInputs,
    ) -> Iterator[RepairCommand]:
        group = broken.group
        if group.phase == PHASE_DRAINING:
            return
        if broken.has_leaving and not inputs.idle_tracker.is_idle(
            group, inputs.table, inputs.now_s
        ):
            return
        options = list(self._list_options(broken, broken_groups, busy_groups, inputs))
        option = self.chooser.choose(broken, options)
        if option is not None:
            yield self._make_repair_command(broken, option, inputs)
            return
        if broken.has_leaving and not self._will_spares_be_free(broken, inputs):
            yield RemoveGroup(group_id=group.group_id, expected_epoch=group.epoch)

    def _will_spares_be_free(self, broken: BrokenGroup, inputs: RepairInputs) -> bool:
        """Tell whether releases in progress will free enough spares in the domain."""
        releasing = inputs.fleet.releasing_by_domain.get(broken.group.fabric_domain, ())
        return len(releasing) >= len(broken.lost)

    def _list_options(
        self,
        broken: BrokenGroup,
        broken_groups: Sequence[BrokenGroup],
        busy_groups: set[str],
        inputs: RepairInputs,
    ) -> Iterator[RepairOption]:
        domain = broken.group.fabric_domain
        missing_count = len(broken.lost)
        spares = self._sort_spares(inputs.fleet.free_by_domain[domain], inputs.now_s)
        if len(spares) >= missing_count:
            chosen = tuple(record.host_id for record in spares[:missing_count])
            yield RepairOption(REPAIR_SPARE, domain, chosen)
            return
        if not self._will_spares_be_free(broken, inputs):
            yield from self._list_merges(
                broken, broken_groups, busy_groups, spares, inputs
            )
        size = len(broken.group.members)
        for other in sorted(inputs.fleet.free_by_domain):
            if other != domain and inputs.fleet.count_free_hosts(other) >= size:
                yield RepairOption(REPAIR_MOVE, other)

    def _list_merges(
        self,
        broken: BrokenGroup,
        broken_groups: Sequence[BrokenGroup],
        busy_groups: set[str],
        spares: Sequence[HostRecord],
        inputs: RepairInputs,
    ) -> Iterator[RepairOption]:
        missing_count = len(broken.lost)
        for donor in broken_groups:
            if donor is broken or donor.group.group_id in busy_groups:
                continue
            if donor.group.fabric_domain != broken.group.fabric_domain:
                continue
            if donor.group.plain or donor.has_leaving:
                continue
            if self._priority_key(donor) < self._priority_key(broken):
                continue
            lost = {item.member.host_id for item in donor.lost}
            usable = [
                member.host_id
                for member in donor.group.members
                if member.host_id not in lost
                and member.host_id in inputs.fleet.live_hosts
            ]
            chosen = [record.host_id for record in spares] + usable
            if len(chosen) >= missing_count:
                yield RepairOption(
                    REPAIR_MERGE,
                    broken.group.fabric_domain,
                    tuple(chosen[:missing_count]),
                    donor,
                )

    def _sort_spares(
        self, hosts: Sequence[HostRecord], now_s: float
    ) -> list[HostRecord]:
        return sorted(
            hosts,
            key=lambda record: (
                self.failure_detector.is_flapping(record.host_id, now_s),
                record.host_id,
            ),
        )

    def _make_repair_command(
        self, broken: BrokenGroup, option: RepairOption, inputs: RepairInputs
    ) -> RepairCommand:
        if option.action == REPAIR_SPARE:
            free = inputs.fleet.free_by_domain[option.domain]
            inputs.fleet.free_by_domain[option.domain] = [
                record for record in free if record.host_id not in option.host_ids
            ]
            hosts = [inputs.fleet.live_hosts[host_id] for host_id in option.host_ids]
            return _replace_lost_members(broken, hosts)
        group = broken.group
        repair = Repair(
            repair_id=f"{group.group_id}/{group.epoch}/{inputs.now_unix_ms}",
            group_id=group.group_id,
            epoch=group.epoch,
            action=option.action,
            lost_host_ids=[item.member.host_id for item in broken.lost],
            reserved_host_ids=option.host_ids,
            donor_group_id=option.donor.group.group_id if option.donor else "",
            fabric_domain=option.domain,
            decided_at_unix_ms=inputs.now_unix_ms,
        )
        for host_id in option.host_ids:
            inputs.fleet.reserve(host_id, group.group_id)
        return PutRepair(repair=repair)


def _is_replaced(group: Group, state: GroupsState) -> bool:
    """Tell whether a replacement group of the service is being formed."""
    return any(
        other.service == group.service
        and other.phase == PHASE_FORMING
        and other.group_id != group.group_id
        for other in state.groups.values()
    )


def _replace_lost_members(broken: BrokenGroup, hosts: Sequence[HostRecord]) -> PutGroup:
    changed = Group()
    changed.CopyFrom(broken.group)
    changed.phase = PHASE_FORMING
    members = {member.rank: member for member in changed.members}
    for lost, record in zip(broken.lost, hosts, strict=True):
        rank = lost.member.rank
        members[rank].CopyFrom(make_member(record, rank))
    return PutGroup(group=changed, expected_epoch=broken.group.epoch)


def _make_end_repair(repair: Repair) -> EndRepair:
    return EndRepair(group_id=repair.group_id, repair_id=repair.repair_id)


def _affected_group_ids(commands: Sequence[RepairCommand]) -> set[str]:
    group_ids = set()
    for command in commands:
        if isinstance(command, PutGroup):
            group_ids.add(command.group.group_id)
        elif isinstance(command, PutRepair):
            group_ids |= {command.repair.group_id, command.repair.donor_group_id}
        else:
            group_ids.add(command.group_id)
    return group_ids - {""}


def _groups_in_repair(state: GroupsState) -> set[str]:
    busy_groups = set(state.repairs)
    busy_groups |= {repair.donor_group_id for repair in state.repairs.values()}
    return busy_groups - {""}
