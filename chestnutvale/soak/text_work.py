"""Applies the texts of a plan, in turn or raced, and those that must change nothing."""

import json
import math
import threading
import time
from typing import Final

import logbook

from chestnutvale.emulator.deployment import Deployment
from chestnutvale.emulator.deployment_settings import OPERATOR_TOKEN
from chestnutvale.emulator.exceptions import EmulatorError
from chestnutvale.programs.client.const import ExitCode
from chestnutvale.programs.control.operator_const import PATH_TEXT
from chestnutvale.soak.plan import ApplyFaultyText, ApplyTexts, ResendText
from chestnutvale.soak.records import SoakRecords, TextRecord, TextReply
from chestnutvale.soak.text import (
    Document,
    Sizes,
    TextChange,
    list_known_workspaces,
    make_faulty_text,
    make_text,
)

_LOGGER = logbook.Logger(__name__)

MAX_APPLY_ATTEMPTS = 5
APPLY_TIMEOUT_S = 10.0
# Statuses by which a control says for certain that it refuses a text.
REFUSAL_STATUSES: Final = frozenset({400, 409, 422})


class TextWork:
    """Applies texts as operators do.

    Attributes
    ----------
    submitted : list of int
        Numbers of all texts that were sent and are valid.
    """

    def __init__(
        self, deployment: Deployment, sizes: Sizes, records: SoakRecords
    ) -> None:
        self.submitted: list[int] = []
        self._deployment = deployment
        self._sizes = sizes
        self._records = records
        self._lock = threading.Lock()

    def apply_text(self, change: TextChange) -> None:
        """Apply the next text.

        Raises
        ------
        EmulatorError
            If it is not accepted in several attempts.
        """
        with self._lock:
            self._apply(self._make_next(change))

    def apply_texts(self, action: ApplyTexts) -> None:
        """Apply texts one after another, or at the same time."""
        if action.is_race:
            self._race(action.changes)
            return
        for index, change in enumerate(action.changes):
            if index:
                time.sleep(action.gap_s)
            self.apply_text(change)

    def resend(self, action: ResendText) -> None:
        """Apply a text again that was accepted before."""
        with self._lock:
            accepted = [t.number for t in self._records.texts if t.is_accepted]
            number = accepted[action.index % len(accepted)]
            path = self._deployment.folder / f"text-{number}.json"
            code = self._deployment.run_client("apply", str(path)).returncode
        if code in (ExitCode.DONE, ExitCode.CONFLICT):
            name = f"text {number}, accepted before,"
            reply = TextReply(name, code == ExitCode.DONE, is_due=True)
            self._records.text_replies.append(reply)

    def apply_faulty_text(self, action: ApplyFaultyText) -> None:
        """Send the leader a faulty text; the client would not send it."""
        with self._lock:
            number = len(self.submitted) + 1
            document = make_text(number, self._sizes, action.change)
            raw = make_faulty_text(document, action.fault)
            leader = self._deployment.wait_for_leader()
            answer = self._deployment.http.request(
                "POST",
                f"http://{self._deployment.addresses[leader]}{PATH_TEXT}",
                body=raw.encode(),
                headers={"Authorization": f"Bearer {OPERATOR_TOKEN}"},
                timeout=APPLY_TIMEOUT_S,
            )
        if answer.status == 200 or answer.status in REFUSAL_STATUSES:
            name = f"a text with the fault {action.fault!r}"
            reply = TextReply(name, answer.status == 200, is_due=False)
            self._records.text_replies.append(reply)

    def _race(self, changes: tuple[TextChange, ...]) -> None:
        """Apply texts at the same time; an older one may come too late."""
        with self._lock:
            documents = [self._make_next(change) for change in changes]
            threads = [
                threading.Thread(target=self._apply, args=(d, True), daemon=True)
                for d in documents[:-1]
            ]
            for thread in threads:
                thread.start()
            self._apply(documents[-1])
            for thread in threads:
                thread.join()

    def _make_next(self, change: TextChange) -> Document:
        number = len(self.submitted) + 1
        document = make_text(number, self._sizes, change)
        path = self._deployment.folder / f"text-{number}.json"
        path.write_text(json.dumps(document))
        self.submitted.append(number)
        _LOGGER.info("Applying text {} with {}", number, ", ".join(change.kinds))
        return document

    def _apply(self, document: Document, may_conflict: bool = False) -> None:
        number, submitted_s = document["number"], time.monotonic()
        path = self._deployment.folder / f"text-{number}.json"
        accepted_s = math.inf
        for _ in range(MAX_APPLY_ATTEMPTS):
            run = self._deployment.run_client("apply", str(path))
            if run.returncode == ExitCode.DONE:
                accepted_s = time.monotonic()
                break
            if may_conflict and run.returncode == ExitCode.CONFLICT:
                return
        self._records.texts.append(
            TextRecord(
                number,
                accepted_s,
                submitted_s,
                frozenset(document["services"]),
                list_known_workspaces(document),
            )
        )
        if math.isinf(accepted_s):
            raise EmulatorError(
                f"text {number} was not accepted: {run.stdout}{run.stderr}",
                step="apply",
            )
