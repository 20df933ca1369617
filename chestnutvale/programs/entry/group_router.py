"""Chooses groups for attempts, based on the view and the selector."""

from collections import Counter
from collections.abc import Callable, Iterator, Mapping

import xxhash

from chestnutvale.attempts.const import REASON_SILENT, REFUSAL_UNREACHABLE
from chestnutvale.clock import Clock
from chestnutvale.groups.members import group_head
from chestnutvale.membership.endpoint_notices import EndpointNotices, Incarnation
from chestnutvale.membership.entry_view import EntryView
from chestnutvale.programs.entry.answer_speed import measure_speed
from chestnutvale.programs.entry.context import AttemptReport, CallRequest
from chestnutvale.programs.entry.group_capacity import GroupCapacity
from chestnutvale.rate_limits.send_budget import SendBudget
from chestnutvale.routing.const import DEFAULT_REPORT_AGE_S
from chestnutvale.routing.messages import RoutableGroup, RoutingRequest
from chestnutvale.routing.policies.policy import Placement
from chestnutvale.routing.selector import Selector
from chestnutvale.schema.membership_pb2 import Load
from chestnutvale.schema.peer_pb2 import ControlView, Envelope, GroupView

PREFIX_BLOCK_BYTES = 64
MAX_PREFIX_BLOCKS = 64
# Time for which a group is chosen only as a last resort after a broken attempt.
BROKEN_GROUP_AVOIDANCE_S = 1.0
# The same for a silent or unreachable group. It is longer because the group stays in
# the view until the controls detect that its host is missing.
SILENT_GROUP_AVOIDANCE_S = 3.0
RESULT_BROKEN = "broken"
RESULT_WHOLE = "whole"
# Upper limit for the computed age of a load report.
MAX_LOAD_AGE_S = 3.0


