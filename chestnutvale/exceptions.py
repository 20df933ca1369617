"""Root of the project's error tree."""

from typing import ClassVar


class ChestnutError(Exception):
    """An error that says at which step and from which peer it arose.

    Parameters
    ----------
    message : str
        What went wrong, in a sentence that an operator can act on.
    step : str, optional
        The step that failed, for example ``"settings"`` or ``"claim"``.
    peer : str, optional
        Identity or address of the other side; empty if there is none.

    Attributes
    ----------
    code : str
        Stable code of the class of error.
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
