"""HTTP handler for the announcements of endpoints."""

import json
from collections.abc import Callable, Iterable
from typing import Any

from google.protobuf import json_format

from chestnutvale.clock import Clock
from chestnutvale.exceptions import ChestnutError
from chestnutvale.http_server.const import OUTCOME_NOT_RUN
from chestnutvale.http_server.problem import Problem
from chestnutvale.membership.announcement_collector import AnnouncementCollector
from chestnutvale.membership.cache_events import CacheEventQueue
from chestnutvale.membership.exceptions import AnnouncementRefusedError
from chestnutvale.schema.membership_pb2 import Announcement

MAX_ANNOUNCEMENT_BYTES = 64 * 1024
STATUS_OK = "200 OK"
STATUS_BAD_REQUEST = 400
STATUS_TOO_LARGE = 413
STEP_ANNOUNCEMENT = "announcement"


class AnnouncementHandler:
    """WSGI application for announcements.

    Parameters
    ----------
    collector : AnnouncementCollector
        Records the announcements.
    clock : Clock
        Source of time.
    interval_ms : int
        Time in milliseconds until a host should send its next announcement.
    on_urgent : callable
        Called when an announcement must be reported to the controls immediately.
    cache_events : CacheEventQueue
        Receives the cache events that an announcement carries.
    """

    def __init__(
        self,
        collector: AnnouncementCollector,
        clock: Clock,
        interval_ms: int,
        on_urgent: Callable[[], None],
        cache_events: CacheEventQueue,
    ) -> None:
        self._collector = collector
        self._clock = clock
        self._answer = json.dumps({"next_announcement_ms": interval_ms}).encode()
        self._on_urgent = on_urgent
        self._cache_events = cache_events

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Handle one announcement.

        Parameters
        ----------
        environ : dict
            The WSGI environment.
        start_response : callable
            Takes status and headers.

        Returns
        -------
        iterable of bytes
            The body of the answer.
        """
        body = environ["wsgi.input"].read(MAX_ANNOUNCEMENT_BYTES + 1)
        if len(body) > MAX_ANNOUNCEMENT_BYTES:
            return _refuse(
                start_response,
                STATUS_TOO_LARGE,
                "too_large",
                "the announcement exceeds the size limit",
            )
        try:
            announcement = json_format.Parse(body, Announcement())
        except (json_format.ParseError, UnicodeDecodeError) as error:
            return _refuse(
                start_response, STATUS_BAD_REQUEST, "bad_announcement", str(error)
            )
        try:
            accepted = self._collector.announce(announcement, self._clock.now_s())
        except AnnouncementRefusedError as error:
            return _refuse_error(start_response, error)
        self._cache_events.add_announcement(announcement)
        if accepted.urgent:
            self._on_urgent()
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(self._answer))),
        ]
        start_response(STATUS_OK, headers)
        return [self._answer]


def _refuse(
    start_response: Callable[..., Any], status: int, code: str, detail: str
) -> Iterable[bytes]:
    problem = Problem(
        status, code, detail, outcome=OUTCOME_NOT_RUN, step=STEP_ANNOUNCEMENT
    )
    return problem.respond(start_response)


def _refuse_error(
    start_response: Callable[..., Any], error: ChestnutError
) -> Iterable[bytes]:
    problem = Problem(
        STATUS_BAD_REQUEST,
        error.code,
        error.message,
        outcome=OUTCOME_NOT_RUN,
        step=error.step or STEP_ANNOUNCEMENT,
        peer=error.peer,
    )
    return problem.respond(start_response)
