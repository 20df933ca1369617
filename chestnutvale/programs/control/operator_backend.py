"""What the operators' HTTP interface asks of a control."""

from collections.abc import Mapping
from typing import Any, Protocol

from chestnutvale.schema.configuration_pb2 import (
    ApplyText,
    ApplyTextResult,
    ConfigurationSnapshot,
)
from chestnutvale.schema.operator_pb2 import (
    DrainRequest,
    OperatorResult,
    Status,
    VoterChange,
)


class OperatorBackend(Protocol):
    """A control as operators see it.

    Each method blocks the calling task until its deadline at most, in monotonic
    seconds. One that can't answer raises a `ChestnutError` whose ``code`` is

    - ``not_leader``: nothing was proposed; the caller is sent to the leader;
    - ``members_change_refused``: a change of voters was refused and not proposed;
    - anything else: it may have been proposed and may still be committed.
    """

    def is_leader(self) -> bool:
        """Return whether this control leads now."""

    def leader_http_address(self) -> str:
        """Return the leader's IP number and HTTP port; empty if unknown."""

    def read_configuration(self, deadline_s: float) -> ConfigurationSnapshot:
        """Return what is in force, confirmed by a quorum."""

    def is_accepted(self, number: int, digest: str) -> bool:
        """Return whether this very text was accepted under this number."""

    def fabric_domain_hosts(self) -> Mapping[str, int]:
        """Return the count of hosts known in each fabric domain."""

    def apply_text(self, command: ApplyText, deadline_s: float) -> ApplyTextResult:
        """Commit a text that was checked."""

    def drain_host(self, request: DrainRequest, deadline_s: float) -> OperatorResult:
        """Commit that a host gets no new work, or that it may get work again."""

    def change_voter(self, change: VoterChange, deadline_s: float) -> OperatorResult:
        """Add or remove a voter; done again, it answers ``done`` again."""

    def status(self, deadline_s: float) -> Status:
        """Return the status of the system, and whether a quorum confirmed it."""

    def dump(self) -> dict[str, Any]:
        """Return the state of this process, without secrets."""
