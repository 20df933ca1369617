"""Checks of operators' orders to evacuate a data centre, before they are proposed."""

from collections.abc import Callable, Iterable

from chestnutvale.consensus.exceptions import NotLeaderError
from chestnutvale.consensus.task import ConsensusTask
from chestnutvale.evacuations.const import (
    EVACUATION_COMMAND_VERSION,
    MAX_NAME_CHARACTERS,
    STEP_EVACUATE,
)
from chestnutvale.evacuations.exceptions import (
    EvacuationNotReadyError,
    UnknownDataCentreError,
)
from chestnutvale.membership.table import MembershipTable
from chestnutvale.programs.control.state import ControlState
from chestnutvale.schema.settings_pb2 import ControlSettings


class EvacuationOrders:
    """Decides whether an order may be proposed by this control now.

    Parameters
    ----------
    settings : ControlSettings
        Settings of the control.
    log : ConsensusTask
        The replicated log.
    state : ControlState
        The replicated state.
    table : MembershipTable
        The host table.
    entry_data_centres : callable
        Returns the data centres of the known entries.
    """

    def __init__(
        self,
        settings: ControlSettings,
        log: ConsensusTask,
        state: ControlState,
        table: MembershipTable,
        entry_data_centres: Callable[[], Iterable[str]],
    ) -> None:
        self._settings = settings
        self._log = log
        self._state = state
        self._table = table
        self._entry_data_centres = entry_data_centres

    def check_leader(self) -> None:
        """Raise `NotLeaderError` unless this control leads.

        Raises
        ------
        NotLeaderError
            If another control leads, or none that is known.
        EvacuationNotReadyError
            If a control leads whose build has no evacuations; it would answer as to an
            unknown path, which ends the order.
        """
        if self._log.is_leader:
            return
        leader_id = self._log.leader_id
        if leader_id and self._log.leader_command_version < EVACUATION_COMMAND_VERSION:
            raise EvacuationNotReadyError(
                "the leading control is of a build without evacuations",
                step=STEP_EVACUATE,
                peer=leader_id,
            )
        raise NotLeaderError(leader_id, step=STEP_EVACUATE)

    def check_data_centre(self, name: str, now_s: float) -> None:
        """Raise an error unless a data centre is known.

        Parameters
        ----------
        name : str
            The data centre.
        now_s : float
            Monotonic time in seconds.

        Raises
        ------
        UnknownDataCentreError
            If the deployment has no such data centre.
        EvacuationNotReadyError
            If its hosts may not be known yet.
        """
        known = self.known_data_centres()
        if name in known:
            return
        is_named = 0 < len(name) <= MAX_NAME_CHARACTERS and name.isprintable()
        is_complete = bool(self._settings.data_centres)
        if is_named and not is_complete and self._table.may_discover_hosts(now_s):
            raise EvacuationNotReadyError(
                "the hosts are still being discovered, so the data centre may exist",
                step=STEP_EVACUATE,
            )
        shown = name if is_named else ascii(name[:MAX_NAME_CHARACTERS])
        raise UnknownDataCentreError(
            f"the data centre {shown} is unknown; known are {', '.join(sorted(known))}",
            step=STEP_EVACUATE,
        )

    def check_readers(self) -> None:
        """Raise an error if a member of the log may be unable to read the order.

        Raises
        ------
        EvacuationNotReadyError
            If a voter or learner is of an older build, or has not replied yet.
        """
        unready = self._state.readers.find_unready(
            self._log.command_versions(), EVACUATION_COMMAND_VERSION
        )
        if unready:
            raise EvacuationNotReadyError(
                f"not known to be of a build with evacuations: {', '.join(unready)}",
                step=STEP_EVACUATE,
                peer=unready[0],
            )

    def known_data_centres(self) -> frozenset[str]:
        """Return the data centres that may be evacuated.

        Returns
        -------
        frozenset of str
            Those of the settings, or else of the known hosts and entries. One that has
            an order stays known, so that an evacuation can be finished after its hosts
            are gone.
        """
        ordered = self._state.evacuations.data_centres
        if self._settings.data_centres:
            return ordered.union(self._settings.data_centres)
        hosts = {
            record.announcement.data_centre
            for record in self._table.known_hosts()
            if record.announcement is not None
        }
        return ordered.union(hosts, self._entry_data_centres()) - {""}
