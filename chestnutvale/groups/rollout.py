"""Plans the number of groups of a service and the roll-out of changes."""

from collections.abc import Iterator, Sequence

import attrs

from chestnutvale.groups.assembly import GroupAssembler
from chestnutvale.groups.const import (
    PHASE_DRAINING,
    PHASE_FORMING,
    REPAIR_MOVE,
)
from chestnutvale.groups.idle_tracker import IdleTracker
from chestnutvale.groups.state import GroupsState
from chestnutvale.membership.table import MembershipTable
from chestnutvale.schema.configuration_pb2 import Service
from chestnutvale.schema.groups_pb2 import Group, PutGroup, RemoveGroup


@attrs.define
class ServicePlanner:
    """Plans the groups of one model service.

    A change of version or adapters is rolled out one group at a time: with a surge
    group formed first if a domain has enough free hosts, otherwise in place.

    Parameters
    ----------
    name : str
        Name of the service.
    service : Service
        Its configuration.
    groups : sequence of Group
        Its groups in force.
    state : GroupsState
        Replicated state of the groups.
    table : MembershipTable
        Liveness and announcements of hosts.
    idle_tracker : IdleTracker
        Tells which groups serve and which have no requests left.
    broken_ids : set of str
        Groups with lost members.
    now_s : float
        Monotonic time in seconds.
    """

    name: str
    service: Service
    groups: Sequence[Group]
    state: GroupsState
    table: MembershipTable
    idle_tracker: IdleTracker
    broken_ids: set[str]
    now_s: float

    def is_rolled_out(self) -> bool:
        """Tell whether all wanted groups serve the configured version and adapters."""
        return len(self._filter_serving(self._current_groups())) >= self.service.groups

    def plan(
        self, assembler: GroupAssembler, may_form: bool
    ) -> Iterator[PutGroup | RemoveGroup]:
        """Plan the groups of the service.

        Parameters
        ----------
        assembler : GroupAssembler
            Forms new groups of this round.
        may_form : bool
            Whether all dependencies are available; required to form or roll out.

        Yields
        ------
        PutGroup or RemoveGroup
            Groups to add, change and remove.
        """
        yield from self._end_draining()
        extra = len(self._active_groups()) - self._max_group_count()
        if extra > 0:
            yield from self._remove_surplus(extra)
            return
        if not may_form:
            return
        missing = (
            self.service.groups
            + len(self._moving_groups())
            - len(self._active_groups())
        )
        missing -= len(self._find_reusable_groups())
        formed = self._form_groups(assembler, missing)
        yield from formed
        if missing <= 0:
            yield from self._roll_out(assembler)

    def _form_groups(self, assembler: GroupAssembler, count: int) -> list[PutGroup]:
        avoid = {group.fabric_domain for group in self._moving_groups()}
        formed = []
        for _ in range(count):
            command = assembler.assemble_group(self.name, self.service, avoid)
            if command is None:
                break
            formed.append(command)
        return formed

    def _roll_out(self, assembler: GroupAssembler) -> Iterator[PutGroup]:
        outdated = [
            group for group in self._active_groups() if self._is_outdated(group)
        ]
        if not outdated or len(self._active_groups()) > self.service.groups:
            return
        broken = [
            group for group in outdated if not self.idle_tracker.is_serving(group)
        ]
        if (
            not broken
            and len(self._filter_serving(self._active_groups())) < self.service.groups
        ):
            return
        if not broken:
            extra = assembler.assemble_group(self.name, self.service)
            if extra is not None:
                yield extra
                return
        if any(group.phase == PHASE_DRAINING for group in self.groups):
            return
        chosen = min(broken or outdated, key=_oldest_first)
        if chosen.group_id not in self.broken_ids:
            yield _with_phase(chosen, PHASE_DRAINING)

    def _end_draining(self) -> Iterator[PutGroup | RemoveGroup]:
        reforming = {group.group_id for group in self._find_reusable_groups()}
        for group in self.groups:
            if group.phase != PHASE_DRAINING:
                continue
            if not self.idle_tracker.is_idle(group, self.table, self.now_s):
                continue
            if group.group_id in reforming:
                yield self._reform_group(group)
            else:
                yield RemoveGroup(group_id=group.group_id, expected_epoch=group.epoch)

    def _reform_group(self, group: Group) -> PutGroup:
        changed = Group()
        changed.CopyFrom(group)
        changed.version = self.service.version
        del changed.adapters[:]
        changed.adapters.extend(self.service.adapters)
        changed.phase = PHASE_FORMING
        return PutGroup(group=changed, expected_epoch=group.epoch)

    def _find_reusable_groups(self) -> list[Group]:
        """Return the draining groups whose hosts will be reused for the new version."""
        room = (
            self.service.groups
            + len(self._moving_groups())
            - len(self._active_groups())
        )
        reusable = [
            group
            for group in self.groups
            if group.phase == PHASE_DRAINING
            and self._is_outdated(group)
            and len(group.members) == self.service.hosts_per_group
            and group.group_id not in self.broken_ids
        ]
        return sorted(reusable, key=_oldest_first)[: max(0, room)]

    def _remove_surplus(self, count: int) -> Iterator[PutGroup | RemoveGroup]:
        for group in sorted(self._active_groups(), key=self._least_useful_first)[
            :count
        ]:
            if self.idle_tracker.is_serving(group):
                yield _with_phase(group, PHASE_DRAINING)
            elif self.idle_tracker.is_idle(group, self.table, self.now_s):
                yield RemoveGroup(group_id=group.group_id, expected_epoch=group.epoch)

    def _least_useful_first(self, group: Group) -> tuple[bool, bool, bool, int]:
        is_intact = group.group_id not in self.broken_ids
        is_current = not self._is_outdated(group)
        return (
            self.idle_tracker.is_serving(group),
            is_current,
            is_intact,
            -group.epoch,
        )

    def _max_group_count(self) -> int:
        """Return the number of groups allowed, with replacement and surge groups."""
        wanted = self.service.groups
        if wanted == 0:
            return 0
        if len(self._filter_serving(self._current_groups())) >= wanted:
            return wanted
        moving = self._moving_groups()
        serving = len(self._filter_serving(self._active_groups()))
        if serving > wanted or (serving == wanted and moving):
            return wanted
        is_surge = any(self._is_outdated(group) for group in self._active_groups())
        return wanted + len(moving) + (1 if is_surge and not moving else 0)

    def _active_groups(self) -> list[Group]:
        return [group for group in self.groups if group.phase != PHASE_DRAINING]

    def _current_groups(self) -> list[Group]:
        return [
            group for group in self._active_groups() if not self._is_outdated(group)
        ]

    def _filter_serving(self, groups: Sequence[Group]) -> list[Group]:
        return [group for group in groups if self.idle_tracker.is_serving(group)]

    def _moving_groups(self) -> list[Group]:
        repairs = self.state.repairs
        return [
            group
            for group in self._active_groups()
            if group.group_id in repairs
            and repairs[group.group_id].action == REPAIR_MOVE
        ]

    def _is_outdated(self, group: Group) -> bool:
        return (
            group.version != self.service.version
            or list(group.adapters) != list(self.service.adapters)
            or len(group.members) != self.service.hosts_per_group
        )


def _with_phase(group: Group, phase: str) -> PutGroup:
    changed = Group()
    changed.CopyFrom(group)
    changed.phase = phase
    return PutGroup(group=changed, expected_epoch=group.epoch)


def _oldest_first(group: Group) -> tuple[int, str]:
    return (group.epoch, group.group_id)
