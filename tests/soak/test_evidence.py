"""Violations come with the lines of all processes that name their requests."""

from chestnutvale.soak.evidence import MAX_LINES, find_log_lines

REQUEST_ID = f"entry-1-{7:024x}"
DETAIL = f"stream c1-2 at entry-1: cut, stream_broken {REQUEST_ID}, runs []"


def make_line(time, request_id=REQUEST_ID):
    return f'{{"time": "{time}", "request": "{request_id}"}}\n'


def test_lines_of_all_processes_are_listed_in_order_of_their_times(tmp_path):
    other = make_line("01", f"entry-1-{8:024x}")
    (tmp_path / "entry-1.out").write_text(make_line("03") + other + make_line("01"))
    (tmp_path / "control-1.log").write_text(make_line("02"))
    lines = find_log_lines(DETAIL, tmp_path)
    assert [line.split(":")[0] for line in lines] == ["entry-1", "control-1", "entry-1"]
    assert ["01" in lines[0], "02" in lines[1], "03" in lines[2]] == [True] * 3


def test_long_logs_are_cut(tmp_path):
    (tmp_path / "entry-1.out").write_text(make_line("01") * (MAX_LINES + 1))
    assert len(find_log_lines(DETAIL, tmp_path)) == MAX_LINES


def test_violation_without_a_request_has_no_lines(tmp_path):
    (tmp_path / "entry-1.out").write_text(make_line("01"))
    assert find_log_lines("entry-1 exited with code 1", tmp_path) == []
