"""Exceptions raised by the transport."""

from chestnutvale.exceptions import ChestnutError


class TransportError(ChestnutError):
    """The inbox socket could not be opened."""

    code = "transport_failed"


class MessageDroppedError(ChestnutError):
    """A received message is malformed, addressed to another process or out of date.

    Parameters
    ----------
    reason : str
        One of the ``DROP_*`` constants.
    peer : str, optional
        Sender identity as stated in the message, unverified.
    """

    code = "message_dropped"

    def __init__(self, reason: str, *, peer: str = "") -> None:
        super().__init__(reason, step="receive", peer=peer)
        self.reason = reason
