"""Views of groups, loads and configuration that the leader sends to entries."""

import math
from collections import Counter, deque
from collections.abc import Iterable
from typing import Protocol

import attrs

from chestnutvale.groups.const import FAULT_DISSOLVING, FAULT_UNKNOWN
from chestnutvale.groups.members import group_head
from chestnutvale.groups.serving import find_serving_fault, is_evacuated
from chestnutvale.groups.state import GroupsState
from chestnutvale.membership.cold_state import NO_COLD_RULE, ColdRule
from chestnutvale.membership.const import MAX_REMOVED_GROUPS
from chestnutvale.membership.table import MembershipTable
from chestnutvale.membership.text_encoding import TextEncoder
from chestnutvale.membership.text_transfers import TextTransfers
from chestnutvale.schema.configuration_pb2 import Text
from chestnutvale.schema.groups_pb2 import Group
from chestnutvale.schema.membership_pb2 import Load
from chestnutvale.schema.peer_pb2 import (
    ControlView,
    EntryReport,
    GroupLoad,
    GroupView,
)


class TextSource(Protocol):
    """Configuration state that provides the text of views."""

    @property
    def text(self) -> Text | None:
        """Text in force; None before the first one."""


@attrs.frozen
class _ViewFlags:
    """What a view says of a group besides whether it serves."""

    is_evacuated: bool = False
    is_cold: bool = False
    needs_cold_share: bool = False


@attrs.define
class _PublishedGroup:
    """Published state of a group, with the versions of its last changes."""

    group: Group
    reason: str
    version: int
    entry_view: GroupView
    load: Load | None = None
    load_version: int = 0
    # Until then only a change of its inputs can stop it from serving.
    valid_until_s: float = float("-inf")
    head_id: str = ""
    flags: _ViewFlags = _ViewFlags()


@attrs.define
class _EntryState:
    """View state that an entry reported last."""

    reply_address: str
    view_source: str
    view_version: int
    load_version: int = 0


@attrs.frozen
class _HeldText:
    """Text that an entry reported last."""

    number: int
    reads_compressed: bool
    incarnation: str


@attrs.frozen
class ViewPush:
    """A view sent to an entry without a report from it.

    Attributes
    ----------
    entry_id : str
        The entry.
    reply_address : str
        Its peer address.
    view : ControlView
        The view; it extends no lease.
    """

    entry_id: str
    reply_address: str
    view: ControlView


