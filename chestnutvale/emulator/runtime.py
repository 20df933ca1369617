"""What the emulator's programs share: start, readiness line and stop."""

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
    """Make the standard library's sockets and clocks cooperate with eventlet."""
    eventlet.monkey_patch()
    handler = logbook.StreamHandler(sys.stderr, level="INFO")
    handler.format_string = LOG_FORMAT
    handler.push_application()


def run_until_stopped(description: dict[str, Any]) -> None:
    """Print one JSON line that says the program is ready, and wait for a stop.

    Parameters
    ----------
    description : dict
        What the line holds, for example the address in use.
    """
    stop = Event()

    def request_stop(number: int, frame: FrameType | None) -> None:
        # The handler runs between two instructions of any task, so the event is
        # sent from a task of the hub.
        eventlet.spawn_n(lambda: stop.ready() or stop.send())

    signal.signal(signal.SIGTERM, request_stop)
    signal.signal(signal.SIGINT, request_stop)
    print(json.dumps(description), flush=True)
    stop.wait()
