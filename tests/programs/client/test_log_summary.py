"""Tests of the summary of logs."""

import json

from chestnutvale.programs.client.log_summary import summarize


def make_line(at_s, event, **fields):
    time = f"2026-01-01T00:00:{at_s:09.6f}Z"
    return "entry-1 " + json.dumps({"time": time, "message": event, **fields})


def make_call(name, at_s, *, waited_s=0.0, first_ms=50.0, attempts=1):
    yield make_line(
        at_s,
        "call_accepted",
        request=name,
        kind="streaming",
        service="llm",
        patience_ms=200,
    )
    yield make_line(at_s + waited_s, "admitted", request=name)
    for _ in range(attempts):
        yield make_line(
            at_s + waited_s,
            "group_chosen",
            request=name,
            group="g1",
            running_here=1,
            running_elsewhere=4,
        )
        yield make_line(
            at_s + waited_s + 0.5, "attempt_ended", request=name, first_byte_ms=first_ms
        )


def test_calls_are_counted_by_what_made_them_late():
    """A queue inside the engines looks like a slow engine."""
    lines = [
        *make_call("a", 1.0),
        *make_call("b", 1.1, first_ms=400.0),
        *make_call("c", 1.2, waited_s=0.19),
        *make_call("d", 1.3, attempts=2),
        make_line(1.4, "call_accepted", request="e", kind="streaming", service="llm"),
        make_line(1.4, "refused", request="e"),
        make_line(1.5, "call_accepted", request="f", kind="streaming", service="llm"),
        "not a line of ours",
    ]
    summary = summarize(lines, 2.0)
    (calls,) = summary.calls.values()
    assert [call.result for call in calls] == [
        "in time",
        "late in engine",
        "late at entry",
        "several attempts",
        "refused",
        "failed",
    ]
    assert summary.unparsed_count == 1
    assert {call.running_at_send for call in calls if call.attempts} == {5}


def test_answers_that_ended_early_are_counted_by_who_ended_them():
    lines = [
        *make_call("a", 1.0),
        make_line(1.5, "answer_ended_early", ended_by="caller", reason="caller_gone"),
        make_line(3.5, "answer_ended_early", ended_by="server", reason="stop"),
        make_line(3.6, "answer_ended_early", ended_by="server", reason="stop"),
    ]
    summary = summarize(lines, 2.0)
    assert summary.ends == {
        (0, "caller", "caller_gone"): 1,
        (1, "server", "stop"): 2,
    }
    assert any("caller_gone" in text for text in summary.render())


def test_hosts_are_counted_by_state():
    hosts = [
        make_line(1.0, "host", host=f"h{number}", domain="d", staged=["llm"])
        for number in range(4)
    ]
    group = {"command": "put_group", "group": "g", "domain": "d", "outcome": "done"}
    lines = [
        *hosts,
        make_line(1.1, "host", host="h4", domain="d", staged=[]),
        make_line(1.2, "group_command", **group, phase="serving", members=["h0", "h1"]),
        make_line(1.3, "order", host="h4", kind="stage", outcome="accepted"),
        *make_call("a", 1.5),
        make_line(4.0, "group_command", **(group | {"command": "remove_group"})),
        *make_call("b", 6.0),
    ]
    summary = summarize(lines, 2.0)
    counts = [
        (at_s, counts["groups"], counts["serving"], counts["staging"], counts["free"])
        for at_s, counts in summary.hosts
    ]
    assert counts == [(0.0, 1, 2, 1, 2), (2.0, 1, 2, 1, 2), (4.0, 0, 0, 1, 4)]


def test_logs_without_calls_give_no_tables():
    assert list(summarize([make_line(1.0, "host", host="h")], 2.0).render())
