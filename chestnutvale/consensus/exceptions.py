"""Errors of the replicated log."""

from chestnutvale.exceptions import ChestnutError


class NotLeaderError(ChestnutError):
    """The command was certainly not proposed, or can never be committed.

    Parameters
    ----------
    leader_id : str, optional
        Control that leads as far as this one knows; empty if unknown.
    step : str, optional
        The step that failed.
    """

    code = "not_leader"

    def __init__(self, leader_id: str = "", *, step: str = "") -> None:
        super().__init__("this control does not lead", step=step, peer=leader_id)
        self.leader_id = leader_id


class OutcomeUnknownError(ChestnutError):
    """Nobody can tell yet whether the command will be committed."""

    code = "outcome_unknown"


class MembersChangeError(ChestnutError):
    """A change of members that is refused; nothing was proposed."""

    code = "members_change_refused"


class ConsensusFailedError(ChestnutError):
    """A fault in the program has ended this control's part in the log."""

    code = "consensus_failed"
