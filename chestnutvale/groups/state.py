"""Replicated state of groups: ownership of hosts and fencing numbers."""

import attrs

from chestnutvale.groups.const import OUTCOME_CONFLICT, OUTCOME_DONE
from chestnutvale.groups.rules import find_group_fault, has_same_assignments
from chestnutvale.schema.groups_pb2 import (
    DrainHost,
    EndRepair,
    FreeHost,
    Group,
    GroupResult,
    GroupsSnapshot,
    HostRelease,
    PutGroup,
    PutRepair,
    ReleaseHost,
    RemoveGroup,
    Repair,
)


@attrs.define
class GroupsState:
    """Groups, releases of hosts, and repairs in progress.

    A host is owned by at most one group, or by a release record. Before its release is
    complete, only its former group may take it back; the higher fencing number of that
    order supersedes the release. Each change of the members, version or adapters of a
    group gets a fencing number above all earlier ones, which also becomes the epoch of
    the group.

    Attributes
    ----------
    groups : dict of str to Group
        Groups by identity.
    owners : dict of str to str
        Group of each owned host.
    releases : dict of str to HostRelease
        Hosts that left a group and whose release is not complete.
    repairs : dict of str to Repair
        The repair of each group that has one.
    draining_hosts : set of str
        Hosts that are being drained.
    last_fence : int
        Highest fencing number issued.
    change_count : int
        Number of changes accepted in this process; not replicated.
    """

    groups: dict[str, Group] = attrs.field(factory=dict)
    owners: dict[str, str] = attrs.field(factory=dict)
    releases: dict[str, HostRelease] = attrs.field(factory=dict)
    repairs: dict[str, Repair] = attrs.field(factory=dict)
    draining_hosts: set[str] = attrs.field(factory=set)
    last_fence: int = 0
    change_count: int = 0

    def put_group(self, command: PutGroup, at_unix_ms: int) -> GroupResult:
        """Create or change a group if its epoch matches the expected one.

        Parameters
        ----------
        command : PutGroup
            The new content of the group; its epoch and fence are ignored.
        at_unix_ms : int
            Wall-clock time of the proposal in milliseconds.

        Returns
        -------
        GroupResult
            Epoch and fence of the group, or why the change is rejected.
        """
        wanted = command.group
        before = self.groups.get(wanted.group_id)
        reason = self._find_put_fault(command, before)
        if reason:
            return _conflict(reason)
        group = Group()
        group.CopyFrom(wanted)
        if before is not None and has_same_assignments(before, wanted):
            group.epoch = before.epoch
            group.fence = before.fence
        else:
            group.fence = self._next_fence()
            group.epoch = group.fence
            self.repairs.pop(group.group_id, None)
        if before is not None:
            self._release_removed_members(before, group, at_unix_ms)
        self._add_group(group)
        return self._accept_change(group.epoch, group.fence)

    def remove_group(self, command: RemoveGroup, at_unix_ms: int) -> GroupResult:
        """Dissolve a group; its hosts stay unavailable until their release is complete.

        Parameters
        ----------
        command : RemoveGroup
            The group and its expected epoch.
        at_unix_ms : int
            Wall-clock time of the proposal in milliseconds.

        Returns
        -------
        GroupResult
            Whether the group was dissolved.
        """
        group = self.groups.get(command.group_id)
        if group is None:
            return _conflict("no such group")
        if group.epoch != command.expected_epoch:
            return _conflict(f"the group is in epoch {group.epoch}")
        del self.groups[group.group_id]
        self.repairs.pop(group.group_id, None)
        self._release_removed_members(group, None, at_unix_ms)
        return self._accept_change(group.epoch, self.last_fence)

    def drain_host(self, command: DrainHost, at_unix_ms: int) -> GroupResult:
        """Start or end the draining of a host.

        Parameters
        ----------
        command : DrainHost
            The host, and whether to drain it.
        at_unix_ms : int
            Wall-clock time of the proposal in milliseconds.

        Returns
        -------
        GroupResult
            Done even if nothing changes, so that retries are harmless; a conflict if
            host_id is empty.
        """
        if not command.host_id:
            return _conflict("host_id is empty")
        if command.draining:
            self.draining_hosts.add(command.host_id)
        else:
            self.draining_hosts.discard(command.host_id)
        return self._accept_change()

    def release_host(self, command: ReleaseHost, at_unix_ms: int) -> GroupResult:
        """Record that a host without a group must release what it holds.

        Parameters
        ----------
        command : ReleaseHost
            The host.
        at_unix_ms : int
            Wall-clock time of the proposal in milliseconds.

        Returns
        -------
        GroupResult
            The fence of the release, or why it is rejected.
        """
        if command.host_id in self.owners:
            return _conflict("the host belongs to a group")
        if command.host_id in self.releases:
            return _conflict("the host is being released")
        self._release(command.host_id, command.boot_id, command.address, "", at_unix_ms)
        return self._accept_change(fence=self.last_fence)

    def free_host(self, command: FreeHost, at_unix_ms: int) -> GroupResult:
        """End the release of a host under the fence of its record.

        Parameters
        ----------
        command : FreeHost
            The host and the fence.
        at_unix_ms : int
            Wall-clock time of the proposal in milliseconds.

        Returns
        -------
        GroupResult
            Whether the host is free now.
        """
        release = self.releases.get(command.host_id)
        if release is None:
            return _conflict("the host is not being released")
        if release.fence != command.fence:
            return _conflict(f"the release has fence {release.fence}")
        del self.releases[command.host_id]
        return self._accept_change()

    def put_repair(self, command: PutRepair, at_unix_ms: int) -> GroupResult:
        """Record a repair of a group that has none, or replace the named one.

        Parameters
        ----------
        command : PutRepair
            The repair, with the epoch for which it was decided.
        at_unix_ms : int
            Wall-clock time of the proposal in milliseconds.

        Returns
        -------
        GroupResult
            Whether the repair is the one in force.
        """
        repair = command.repair
        group = self.groups.get(repair.group_id)
        if group is None or group.epoch != repair.epoch:
            return _conflict("the group has changed")
        current = self.repairs.get(repair.group_id)
        if command.replaces_repair_id != (current.repair_id if current else ""):
            return _conflict("another repair is under way")
        for host_id in repair.reserved_host_ids:
            if self._reserved_by(host_id) not in ("", repair.group_id):
                return _conflict(f"host {host_id} is reserved")
        stored = Repair()
        stored.CopyFrom(repair)
        self.repairs[repair.group_id] = stored
        return self._accept_change(group.epoch)

    def end_repair(self, command: EndRepair, at_unix_ms: int) -> GroupResult:
        """Remove a repair that is no longer needed.

        Parameters
        ----------
        command : EndRepair
            The group and the repair.
        at_unix_ms : int
            Wall-clock time of the proposal in milliseconds.

        Returns
        -------
        GroupResult
            Whether the repair was removed.
        """
        current = self.repairs.get(command.group_id)
        if current is None or current.repair_id != command.repair_id:
            return _conflict("no such repair")
        del self.repairs[command.group_id]
        return self._accept_change()

    def to_snapshot(self) -> GroupsSnapshot:
        """Return the replicated state; equal states give equal snapshots."""
        return GroupsSnapshot(
            groups=[self.groups[key] for key in sorted(self.groups)],
            draining_hosts=sorted(self.draining_hosts),
            last_fence=self.last_fence,
            releases=[self.releases[key] for key in sorted(self.releases)],
            repairs=[self.repairs[key] for key in sorted(self.repairs)],
        )

    @classmethod
    def from_snapshot(cls, snapshot: GroupsSnapshot) -> "GroupsState":
        """Restore the state from a snapshot.

        Parameters
        ----------
        snapshot : GroupsSnapshot
            A result of ``to_snapshot``.

        Returns
        -------
        GroupsState
            The state.
        """
        state = cls(
            releases={item.host_id: item for item in snapshot.releases},
            repairs={item.group_id: item for item in snapshot.repairs},
            draining_hosts=set(snapshot.draining_hosts),
            last_fence=snapshot.last_fence,
        )
        for group in snapshot.groups:
            state._add_group(group)
        return state

    def find_boot(self, host_id: str) -> str:
        """Return the boot under which a host is a member of a group.

        Parameters
        ----------
        host_id : str
            The host.

        Returns
        -------
        str
            The boot id; empty if the host is in no group.
        """
        group = self.groups.get(self.owners.get(host_id, ""))
        members = group.members if group is not None else ()
        return next((m.boot_id for m in members if m.host_id == host_id), "")

    def reserved_hosts(self) -> dict[str, str]:
        """Return the group that each reserved host is kept for, by host_id."""
        return {
            host_id: repair.group_id
            for repair in self.repairs.values()
            for host_id in repair.reserved_host_ids
        }

    def _find_put_fault(self, command: PutGroup, before: Group | None) -> str:
        epoch = before.epoch if before is not None else 0
        if command.expected_epoch != epoch:
            return f"the group is in epoch {epoch}"
        wanted = command.group
        reason = find_group_fault(before, wanted)
        if reason:
            return reason
        for member in wanted.members:
            reason = self._find_member_fault(member.host_id, wanted.group_id)
            if reason:
                return reason
        return ""

    def _find_member_fault(self, host_id: str, group_id: str) -> str:
        owner = self.owners.get(host_id, "")
        if owner not in ("", group_id):
            return f"host {host_id} belongs to group {owner}"
        if owner == group_id:
            return ""
        release = self.releases.get(host_id)
        if release is not None and release.group_id != group_id:
            return f"host {host_id} has not let go yet"
        if self._reserved_by(host_id) not in ("", group_id):
            return f"host {host_id} is reserved"
        return ""

    def _reserved_by(self, host_id: str) -> str:
        for repair in self.repairs.values():
            if host_id in repair.reserved_host_ids:
                return repair.group_id
        return ""

    def _add_group(self, group: Group) -> None:
        self.groups[group.group_id] = group
        for member in group.members:
            self.owners[member.host_id] = group.group_id
            self.releases.pop(member.host_id, None)

    def _release_removed_members(
        self, before: Group, after: Group | None, at_unix_ms: int
    ) -> None:
        kept = {member.host_id for member in after.members} if after else set()
        for member in before.members:
            if member.host_id in kept:
                continue
            del self.owners[member.host_id]
            if before.plain:
                continue
            self._release(
                member.host_id,
                member.boot_id,
                member.address,
                before.group_id,
                at_unix_ms,
            )

    def _release(
        self, host_id: str, boot_id: str, address: str, group_id: str, at_unix_ms: int
    ) -> None:
        self.releases[host_id] = HostRelease(
            host_id=host_id,
            boot_id=boot_id,
            address=address,
            group_id=group_id,
            fence=self._next_fence(),
            released_at_unix_ms=at_unix_ms,
        )

    def _next_fence(self) -> int:
        self.last_fence += 1
        return self.last_fence

    def _accept_change(self, epoch: int = 0, fence: int = 0) -> GroupResult:
        self.change_count += 1
        return GroupResult(outcome=OUTCOME_DONE, epoch=epoch, fence=fence)


def _conflict(reason: str) -> GroupResult:
    return GroupResult(outcome=OUTCOME_CONFLICT, reason=reason)
