"""Client commands against fake controls: exit codes, leaders, lost responses."""

import json

import eventlet
import pytest
from eventlet import tpool

from chestnutvale.programs.client.control_client import ControlClient, _CommandState
from chestnutvale.programs.client.main import run
from chestnutvale.settings.client import load_client_settings
from chestnutvale.settings.control import load_control_settings
from chestnutvale.settings.entry import load_entry_settings


def test_apply_finds_the_leader(chestnut, text_file, cluster, controls):
    assert chestnut("apply", text_file(1))[0] == 0
    assert cluster.state.number == 1
    assert cluster.state.operator
    code, out, _ = chestnut("apply", text_file(1), "--format", "json")
    assert (code, json.loads(out)["outcome"]) == (0, "resent")


def test_conflict_shows_the_difference(chestnut, text_file):
    assert chestnut("apply", text_file(4))[0] == 0
    code, out, _ = chestnut("apply", text_file(4, groups=3))
    assert code == 3
    assert "groups" in out and "3" in out
    code, out, _ = chestnut("apply", text_file(2), "--format", "json")
    data = json.loads(out)
    assert (code, data["outcome"], data["number_in_force"]) == (3, "conflict", 4)


@pytest.mark.parametrize("command", ["apply", "plan"])
def test_invalid_text_is_rejected_without_any_control(tmp_path, capsys, command):
    path = tmp_path / "text.json"
    path.write_text('{"number": 1,\n "servces": {}}')
    assert run([command, str(path)]) == 2
    assert "line 2: servces: unknown field" in capsys.readouterr().err


def test_text_rejected_by_the_control(chestnut, text_file, cluster):
    cluster.domain_hosts = {"fd-1": 1}
    code, _, err = chestnut("apply", text_file(1))
    assert code == 2
    assert "line 1" in err and "fabric domain" in err
    # A resend gets the outcome of the first send, even if hosts have left since.
    cluster.domain_hosts = {}
    assert chestnut("apply", text_file(1))[0] == 0
    cluster.domain_hosts = {"fd-1": 1}
    assert chestnut("apply", text_file(1))[0] == 0


def test_plan_changes_nothing(chestnut, text_file, cluster):
    chestnut("apply", text_file(1, groups=3))
    code, out, _ = chestnut("plan", text_file(2, groups=1))
    assert code == 0
    assert "2 of 3 groups are released" in out
    code, out, _ = chestnut("plan", text_file(2, groups=1), "--format", "json")
    assert [stop["kind"] for stop in json.loads(out)["stops"]] == ["groups"]
    assert cluster.state.number == 1


@pytest.mark.parametrize("error", ["after:outcome_unknown", "before:outcome_unknown"])
def test_unknown_outcome_is_resolved_by_resending(
    chestnut, text_file, cluster, controls, error
):
    controls[1].backend.errors = [error]
    assert chestnut("apply", text_file(1))[0] == 0
    assert [item.number for item in cluster.state.to_snapshot().accepted] == [1]


def test_lost_response_is_resolved_by_resending(chestnut, text_file, controls):
    controls[1].lost_answers = 2
    code, out, _ = chestnut("apply", text_file(1))
    assert code == 0
    assert "before" in out
    assert controls[1].requests >= 3


def test_later_failures_do_not_hide_the_control_with_unknown_outcome():
    command = _CommandState(is_mutation=True, deadline_s=9.0)
    command.record_failure("cannot connect", "first:1", maybe_run=False)
    command.record_failure("no whole answer", "second:2", maybe_run=True)
    command.record_failure("another control leads", "third:3", maybe_run=False)
    assert (command.maybe_run, command.last_peer) == (True, "second:2")


def test_missing_response_leaves_the_outcome_unknown(
    chestnut, text_file, cluster, controls, write_settings
):
    controls[1].lost_answers = 1_000
    # On a busy machine even the first attempt can take longer than the usual 3 s.
    settings = write_settings(timeout_ms=8_000)
    code, _, err = chestnut("apply", text_file(1), settings=settings)
    assert code == 6
    assert "outcome_unknown" in err and controls[1].address in err
    assert cluster.state.number == 1


