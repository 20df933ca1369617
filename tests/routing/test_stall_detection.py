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


def test_unstarted_streams_have_a_longer_timeout():
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


def test_one_stalled_report_suffices_without_events_elsewhere():
    aggregator = StallAggregator()
    aggregator.record_report("e2", {"g": 0.0}, frozenset(), 10.0)
    assert aggregator.record_report("e1", {"g": 0.45}, frozenset({"g"}), 10.5)
    assert aggregator.stalled_groups(10.6) == {"g"}
    assert aggregator.stalled_groups(13.6) == frozenset()


def test_events_at_another_entry_disprove_a_stall():
    aggregator = StallAggregator()
    assert not aggregator.record_report("e2", {"g": 0.05}, frozenset(), 10.4)
    assert not aggregator.record_report("e1", {"g": 0.45}, frozenset({"g"}), 10.5)
    assert aggregator.stalled_groups(10.6) == frozenset()


def test_events_clear_a_group():
    aggregator = StallAggregator()
    aggregator.record_report("e1", {"g": 0.45}, frozenset({"g"}), 10.5)
    assert aggregator.record_report("e1", {"g": 0.02}, frozenset(), 11.0)
    assert aggregator.stalled_groups(11.0) == frozenset()


def test_group_is_active_while_any_entry_gets_events():
    aggregator = StallAggregator()
    aggregator.record_report("e1", {"g": 0.05, "quiet": 2.0}, frozenset(), 10.0)
    assert aggregator.active_groups(10.5) == {"g"}
    assert aggregator.active_groups(12.0) == frozenset()


def test_stalled_group_is_not_active():
    aggregator = StallAggregator()
    aggregator.record_report("e1", {"g": 0.5}, frozenset({"g"}), 10.0)
    assert aggregator.active_groups(10.0) == frozenset()


def test_stream_without_events_does_not_show_group_is_active():
    stall_detector = StallDetector()
    stall_detector.record_sent("a1", "g", 0.0)
    assert stall_detector.groups_without_events() == {"g"}
    stall_detector.record_events("a1", 0.1)
    assert stall_detector.groups_without_events() == frozenset()


def test_sending_to_a_dead_group_does_not_make_it_active():
    aggregator = StallAggregator()
    aggregator.record_report(
        "e1", {"g": 0.0}, frozenset(), 10.0, unheard=frozenset({"g"})
    )
    assert aggregator.active_groups(10.0) == frozenset()


def test_sending_to_a_stalled_group_does_not_clear_it():
    aggregator = StallAggregator()
    aggregator.record_report("e1", {"g": 0.45}, frozenset({"g"}), 10.5)
    aggregator.record_report(
        "e2", {"g": 0.0}, frozenset(), 10.6, unheard=frozenset({"g"})
    )
    assert aggregator.stalled_groups(10.6) == {"g"}
    aggregator.record_report(
        "e1", {"g": 0.1}, frozenset(), 10.7, unheard=frozenset({"g"})
    )
    assert aggregator.stalled_groups(10.7) == {"g"}


def test_no_group_can_stall_while_no_stream_runs():
    detector = StallDetector()
    assert not detector.has_streams
    detector.record_sent("a1", "g1", 1.0)
    assert detector.has_streams
    detector.forget_attempt("a1")
    assert not detector.has_streams
