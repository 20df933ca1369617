"""Rules of cluster bootstrap and voter replacement, without I/O."""

import pytest

from chestnutvale.consensus.bootstrap import Bootstrap
from chestnutvale.consensus.events import ChangeKind, MembersChange
from chestnutvale.consensus.exceptions import MembersChangeError
from chestnutvale.consensus.members import change_members
from chestnutvale.consensus.replacement import (
    JoinCandidate,
    MemberContact,
    ReplacementPolicy,
)
from chestnutvale.schema.raft_pb2 import JoinRequest, Members, RaftMessage

CONTROLS = ["c0", "c1", "c2"]
NOW_S = 100.0


def make_join(member_id, to_id="c0#1", controls=CONTROLS, **fields):
    request = JoinRequest(initial_controls=controls, **{"empty": True, **fields})
    return RaftMessage(from_id=member_id, to_id=to_id, join_request=request)


def make_bootstrap(*joins, own_id="c0#1", is_spare=False):
    bootstrap = Bootstrap(own_id, "a:1", CONTROLS, is_spare)
    for join in joins:
        bootstrap.record_join_request(join, NOW_S)
    return bootstrap


def decide_bootstrap(*joins, **options):
    return make_bootstrap(*joins, **options).decide(NOW_S + 1)


def test_bootstrap_when_all_disks_are_empty():
    members = decide_bootstrap(make_join("c1#1"), make_join("c2#1"))
    assert list(members.voters) == ["c0#1", "c1#1", "c2#1"]
    members = decide_bootstrap(make_join("c1#1"), make_join("c2#1", spare=True))
    assert list(members.voters) == ["c0#1", "c1#1"]


@pytest.mark.parametrize(
    ("join", "reason"),
    [
        (make_join("c2#1", empty=False), "holds data"),
        (make_join("c2#1", to_id="c0#0"), "has not answered"),
        (make_join("c2#1", to_id=""), "has not answered"),
        (make_join("c2#1", controls=["c0", "c2"]), "names other controls"),
    ],
)
def test_no_bootstrap_with_existing_data_or_unconfirmed_control(join, reason):
    bootstrap = make_bootstrap(make_join("c1#1"), join)
    assert bootstrap.decide(NOW_S + 1) is None
    assert reason in bootstrap.find_bootstrap_obstacle(NOW_S + 1)


def test_only_the_first_control_bootstraps_and_no_spare():
    joins = [make_join(f"{c}#1", to_id="c1#1") for c in ("c0", "c2")]
    assert decide_bootstrap(*joins, own_id="c1#1") is None
    joins = [make_join(f"{c}#1") for c in ("c1", "c2")]
    assert decide_bootstrap(*joins, is_spare=True) is None
    assert decide_bootstrap(make_join("c1#1")) is None


def make_takeover(*joins, late=(), now_s=NOW_S + 3.0):
    """Return c1, which heard c0 as a spare and then the given join requests."""
    bootstrap = Bootstrap("c1#1", "a:1", CONTROLS, False)
    spare = make_join("c0#2", "c1#1", spare=True, controls=["x"])
    bootstrap.record_join_request(spare, NOW_S)
    for join in joins:
        bootstrap.record_join_request(join, NOW_S + 0.5 if join in late else now_s)
    return bootstrap


def test_next_control_takes_the_place_of_a_first_one_that_lost_its_disk():
    other = make_join("c2#1", "c1#1")
    members = make_takeover(other).decide(NOW_S + 3.5)
    assert list(members.voters) == ["c1#1", "c2#1"]


@pytest.mark.parametrize(
    ("other", "options", "reason"),
    [
        (make_join("c2#1", "c1#1", empty=False), {}, "holds data"),
        (make_join("c2#2", "c1#1", spare=True), {}, "an operator must start"),
        (make_join("c2#1", "c1#1", controls=["c1"]), {}, "names other controls"),
        (make_join("c2#1", "c1#1"), {"is_late": True}, "follow the loss"),
        (make_join("c2#1", "c1#0"), {}, "has not answered"),
    ],
)
def test_no_takeover_if_an_entry_may_have_been_committed(other, options, reason):
    late = (other,) if options.get("is_late") else ()
    bootstrap = make_takeover(other, late=late)
    assert bootstrap.decide(NOW_S + 3.5) is None
    assert reason in bootstrap.find_bootstrap_obstacle(NOW_S + 3.5)


@pytest.mark.parametrize(("lost", "may_begin"), [(1, True), (2, False), (3, False)])
def test_takeover_needs_quorums_that_overlap_those_of_the_lost_disks(lost, may_begin):
    controls = [f"c{n}" for n in range(5)]
    bootstrap = Bootstrap(f"c{lost}#1", "a:1", controls, False)
    for control in controls[:lost]:
        join = make_join(f"{control}#2", f"c{lost}#1", controls, spare=True)
        bootstrap.record_join_request(join, NOW_S)
    for control in controls[lost + 1 :]:
        join = make_join(f"{control}#1", f"c{lost}#1", controls)
        bootstrap.record_join_request(join, NOW_S + 3.0)
    members = bootstrap.decide(NOW_S + 3.5)
    assert (members is not None) == may_begin


