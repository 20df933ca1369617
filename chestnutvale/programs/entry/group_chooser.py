"""Chooses the group for the next attempt of a call, respecting crash suspicion."""

import math
from collections.abc import Callable, Set

from chestnutvale.admission.const import NO_SHARE_RETRY_S
from chestnutvale.attempts.const import DEFAULT_RETRY_AFTER_S
from chestnutvale.attempts.events import (
    CallBanned,
    ChooseGroup,
    GroupChosen,
    NoGroupAvailable,
    Tick,
)
from chestnutvale.attempts.suspicion import Banned, Clear
from chestnutvale.groups.members import group_head
from chestnutvale.membership.endpoint_notices import Incarnation
from chestnutvale.programs.entry.context import (
    CallContext,
    CallRequest,
    head_address,
)
from chestnutvale.schema.peer_pb2 import GroupView

ChoiceEvent = GroupChosen | NoGroupAvailable | CallBanned | Tick
# Maximum time for which a call that may have run waits for a group that can take it. It
# covers a leader election, the new leader's detection of missing hosts and a repair in
# turn.
RESUME_WAIT_S = 8.0
RESUME_POLL_INTERVAL_S = 0.1


class GroupChooser:
    """Chooses groups for the attempts of one call.

    Parameters
    ----------
    context : CallContext
        Services of the entry.
    request : CallRequest
        The call.
    fingerprint : int
        64-bit fingerprint of the request, for the detection of crashing requests.
    wait : callable
        Waits for a time in seconds; returns True if the call was abandoned meanwhile.
    part_hashes : tuple of int, optional
        Hashes of the parts of its prompt that other requests may share.
    resume_wait_s : float, optional
        Maximum time in seconds for which the call waits for a group once it may have
        run.

    Attributes
    ----------
    view : GroupView or None
        The group that was chosen last.
    """

    def __init__(
        self,
        context: CallContext,
        request: CallRequest,
        fingerprint: int,
        wait: Callable[[float], bool],
        part_hashes: tuple[int, ...] = (),
        resume_wait_s: float = RESUME_WAIT_S,
    ) -> None:
        self.view: GroupView | None = None
        self._epochs: dict[str, int] = {}
        self._context = context
        self._request = request
        self._fingerprint = fingerprint
        self._part_hashes = part_hashes
        self._part_hashes_to_judge = part_hashes
        self._wait = wait
        self._resume_wait_s = resume_wait_s

    def choose(self, effect: ChooseGroup) -> ChoiceEvent:
        """Choose a group; blocks while a suspected request must wait for its turn.

        Parameters
        ----------
        effect : ChooseGroup
            What the call asks for.

        Returns
        -------
        GroupChosen, NoGroupAvailable, CallBanned or Tick
            `Tick` if the call was abandoned or its deadline passed.
        """
        context = self._context
        # An answer that has begun would be lost if the call ended, so the call waits
        # out leader elections and repairs of the other groups.
        wait_limit_s = 0.0 if effect.is_unsent else self._resume_wait_s
        wait_until_s = min(
            context.clock.now_s() + wait_limit_s, self._request.deadline_s
        )
        while True:
            event = self._choose_once(effect)
            if not (isinstance(event, NoGroupAvailable) and effect.may_wait):
                return event
            wait_s = self._find_wait_s(wait_until_s)
            if wait_s <= 0.0 or self._is_movable(effect) or self._is_hopeless(effect):
                return event
            if self._wait(wait_s):
                return Tick()

    def _is_movable(self, effect: ChooseGroup) -> bool:
        """Tell whether the call need not wait here, as another entry can take it."""
        return self._context.is_isolated and effect.is_unsent

    def _is_hopeless(self, effect: ChooseGroup) -> bool:
        """Tell whether all allowed groups were rebuilt, and so never come back."""
        return bool(effect.allowed) and all(map(self._has_new_epoch, effect.allowed))

    def _find_wait_s(self, resume_until_s: float) -> float:
        """Return how long to wait before the next choice; 0 to give up."""
        now_s = self._context.clock.now_s()
        # Calls that wait for a limit start in time or not at all.
        start_by_s = min(self._request.start_by_s, self._request.deadline_s)
        next_send_s = self._context.next_send_s(self._request.service)
        if next_send_s is not None and now_s < next_send_s <= start_by_s:
            return next_send_s - now_s
        return min(RESUME_POLL_INTERVAL_S, resume_until_s - now_s)

    def _choose_once(self, effect: ChooseGroup) -> ChoiceEvent:
        context = self._context
        while True:
            groups = context.serving_groups(self._request.service, effect.version)
            now_unix_ms = context.clock.unix_ms()
            verdict = context.suspicions.judge(
                self._fingerprint, groups, now_unix_ms, self._part_hashes_to_judge
            )
            if isinstance(verdict, Clear):
                return self._choose_from(effect, groups)
            if isinstance(verdict, Banned):
                return CallBanned(
                    (verdict.until_unix_ms - now_unix_ms) / 1_000, verdict.part_hashes
                )
            wait_s = (verdict.not_before_unix_ms - now_unix_ms) / 1_000
            if wait_s <= 0.0:
                return self._choose_from(effect, groups, {verdict.group_id})
            remaining_s = self._request.deadline_s - context.clock.now_s()
            if remaining_s <= 0.0 or self._wait(min(wait_s, remaining_s)):
                return Tick()

    def has_alternative(self, excluded: frozenset[str], version: str) -> bool:
        """Tell whether `choose` would find another group that can take the call now.

        Parameters
        ----------
        excluded : frozenset of str
            Groups that must not be chosen.
        version : str
            Version that the group must serve; empty allows any.

        Returns
        -------
        bool
            False also if the request is suspected of crashing groups.
        """
        context = self._context
        verdict = context.suspicions.judge(
            self._fingerprint,
            context.serving_groups(self._request.service, version),
            context.clock.unix_ms(),
            self._part_hashes_to_judge,
        )
        if not isinstance(verdict, Clear):
            return False
        return context.has_alternative(self._request, excluded, version)

    def can_return(self, groups: frozenset[str], version: str) -> bool:
        """Tell whether `choose` would find one of the groups that the call has left.

        Parameters
        ----------
        groups : frozenset of str
            Groups that the call left while they were silent.
        version : str
            Version that the group must serve; empty allows any.

        Returns
        -------
        bool
            Whether one of them serves under the same epoch and works.
        """
        serving = self._context.serving_groups(self._request.service, version)
        return self.has_alternative(self._exclude_others(groups, serving), version)

    def _exclude_others(
        self, allowed: frozenset[str], groups: list[str]
    ) -> frozenset[str]:
        # A rebuilt group may have another head, which is a further endpoint.
        unchanged = {name for name in allowed if not self._has_new_epoch(name)}
        return frozenset(groups) - unchanged

    def attempt_started(self, attempt_id: str) -> None:
        """Record that the chosen group runs an attempt.

        Parameters
        ----------
        attempt_id : str
            Identity of the attempt.
        """
        group = self.view.group
        self._context.suspicions.attempt_started(
            attempt_id,
            self._fingerprint,
            group.group_id,
            group.epoch,
            group.fabric_domain,
            self._context.clock.unix_ms(),
            self._part_hashes,
        )

    def answer_progressed(self, attempt_id: str) -> None:
        """Record that an attempt has written its answer for `HARMLESS_WRITING_MS`.

        Parameters
        ----------
        attempt_id : str
            Identity of the attempt.
        """
        # If the answer breaks off later, its prompt is not the cause.
        self._part_hashes_to_judge = ()
        self._context.suspicions.answer_progressed(
            attempt_id, self._context.clock.unix_ms()
        )

    def check_for_crash(self, attempt_id: str) -> None:
        """Probe whether the chosen group crashed, and record it as evidence if it did.

        Parameters
        ----------
        attempt_id : str
            Identity of the attempt.
        """
        suspicions = self._context.suspicions
        group = self.view.group
        # Members that are no engines are only asked for a connection, which is no
        # request; an evacuated data centre must get none.
        is_evacuated = self._context.is_evacuated(
            Incarnation.of_member(group_head(group))
        )
        is_engine = self._request.max_tokens > 0 and not is_evacuated
        if self._context.has_crashed(group, is_engine=is_engine):
            suspicions.group_crashed(attempt_id, self._context.clock.unix_ms())
        else:
            suspicions.attempt_ended(attempt_id)

    def _choose_from(
        self, effect: ChooseGroup, groups: list[str], only: Set[str] = frozenset()
    ) -> GroupChosen | NoGroupAvailable:
        """Choose among the groups; `only` names the permitted ones unless empty."""
        view = None
        is_movable = self._is_movable(effect)
        if self._context.has_lease(self._context.clock.now_s()) and not is_movable:
            excluded = frozenset(
                name for name in effect.excluded if not self._has_new_epoch(name)
            )
            if only:
                excluded |= set(groups) - only
            if effect.allowed:
                excluded |= self._exclude_others(effect.allowed, groups)
            view = self._context.choose_group(self._request, excluded, effect.version)
            if view is None and effect.fallback and not only:
                excluded = self._exclude_others(effect.fallback, groups)
                view = self._context.choose_group(
                    self._request, excluded, effect.version
                )
        if view is None or not head_address(view):
            return NoGroupAvailable(self._find_retry_after_s())
        self.view = view
        group = view.group
        self._epochs[group.group_id] = group.epoch
        return GroupChosen(group.group_id, group.epoch, group.version)

    def _find_retry_after_s(self) -> float:
        service = self._request.service
        return_s = self._context.earliest_return_s(service)
        if return_s:
            return return_s
        next_send_s = self._context.next_send_s(service)
        now_s = self._context.clock.now_s()
        if next_send_s is None or next_send_s <= now_s:
            # No limit is in the way.
            return DEFAULT_RETRY_AFTER_S
        wait_s = next_send_s - now_s
        return wait_s if math.isfinite(wait_s) else NO_SHARE_RETRY_S

    def _has_new_epoch(self, group_id: str) -> bool:
        """Tell whether a group was rebuilt since the call used it."""
        epoch = self._epochs.get(group_id)
        if epoch is None:
            return False
        return self._context.group_epoch(group_id) not in (epoch, None)