class GroupRouter:
    """Passes loads and attempts to the selector and asks it for groups.

    Parameters
    ----------
    view : EntryView
        Groups, configuration and serving lease of the entry.
    selector : Selector
        Chooses between groups.
    predicted_tokens : callable
        Returns the predicted tokens of a request by its id.
    clock : Clock
        Source of time.

    Attributes
    ----------
    notices : EndpointNotices
        Endpoints that told this entry that they leave or pause.
    send_budget : SendBudget
        Shares of this entry in the limits that endpoints named.
    capacity : GroupCapacity
        Capacity of the groups, for admission.
    capacity_class : type
        Class of `capacity`.
    """

    capacity_class: type[GroupCapacity] = GroupCapacity

    def __init__(
        self,
        view: EntryView,
        selector: Selector,
        predicted_tokens: Callable[[str], int],
        clock: Clock,
    ) -> None:
        self._view = view
        self._selector = selector
        self._predicted_tokens = predicted_tokens
        self._clock = clock
        self.notices = EndpointNotices()
        self.send_budget = SendBudget()
        self._heads: dict[str, tuple[GroupView, Incarnation]] = {}
        self._avoid_until_s: dict[str, float] = {}
        self._sent_at_s: dict[str, float] = {}
        self._evacuated_heads: frozenset[Incarnation] = frozenset()
        self._last_placement: Placement | None = None
        self._text_number = 0
        self.capacity = self.capacity_class(
            view, self.notices, self.send_budget, self._head_of, clock
        )

    def install(self, view: ControlView) -> None:
        """Apply groups and loads of a view that was just installed.

        Parameters
        ----------
        view : ControlView
            The view; only its loads are read, groups come from the entry's view.
        """
        now_s = self._clock.now_s()
        group_views = self._view.groups()
        self._heads = {
            group_view.group.group_id: (group_view, self._head_of(group_view))
            for group_view in group_views
        }
        heads = [head for _, head in self._heads.values()]
        self.notices.keep_listed(heads, now_s)
        self.send_budget.set_entry_count(self._view.entry_count)
        self._selector.entry_count = max(1, self._view.entry_count)
        self.send_budget.keep_listed(heads, now_s)
        # The text has the number of requests that a group runs.
        is_text_new = self._view.number != self._text_number
        self._text_number = self._view.number
        if is_text_new or view.whole or view.groups or view.removed_group_ids:
            self._evacuated_heads = frozenset(
                self._head_of(group_view)
                for group_view in self._view.groups()
                if group_view.evacuated
            )
            self._selector.update_groups(
                (
                    RoutableGroup(
                        group_view.group.group_id,
                        group_view.group.service,
                        group_view.group.epoch,
                        group_view.group.data_centre,
                        self._get_max_running_requests(group_view.group.service),
                    )
                    for group_view in self._view.groups()
                    if group_view.serving
                ),
                now_s,
            )
            self._selector.update_cold(
                [
                    group_view.group.group_id
                    for group_view in self._view.groups()
                    if group_view.is_cold
                ],
                now_s,
            )
        for load in view.loads:
            age_s = self._get_load_age_s(load.load)
            self._selector.update_load(load.group_id, load.load, now_s, age_s)

    @property
    def evacuated_count(self) -> int:
        """Number of groups whose head is in an evacuated data centre."""
        return len(self._evacuated_heads)

    def is_evacuated(self, endpoint: Incarnation) -> bool:
        """Tell whether an endpoint is in an evacuated data centre.

        Parameters
        ----------
        endpoint : Incarnation
            The endpoint.

        Returns
        -------
        bool
            Whether nothing new may be sent to it.
        """
        return endpoint in self._evacuated_heads

    def update_peer_running(self, running: Mapping[str, int]) -> None:
        """Update the numbers of attempts that the other entries run.

        Parameters
        ----------
        running : mapping of str to int
            Attempts at each serving group.
        """
        now_s = self._clock.now_s()
        for group_id, count in running.items():
            self._selector.update_peer_running(group_id, count, now_s)

    def describe_load(self, group_id: str) -> dict[str, int | None]:
        """Return the known load of a group, for the log.

        Parameters
        ----------
        group_id : str
            The group.

        Returns
        -------
        dict of str to int or None
            Running attempts of this entry and of the others, and the age of the
            latter number in milliseconds.
        """
        return self._selector.describe(group_id, self._clock.now_s())

    def describe_choice(self) -> dict[str, object]:
        """Return how the last group was chosen, for the log."""
        return self._last_placement.describe() if self._last_placement else {}

    @property
    def choice_counts(self) -> Counter[str]:
        """Number of choices by policy and reason."""
        return self._selector.choice_counts

    def receive_cache_events(self, envelope: Envelope) -> None:
        """Apply the cache events that the leading control forwards.

        Parameters
        ----------
        envelope : Envelope
            The message.
        """
        now_s = self._clock.now_s()
        for group_events in envelope.cache_news.events:
            view = self._view.group(group_events.group_id)
            if view is not None and view.group.epoch == group_events.epoch:
                self._selector.note_cache_events(
                    group_events.group_id, group_events.events, now_s
                )

    def _get_max_running_requests(self, service: str) -> int:
        text = self._view.text
        if text is None or service not in text.services:
            return 0
        return text.services[service].limits.max_running_requests

    def _get_load_age_s(self, load: Load) -> float:
        if not load.measured_at_unix_ms:
            return DEFAULT_REPORT_AGE_S
        # The clocks of two hosts may differ, so implausible ages are clamped.
        age_s = (self._clock.unix_ms() - load.measured_at_unix_ms) / 1_000
        return min(max(age_s, 0.0), MAX_LOAD_AGE_S)

    def record_cold(self, endpoint: Incarnation, until_s: float) -> bool:
        """Record that an endpoint said in an answer that it is cold.

        Parameters
        ----------
        endpoint : Incarnation
            The endpoint.
        until_s : float
            Monotonic time in seconds at which it no longer is.

        Returns
        -------
        bool
            Whether this was not known and the endpoint has a bound while it is cold.
        """
        text = self._view.text
        services = {
            group_view.group.service
            for group_view in self._view.groups()
            if self._head_of(group_view) == endpoint
        }
        is_bounded = text is not None and any(
            text.services[service].cold_requests_per_s
            for service in services
            if service in text.services
        )
        if not is_bounded or self.send_budget.is_cold(endpoint):
            return False
        self.send_budget.record_cold(endpoint, until_s, self._clock.now_s())
        return True

    def _unavailable_groups(self, service: str, now_s: float) -> Iterator[str]:
        for group_view in self._view.serving_groups(service, now_s):
            head = self._head_of(group_view)
            if not (
                self.notices.may_send(head, now_s)
                and self.send_budget.may_send(head, now_s)
            ):
                yield group_view.group.group_id

    def head_addresses(self) -> list[str]:
        """Return the addresses of the heads of all serving groups."""
        return [
            group_head(group_view.group).address
            for group_view in self._view.groups()
            if group_view.serving and group_view.group.members
        ]

    def next_send_s(self, service: str) -> float | None:
        """Return when the limit of a group lets this entry send a request.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        float or None
            Monotonic time in seconds; infinite if this entry has no share in any limit,
            None if no group that serves now has a limit.
        """
        now_s = self._clock.now_s()
        heads = map(self._head_of, self._view.serving_groups(service, now_s))
        return min(
            (
                self.send_budget.next_send_s(head, now_s)
                for head in heads
                if self.send_budget.is_limited(head)
                and self.notices.may_send(head, now_s)
            ),
            default=None,
        )

    def serving_groups(self, service: str, version: str) -> list[str]:
        """Return the ids of all groups that serve a service now.

        Parameters
        ----------
        service : str
            Name of the service.
        version : str
            Version that the groups must serve; empty allows any.

        Returns
        -------
        list of str
            Group ids.
        """
        return [
            group_view.group.group_id
            for group_view in self._view.serving_groups(service, self._clock.now_s())
            if not version or group_view.group.version == version
        ]

    def choose(
        self,
        request: CallRequest,
        excluded: frozenset[str],
        version: str,
        stalled: frozenset[str] = frozenset(),
    ) -> GroupView | None:
        """Choose the serving group for an attempt and count the attempt to it.

        Parameters
        ----------
        request : CallRequest
            The call.
        excluded : frozenset of str
            Group ids that must not be chosen.
        version : str
            Version that the group must serve; empty allows any.
        stalled : frozenset of str, optional
            Stalled groups; chosen only as a last resort, like recently broken ones.

        Returns
        -------
        GroupView or None
            None if no group can serve the call.
        """
        now_s = self._clock.now_s()
        unsuitable = self._find_unsuitable_groups(request, version, now_s) | excluded
        last_resorts = self._find_avoided_groups(now_s) | stalled
        for avoided in (
            # No other entry can use this share, and only an answer tells when the limit
            # ends.
            unsuitable | last_resorts | self._find_others(request.service, now_s),
            unsuitable | last_resorts,
            unsuitable,
        ):
            chosen = self._try_choose(request, avoided, now_s)
            if chosen is not None:
                return chosen
        return None

    def has_alternative(
        self,
        request: CallRequest,
        excluded: frozenset[str],
        version: str,
        stalled: frozenset[str],
    ) -> bool:
        """Tell whether a group is left that is not a last resort for `choose`.

        Parameters
        ----------
        request : CallRequest
            The call.
        excluded : frozenset of str
            Group ids that must not be chosen.
        version : str
            Version that the group must serve; empty allows any.
        stalled : frozenset of str
            Stalled groups.

        Returns
        -------
        bool
            Whether there is such a group.
        """
        now_s = self._clock.now_s()
        unusable = (
            self._find_unsuitable_groups(request, version, now_s)
            | self._find_avoided_groups(now_s)
            | excluded
            | stalled
        )
        return any(
            group_view.group.group_id not in unusable
            for group_view in self._view.serving_groups(request.service, now_s)
        )

    def _find_unsuitable_groups(
        self, request: CallRequest, version: str, now_s: float
    ) -> frozenset[str]:
        return frozenset(
            group_view.group.group_id
            for group_view in self._view.serving_groups(request.service, now_s)
            if not _can_serve(group_view, request, version)
        ).union(self._unavailable_groups(request.service, now_s))

    def _find_others(self, service: str, now_s: float) -> frozenset[str]:
        """Return the groups besides those with an unused share in their limit."""
        return frozenset(
            group_view.group.group_id
            for group_view in self._view.serving_groups(service, now_s)
            if not self.send_budget.has_unused_share(self._head_of(group_view), now_s)
        )

    def _find_avoided_groups(self, now_s: float) -> frozenset[str]:
        return frozenset(
            group_id
            for group_id, until_s in self._avoid_until_s.items()
            if until_s > now_s
        )

    def report(self, report: AttemptReport) -> None:
        """Record the result of an attempt.

        Parameters
        ----------
        report : AttemptReport
            The attempt.
        """
        request_id = report.request.request_id
        now_s = self._clock.now_s()
        sent_at_s = self._sent_at_s.pop(request_id, now_s)
        if report.first_byte_ms is not None:
            first_byte_s = sent_at_s + report.first_byte_ms / 1_000
            self._selector.record_first_token(request_id, first_byte_s)
        if report.result == RESULT_WHOLE:
            run_s, unit_s = measure_speed(report, now_s - sent_at_s)
            self._selector.record_answer(request_id, run_s, unit_s)
        self._selector.record_finished(request_id, now_s)
        avoidance_s = _get_avoidance_s(report)
        if avoidance_s:
            self._remove_expired_avoidances(now_s)
            self._avoid_until_s[report.group_id] = now_s + avoidance_s

    def _try_choose(
        self, request: CallRequest, avoided: frozenset[str], now_s: float
    ) -> GroupView | None:
        routing_request = RoutingRequest(
            request_id=request.request_id,
            service=request.service,
            priority=request.priority,
            predicted_tokens=self._predicted_tokens(request.request_id),
            prefixes=hash_prefixes(request.prompt),
            excluded_groups=avoided,
        )
        placement = self._selector.place(routing_request, now_s)
        if placement is None:
            return None
        group_id = placement.group_id
        view = self._view.group(group_id)
        if view is None or not view.serving or not self._view.has_lease(now_s):
            return None
        self._last_placement = placement
        self._selector.record_sent(routing_request, group_id, now_s)
        self.send_budget.record_sent(self._head_of(view), now_s)
        self._sent_at_s[request.request_id] = now_s
        return view

    def _head_of(self, group_view: GroupView) -> Incarnation:
        """Return the head of a group, which is parsed once per group and view."""
        parsed = self._heads.get(group_view.group.group_id)
        if parsed is not None and parsed[0] is group_view:
            return parsed[1]
        return _parse_head(group_view)

    def _remove_expired_avoidances(self, now_s: float) -> None:
        self._avoid_until_s = {
            group_id: until_s
            for group_id, until_s in self._avoid_until_s.items()
            if until_s > now_s
        }


