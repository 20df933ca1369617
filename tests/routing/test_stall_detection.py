"""Tests of detecting groups that stop sending events on all streams."""

from chestnutvale.routing.stall_detection import StallAggregator, StallDetector


def flow(stall_detector, until_s, *attempts, step_s=0.05, from_s=0.0):
    now_s = from_s
    while now_s < until_s:
        now_s += step_s
        for attempt in attempts:
            stall_detector.record_events(attempt, now_s)


def test_a_group_that_gives_events_never_stalls():
    stall_detector = StallDetector()
    stall_detector.record_sent("a1", "g", 0.0)
    for tick in range(1, 200):
        assert not stall_detector.stalled_groups(tick * 0.05)
        stall_detector.record_events("a1", tick * 0.05)


def test_one_slow_stream_beside_others_is_no_stall():
    stall_detector = StallDetector()
    stall_detector.record_sent("a1", "g", 0.0)
    stall_detector.record_sent("a2", "g", 0.0)
    flow(stall_detector, 5.0, "a1")
    assert not stall_detector.stalled_groups(5.0)


def test_a_group_whose_streams_fall_silent_together_has_stalled():
    stall_detector = StallDetector()
    stall_detector.record_sent("a1", "g", 0.0)
    stall_detector.record_sent("b1", "other", 0.0)
    flow(stall_detector, 2.0, "a1", "b1")
    flow(stall_detector, 3.0, "b1", from_s=2.0)
    assert stall_detector.stalled_groups(2.3) == frozenset()
    assert stall_detector.stalled_groups(2.5) == {"g"}


def test_prompts_that_wait_for_their_turn_have_longer():
    stall_detector = StallDetector()
    stall_detector.record_sent("a1", "g", 0.0)
    assert not stall_detector.stalled_groups(0.8)
    assert stall_detector.stalled_groups(1.0) == {"g"}


def test_a_new_stream_at_an_idle_group_starts_with_nothing_known():
    stall_detector = StallDetector()
    stall_detector.record_sent("a1", "g", 0.0)
    flow(stall_detector, 1.0, "a1")
    stall_detector.forget_attempt("a1")
    stall_detector.record_sent("a2", "g", 50.0)
    assert not stall_detector.stalled_groups(50.5)
    assert stall_detector.silences_s(50.5) == {"g": 0.5}


def test_one_entry_s_word_is_enough_if_nobody_hears_the_group():
    board = StallAggregator()
    board.record_report("e2", {"g": 0.0}, frozenset(), 10.0)
    assert board.record_report("e1", {"g": 0.45}, frozenset({"g"}), 10.5)
    assert board.stalled_groups(10.6) == {"g"}
    assert board.stalled_groups(13.6) == frozenset()


def test_a_group_that_another_entry_hears_has_not_stalled():
    board = StallAggregator()
    assert not board.record_report("e2", {"g": 0.05}, frozenset(), 10.4)
    assert not board.record_report("e1", {"g": 0.45}, frozenset({"g"}), 10.5)
    assert board.stalled_groups(10.6) == frozenset()


def test_events_clear_a_group():
    board = StallAggregator()
    board.record_report("e1", {"g": 0.45}, frozenset({"g"}), 10.5)
    assert board.record_report("e1", {"g": 0.02}, frozenset(), 11.0)
    assert board.stalled_groups(11.0) == frozenset()


def test_a_group_is_heard_while_any_entry_gets_events():
    board = StallAggregator()
    board.record_report("e1", {"g": 0.05, "quiet": 2.0}, frozenset(), 10.0)
    assert board.active_groups(10.5) == {"g"}
    assert board.active_groups(12.0) == frozenset()


def test_a_stalled_group_is_not_heard():
    board = StallAggregator()
    board.record_report("e1", {"g": 0.5}, frozenset({"g"}), 10.0)
    assert board.active_groups(10.0) == frozenset()


def test_a_stream_that_was_only_sent_says_nothing_of_its_group():
    stall_detector = StallDetector()
    stall_detector.record_sent("a1", "g", 0.0)
    assert stall_detector.groups_without_events() == {"g"}
    stall_detector.record_events("a1", 0.1)
    assert stall_detector.groups_without_events() == frozenset()


def test_sending_to_a_dead_group_does_not_vouch_for_it():
    board = StallAggregator()
    board.record_report("e1", {"g": 0.0}, frozenset(), 10.0, unheard=frozenset({"g"}))
    assert board.active_groups(10.0) == frozenset()


def test_sending_to_a_stalled_group_does_not_clear_it():
    board = StallAggregator()
    board.record_report("e1", {"g": 0.45}, frozenset({"g"}), 10.5)
    board.record_report("e2", {"g": 0.0}, frozenset(), 10.6, unheard=frozenset({"g"}))
    assert board.stalled_groups(10.6) == {"g"}
    board.record_report("e1", {"g": 0.1}, frozenset(), 10.7, unheard=frozenset({"g"}))
    assert board.stalled_groups(10.7) == {"g"}
