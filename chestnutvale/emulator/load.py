"""Program that offers a seeded open-loop load to the entries and reports on it."""

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
    """Offers a load and collects the result.

    Parameters
    ----------
    plan : LoadPlan
        The load.
    """

    def __init__(self, plan: LoadPlan) -> None:
        self._plan = plan
        self._result = LoadResult()
        self._http = urllib3.PoolManager(
            maxsize=256, retries=False, timeout=REQUEST_TIMEOUT_S
        )

    def run(self) -> LoadResult:
        """Offer the load and wait for the last answer.

        Returns
        -------
        LoadResult
            What became of it.
        """
        started_at_s = time.monotonic()
        pool = eventlet.GreenPool(100_000)
        for request in plan_requests(self._plan):
            due_s = started_at_s + request.at_s
            eventlet.sleep(max(0.0, due_s - time.monotonic()))
            self._result.max_send_delay_s = max(
                self._result.max_send_delay_s, time.monotonic() - due_s
            )
            pool.spawn_n(self._send, request)
        pool.waitall()
        self._result.elapsed_s = time.monotonic() - started_at_s
        return self._result

    def _send(self, request: PlannedRequest) -> None:
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
        self._result.record(request, answer)


def parse_keys(keys: list[str]) -> dict[str, str]:
    """Read ``workspace=key`` arguments.

    Parameters
    ----------
    keys : list of str
        The arguments.

    Returns
    -------
    dict of str to str
        Key of each workspace.

    Raises
    ------
    EmulatorError
        If an argument has another form.
    """
    parsed: dict[str, str] = {}
    for argument in keys:
        workspace, separator, key = argument.partition("=")
        if not (workspace and separator and key):
            raise EmulatorError("a key must be WORKSPACE=KEY", step="arguments")
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
    """Offer a load to entries before emulated engines and report on it.

    Parameters
    ----------
    entries : list[str]
        IP number and port of each entry.
    keys : list[str]
        Workspaces and their keys, each as WORKSPACE=KEY.
    service : str
        The model service.
    rate_per_s : float
        Requests offered each second.
    duration_s : float
        Time for which new requests are offered.
    mean_tokens : int
        Mean length of an answer.
    asked_factor : float
        By how much a caller that hangs up asked for more than it reads.
    urgent_share : float
        Share of urgent requests.
    batch_share : float
        Share of batch requests.
    hang_up_share : float
        Share of callers that hang up in the middle.
    deadline_ms : int
        Deadline that callers state; 0 states none.
    prompt_words : int
        Mean length of a prompt.
    seed : int
        Seed of all random choices.
    format : str
        ``table`` or ``json``.
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
    """Run the console script."""
    defopt.run(run)
