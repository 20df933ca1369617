"""Records departures of hosts in the replicated log before they are acknowledged."""

import eventlet
import logbook
from eventlet.event import Event

from chestnutvale.clock import Clock
from chestnutvale.consensus.exceptions import NotLeaderError, OutcomeUnknownError
from chestnutvale.consensus.task import ConsensusTask
from chestnutvale.membership.const import DEPARTURE_COMMAND_VERSION
from chestnutvale.membership.departures import (
    DepartureDurability,
    required_durability,
)
from chestnutvale.membership.endpoint_notices import Incarnation
from chestnutvale.membership.exceptions import DepartureNotRecordedError
from chestnutvale.membership.table import MembershipTable
from chestnutvale.programs.control.const import (
    DEPARTURE_RECORD_INTERVAL_S,
    DEPARTURE_RECORD_RETRY_INTERVAL_S,
    MAX_DEPARTURES_PER_COMMAND,
    PROPOSAL_TIMEOUT_S,
)
from chestnutvale.programs.control.durability import wait_until_durable
from chestnutvale.programs.control.state import ControlState
from chestnutvale.programs.periodic import run_periodically
from chestnutvale.schema.command_pb2 import Command
from chestnutvale.schema.membership_pb2 import RecordDepartures, RecordedDeparture

_LOGGER = logbook.Logger(__name__)

STEP_DEPARTURE = "departure"


class DepartureRecorder:
    """Keeps the departures that the host table knows in the replicated log.

    The leader records every departure of its table: those that it received, and those
    in the reports of other controls and of entries. A control that received a departure
    waits until its own replica of the log contains it.

    Parameters
    ----------
    log : ConsensusTask
        The replicated log.
    state : ControlState
        The replicated state; its ``on_departures`` is set.
    table : MembershipTable
        The host table; its ``on_departure`` is set.
    clock : Clock
        Source of time.
    durable_copies : int
        Disks that must hold a record before it is acknowledged; 0 for a quorum.
    """

    def __init__(
        self,
        log: ConsensusTask,
        state: ControlState,
        table: MembershipTable,
        clock: Clock,
        durable_copies: int = 0,
    ) -> None:
        self._log = log
        self._state = state
        self._table = table
        self._clock = clock
        self._durable_copies = durable_copies
        self._round_requested = Event()
        self._recorded = Event()
        state.on_departures = self._handle_recorded
        table.on_departure = self._request_round

    def confirm(self, departure: Incarnation, deadline_s: float) -> None:
        """Wait until a departure that the table knows may be acknowledged.

        Parameters
        ----------
        departure : Incarnation
            The boot that leaves.
        deadline_s : float
            Monotonic time in seconds at which the call times out.

        Raises
        ------
        DepartureNotRecordedError
            If the departure may be forgotten; the host should send it again.
        """
        try:
            self._wait_until_recorded(departure, deadline_s)
        except (DepartureNotRecordedError, OutcomeUnknownError) as error:
            _LOGGER.info("departure_refused", extra=_fields(departure, error=error))
            raise

    def was_recorded_since(self, host_id: str, age_s: float) -> bool:
        """Tell whether a departure of a host was recorded lately.

        Parameters
        ----------
        host_id : str
            The host.
        age_s : float
            Greatest age of the record in seconds.

        Returns
        -------
        bool
            Whether this replica of the log has such a record, of any boot.
        """
        since_unix_ms = self._clock.unix_ms() - round(age_s * 1_000)
        return self._state.departures.was_recorded_since(host_id, since_unix_ms)

    def run(self) -> None:
        """Record departures until the task is killed."""
        run_periodically(
            "departure records", self._wait_and_run, DEPARTURE_RECORD_RETRY_INTERVAL_S
        )

    def run_round(self) -> None:
        """Record the departures that are not in the log, if this control leads."""
        departures = self._table.unrecorded_departures()[:MAX_DEPARTURES_PER_COMMAND]
        if not departures or not self._log.is_leader:
            return
        unready = self._state.readers.find_unready(
            self._log.command_versions(), DEPARTURE_COMMAND_VERSION
        )
        if unready:
            return
        command = Command(
            proposed_at_unix_ms=self._clock.unix_ms(),
            record_departures=RecordDepartures(
                departures=[
                    RecordedDeparture(host_id=item.host_id, boot_id=item.boot_id)
                    for item in departures
                ]
            ),
        )
        try:
            self._log.propose(command, self._clock.now_s() + PROPOSAL_TIMEOUT_S)
        except (NotLeaderError, OutcomeUnknownError) as error:
            _LOGGER.info("Recording departures failed and is retried: {}", error)
            return
        hosts = [item.host_id for item in departures]
        _LOGGER.info("departures_recorded", extra={"hosts": hosts})

    def _wait_and_run(self) -> None:
        with eventlet.Timeout(DEPARTURE_RECORD_INTERVAL_S, False):
            self._round_requested.wait()
        self._round_requested = Event()
        self.run_round()

    def _wait_until_recorded(self, departure: Incarnation, deadline_s: float) -> None:
        while not self._is_recorded(departure):
            durability = self._required_durability()
            if durability is DepartureDurability.IN_MEMORY:
                _LOGGER.info("departure_in_memory", extra=_fields(departure))
                return
            remaining_s = deadline_s - self._clock.now_s()
            if durability is DepartureDurability.UNAVAILABLE or remaining_s <= 0:
                raise DepartureNotRecordedError(
                    "the departure is not in the replicated log yet",
                    step=STEP_DEPARTURE,
                    peer=self._log.leader_id,
                )
            self._request_round()
            with eventlet.Timeout(
                min(remaining_s, DEPARTURE_RECORD_RETRY_INTERVAL_S), False
            ):
                self._recorded.wait()
        wait_until_durable(self._log, self._durable_copies, self._clock, deadline_s)

    def _is_recorded(self, departure: Incarnation) -> bool:
        return self._state.departures.contains(departure.host_id, departure.boot_id)

    def _required_durability(self) -> DepartureDurability:
        log = self._log
        readers = self._state.readers
        return required_durability(
            is_leader=log.is_leader,
            is_confirmed=readers.confirmed_version >= DEPARTURE_COMMAND_VERSION,
            leader_version=log.leader_command_version or None,
            heard_versions=log.command_versions().values() if log.is_leader else (),
        )

    def _request_round(self) -> None:
        if not self._round_requested.ready():
            self._round_requested.send()

    def _handle_recorded(self, departures: list[Incarnation]) -> None:
        for departure in departures:
            self._table.mark_recorded(departure.host_id, departure.boot_id)
        recorded, self._recorded = self._recorded, Event()
        recorded.send()


def _fields(departure: Incarnation, error: Exception | None = None) -> dict[str, str]:
    fields = {"host": departure.host_id, "boot": departure.boot_id}
    return fields if error is None else fields | {"reason": str(error)}
