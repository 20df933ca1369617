"""Start-up, readiness line and shutdown shared by the emulator's programs."""

import json
import signal
import sys
from types import FrameType
from typing import Any

import eventlet
import logbook
from eventlet.event import Event

LOG_FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f}Z {record.level_name} "
    "{record.channel}: {record.message}"
)


def setup_eventlet() -> None:
    """Patch the standard library for eventlet and set up logging to standard error."""
    eventlet.monkey_patch()
    handler = logbook.StreamHandler(sys.stderr, level="INFO")
    handler.format_string = LOG_FORMAT
    handler.push_application()


def run_until_stopped(description: dict[str, Any]) -> None:
    """Print a line of JSON when the program is ready, then wait for SIGTERM or SIGINT.

    Parameters
    ----------
    description : dict
        Content of the line, for example the address that is listened on.
    """
    stop = Event()

    def request_stop(number: int, frame: FrameType | None) -> None:
        # The handler can interrupt any green thread between two instructions, so the
        # event is sent from a new green thread of the hub.
        eventlet.spawn_n(lambda: stop.ready() or stop.send())

    signal.signal(signal.SIGTERM, request_stop)
    signal.signal(signal.SIGINT, request_stop)
    print(json.dumps(description), flush=True)
    stop.wait()
