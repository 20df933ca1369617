"""Errors of the emulated endpoints."""

from chestnutvale.exceptions import ChestnutError


class EmulatorError(ChestnutError):
    """An emulated endpoint, its deployment or a tool of the emulator failed."""

    code = "emulator"


class RefusedError(EmulatorError):
    """An endpoint refused a call without executing it.

    Parameters
    ----------
    status : int
        HTTP status of the answer.
    code : str
        Stable error code of the endpoint protocol.
    message : str
        Reason of the refusal.
    fence : int, optional
        Highest fencing token seen, if an order was refused as stale; else 0.
    """

    def __init__(self, status: int, code: str, message: str, *, fence: int = 0) -> None:
        super().__init__(message, step="endpoint")
        self.status = status
        self.code = code
        self.fence = fence
