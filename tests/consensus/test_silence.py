"""Silence of members as a follower learns it from its leader."""

import math

from chestnutvale.consensus.silence import ReportedSilence
from chestnutvale.schema.raft_pb2 import MemberSilence


def test_only_the_newest_report_and_the_silence_of_its_leader_count():
    reported = ReportedSilence()
    assert reported.since_s("c1#1") == math.inf
    silence = MemberSilence(member_id="c1#1", silent_ms=1_500)
    reported.record("c0#1", [silence], 10.0)
    assert reported.since_s("c1#1") == 8.5
    assert reported.since_s("c0#1") == 10.0
    assert reported.since_s("c2#1") == math.inf
    reported.record("c2#1", [], 11.0)
    assert reported.since_s("c1#1") == math.inf
    assert reported.since_s("c0#1") == math.inf
