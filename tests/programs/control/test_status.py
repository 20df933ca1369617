"""Reachability of voters in the operators' status."""

import pytest

from chestnutvale.programs.control.status import _find_voter_fault


@pytest.mark.parametrize(
    ("member", "silent_s", "reason"),
    [
        ("c1#a", {}, ""),
        ("c2#b", {"c2#b": 0.1}, ""),
        ("c2#b", {"c2#b": 7.2}, "it has not answered for 7 s"),
        ("c2#b", {}, "only a control that leads knows"),
    ],
)
def test_voter_is_reachable_only_if_the_leader_heard_it(member, silent_s, reason):
    status = {"member_id": "c1#a", "silent_s": silent_s}
    assert _find_voter_fault(member, status) == reason
