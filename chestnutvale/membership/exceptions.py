"""Errors of the membership package."""

from chestnutvale.exceptions import ChestnutError


class AnnouncementRefusedError(ChestnutError):
    """The announcement is malformed or older than one already received.

    Parameters
    ----------
    reason : str
        What is wrong; names the invalid field if there is one.
    peer : str
        Host id from the announcement.
    """

    code = "announcement_refused"

    def __init__(self, reason: str, *, peer: str) -> None:
        super().__init__(reason, step="announce", peer=peer)
        self.reason = reason


class InvalidAnnouncementError(AnnouncementRefusedError):
    """A field of the announcement is missing or out of range."""

    code = "announcement_invalid"


class OldSequenceError(AnnouncementRefusedError):
    """The sequence is not above that of a received announcement of the same boot."""

    code = "announcement_old_sequence"


class OldBootError(AnnouncementRefusedError):
    """The announcement comes from an earlier boot of the host."""

    code = "announcement_old_boot"


class DepartureNotRecordedError(ChestnutError):
    """The departure may be forgotten; the host should send it again."""

    code = "departure_not_recorded"
