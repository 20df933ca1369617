"""Exchanges the numbers of running attempts with the other entries."""

import math
from collections import Counter
from collections.abc import Callable

from eventlet.event import Event

from chestnutvale.admission.wire import from_flow_messages, to_flow_messages
from chestnutvale.clock import Clock
from chestnutvale.membership.attempt_counts import load_exchange_interval_s
from chestnutvale.membership.const import (
    LOAD_RESEND_INTERVAL_S,
)
from chestnutvale.membership.entry_view import EntryView
from chestnutvale.programs.entry.entry_context import EntryContext
from chestnutvale.programs.periodic import run_periodically
from chestnutvale.schema.peer_pb2 import Envelope, RunningCounts, ServiceFlow
from chestnutvale.transport.node import TransportNode

LeaderFinder = Callable[[], tuple[str, str] | None]


class LoadExchange:
    """Sends this entry's counts to the leading control, which returns the others'.

    Parameters
    ----------
    transport : TransportNode
        The process's peer sockets.
    view : EntryView
        The groups, and the number of entries.
    context : EntryContext
        Has the running attempts, and is updated with those of the other entries.
    find_leader : callable
        Returns id and address of the leading control; None while none is known.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        transport: TransportNode,
        view: EntryView,
        context: EntryContext,
        find_leader: LeaderFinder,
        clock: Clock,
    ) -> None:
        self._transport = transport
        self._view = view
        self._context = context
        self._find_leader = find_leader
        self._clock = clock
        self._last_sent: tuple[dict[int, int], list[ServiceFlow]] = ({}, [])
        self._last_sent_s = -math.inf
        self._first_attempt = Event()
        context.running.on_first = self._wake
        transport.register_handler("running_counts", self._receive_counts)

    def run(self) -> None:
        """Run rounds until the task is killed; none while there is nothing to send."""
        run_periodically("the load exchange", self._wait_and_run, self.find_pause_s)

    def _wait_and_run(self) -> None:
        if not (len(self._context.running) or any(self._last_sent)):
            self._first_attempt = Event()
            # Calls that are all refused start no attempt, but count where places are
            # lent.
            lends = bool(self._context.flows(self._clock.now_s()))
            self._first_attempt.wait(LOAD_RESEND_INTERVAL_S if lends else None)
        self.run_round()

    def _wake(self) -> None:
        if not self._first_attempt.ready():
            self._first_attempt.send()

    def find_pause_s(self) -> float:
        """Return the pause between two rounds: half of the exchange interval."""
        return load_exchange_interval_s(self._view.entry_count) / 2

    def run_round(self) -> None:
        """Send the counts if they have changed or a repetition is due.

        Nothing is sent before the exchange interval has passed, or without a leader.
        """
        now_s = self._clock.now_s()
        elapsed_s = now_s - self._last_sent_s
        if elapsed_s < load_exchange_interval_s(self._view.entry_count):
            return
        counts = self._context.running.counts_by_epoch()
        flows = to_flow_messages(self._context.flows(now_s))
        if (counts, flows) == self._last_sent and (
            not (counts or flows) or elapsed_s < LOAD_RESEND_INTERVAL_S
        ):
            return
        leader = self._find_leader()
        if leader is None:
            return
        self._last_sent, self._last_sent_s = (counts, flows), now_s
        message = RunningCounts(
            epochs=counts.keys(), counts=counts.values(), flows=flows
        )
        self._transport.send(*leader, "running_counts", message)

    def _receive_counts(self, envelope: Envelope) -> None:
        message = envelope.running_counts
        counts = dict(zip(message.epochs, message.counts, strict=False))
        running_by_group: dict[str, int] = {}
        running_by_service: Counter[str] = Counter()
        for group_view in self._view.groups():
            if not group_view.serving:
                continue
            running = counts.get(group_view.group.epoch, 0)
            running_by_group[group_view.group.group_id] = running
            running_by_service[group_view.group.service] += running
        self._context.update_peer_running(
            running_by_group, running_by_service, from_flow_messages(message.flows)
        )