def test_rejection_after_a_lost_response_leaves_the_outcome_unknown(
    chestnut, cluster, controls, write_settings
):
    controls[1].backend.errors = [
        "before:outcome_unknown",
        "before:members_change_refused",
    ]
    assert chestnut("voter", "add", "c4", "127.0.0.1:1")[0] == 6


def test_leader_change_is_followed(chestnut, text_file, cluster, controls):
    controls[1].backend.errors = ["before:not_leader"] * 2
    mover = eventlet.spawn_after(0.3, setattr, cluster, "leader", "c3")
    assert chestnut("apply", text_file(1))[0] == 0
    mover.wait()


def test_leader_absent_from_the_settings_is_found(
    chestnut, text_file, controls, write_settings, free_address
):
    settings = write_settings([free_address(), controls[0].address])
    assert chestnut("apply", text_file(1), settings=settings)[0] == 0


def test_no_leader(chestnut, text_file, cluster, write_settings):
    cluster.leader = ""
    write_settings(timeout_ms=500)
    code, _, err = chestnut("apply", text_file(1))
    assert code == 4
    assert "no control leads" in err
    code, out, _ = chestnut("status")
    assert code == 0
    assert "NOT CONFIRMED" in out


def test_unreachable(chestnut, text_file, write_settings, free_address):
    settings = write_settings([free_address()], timeout_ms=500)
    for command in (["apply", text_file(1)], ["status"], ["dump"]):
        code, _, err = chestnut(*command, settings=settings)
        assert (code, "unreachable" in err) == (4, True)


def test_wrong_token_and_group_readable_token_file(chestnut, tmp_path, write_settings):
    token = tmp_path / "other-token"
    token.touch(mode=0o600)
    token.write_text("not-the-right-token-at-all")
    settings = write_settings(operator_token_file=str(token))
    code, _, err = chestnut("status", settings=settings)
    assert code == 5
    assert "token is wrong" in err
    token.chmod(0o640)
    code, _, err = chestnut("status", settings=settings)
    assert code == 7
    assert "mode 600" in err and "not-the-right" not in err


def test_status_shows_every_reason(chestnut):
    code, out, _ = chestnut("status", "--all")
    assert "2026-01-02 03:04:05+00:00" in out
    assert code == 0
    for reason in ("ledger is down", "h2 is missing", "g1 is broken", "silent for 9 s"):
        assert reason in out
    assert "7.5 s" in out
    code, out, _ = chestnut("status", "--format", "json")
    assert json.loads(out)["hosts"][0]["state"] == "stranded"


def test_drain_and_voters(chestnut, cluster):
    assert chestnut("drain", "h1")[0] == 0
    assert cluster.draining == {"h1": True}
    assert chestnut("drain", "h1", "--undo")[0] == 0
    assert cluster.draining == {"h1": False}
    assert chestnut("drain", "nobody")[0] == 5
    assert chestnut("voter", "add", "c4", "127.0.0.1:9")[0] == 0
    assert cluster.voters == {"c4": "127.0.0.1:9"}
    assert chestnut("voter", "remove", "c4")[0] == 0
    assert cluster.voters == {}


def test_evacuate_and_finish(chestnut, cluster, controls, text_file):
    # Guards against the opposite order, and against an order that is lost unnoticed.
    controls[1].lost_answers = 1
    assert chestnut("evacuate", "dc-2")[:2] == (0, "done\n")
    assert cluster.evacuations.evacuated == {"dc-2"}
    assert "Evacuated, so that" in chestnut("plan", text_file(2))[1]
    assert chestnut("evacuate", "dc-2", "--finish")[0] == 0
    assert not cluster.evacuations.evacuated
    assert "Evacuated" not in chestnut("plan", text_file(2))[1]
    code, _, err = chestnut("evacuate", "nowhere")
    assert (code, "nowhere is unknown" in err) == (5, True)


