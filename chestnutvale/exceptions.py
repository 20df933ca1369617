"""Base class of all errors of the project."""

from typing import ClassVar


class ChestnutError(Exception):
    """Base error; records the step that failed and the peer involved.

    Parameters
    ----------
    message : str
        What went wrong, worded so that an operator can act on it.
    step : str, optional
        The step that failed, for example ``"settings"`` or ``"claim"``.
    peer : str, optional
        Identity or address of the remote process; empty if there is none.

    Attributes
    ----------
    code : str
        Stable, machine-readable code of the error class.
    """

    code: ClassVar[str] = "internal"

    def __init__(self, message: str, *, step: str = "", peer: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        """Return code, message, step and peer on one line."""
        location = f" at {self.step}" if self.step else ""
        peer = f" (peer {self.peer})" if self.peer else ""
        return f"{self.code}: {self.message}{location}{peer}"
