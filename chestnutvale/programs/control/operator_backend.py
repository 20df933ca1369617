"""Interface between the operators' HTTP API and a control."""

from collections.abc import Mapping
from typing import Any, Protocol

from chestnutvale.schema.configuration_pb2 import (
    ApplyText,
    ApplyTextResult,
    ConfigurationSnapshot,
)
from chestnutvale.schema.evacuations_pb2 import EvacuationResult, SetEvacuation
from chestnutvale.schema.operator_pb2 import (
    DrainRequest,
    OperatorResult,
    Status,
    VoterChange,
)


class OperatorBackend(Protocol):
    """Operations of a control that the operators' HTTP API calls.

    Methods block the calling task until ``deadline_s`` at most, a monotonic time in
    seconds. On failure they raise a `ChestnutError` whose ``code`` is

    - ``not_leader``: nothing was proposed; the caller is redirected to the leader;
    - ``members_change_refused``: a voter change was refused and not proposed;
    - ``unknown_data_centre``, ``evacuation_not_ready`` or ``evacuation_refused``: an
      evacuation order has no effect;
    - any other code: a command may have been proposed and may still be committed.
    """

    def is_leader(self) -> bool:
        """Return whether this control leads now."""

    def leader_http_address(self) -> str:
        """Return the leader's IP address and HTTP port; empty if unknown."""

    def read_configuration(self, deadline_s: float) -> ConfigurationSnapshot:
        """Return the configuration in force, confirmed by a quorum."""

    def is_accepted(self, number: int, digest: str) -> bool:
        """Return whether the text with this digest was accepted under this number."""

    def fabric_domain_hosts(self) -> Mapping[str, int]:
        """Return the number of known engine hosts by fabric domain."""

    def apply_text(self, command: ApplyText, deadline_s: float) -> ApplyTextResult:
        """Commit a validated text."""

    def drain_host(self, request: DrainRequest, deadline_s: float) -> OperatorResult:
        """Commit whether a host is drained, that is, gets no new work."""

    def set_evacuation(
        self, command: SetEvacuation, deadline_s: float
    ) -> EvacuationResult:
        """Begin or finish an evacuation; a repeated order is acknowledged again."""

    def evacuated_data_centres(self) -> list[str]:
        """Return the evacuated data centres, as far as applied in this control."""

    def change_voter(self, change: VoterChange, deadline_s: float) -> OperatorResult:
        """Add or remove a voter; a repeated request also returns ``done``."""

    def status(self, deadline_s: float) -> Status:
        """Return the status of the system; ``confirmed`` if a quorum confirmed it."""

    def dump(self) -> dict[str, Any]:
        """Return the state of this process, without secrets."""