def test_order_before_all_controls_are_upgraded_is_not_run(
    chestnut, controls, write_settings
):
    # Guards against an operator who believes that the order is in force.
    controls[1].backend.errors = ["before:evacuation_not_ready"] * 1_000
    settings = write_settings(timeout_ms=500)
    assert chestnut("evacuate", "dc-2", settings=settings)[0] == 4
    controls[1].backend.errors = ["before:evacuation_not_ready"]
    assert chestnut("evacuate", "dc-2")[0] == 0


def test_follower_of_an_older_leader_says_to_try_again(
    chestnut, cluster, controls, write_settings
):
    # Guards against a redirect to a leader that doesn't know the path.
    cluster.leader = "c9"
    cluster.addresses["c9"] = "127.0.0.1:1"
    for control in controls:
        control.backend.follower_error = "evacuation_not_ready"
    settings = write_settings(timeout_ms=500)
    code, _, err = chestnut("evacuate", "dc-2", settings=settings)
    assert (code, "evacuation_not_ready" in err) == (4, True)


def test_dump_of_every_control(chestnut, controls):
    code, out, _ = chestnut("dump")
    assert code == 0
    assert json.loads(out) == {
        name: {"control_id": name} for name in ("c1", "c2", "c3")
    }


@pytest.mark.parametrize(
    ("arguments", "code"), [(["--help"], 0), (["apply"], 64), (["aply", "x"], 64)]
)
def test_usage(arguments, code, capsys):
    assert run(arguments) == code


def test_settings_option_before_the_command_is_accepted(tmp_path, capsys):
    path = str(tmp_path / "none.json")
    assert run(["--settings", path, "status", "--format", "json"]) == 7
    assert run(["--settings", path, "voter", "remove", "c1"]) == 7
    assert capsys.readouterr().err.count("settings_invalid:") == 2
    assert run(["--settings", path, "key"]) == 0
    assert run(["--settings", path]) == 64


def test_interrupted_change_has_unknown_outcome(
    chestnut, text_file, controls, cluster, monkeypatch, capsys
):
    def interrupt(self, *arguments, **keywords):
        raise KeyboardInterrupt

    monkeypatch.setattr(ControlClient, "call", interrupt)
    code, _, err = chestnut("apply", text_file(1))
    assert (code, "run it again" in err) == (6, True)


def test_missing_settings(tmp_path, capsys, monkeypatch):
    monkeypatch.setenv("CHESTNUT_SETTINGS", str(tmp_path / "none.json"))
    assert run(["status"]) == 7
    assert "none.json" in capsys.readouterr().err


def test_init_writes_files_that_load(tmp_path, capsys, monkeypatch):
    folder = tmp_path / "new"
    assert run(["init", str(folder), "--workspaces", "north", "south"]) == 0
    keys = [line.split()[-1] for line in capsys.readouterr().out.splitlines()[-2:]]
    assert (folder / "operator-token").stat().st_mode & 0o777 == 0o600
    load_client_settings(folder / "client.json")
    load_control_settings(folder / "control.json")
    load_entry_settings(folder / "entry.json")
    text = (folder / "text.json").read_text()
    assert not any(key in text for key in keys)
    assert run(["init", str(folder)]) == 1
    assert run(["init", str(tmp_path / "bad"), "--workspaces", "No Name"]) == 2
    assert not (tmp_path / "bad").exists()


def test_key(capsys):
    assert run(["key"]) == 0
    key, digest = (line.split()[-1] for line in capsys.readouterr().out.splitlines())
    assert len(digest) == 64 and digest not in key


def test_settings_option_before_the_command_is_used(chestnut, write_settings):
    settings = str(write_settings())
    arguments = ["--settings", settings, "status"]
    assert tpool.execute(run, arguments) == chestnut("status")[0] == 0
