"""Tracing a request through the logs of several processes."""

import json

from chestnutvale.programs.client.const import ExitCode
from chestnutvale.programs.client.explain import trace_request
from chestnutvale.programs.client.main import run


def make_log_line(time, message, source="", **fields):
    body = json.dumps({"time": time, "level": "info", "message": message, **fields})
    return f"  1.25 {source} {body}" if source else body


LOGS = [
    make_log_line(
        "10:05", "attempt_ended", "entry-2", request="r1", group="g1", result="broken"
    ),
    make_log_line("10:01", "call_accepted", "entry-2", request="r1", route="r-7"),
    make_log_line(
        "10:02", "group_chosen", "entry-2", request="r1", group="g1", stalled=[]
    ),
    make_log_line(
        "10:03", "group_view", "control-1", group="g1", serving=False, reason="gone"
    ),
    make_log_line("10:00", "group_view", "control-1", group="g1", serving=True),
    make_log_line("09:00", "group_view", "control-1", group="g1", serving=False),
    make_log_line("10:03", "group_view", "control-1", group="g9", serving=False),
    make_log_line("10:03", "member_lost", "control-1", group="g1", cause="unknown"),
    make_log_line("10:04", "stalled_groups", "control-1", groups=["g1", "g2"]),
    make_log_line("10:06", "call_failed", "entry-2", request="r1", outcome="unknown"),
    make_log_line("10:02", "call_accepted", "entry-1", request="r2"),
]


def list_events(trace):
    return [(item.time, item.event) for item in trace.lines]


def test_trace_is_ordered_and_includes_group_events():
    assert list_events(trace_request(LOGS, "r1")) == [
        ("10:00", "group_view"),
        ("10:01", "call_accepted"),
        ("10:02", "group_chosen"),
        ("10:03", "group_view"),
        ("10:03", "member_lost"),
        ("10:04", "stalled_groups"),
        ("10:05", "attempt_ended"),
        ("10:06", "call_failed"),
    ]


def test_rendered_lines_contain_source_and_fields():
    rendered = list(trace_request(LOGS, "r1").render())
    assert "entry-2" in rendered[1]
    assert "route=r-7" in rendered[1]
    assert "reason=gone" in rendered[3]


def test_unparsable_lines_are_counted_and_skipped():
    unparsable = ["Traceback (most recent call last):", "{", LOGS[1][:40], "[1]", "\n"]
    trace = trace_request([*unparsable, *LOGS], "r1")
    assert trace.unparsed_count == 4
    assert len(trace.lines) == 8


def test_explain_command_reads_files(tmp_path, capsys):
    file = tmp_path / "all.log"
    file.write_text("\n".join(LOGS))
    assert run(["explain", "r1", str(file)]) == ExitCode.DONE
    assert "call_failed" in capsys.readouterr().out


def test_an_unknown_request_and_a_missing_file_are_errors(tmp_path, capsys):
    file = tmp_path / "all.log"
    file.write_text("\n".join(LOGS))
    assert run(["explain", "r7", str(file)]) != ExitCode.DONE
    assert "r7" in capsys.readouterr().err
    assert run(["explain", "r1", str(tmp_path / "none")]) != ExitCode.DONE
