"""Errors of the membership package."""

from chestnutvale.exceptions import ChestnutError


class AnnouncementRefusedError(ChestnutError):
    """An announcement that is malformed or older than what is known.

    Parameters
    ----------
    reason : str
        What is wrong, with the name of the field where one is to blame.
    peer : str
        Identity of the host as the announcement gives it.
    """

    code = "announcement_refused"

    def __init__(self, reason: str, *, peer: str) -> None:
        super().__init__(reason, step="announce", peer=peer)
        self.reason = reason


class InvalidAnnouncementError(AnnouncementRefusedError):
    """A field of the announcement is missing or out of its range."""

    code = "announcement_invalid"


class OldSequenceError(AnnouncementRefusedError):
    """The announcement is not newer than one already known of this boot."""

    code = "announcement_old_sequence"


class OldBootError(AnnouncementRefusedError):
    """The announcement comes from an earlier boot of the host."""

    code = "announcement_old_boot"
