"""The cause of a delay is told from what the process used meanwhile."""

import attrs
import pytest

from chestnutvale.observability.process_delay import (
    MIN_LOGGED_DELAY_S,
    DelayCause,
    ProcessDelayDetector,
    ProcessUsage,
)

WAIT_S = 1.0
DELAY_S = 12.0
STARTED = ProcessUsage(
    at_s=100.0,
    process_cpu_s=7.0,
    main_cpu_s=5.0,
    main_queued_s=3.0,
    voluntary_switches=50,
    involuntary_switches=40,
    major_faults=9,
)


def wake_late(delay_s=DELAY_S, **used):
    now = attrs.evolve(
        STARTED,
        at_s=STARTED.at_s + WAIT_S + delay_s,
        **{name: getattr(STARTED, name) + value for name, value in used.items()},
    )
    detector = ProcessDelayDetector(STARTED)
    return detector, detector.record_wakeup(now, WAIT_S)


@pytest.mark.parametrize(
    ("used", "cause"),
    [
        ({"process_cpu_s": 11.0, "main_cpu_s": 11.0}, DelayCause.BUSY),
        ({"process_cpu_s": 10.0, "main_cpu_s": 0.1}, DelayCause.OTHER_THREADS),
        ({"main_queued_s": 11.5}, DelayCause.NOT_SCHEDULED),
        ({"process_cpu_s": 0.1, "main_cpu_s": 0.1}, DelayCause.BLOCKED),
        ({"main_queued_s": 2.0, "main_cpu_s": 1.0}, DelayCause.BLOCKED),
    ],
)
def test_cause_of_a_delay_is_what_took_most_of_it(used, cause):
    detector, delay = wake_late(**used)

    assert delay.cause is cause
    assert delay.delay_s == pytest.approx(DELAY_S)
    assert detector.delayed_s == {cause.value: pytest.approx(DELAY_S)}


def test_wakeup_that_is_hardly_late_is_not_logged():
    detector, delay = wake_late(delay_s=MIN_LOGGED_DELAY_S / 2)

    assert delay is None
    assert not detector.delayed_s


def test_delay_counts_only_what_was_used_since_the_wakeup_before():
    _, delay = wake_late(main_queued_s=11.5, involuntary_switches=2, major_faults=1)

    assert delay.log_fields() == {
        "cause": "not_scheduled",
        "delay_s": DELAY_S,
        "span_s": WAIT_S + DELAY_S,
        "process_cpu_s": 0.0,
        "main_cpu_s": 0.0,
        "main_queued_s": 11.5,
        "voluntary_switches": 0,
        "involuntary_switches": 2,
        "major_faults": 1,
    }


def test_each_delay_is_counted_once():
    detector, _ = wake_late()
    later = attrs.evolve(STARTED, at_s=STARTED.at_s + 2 * WAIT_S + DELAY_S)

    assert detector.record_wakeup(later, WAIT_S) is None
