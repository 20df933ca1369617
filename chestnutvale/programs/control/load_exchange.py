"""Tells each entry what the others run at each group."""

import math
from collections.abc import Mapping

from chestnutvale.clock import Clock
from chestnutvale.consensus.task import ConsensusTask
from chestnutvale.membership.const import LOAD_EXCHANGE_S, LOAD_REPEAT_S
from chestnutvale.membership.running import exchange_interval_s
from chestnutvale.programs.control.entry_desk import EntryDesk
from chestnutvale.programs.control.state import ControlState
from chestnutvale.programs.periodic import run_rounds
from chestnutvale.schema.peer_pb2 import Envelope, RunningCounts
from chestnutvale.transport.node import TransportNode


class LoadExchange:
    """Sums what entries run, and tells it while this control leads.

    Answers take about a second, so what an entry knows of the others from its reports
    is half out of date: it would send to groups that have filled up meanwhile.

    Parameters
    ----------
    transport : TransportNode
        The process's peer sockets.
    log : ConsensusTask
        Tells whether this control leads.
    state : ControlState
        Holds the groups.
    desk : EntryDesk
        Knows the entries and what they run.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        transport: TransportNode,
        log: ConsensusTask,
        state: ControlState,
        desk: EntryDesk,
        clock: Clock,
    ) -> None:
        self._transport = transport
        self._log = log
        self._state = state
        self._desk = desk
        self._clock = clock
        self._told: Mapping[str, int] = {}
        self._told_s = -math.inf
        transport.register_handler("running_counts", self._receive)

    def run(self) -> None:
        """Tell the entries until the task is killed."""
        run_rounds("the load exchange", self.run_round, LOAD_EXCHANGE_S / 2)

    def run_round(self) -> None:
        """Tell all live entries if something changed and it is time."""
        now_s = self._clock.now_s()
        if not self._log.is_leader or not self._log.has_lease(now_s):
            return
        entries = self._desk.live_addresses(now_s)
        passed_s = now_s - self._told_s
        if passed_s < exchange_interval_s(len(entries)):
            return
        totals = self._desk.running.totals(now_s)
        if totals == self._told and passed_s < LOAD_REPEAT_S:
            return
        self._told, self._told_s = totals, now_s
        groups = self._state.groups.groups
        epochs = {name: groups[name].epoch for name in totals if name in groups}
        for entry_id, address in entries.items():
            counts = self._desk.running.elsewhere(entry_id, totals)
            known = {name: count for name, count in counts.items() if name in epochs}
            message = RunningCounts(
                epochs=[epochs[name] for name in known], counts=known.values()
            )
            self._transport.send(entry_id, address, "running_counts", message)

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
        self._desk.running.note_counts(envelope.sender_id, counts, now_s)
