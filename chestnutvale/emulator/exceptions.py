"""Errors of the emulated endpoints."""

from chestnutvale.exceptions import ChestnutError


class EmulatorError(ChestnutError):
    """An emulated endpoint or the deployment around it failed."""

    code = "emulator"


class RefusedError(EmulatorError):
    """A call that the endpoint refuses without running it.

    Parameters
    ----------
    status : int
        HTTP status of the answer.
    code : str
        Stable code of the protocol's error table.
    message : str
        What was wrong.
    fence : int, optional
        Highest fencing number seen, for a stale order.
    """

    def __init__(self, status: int, code: str, message: str, *, fence: int = 0) -> None:
        super().__init__(message, step="endpoint")
        self.status = status
        self.code = code
        self.fence = fence