def _get_avoidance_s(report: AttemptReport) -> float:
    if report.code in (REFUSAL_UNREACHABLE, REASON_SILENT):
        return SILENT_GROUP_AVOIDANCE_S
    return BROKEN_GROUP_AVOIDANCE_S if report.result == RESULT_BROKEN else 0.0


def _parse_head(group_view: GroupView) -> Incarnation:
    if not group_view.group.members:
        return Incarnation("", "")
    return Incarnation.of_member(group_head(group_view.group))


def hash_prefixes(prompt: bytes) -> tuple[int, ...]:
    """Hash the block-wise growing prefixes of a prompt per the endpoint protocol.

    Parameters
    ----------
    prompt : bytes
        The prompt.

    Returns
    -------
    tuple of int
        One hash for each complete block, at most `MAX_PREFIX_BLOCKS`.
    """
    hashes = []
    previous = 0
    end = min(len(prompt), MAX_PREFIX_BLOCKS * PREFIX_BLOCK_BYTES)
    for start in range(0, end - PREFIX_BLOCK_BYTES + 1, PREFIX_BLOCK_BYTES):
        block = prompt[start : start + PREFIX_BLOCK_BYTES]
        previous = xxhash.xxh64_intdigest(block, seed=previous)
        hashes.append(previous)
    return tuple(hashes)


def _can_serve(group_view: GroupView, request: CallRequest, version: str) -> bool:
    if version and group_view.group.version != version:
        return False
    return not request.adapter or request.adapter in group_view.group.adapters
