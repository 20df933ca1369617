"""Tests of emulated engine hosts as real processes."""

import json
import time

import pytest
import urllib3

from chestnutvale.emulator.answer_text import expected_text
from chestnutvale.emulator.processes import wait_until

PAUSE_MS = 1_200


def read_events(response, stop_after=None, callback=None):
    """Return the text, the offset after each event and whether [DONE] was received.

    After ``stop_after`` tokens, call ``callback`` once and go on; stop without one.
    """
    buffered = b""
    text, offsets, is_done = "", [], False
    try:
        for data in response.stream(amt=None):
            buffered += data
            while b"\n\n" in buffered:
                event, _, buffered = buffered.partition(b"\n\n")
                lines = dict(line.split(": ", 1) for line in event.decode().split("\n"))
                if lines["data"] == "[DONE]":
                    is_done = True
                    continue
                attempt, first, following = lines["id"].rsplit(":", 2)
                assert int(first) == (offsets[-1] if offsets else int(first))
                offsets.append(int(following))
                text += json.loads(lines["data"])["choices"][0]["text"]
            if stop_after is not None and offsets and offsets[-1] >= stop_after:
                if callback is None:
                    break
                callback()
                stop_after = None
    except urllib3.exceptions.HTTPError:
        return text, offsets, False
    return text, offsets, is_done


def fetch_history(cluster, name):
    url = f"http://{cluster.address(name)}/v1/history"
    return cluster.http.request("GET", url).json()


def test_answer_is_complete_and_resumes_by_offset(shared_cluster):
    complete_text = expected_text("hello", 30)
    first = shared_cluster.generate("h1", "hello", 30)
    text, offsets, is_done = read_events(first)
    assert (text, offsets[-1], is_done) == (complete_text, 30, True)
    rest = shared_cluster.generate(
        "h1", "hello", 30, resume_offset=10, resume_text=expected_text("hello", 10)
    )
    text, offsets, is_done = read_events(rest)
    assert expected_text("hello", 10) + text == complete_text
    assert is_done
    wrong = shared_cluster.generate(
        "h1", "hello", 30, resume_offset=10, resume_text="other"
    )
    assert (wrong.status, wrong.json()["code"]) == (400, "resume_mismatch")


@pytest.mark.parametrize(
    ("head", "changes", "status", "code"),
    [
        ("h1", {"epoch": 99}, 409, "wrong_epoch"),
        ("h2", {}, 409, "wrong_epoch"),
        ("h1", {"prompt": 7}, 400, "bad_request"),
        ("h1", {"max_tokens": "many"}, 400, "bad_request"),
        ("h1", {"adapter": "none"}, 400, "bad_request"),
        ("h1", {"max_tokens": 10**9}, 429, "overloaded"),
    ],
)
def test_refused_request_has_not_run(shared_cluster, head, changes, status, code):
    changes = {"prompt": "x", "max_tokens": 5, **changes}
    before = fetch_history(shared_cluster, head)
    answer = shared_cluster.generate(head, **changes)
    assert (answer.status, answer.json()["code"]) == (status, code)
    assert fetch_history(shared_cluster, head) == before


@pytest.mark.parametrize("method", ["close", "call"])
def test_cancelled_work_stops(shared_cluster, method):
    response = shared_cluster.generate("h1", "long", 10_000)
    read_events(response, stop_after=3)
    if method == "close":
        response.close()
    else:
        address = shared_cluster.address("h1")
        answer = shared_cluster.post(address, "/v1/cancel", {"attempt_id": "a"})
        assert answer.json() == {"cancelled": True}
    wait_until(
        lambda: fetch_history(shared_cluster, "h1")["running"] == 0,
        20,
        "the cancellation",
    )


def test_killed_member_breaks_the_stream_and_the_group_refuses(cluster):
    cluster.start_host("h1")
    member = cluster.start_host("h2")
    cluster.assign_group(["h1", "h2"])
    response = cluster.generate("h1", "hello", 10_000)
    text, offsets, is_done = read_events(response, 3, member.kill)
    assert not is_done
    assert expected_text("hello", 10_000).startswith(text)
    assert 10_000 not in offsets
    refused = cluster.generate("h1", "hello", 10)
    assert (refused.status, refused.json()["code"]) == (503, "member_missing")
    # The restarted member has a new boot identifier, so the group does not accept it.
    member.start()
    member.wait_ready()
    assert cluster.generate("h1", "hello", 10).status == 503


