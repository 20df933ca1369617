"""Calls in background threads, for scripts and tests."""

import threading
from typing import Any

from chestnutvale.emulator.exceptions import EmulatorError

RESULT_TIMEOUT_S = 30.0


class BackgroundCall:
    """A call that runs in a daemon thread and keeps its result.

    The thread starts at once.

    Parameters
    ----------
    action : callable
        Function to call.
    arguments : tuple
        Positional arguments of the call.
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
        """Whether the call has not returned yet."""
        return self._thread.is_alive()

    def result(self, timeout_s: float = RESULT_TIMEOUT_S) -> Any:
        """Wait for the call and return its result.

        An exception that the call raised is raised again here.

        Parameters
        ----------
        timeout_s : float, optional
            Maximum wait in seconds.

        Returns
        -------
        object
            What the call returned.

        Raises
        ------
        EmulatorError
            If the call does not return within the timeout.
        """
        self._thread.join(timeout_s)
        if self._thread.is_alive():
            raise EmulatorError(
                f"background call did not return within {timeout_s} s",
                step="background",
            )
        if self._error is not None:
            raise self._error
        return self._result
