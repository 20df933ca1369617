"""Which entries a new leader must hear before it counts their attempts."""

from chestnutvale.membership.entry_roster import EntryRoster
from chestnutvale.schema.membership_pb2 import HostReport


def make_report(leader, term, now_s):
    report = HostReport()
    leader.fill_report(report, term, now_s)
    return report


def make_informed_roster(leader, now_s, term=1):
    follower = EntryRoster()
    follower.merge(make_report(leader, term, now_s), now_s)
    return follower


def make_leader(*entry_ids):
    leader = EntryRoster()
    leader.begin_term(1, 0.0)
    for entry_id in entry_ids:
        leader.record_report(entry_id, 20.0)
    return leader


def test_new_leader_misses_an_entry_that_reported_to_the_former_one():
    # Guards against a release that cuts the streams of an entry that is late.
    leader = make_leader("e1", "e2")
    follower = make_informed_roster(leader, 20.2)
    follower.begin_term(2, 21.0)
    follower.record_report("e1", 21.1)
    assert follower.has_unheard(21.2)
    follower.record_report("e2", 22.5)
    assert not follower.has_unheard(22.6)


def test_entry_that_stays_silent_is_missed_for_the_retention_time():
    leader = make_leader("e1", "e2")
    follower = make_informed_roster(leader, 20.0)
    follower.begin_term(2, 21.0)
    follower.record_report("e1", 34.0)
    assert follower.has_unheard(34.9)
    assert not follower.has_unheard(35.1)


def test_control_that_no_leader_has_told_misses_any_entry_for_some_time():
    follower = EntryRoster()
    follower.begin_term(2, 21.0)
    follower.record_report("e1", 21.1)
    assert follower.has_unheard(26.9)
    assert not follower.has_unheard(27.1)


def test_further_changes_of_the_leader_do_not_extend_that_time():
    # Guards against drains that never end while leaders follow each other.
    first = EntryRoster()
    first.begin_term(2, 21.0)
    first.record_report("e1", 21.1)
    second = make_informed_roster(first, 22.0, term=2)
    second.begin_term(3, 25.0)
    second.record_report("e1", 25.2)
    assert second.has_unheard(26.9)
    assert not second.has_unheard(27.1)


def test_outdated_list_says_nothing_about_entries_that_started_since():
    follower = make_informed_roster(make_leader("e1"), 20.0)
    follower.begin_term(2, 31.0)
    follower.record_report("e1", 31.1)
    assert follower.has_unheard(31.2)


def test_new_entries_are_told_at_once_and_all_of_them_from_time_to_time():
    leader = make_leader("e1")
    told = []
    for now_s in (20.0, 20.4, 20.8, 25.1):
        if now_s == 20.8:
            leader.record_report("e2", now_s)
        report = make_report(leader, 1, now_s)
        entry_ids = [entry.entry_id for entry in report.entries]
        told.append((entry_ids, report.lists_all_entries))
    assert told == [
        (["e1"], True),
        ([], False),
        (["e2"], False),
        (["e1", "e2"], True),
    ]


def test_leader_tells_nothing_before_its_term_has_begun():
    # Guards against a leader that takes itself for informed by its own list.
    leader = make_leader("e1")
    assert make_report(leader, 3, 60.0) == HostReport()
    leader.begin_term(3, 60.0)
    assert leader.has_unheard(60.1)


def test_leader_that_stood_still_does_not_take_its_own_list_for_complete():
    # Guards against a release that cuts the streams of entries which it has forgotten.
    leader = make_leader("e1", "e2")
    make_report(leader, 1, 20.1)
    # It stands still, and others lead, until after the retention time.
    make_report(leader, 1, 36.0)
    leader.begin_term(3, 37.0)
    assert leader.has_unheard(37.1)


def test_list_of_a_leader_that_stood_still_does_not_end_the_wait_of_another_one():
    former = make_leader("e1", "e2")
    make_report(former, 1, 20.1)
    started = EntryRoster()
    started.begin_term(2, 35.0)
    assert started.has_unheard(35.9)
    started.merge(make_report(former, 1, 36.0), 36.0)
    assert started.has_unheard(36.1)
