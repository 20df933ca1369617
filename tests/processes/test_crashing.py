"""A request that crashes engines must be refused after it crashed two groups.

Otherwise a client that repeats it at all entries would crash one group after another.
"""

from chestnutvale.emulator.answer_text import expected_text
from chestnutvale.emulator.const import CRASH_MARKER
from chestnutvale.emulator.deployment import MODEL_SERVICE
from tests.processes.conftest import GROUP_COUNT

ENTRIES = ("entry-1", "entry-2", "entry-3")


def count_crashed_hosts(deployment):
    return sum(not p.is_running for p in deployment.engines.values())


def stream_answer(deployment, entry, prompt):
    return deployment.make_caller(entry).generate(MODEL_SERVICE, prompt, 20)


def test_request_that_crashes_two_groups_is_refused_at_all_entries(deployment):
    prompt = f"please {CRASH_MARKER}"
    for entry in (*ENTRIES, *ENTRIES):
        answer = stream_answer(deployment, entry, prompt)
        assert answer.problem["code"] == "crashing_request", answer
        assert answer.outcome == "failed"
        assert answer.problem["retry_after_s"] > 60
    assert count_crashed_hosts(deployment) == GROUP_COUNT
    for process in deployment.engines.values():
        if not process.is_running:
            process.start()
            process.wait_ready()
    deployment.wait_until_groups_serve(GROUP_COUNT)
    deployment.wait_until_entry_serves("entry-1")
    assert (
        stream_answer(deployment, "entry-1", prompt).problem["code"]
        == "crashing_request"
    )
    assert stream_answer(deployment, "entry-1", "hello").text == expected_text(
        "hello", 20
    )
    assert count_crashed_hosts(deployment) == 0