def decide(members, silent=None, candidates=(), behind=(), leader_age_s=60.0):
    silent = silent or {}
    others = {*members.voters, *members.learners} - {"c0#1"}
    contacts = {
        other: MemberContact(
            silent_since_s=NOW_S - silent.get(other, 0.1),
            match_index=10 if other in behind else 1_000,
        )
        for other in others
    }
    asking = [JoinCandidate(candidate, "a:1", NOW_S) for candidate in candidates]
    leader_since_s = NOW_S - leader_age_s
    return ReplacementPolicy().decide(
        "c0#1", members, contacts, asking, 1_000, leader_since_s, NOW_S
    )


def make_members(voters, learners=(), wanted=3):
    return Members(voters=voters, learners=learners, wanted_voters=wanted)


VOTERS = ["c0#1", "c1#1", "c2#1"]


def test_lost_voter_is_removed_only_for_a_caught_up_learner():
    assert decide(make_members(VOTERS), silent={"c1#1": 60.0}) is None
    members = make_members(VOTERS, ["c3#1"])
    assert decide(members) is None
    assert decide(members, silent={"c1#1": 60.0}, behind=["c3#1"]) is None
    assert decide(members, silent={"c1#1": 60.0, "c3#1": 60.0}) is None
    change = decide(members, silent={"c1#1": 60.0})
    assert change == MembersChange(ChangeKind.REMOVE, "c1#1")
    change = decide(change_members(members, change))
    assert change == MembersChange(ChangeKind.PROMOTE, "c3#1")


def test_voter_whose_control_has_another_disk_is_removed_within_an_election_timeout():
    members = make_members(VOTERS, ["c1#2"])
    assert decide(members, silent={"c1#1": 0.9}) is None
    assert decide(members, silent={"c1#1": 1.1}, behind=["c1#2"]) is None
    change = decide(members, silent={"c1#1": 1.1})
    assert change == MembersChange(ChangeKind.REMOVE, "c1#1")
    # It goes before a voter that may still return with its disk.
    change = decide(members, silent={"c1#1": 1.1, "c2#1": 60.0})
    assert change == MembersChange(ChangeKind.REMOVE, "c1#1")


def test_second_of_two_lost_disks_is_replaced_without_waiting_for_silence():
    # The new identity of c1 already votes; the learner is that of another lost disk.
    voters = ["c0#1", "c1#1", "c1#2", "c3#1"]
    members = Members(voters=voters, learners=["c2#2"], wanted_voters=4)
    remove = MembersChange(ChangeKind.REMOVE, "c1#1")
    assert decide(members, {"c1#1": 1.5}) == remove
    assert decide(members, {"c1#1": 0.5}) is None
    assert decide(members, {"c1#1": 1.5, "c1#2": 1.5}) is None


def test_new_leader_removes_no_voter_before_it_may_have_replied():
    members = make_members(VOTERS, ["c3#1"])
    silent = {"c1#1": 60.0}
    assert decide(members, silent=silent, leader_age_s=0.9) is None
    change = decide(members, silent=silent, leader_age_s=1.1)
    assert change == MembersChange(ChangeKind.REMOVE, "c1#1")


def test_candidates_become_learners_and_replace_old_identities():
    change = decide(make_members(VOTERS), candidates=["c3#1"])
    assert change == MembersChange(ChangeKind.ADD_LEARNER, "c3#1", "a:1")
    members = make_members(VOTERS, ["c3#0"])
    change = decide(members, silent={"c3#0": 1.1}, candidates=["c3#1"])
    assert change == MembersChange(ChangeKind.REMOVE, "c3#0")
    members.barred_controls.append("c3")
    assert decide(members, candidates=["c3#1"]) is None


def test_late_request_of_an_earlier_identity_removes_no_learner():
    members = make_members(VOTERS, ["c3#1"])
    assert decide(members, candidates=["c3#0"]) is None
    assert decide(members, silent={"c3#1": 1.1}, candidates=["c3#0", "c3#1"]) is None


def test_learner_without_contact_for_an_hour_is_removed():
    members = make_members(VOTERS, ["c3#1"])
    assert decide(members, silent={"c3#1": 3_000.0}) is None
    change = decide(members, silent={"c3#1": 4_000.0})
    assert change == MembersChange(ChangeKind.REMOVE, "c3#1")


def test_operator_removal_bars_a_control_until_it_is_added_again():
    members = make_members(VOTERS)
    remove = MembersChange(ChangeKind.REMOVE, "c2#1", by_operator=True)
    members = change_members(members, remove)
    assert (members.wanted_voters, list(members.barred_controls)) == (2, ["c2"])
    join = MembersChange(ChangeKind.ADD_LEARNER, "c2#1", "a:1")
    with pytest.raises(MembersChangeError):
        change_members(members, join)
    add = MembersChange(ChangeKind.ADD_LEARNER, "c2#1", "a:1", by_operator=True)
    members = change_members(members, add)
    promote = MembersChange(ChangeKind.PROMOTE, "c2#1", by_operator=True)
    members = change_members(members, promote)
    assert members.wanted_voters == 3
    assert not members.barred_controls
