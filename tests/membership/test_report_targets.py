"""Selection of report targets without a fixed list of controls."""

from chestnutvale.membership.report_targets import ReportTargets

SEEDS = {"s1": "10.0.0.1:1", "s2": "10.0.0.2:1"}
MEMBERS = {"m1": "10.0.0.7:1", "m2": "10.0.0.8:1"}


def chosen_control_ids(targets, now_s):
    return {control_id for control_id, _ in targets.choose_controls(now_s)}


def test_at_first_all_seeds_get_reports():
    assert chosen_control_ids(ReportTargets(SEEDS), 0.0) == set(SEEDS)


def test_only_a_live_leader_gets_reports():
    targets = ReportTargets(SEEDS)
    targets.record_leader_view("m1", MEMBERS, 1.0)
    assert targets.choose_controls(1.5) == [("m1", "10.0.0.7:1")]


def test_all_controls_get_reports_once_the_leader_is_silent():
    targets = ReportTargets(SEEDS)
    targets.record_leader_view("m1", MEMBERS, 1.0)
    assert chosen_control_ids(targets, 3.0) == set(SEEDS) | set(MEMBERS)


def test_a_follower_adds_controls_that_are_no_seeds():
    targets = ReportTargets(SEEDS)
    targets.add_controls({"m9": "10.0.0.9:1"})
    assert "m9" in chosen_control_ids(targets, 0.0)


def test_a_leader_view_replaces_the_known_controls():
    targets = ReportTargets(SEEDS)
    targets.add_controls({"m9": "10.0.0.9:1"})
    targets.record_leader_view("m1", MEMBERS, 1.0)
    assert "m9" not in chosen_control_ids(targets, 9.0)