@attrs.define
class ViewPublisher:
    """Builds views and selects the entries that need one after a change.

    Parameters
    ----------
    source : str
        Incarnation of this control; versions are only comparable within it.
    """

    source: str
    _version: int = 0
    _load_version: int = 0
    _published_groups: dict[str, _PublishedGroup] = attrs.field(factory=dict)
    _removed_groups: deque[tuple[int, str]] = attrs.field(factory=deque)
    _oldest_base: int = 0
    _entries: dict[str, _EntryState] = attrs.field(factory=dict)
    _last_inputs: tuple[object, ...] = ()
    _group_views: list[GroupView] = attrs.field(factory=list)
    _group_views_count: int = -1
    _content_count: int = 0
    _held_texts: dict[str, _HeldText] = attrs.field(factory=dict)
    _text_transfers: TextTransfers = attrs.field(factory=TextTransfers)
    _text_encoder: TextEncoder = attrs.field(factory=TextEncoder)

    @property
    def version(self) -> int:
        """Version of the newest view; it increases when entries need a change."""
        return self._version

    @property
    def valid_until_s(self) -> float:
        """Monotonic time at which silence alone can first end a group's serving."""
        return min(
            (
                item.valid_until_s
                for item in self._published_groups.values()
                if not item.reason
            ),
            default=float("inf"),
        )

    def refresh(
        self,
        state: GroupsState,
        table: MembershipTable,
        now_s: float,
        evacuated: frozenset[str] = frozenset(),
        cold_rule: ColdRule = NO_COLD_RULE,
        dissolving: frozenset[str] = frozenset(),
    ) -> list[str]:
        """Re-evaluate changed groups; call it before building views.

        Parameters
        ----------
        state : GroupsState
            Replicated state of the groups.
        table : MembershipTable
            The host table.
        now_s : float
            Monotonic time in seconds.
        evacuated : frozenset of str, optional
            Evacuated data centres, whose groups don't serve.
        cold_rule : ColdRule, optional
            Decides which groups are cold.
        dissolving : frozenset of str, optional
            Groups whose removal is proposed, which don't serve again.

        Returns
        -------
        list of str
            Groups that were changed, added or removed; push views if there are any.
        """
        self._invalidate_if_changed(state, table, evacuated, cold_rule, dissolving)
        changed = [
            group_id
            for group_id in sorted(state.groups)
            if self._refresh_group(
                state,
                group_id,
                table,
                now_s,
                evacuated,
                cold_rule,
                is_dissolving=group_id in dissolving,
            )
        ]
        removed_ids = sorted(self._published_groups.keys() - state.groups.keys())
        for group_id in removed_ids:
            self._content_count += 1
            if self._published_groups.pop(group_id).version:
                self._version += 1
                self._removed_groups.append((self._version, group_id))
        while len(self._removed_groups) > MAX_REMOVED_GROUPS:
            self._oldest_base, _ = self._removed_groups.popleft()
        return changed + removed_ids

    def record_report(
        self, entry_id: str, report: EntryReport, incarnation: str
    ) -> bool:
        """Record which text an entry has, also while this control does not lead.

        Parameters
        ----------
        entry_id : str
            The entry that sent the report.
        report : EntryReport
            The report.
        incarnation : str
            Incarnation of the entry.

        Returns
        -------
        bool
            Whether it confirms a text, so that others may get theirs.
        """
        previous = self._held_texts.get(entry_id)
        if previous is not None and previous.incarnation != incarnation:
            self._text_transfers.forget(entry_id)
        number = report.configuration_number
        self._held_texts[entry_id] = _HeldText(
            number, report.reads_compressed_text, incarnation
        )
        return self._text_transfers.confirm(entry_id, number)

    def retain_entries(self, entry_ids: Iterable[str]) -> None:
        """Forget which text all other entries have.

        Parameters
        ----------
        entry_ids : iterable of str
            The known entries.
        """
        for entry_id in self._held_texts.keys() - set(entry_ids):
            del self._held_texts[entry_id]

    def answer(
        self,
        entry_id: str,
        report: EntryReport,
        configuration: TextSource,
        table: MembershipTable,
        term: int,
        now_s: float,
    ) -> ControlView:
        """Build the answer to a report; call it only with a valid leader lease.

        Parameters
        ----------
        entry_id : str
            The entry that sent the report.
        report : EntryReport
            The report; it must already be merged into the table.
        configuration : TextSource
            Source of the text in force.
        table : MembershipTable
            The host table.
        term : int
            Current term of this control as leader.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        ControlView
            The view, with the nonce of the report, so that it extends the lease.
        """
        entry = self._entries.get(entry_id)
        load_version = 0
        if entry is not None and report.view_source == self.source:
            load_version = entry.load_version
        self._entries[entry_id] = _EntryState(
            report.reply_address, report.view_source, report.view_version, load_version
        )
        view = self._build(entry_id, configuration, term)
        view.nonce = report.nonce
        view.want_hosts.extend(table.hosts_lacking_content(entry_id))
        view.entry_count = len(table.live_entries(now_s))
        text = configuration.text
        if text is not None and report.configuration_number < text.number:
            self._add_text(entry_id, view, text, now_s)
        return view

    def build_pushes(
        self,
        configuration: TextSource,
        table: MembershipTable,
        term: int,
        now_s: float,
    ) -> list[ViewPush]:
        """Build views for the live entries whose version is outdated.

        Parameters
        ----------
        configuration : TextSource
            Source of the text in force; `build_text_pushes` sends a new one.
        table : MembershipTable
            The host table, which also lists live entries.
        term : int
            Current term of this control as leader.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        list of ViewPush
            One for each live entry with an outdated view.
        """
        live_entry_ids = table.live_entries(now_s)
        self._entries = {
            key: self._entries[key] for key in live_entry_ids if key in self._entries
        }
        pushes = []
        for entry_id, entry in self._entries.items():
            is_current = entry.view_version == self._version
            if entry.view_source == self.source and is_current:
                continue
            view = self._build(entry_id, configuration, term)
            view.entry_count = len(live_entry_ids)
            pushes.append(ViewPush(entry_id, entry.reply_address, view))
        return pushes

    def build_text_pushes(
        self,
        configuration: TextSource,
        table: MembershipTable,
        term: int,
        now_s: float,
    ) -> list[ViewPush]:
        """Build views with the text for the entries that lack it and may get it now.

        Parameters
        ----------
        configuration : TextSource
            Source of the text in force.
        table : MembershipTable
            The host table, which also lists live entries.
        term : int
            Current term of this control as leader.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        list of ViewPush
            One for each entry that gets the text now. Others get it once these have
            confirmed theirs.
        """
        text = configuration.text
        if text is None:
            return []
        live_entry_ids = table.live_entries(now_s)
        self._text_transfers.retain(live_entry_ids)
        numbers = {
            entry_id: self._held_texts[entry_id].number
            for entry_id in live_entry_ids
            if entry_id in self._entries and entry_id in self._held_texts
        }
        pushes = []
        for entry_id in self._text_transfers.order_waiting(numbers, text.number, now_s):
            view = ControlView()
            if not self._add_text(entry_id, view, text, now_s):
                break
            view.MergeFrom(self._build(entry_id, configuration, term))
            reply_address = self._entries[entry_id].reply_address
            pushes.append(ViewPush(entry_id, reply_address, view))
        return pushes

    def _add_text(
        self, entry_id: str, view: ControlView, text: Text, now_s: float
    ) -> bool:
        """Add the text to a view, if the entry may get it now."""
        held = self._held_texts.get(entry_id)
        compressed = held is not None and held.reads_compressed
        size_bytes = self._text_encoder.measure_bytes(text, compressed=compressed)
        if not self._text_transfers.begin(entry_id, text.number, size_bytes, now_s):
            return False
        self._text_encoder.add_text(view, text, compressed=compressed)
        return True

    def build_pushes_to_all(
        self,
        configuration: TextSource,
        table: MembershipTable,
        term: int,
        now_s: float,
    ) -> list[ViewPush]:
        """Build views for all live entries, including those that are up to date.

        Parameters
        ----------
        configuration : TextSource
            Source of the text in force.
        table : MembershipTable
            The host table, which also lists live entries.
        term : int
            Current term of this control as leader.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        list of ViewPush
            One for each live entry.
        """
        return [
            ViewPush(
                entry_id,
                self._entries[entry_id].reply_address,
                self._build(entry_id, configuration, term),
            )
            for entry_id in table.live_entries(now_s)
            if entry_id in self._entries
        ]

    def count_awaited(self) -> Counter[str]:
        """Return the groups of each service that may serve once all hosts are heard.

        Returns
        -------
        Counter of str
            Number of groups by service.
        """
        return Counter(
            item.group.service
            for item in self._published_groups.values()
            if item.reason.endswith(FAULT_UNKNOWN) and not item.flags.is_evacuated
        )

    def group_version(self, group_id: str) -> int:
        """Return the version of the views that brought the last change of a group.

        Parameters
        ----------
        group_id : str
            The group.

        Returns
        -------
        int
            The version; 0 for a group that no view has listed.
        """
        published_group = self._published_groups.get(group_id)
        return published_group.version if published_group is not None else 0

    def group_views(self) -> list[GroupView]:
        """Return the views of all groups; callers must not modify them."""
        if self._group_views_count != self._content_count:
            self._group_views_count = self._content_count
            self._group_views = [
                _to_view(
                    published_group.group,
                    published_group.reason,
                    published_group.flags,
                )
                for _, published_group in sorted(self._published_groups.items())
            ]
        return self._group_views

    def _invalidate_if_changed(
        self,
        state: GroupsState,
        table: MembershipTable,
        evacuated: frozenset[str],
        cold_rule: ColdRule,
        dissolving: frozenset[str],
    ) -> None:
        drained = frozenset(state.draining_hosts)
        inputs = (table.revision, drained, evacuated, cold_rule, dissolving)
        if inputs == self._last_inputs:
            return
        self._last_inputs = inputs
        for published_group in self._published_groups.values():
            published_group.valid_until_s = float("-inf")

    def _refresh_group(
        self,
        state: GroupsState,
        group_id: str,
        table: MembershipTable,
        now_s: float,
        evacuated: frozenset[str],
        cold_rule: ColdRule,
        *,
        is_dissolving: bool,
    ) -> bool:
        group = state.groups[group_id]
        published_group = self._published_groups.get(group_id)
        if (
            published_group is not None
            and published_group.group is group
            and now_s < published_group.valid_until_s
        ):
            self._refresh_load(published_group, table)
            return False
        reason = find_serving_fault(
            group, table, now_s, state.draining_hosts, evacuated
        )
        if not reason and is_dissolving:
            reason = FAULT_DISSOLVING
        head = table.host(group_head(group).host_id)
        cold_until_s = cold_rule.cold_until_s(group.service, head)
        is_cold = not reason and now_s < cold_until_s
        flags = _ViewFlags(
            is_evacuated(group, table, evacuated),
            is_cold,
            is_cold and group.service in cold_rule.bounded_services,
        )
        is_changed = (
            published_group is None
            or published_group.group != group
            or published_group.reason != reason
            or published_group.flags != flags
        )
        if is_changed:
            self._content_count += 1
            load = published_group.load if published_group else None
            load_version = published_group.load_version if published_group else 0
            version = self._next_version(published_group, reason, flags.is_evacuated)
            entry_view = _to_entry_view(group, reason, flags)
            published_group = _PublishedGroup(
                group,
                reason,
                version,
                entry_view,
                load,
                load_version,
                flags=flags,
            )
            self._published_groups[group_id] = published_group
        published_group.group = group
        published_group.head_id = group_head(group).host_id
        published_group.valid_until_s = _valid_until_s(group, reason, table)
        if is_cold:
            # Without a deadline, the next announcement may tell that it is not cold.
            is_known = math.isfinite(cold_until_s)
            end_s = cold_until_s if is_known else -math.inf
            published_group.valid_until_s = min(published_group.valid_until_s, end_s)
        self._refresh_load(published_group, table)
        return is_changed

    def _next_version(
        self, before: _PublishedGroup | None, reason: str, is_evacuated: bool
    ) -> int:
        """Return the version of a group that changed; 0 while it has never served.

        Entries need no change of a group that neither served before nor serves now,
        except in an evacuated data centre: streams run on there, and calls that chose
        the group by the view of an earlier leader may still wait for a connection.
        """
        if reason and not is_evacuated:
            if before is None or before.version == 0:
                return 0
            if before.reason and not before.flags.is_evacuated:
                return before.version
        self._version += 1
        return self._version

    def _refresh_load(
        self, published_group: _PublishedGroup, table: MembershipTable
    ) -> None:
        record = table.host(published_group.head_id)
        if record is None or record.load is None or record.is_load_from_entries:
            # Entries get these counts by the load exchange, more often than by views.
            return
        if published_group.load is record.load:
            return
        if published_group.load is not None and published_group.load == record.load:
            return
        self._load_version += 1
        published_group.load = record.load
        published_group.load_version = self._load_version

    def _build(
        self, entry_id: str, configuration: TextSource, term: int
    ) -> ControlView:
        entry = self._entries[entry_id]
        text = configuration.text
        base = entry.view_version
        is_whole = entry.view_source != self.source or not (
            self._oldest_base <= base <= self._version
        )
        view = ControlView(
            source=self.source,
            view_version=self._version,
            whole=is_whole,
            configuration_number=text.number if text is not None else 0,
            term=term,
            base_version=0 if is_whole else base,
        )
        for group_id, published_group in self._published_groups.items():
            if published_group.version > (0 if is_whole else base):
                view.groups.append(published_group.entry_view)
            if published_group.load is None:
                continue
            if is_whole or published_group.load_version > entry.load_version:
                view.loads.append(
                    GroupLoad(group_id=group_id, load=published_group.load)
                )
        if not is_whole:
            view.removed_group_ids.extend(
                group_id
                for version, group_id in self._removed_groups
                if version > base and group_id not in self._published_groups
            )
        entry.load_version = self._load_version
        return view


def _to_entry_view(group: Group, reason: str, flags: _ViewFlags) -> GroupView:
    """Return a group's view; a pooled group lists its head only, which serves it."""
    view = _to_view(group, reason, flags)
    if group.pooled:
        del view.group.members[:]
        view.group.members.append(group_head(group))
    return view


def _to_view(group: Group, reason: str, flags: _ViewFlags) -> GroupView:
    return GroupView(
        group=group,
        serving=not reason,
        reason=reason,
        evacuated=flags.is_evacuated,
        is_cold=flags.is_cold,
        needs_cold_share=flags.needs_cold_share,
    )


def _valid_until_s(group: Group, reason: str, table: MembershipTable) -> float:
    if reason:
        return float("-inf")
    heard_at_s = min(table.host(member.host_id).heard_at_s for member in group.members)
    return heard_at_s + table.detection_timeout_s
