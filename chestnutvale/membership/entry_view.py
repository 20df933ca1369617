"""View and serving lease of an entry."""

import enum
import math
from collections import deque

import attrs

from chestnutvale.groups.members import group_head
from chestnutvale.membership.const import DEFAULT_LEASE_S, MAX_OUTSTANDING_REPORTS
from chestnutvale.membership.endpoint_notices import Incarnation
from chestnutvale.membership.text_encoding import read_text
from chestnutvale.schema.configuration_pb2 import Text
from chestnutvale.schema.membership_pb2 import Load
from chestnutvale.schema.peer_pb2 import ControlView, GroupView


class InstallVerdict(enum.Enum):
    """Result of installing a view."""

    INSTALLED = "installed"
    OLD_TERM = "old_term"
    OLD_VERSION = "old_version"
    GAP = "gap"


@attrs.define
class EntryView:
    """Groups, text and serving lease of one entry.

    The lease is counted from the time at which the answered report was sent, so a
    late or duplicate view can't extend it further. A view is older than another if
    its term is lower, or if its version is lower in the same term; only one control
    leads in a term.

    Parameters
    ----------
    lease_s : float
        Length of the serving lease in seconds.

    Attributes
    ----------
    stalled : frozenset of str
        Groups that produce no events although streams run there.
    newly_stalled : frozenset of str
        Stalled groups that were not listed in the previous view.
    newly_dissolved : frozenset of str
        Groups that the last installed view no longer has. A leader that still discovers
        hosts may leave out groups that exist, so they do not count.
    is_discovering : bool
        Whether the leader may not have heard all hosts yet.
    awaited_groups : dict of str to int
        Groups by service that probably serve, although the leader has not heard all of
        their members yet.
    """

    lease_s: float = DEFAULT_LEASE_S
    _term: int = 0
    _source: str = ""
    _version: int = 0
    _text: Text | None = None
    _lease_until_s: float = float("-inf")
    _sent_at_s: dict[int, float] = attrs.field(factory=dict)
    _sent_order: deque[int] = attrs.field(factory=deque)
    _groups: dict[str, GroupView] = attrs.field(factory=dict)
    _loads: dict[str, Load] = attrs.field(factory=dict)
    _entry_count: int = 1
    stalled: frozenset[str] = frozenset()
    newly_stalled: frozenset[str] = frozenset()
    newly_dissolved: frozenset[str] = frozenset()
    is_discovering: bool = False
    awaited_groups: dict[str, int] = attrs.field(factory=dict)

    def record_report_sent(self, nonce: int, now_s: float) -> None:
        """Record the sending time of a report; call it before sending.

        Parameters
        ----------
        nonce : int
            Nonce of the report, drawn at random so that a view that answers an
            earlier incarnation of this entry matches none.
        now_s : float
            Monotonic time in seconds.
        """
        self._sent_at_s[nonce] = now_s
        self._sent_order.append(nonce)
        while len(self._sent_order) > MAX_OUTSTANDING_REPORTS:
            self._sent_at_s.pop(self._sent_order.popleft(), None)

    def install_view(self, view: ControlView, now_s: float) -> InstallVerdict:
        """Install a view from the leader; an answer to a report extends the lease.

        Parameters
        ----------
        view : ControlView
            An answer to a report, or a pushed view, which extends no lease.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        InstallVerdict
            Whether the groups were installed, or why not.
        """
        if view.term < self._term:
            return InstallVerdict.OLD_TERM
        self._install_text(view)
        verdict = self._install_groups(view)
        if verdict is not InstallVerdict.GAP:
            self._extend_lease(view)
        return verdict

    def has_lease(self, now_s: float) -> bool:
        """Tell whether the entry may accept new calls.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            Whether the serving lease is valid.
        """
        return now_s < self._lease_until_s

    @property
    def has_held_lease(self) -> bool:
        """Whether this incarnation of the entry has held a lease."""
        return math.isfinite(self._lease_until_s)

    def serving_groups(self, service: str, now_s: float) -> list[GroupView]:
        """Return the groups of a service that may get new work.

        Parameters
        ----------
        service : str
            Name of the service.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        list of GroupView
            Empty without a lease.
        """
        if not self.has_lease(now_s):
            return []
        return [
            view
            for view in self._groups.values()
            if view.serving and view.group.service == service
        ]

    def bounded_cold_endpoints(self) -> list[Incarnation]:
        """Return the heads of the cold groups to which only holders of slots send."""
        return [
            Incarnation.of_member(group_head(view.group))
            for view in self._groups.values()
            if view.needs_cold_share and view.group.members
        ]

    def group(self, group_id: str) -> GroupView | None:
        """Return a group, serving or not.

        Parameters
        ----------
        group_id : str
            Identity of the group.

        Returns
        -------
        GroupView or None
            None if the newest view has no such group.
        """
        return self._groups.get(group_id)

    def groups(self) -> list[GroupView]:
        """Return all groups of the newest view, serving or not."""
        return list(self._groups.values())

    def load(self, group_id: str) -> Load | None:
        """Return the newest load of a group's head.

        Parameters
        ----------
        group_id : str
            Identity of the group.

        Returns
        -------
        Load or None
            None if no load is known.
        """
        return self._loads.get(group_id)

    @property
    def text(self) -> Text | None:
        """Installed text; None before the first one."""
        return self._text

    @property
    def number(self) -> int:
        """Number of the installed text; it never decreases."""
        return self._text.number if self._text is not None else 0

    @property
    def version(self) -> int:
        """Version of the newest view, for the next report."""
        return self._version

    @property
    def source(self) -> str:
        """Incarnation of the control that issued `version`, for the next report."""
        return self._source

    @property
    def entry_count(self) -> int:
        """Number of live entries, at least 1."""
        return self._entry_count

    @property
    def lease_until_s(self) -> float:
        """Monotonic time at which the lease ends."""
        return self._lease_until_s

    def _install_text(self, view: ControlView) -> None:
        if view.compressed_text and view.configuration_number <= self.number:
            # A late copy is not worth the time to decompress it.
            return
        text = read_text(view)
        if text is not None and text.number > self.number:
            self._text = text

    def _install_groups(self, view: ControlView) -> InstallVerdict:
        self._term = view.term
        stalled = frozenset(view.stalled_group_ids)
        self.newly_stalled = stalled - self.stalled
        self.stalled = stalled
        self.is_discovering = view.discovering
        self.awaited_groups = {item.service: item.count for item in view.awaited_groups}
        self.newly_dissolved = frozenset()
        if view.source == self._source and view.view_version < self._version:
            return InstallVerdict.OLD_VERSION
        if not view.whole and not self._has_base_version(view):
            return InstallVerdict.GAP
        before = frozenset(self._groups)
        if view.whole:
            self._groups.clear()
            self._loads.clear()
        for group in view.groups:
            self._groups[group.group.group_id] = group
        for group_id in view.removed_group_ids:
            self._groups.pop(group_id, None)
            self._loads.pop(group_id, None)
        if not (view.whole and view.discovering):
            self.newly_dissolved = before - self._groups.keys()
        for load in view.loads:
            self._loads[load.group_id] = load.load
        self._source = view.source
        self._version = view.view_version
        if view.entry_count:
            self._entry_count = view.entry_count
        return InstallVerdict.INSTALLED

    def _has_base_version(self, view: ControlView) -> bool:
        return view.source == self._source and view.base_version <= self._version

    def _extend_lease(self, view: ControlView) -> None:
        sent_at_s = self._sent_at_s.get(view.nonce)
        if view.nonce == 0 or sent_at_s is None:
            return
        if view.configuration_number > self.number:
            return
        self._lease_until_s = max(self._lease_until_s, sent_at_s + self.lease_s)
