"""An action in a thread of its own, for scripts and tests."""

import threading
from typing import Any

from chestnutvale.emulator.exceptions import EmulatorError

RESULT_TIMEOUT_S = 30.0


class BackgroundCall:
    """An action in a thread of its own, with its result.

    Parameters
    ----------
    action : callable
        The action.
    arguments : tuple
        Its arguments.
    """

    def __init__(self, action: Any, arguments: tuple[Any, ...]) -> None:
        self._result: Any = None
        self._error: BaseException | None = None
        self._thread = threading.Thread(
            target=self._run, args=(action, arguments), daemon=True
        )
        self._thread.start()

    def _run(self, action: Any, arguments: tuple[Any, ...]) -> None:
        try:
            self._result = action(*arguments)
        except BaseException as error:  # noqa: BLE001
            self._error = error

    @property
    def is_running(self) -> bool:
        """Whether the action has not ended."""
        return self._thread.is_alive()

    def result(self, timeout_s: float = RESULT_TIMEOUT_S) -> Any:
        """Wait for the action and return its result.

        Raises
        ------
        EmulatorError
            If it does not end in time.
        """
        self._thread.join(timeout_s)
        if self._thread.is_alive():
            raise EmulatorError(f"not within {timeout_s} s", step="background")
        if self._error is not None:
            raise self._error
        return self._result
