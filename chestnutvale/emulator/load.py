"""Program that sends a seeded open-loop load to the entries and reports the results."""

import json
import time

import defopt
import eventlet
import urllib3

from chestnutvale.emulator.caller import Answer, Caller
from chestnutvale.emulator.exceptions import EmulatorError
from chestnutvale.emulator.load_plan import LoadPlan, PlannedRequest, plan_requests
from chestnutvale.emulator.load_result import LoadResult, format_table
from chestnutvale.emulator.runtime import setup_eventlet

REQUEST_TIMEOUT_S = 120.0


class LoadRunner:
    """Sends the requests of a load and collects the results.

    Parameters
    ----------
    plan : LoadPlan
        The load to send.
    """

    def __init__(self, plan: LoadPlan) -> None:
        self._plan = plan
        self._result = LoadResult()
        self._http = urllib3.PoolManager(
            maxsize=256, retries=False, timeout=REQUEST_TIMEOUT_S
        )

    def run(self) -> LoadResult:
        """Send the load and wait for the last answer.

        Returns
        -------
        LoadResult
            Outcomes and timing of all requests.
        """
        started_at_s = time.monotonic()
        pool = eventlet.GreenPool(100_000)
        for request in plan_requests(self._plan):
            due_s = started_at_s + request.at_s
            eventlet.sleep(max(0.0, due_s - time.monotonic()))
            self._result.max_send_delay_s = max(
                self._result.max_send_delay_s, time.monotonic() - due_s
            )
            pool.spawn_n(self._send_request, request)
        pool.waitall()
        self._result.elapsed_s = time.monotonic() - started_at_s
        return self._result

    def _send_request(self, request: PlannedRequest) -> None:
        key = self._plan.keys[request.workspace]
        headers = {"X-Priority": request.priority}
        if self._plan.deadline_ms:
            headers["X-Deadline-Ms"] = str(self._plan.deadline_ms)

        def wants_more_tokens(answer: Answer) -> bool:
            limit = request.hang_up_after_tokens
            return not limit or len(answer.text.split()) < limit

        caller = Caller(request.entry, key, self._http)
        answer = caller.generate(
            self._plan.service,
            request.prompt,
            request.max_tokens,
            headers=headers,
            on_token=wants_more_tokens,
        )
        self._result.record_answer(request, answer)


def parse_keys(keys: list[str]) -> dict[str, str]:
    """Parse ``WORKSPACE=KEY`` arguments.

    Parameters
    ----------
    keys : list of str
        The arguments.

    Returns
    -------
    dict of str to str
        API key of each workspace.

    Raises
    ------
    EmulatorError
        If an argument does not have this form.
    """
    parsed: dict[str, str] = {}
    for argument in keys:
        workspace, separator, key = argument.partition("=")
        if not (workspace and separator and key):
            raise EmulatorError(
                "every key must be given as WORKSPACE=KEY", step="arguments"
            )
        parsed[workspace] = key
    return parsed


def run(
    *,
    entries: list[str],
    keys: list[str],
    service: str = "chestnut-llm",
    rate_per_s: float = 10.0,
    duration_s: float = 10.0,
    mean_tokens: int = 100,
    asked_factor: float = 4.0,
    urgent_share: float = 0.2,
    batch_share: float = 0.3,
    hang_up_share: float = 0.1,
    deadline_ms: int = 0,
    prompt_words: int = 50,
    seed: int = 1,
    format: str = "table",
) -> None:
    """Send a load to entries in front of emulated engines and report the results.

    Parameters
    ----------
    entries : list[str]
        IP address and port of each entry.
    keys : list[str]
        API key of each workspace, as WORKSPACE=KEY.
    service : str
        Name of the model service.
    rate_per_s : float
        Mean number of requests sent per second, whatever becomes of earlier ones.
    duration_s : float
        Time in seconds during which new requests are sent.
    mean_tokens : int
        Mean length in tokens of the part of an answer that is read.
    asked_factor : float
        Factor by which a caller that disconnects early requests more tokens than
        it reads.
    urgent_share : float
        Share of requests with priority urgent, from 0 to 1.
    batch_share : float
        Share of requests with priority batch, from 0 to 1.
    hang_up_share : float
        Share of callers that disconnect before the end of the answer, from 0 to 1.
    deadline_ms : int
        Deadline in milliseconds that requests state; 0 for none.
    prompt_words : int
        Mean length of a prompt in words.
    seed : int
        Seed of the random choices.
    format : str
        Format of the report: ``table`` or ``json``.
    """
    setup_eventlet()
    plan = LoadPlan(
        entries=entries,
        keys=parse_keys(keys),
        service=service,
        rate_per_s=rate_per_s,
        duration_s=duration_s,
        mean_tokens=mean_tokens,
        asked_factor=asked_factor,
        urgent_share=urgent_share,
        batch_share=batch_share,
        hang_up_share=hang_up_share,
        deadline_ms=deadline_ms,
        prompt_words=prompt_words,
        seed=seed,
    )
    data = LoadRunner(plan).run().to_dict()
    print(json.dumps(data, indent=2) if format == "json" else format_table(data))


def main() -> None:
    """Parse the command line and send the load."""
    defopt.run(run)
