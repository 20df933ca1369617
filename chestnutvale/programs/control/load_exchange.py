"""Distribution of running attempt counts to the entries."""

import math
from collections.abc import Mapping

from chestnutvale.admission.service_flow import FlowTable, ServiceFlow
from chestnutvale.admission.wire import from_flow_messages, to_flow_messages
from chestnutvale.clock import Clock
from chestnutvale.consensus.task import ConsensusTask
from chestnutvale.membership.attempt_counts import load_exchange_interval_s
from chestnutvale.membership.const import (
    LOAD_RESEND_INTERVAL_S,
    MIN_LOAD_EXCHANGE_INTERVAL_S,
)
from chestnutvale.programs.control.entry_report_handler import EntryReportHandler
from chestnutvale.programs.control.state import ControlState
from chestnutvale.programs.periodic import run_periodically
from chestnutvale.schema.peer_pb2 import Envelope, RunningCounts
from chestnutvale.transport.node import TransportNode


class LoadExchange:
    """Sums running attempts of entries and sends the totals while this control leads.

    Answers take about a second, so counts sent only with reports are half out of date,
    and an entry would send requests to groups that have filled up meanwhile.

    Parameters
    ----------
    transport : TransportNode
        Peer transport of the process.
    log : ConsensusTask
        Provides leadership and lease of this control.
    state : ControlState
        Provides the epochs of the groups.
    entry_handler : EntryReportHandler
        Provides the live entries and their attempt counts.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        transport: TransportNode,
        log: ConsensusTask,
        state: ControlState,
        entry_handler: EntryReportHandler,
        clock: Clock,
    ) -> None:
        self._transport = transport
        self._log = log
        self._state = state
        self._entry_handler = entry_handler
        self._clock = clock
        self._flows = FlowTable()
        self._last_totals: tuple[Mapping[str, int], list[ServiceFlow]] = ({}, [])
        self._last_sent_at_s = -math.inf
        transport.register_handler("running_counts", self._receive)

    def run(self) -> None:
        """Send counts to the entries until the task is killed."""
        run_periodically(
            "load exchange", self.run_round, MIN_LOAD_EXCHANGE_INTERVAL_S / 2
        )

    def run_round(self) -> None:
        """Send counts to all live entries if they are due.

        Changed counts are due after the exchange interval, unchanged ones after the
        resend interval.
        """
        now_s = self._clock.now_s()
        if not self._log.is_leader or not self._log.has_lease(now_s):
            return
        entries = self._entry_handler.live_addresses(now_s)
        elapsed_s = now_s - self._last_sent_at_s
        if elapsed_s < load_exchange_interval_s(len(entries)):
            return
        totals = self._entry_handler.attempt_counts.totals(now_s)
        flows = self._total_flows(now_s)
        is_same = (totals, flows) == self._last_totals
        if is_same and elapsed_s < LOAD_RESEND_INTERVAL_S:
            return
        self._last_totals, self._last_sent_at_s = (totals, flows), now_s
        flow_messages = to_flow_messages(flows)
        groups = self._state.groups.groups
        epochs = {name: groups[name].epoch for name in totals if name in groups}
        for entry_id, address in entries.items():
            counts = self._entry_handler.attempt_counts.counts_excluding(
                entry_id, totals
            )
            current_counts = {
                name: count for name, count in counts.items() if name in epochs
            }
            message = RunningCounts(
                epochs=[epochs[name] for name in current_counts],
                counts=current_counts.values(),
                flows=flow_messages,
            )
            self._transport.send(entry_id, address, "running_counts", message)

    def _total_flows(self, now_s: float) -> list[ServiceFlow]:
        # The sums are wrong if an entry reports no flows.
        if not self._entry_handler.all_lend_places(now_s):
            return []
        return self._flows.totals(now_s)

    def _receive(self, envelope: Envelope) -> None:
        message = envelope.running_counts
        names = {
            group.epoch: group_id
            for group_id, group in self._state.groups.groups.items()
        }
        counts = {
            names[epoch]: count
            for epoch, count in zip(message.epochs, message.counts, strict=False)
            if epoch in names
        }
        now_s = self._clock.now_s()
        self._entry_handler.attempt_counts.record_counts(
            envelope.sender_id, counts, now_s
        )
        self._flows.record_flows(
            envelope.sender_id, from_flow_messages(message.flows), now_s
        )
