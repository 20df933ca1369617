"""Program that stops a disk writer whose write does not finish."""

import eventlet
from eventlet import patcher

from chestnutvale.consensus.disk_writer import DiskWriter
from chestnutvale.consensus.events import PersistLog
from chestnutvale.emulator.runtime import setup_eventlet


class HangingStorage:
    """Data folder whose writes never finish."""

    def write(self, hard_state, entries):
        patcher.original("threading").Event().wait()


def main() -> None:
    setup_eventlet()
    writer = DiskWriter(HangingStorage(), lambda event: None, lambda error: None)
    writer.start()
    writer.submit(PersistLog(1, None, []))
    eventlet.sleep(0.1)
    writer.stop()
    print("stopped", flush=True)


if __name__ == "__main__":
    main()