def test_marked_request_crashes_the_engine(cluster):
    head = cluster.start_host("h1")
    cluster.assign_group(["h1"])
    with pytest.raises(urllib3.exceptions.HTTPError):
        cluster.generate("h1", "please crash-me", 10).read()
    assert head.wait_for_exit() == 70


def test_faults_and_leaving_affect_announcements(cluster):
    cluster.start_host("h", "--hosts", "2", "--cache-lag-ms", "0")
    wait_until(
        lambda: {"h-1", "h-2"} <= set(cluster.announcements),
        20,
        "announcements of both hosts",
    )
    addresses = cluster.hosts["h"].description["hosts"]
    cluster.post(addresses["h-1"], "/fault", {"kind": "leave"})
    wait_until(lambda: cluster.last_announcement("h-1").get("leaving"), 20, "leaving")
    cluster.post(addresses["h-2"], "/fault", {"kind": "cut"})
    first = cluster.last_announcement("h-1")["sequence"]
    sequence_at_cut = cluster.last_announcement("h-2")["sequence"]
    later = int(first) + 5
    wait_until(
        lambda: int(cluster.last_announcement("h-1")["sequence"]) > later,
        20,
        "more announcements",
    )
    # One announcement may have been in flight when the fault was injected.
    assert int(cluster.last_announcement("h-2")["sequence"]) <= int(sequence_at_cut) + 1
    bad = cluster.post(addresses["h-1"], "/fault", {"kind": "dance"})
    assert bad.status == 400


def test_plain_service_counts_runs_by_key(cluster):
    arguments = ["--host-id", "p1", "--entries", cluster.entry, "--service", "ledger"]
    plain = cluster.start("plain", "chestnut-emulated-service", *arguments)
    address = plain.description["address"]
    for _ in range(2):
        headers = {"Idempotency-Key": "k1"}
        answer = cluster.post(address, "/postings", {}, headers=headers)
        assert answer.status == 201
    lost = {"note": "drop-answer"}
    with pytest.raises(urllib3.exceptions.HTTPError):
        cluster.post(address, "/postings", lost, headers={"Idempotency-Key": "k2"})
    runs = cluster.http.request("GET", f"http://{address}/runs").json()["runs"]
    assert runs == {"k1": 2, "k2": 1}
    wait_until(
        lambda: cluster.last_announcement("p1").get("service") == "ledger",
        20,
        "the announcement of p1",
    )


# Guards against a head that takes its paused members, or itself, for lost.
def test_timed_pause_of_a_group_breaks_no_stream(cluster):
    for name in ("h1", "h2"):
        cluster.start_host(name)
    cluster.assign_group(["h1", "h2"])
    paused_at_s = []

    def pause_group():
        paused_at_s.append(time.monotonic())
        for name in ("h1", "h2"):
            fault = {"kind": "pause", "for_ms": PAUSE_MS}
            assert cluster.post(cluster.address(name), "/fault", fault).status == 200

    response = cluster.generate("h1", "hello", 100)
    text, _, is_done = read_events(response, 3, pause_group)
    assert time.monotonic() - paused_at_s[0] >= PAUSE_MS / 1e3
    assert is_done
    assert text == expected_text("hello", 100)
    (attempt,) = fetch_history(cluster, "h1")["attempts"]
    assert (attempt["prompt_start"], attempt["outcome"]) == ("hello", "finished")


@pytest.mark.parametrize("for_ms", [0, -1, "long", 1.5])
def test_pause_of_no_valid_length_is_refused(shared_cluster, for_ms):
    fault = {"kind": "pause", "for_ms": for_ms}
    answer = shared_cluster.post(shared_cluster.address("h1"), "/fault", fault)
    assert (answer.status, answer.json()["code"]) == (400, "bad_request")
