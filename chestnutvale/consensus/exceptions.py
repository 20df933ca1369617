"""Errors of the replicated log."""

from chestnutvale.exceptions import ChestnutError


class NotLeaderError(ChestnutError):
    """The command was not proposed, or can never be committed.

    Parameters
    ----------
    leader_id : str, optional
        Id of the control believed to lead; empty if unknown.
    step : str, optional
        The step that failed.
    """

    code = "not_leader"

    def __init__(self, leader_id: str = "", *, step: str = "") -> None:
        super().__init__("this control does not lead", step=step, peer=leader_id)
        self.leader_id = leader_id


class OutcomeUnknownError(ChestnutError):
    """It is not known whether the command will be committed."""

    code = "outcome_unknown"


class MembersChangeError(ChestnutError):
    """A membership change was refused; nothing was proposed."""

    code = "members_change_refused"


class ConsensusFailedError(ChestnutError):
    """A program error stopped this control from participating."""

    code = "consensus_failed"
