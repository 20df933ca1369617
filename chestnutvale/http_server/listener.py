"""Listening socket that goes on accepting after an error."""

import errno
from typing import Any, Final

import eventlet
import logbook

from chestnutvale.http_server.const import ACCEPT_RETRY_INTERVAL_S

_LOGGER = logbook.Logger(__name__)

# The resources may be there again later, or the error is of one connection; see
# accept(2) of Linux.
_TRANSIENT_ERRORS: Final = frozenset(
    {
        errno.ECONNABORTED,
        errno.ECONNRESET,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EPERM,
        errno.EPROTO,
    }
)


class ListeningSocket:
    """Accepts connections, and waits while there are no resources for them.

    `eventlet.wsgi.server` would end at the first error, and with it the service, as
    connections that wait unaccepted are reset. They are kept here until they can be
    accepted.

    Parameters
    ----------
    sock : GreenSocket
        The listening socket.
    address : str
        IP address and port, for the log.
    """

    def __init__(self, sock: Any, address: str) -> None:
        self._sock = sock
        self._address = address
        self._is_failing = False

    def accept(self) -> tuple[Any, Any]:
        """Wait for a connection.

        Returns
        -------
        tuple of (GreenSocket, object)
            The connection and the address of the client.

        Raises
        ------
        OSError
            If the socket was closed or is no listening socket.
        """
        while True:
            try:
                accepted = self._sock.accept()
            except OSError as error:
                if error.errno not in _TRANSIENT_ERRORS:
                    raise
                self._log_failure(error)
                eventlet.sleep(ACCEPT_RETRY_INTERVAL_S)
                continue
            self._is_failing = False
            return accepted

    def _log_failure(self, error: OSError) -> None:
        # Only the first of a series, as further tries follow at once.
        if not self._is_failing:
            _LOGGER.error(
                "accept_failed",
                extra={"address": self._address, "reason": str(error)},
            )
        self._is_failing = True

    def __getattr__(self, name: str) -> Any:
        """Return an attribute of the socket."""
        return getattr(self._sock, name)
