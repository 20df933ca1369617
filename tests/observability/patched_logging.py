"""Program with patched modules that logs to a pipe that nobody reads."""

import itertools
import os
import time

import eventlet
import logbook

from chestnutvale.observability.nonblocking_handler import (
    LogRateLimiter,
    NonBlockingHandler,
)

LINES = 1_000
LINE_BYTES = 1_000
TIMEOUT_S = 5.0

_LOGGER = logbook.Logger(__name__)


def main() -> None:
    eventlet.monkey_patch()
    switches = itertools.count()
    _, writer = os.pipe()
    logged = 0

    def count_switches():
        while True:
            eventlet.sleep(0)
            next(switches)

    limiter = LogRateLimiter(LINES)
    handler = NonBlockingHandler(writer, time.monotonic, rate_limiter=limiter)
    with handler.applicationbound():
        eventlet.spawn(count_switches)
        with eventlet.Timeout(TIMEOUT_S, False):
            for _ in range(LINES):
                _LOGGER.info("{}", "x" * LINE_BYTES)
                logged += 1
    print(f"{logged} lines, {next(switches)} switches")


if __name__ == "__main__":
    main()
