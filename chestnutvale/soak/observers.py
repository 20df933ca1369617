"""Observers beside the callers: keys in force, and standstills of the runner."""

import threading
import time

import urllib3

from chestnutvale.emulator.deployment import Deployment
from chestnutvale.soak.const import STANDSTILL_S, STATUS_UNAUTHORIZED
from chestnutvale.soak.records import KeyReading, SoakRecords
from chestnutvale.soak.text import make_probe_key

UNKNOWN_SERVICE_PATH = "/services/none/"
STATUS_NOT_FOUND = 404
PROBE_TIMEOUT_S = 2.0
PROBE_INTERVAL_S = 0.25
ASKED_TEXTS = 10
ROUNDS = 3
SAMPLE_INTERVAL_S = 0.05


class KeyObserver:
    """Asks an entry for the keys of the newest texts, of which each has its own."""

    def __init__(
        self,
        deployment: Deployment,
        entry: str,
        submitted: list[int],
        records: SoakRecords,
    ) -> None:
        self._entry = entry
        self._process = deployment.entries[entry]
        self._url = f"http://{deployment.addresses[entry]}{UNKNOWN_SERVICE_PATH}"
        self._submitted = submitted
        self._records = records
        self._http = urllib3.PoolManager(
            maxsize=1, retries=False, timeout=PROBE_TIMEOUT_S
        )

    def run(self, stop: threading.Event) -> None:
        """Take readings until stopped."""
        while not stop.wait(PROBE_INTERVAL_S):
            sent_s, process_id = time.monotonic(), self._process.pid
            try:
                number = self._find_number()
            except (urllib3.exceptions.HTTPError, OSError):
                continue
            if number is not None and process_id == self._process.pid:
                reading = KeyReading(self._entry, process_id, sent_s, number)
                self._records.readings.append(reading)

    def _find_number(self) -> int | None:
        """Return the number of the text in force, 0 if unknown, None if not told."""
        # Between two questions a newer text may come into force, so that neither key
        # is accepted. Another round then finds it.
        for _ in range(ROUNDS):
            for number in reversed(self._submitted[-ASKED_TEXTS:]):
                headers = {"Authorization": f"Bearer {make_probe_key(number)}"}
                status = self._http.request("GET", self._url, headers=headers).status
                if status == STATUS_NOT_FOUND:
                    return number
                if status != STATUS_UNAUTHORIZED:
                    return None
        return 0


class StandstillObserver:
    """Lists when this process stood still: end, after its start, and length in s."""

    def __init__(self) -> None:
        self.standstills: list[tuple[float, float]] = []
        self._started_s = time.monotonic()

    def run(self, stop: threading.Event) -> None:
        """Take samples until stopped."""
        last_s = time.monotonic()
        while not stop.wait(SAMPLE_INTERVAL_S):
            now_s = time.monotonic()
            if now_s - last_s > STANDSTILL_S:
                at_s = now_s - self._started_s
                self.standstills.append((round(at_s, 2), round(now_s - last_s, 2)))
            last_s = now_s
