"""Errors of the transport."""

from chestnutvale.exceptions import ChestnutError


class TransportError(ChestnutError):
    """A socket that can't be opened."""

    code = "transport_failed"


class MessageDroppedError(ChestnutError):
    """A received message that is not for this process or not valid any more.

    Parameters
    ----------
    reason : str
        One of the ``DROP_*`` constants.
    peer : str, optional
        Identity of the sender as the message gives it.
    """

    code = "message_dropped"

    def __init__(self, reason: str, *, peer: str = "") -> None:
        super().__init__(reason, step="receive", peer=peer)
        self.reason = reason
