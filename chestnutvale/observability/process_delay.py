"""Why a process ran late: judged from its use of the processor."""

import enum
from collections import Counter

import attrs

# Delay above which a late wake-up is logged and counted.
MIN_LOGGED_DELAY_S = 0.25
# Decimals of seconds in the log.
LOG_DECIMALS = 3


class DelayCause(enum.Enum):
    """What a process did while its periodic work was late."""

    # The main thread computed.
    BUSY = "busy"
    # Other threads of the process computed and held the interpreter's lock.
    OTHER_THREADS = "other_threads"
    # The main thread was ready to run and no processor was free for it.
    NOT_SCHEDULED = "not_scheduled"
    # The main thread waited in a call, or the process or its machine was stopped.
    BLOCKED = "blocked"


@attrs.frozen
class ProcessUsage:
    """What a process has used since its start.

    Attributes
    ----------
    at_s : float
        Monotonic time in seconds.
    process_cpu_s : float
        Processor time of all threads in seconds.
    main_cpu_s : float
        Processor time of the main thread in seconds.
    main_queued_s : float
        Time in seconds for which the main thread was ready to run and waited for a
        processor; zero if the operating system does not tell.
    voluntary_switches : int
        Times that the main thread gave its processor up to wait for something.
    involuntary_switches : int
        Times that its processor was taken from the main thread.
    major_faults : int
        Pages that the main thread had to read from a disk.
    """

    at_s: float
    process_cpu_s: float
    main_cpu_s: float
    main_queued_s: float = 0.0
    voluntary_switches: int = 0
    involuntary_switches: int = 0
    major_faults: int = 0


@attrs.frozen
class ProcessDelay:
    """A late wake-up, and what the process used since the wake-up before.

    Attributes
    ----------
    delay_s : float
        Time in seconds by which the wake-up was late.
    cause : DelayCause
        What explains most of the delay.
    used : ProcessUsage
        Usage since the wake-up before; its ``at_s`` is the time between the two.
    """

    delay_s: float
    cause: DelayCause
    used: ProcessUsage

    def log_fields(self) -> dict[str, str | float | int]:
        """Return the fields that describe this delay in the log.

        Returns
        -------
        dict
            The cause, times in seconds, and counts.
        """
        used = self.used
        return {
            "cause": self.cause.value,
            "delay_s": round(self.delay_s, LOG_DECIMALS),
            "span_s": round(used.at_s, LOG_DECIMALS),
            "process_cpu_s": round(used.process_cpu_s, LOG_DECIMALS),
            "main_cpu_s": round(used.main_cpu_s, LOG_DECIMALS),
            "main_queued_s": round(used.main_queued_s, LOG_DECIMALS),
            "voluntary_switches": used.voluntary_switches,
            "involuntary_switches": used.involuntary_switches,
            "major_faults": used.major_faults,
        }


class ProcessDelayDetector:
    """Finds late wake-ups of periodic work and their causes.

    Parameters
    ----------
    started : ProcessUsage
        Usage when the work started to wait for its first wake-up.

    Attributes
    ----------
    delayed_s : Counter
        Sum of the logged delays in seconds, by the value of their cause.
    """

    def __init__(self, started: ProcessUsage) -> None:
        self.delayed_s: Counter[str] = Counter()
        self._last = started

    def record_wakeup(self, now: ProcessUsage, wait_s: float) -> ProcessDelay | None:
        """Record a wake-up.

        Parameters
        ----------
        now : ProcessUsage
            Usage at the wake-up.
        wait_s : float
            Time in seconds after the wake-up before at which this one was due.

        Returns
        -------
        ProcessDelay or None
            None if it was not late enough for the log.
        """
        used = _difference(now, self._last)
        self._last = now
        delay_s = used.at_s - wait_s
        if delay_s < MIN_LOGGED_DELAY_S:
            return None
        delay = ProcessDelay(delay_s, _find_cause(used, delay_s), used)
        self.delayed_s[delay.cause.value] += delay_s
        return delay


def _difference(now: ProcessUsage, before: ProcessUsage) -> ProcessUsage:
    newer = attrs.astuple(now)
    older = attrs.astuple(before)
    return ProcessUsage(*(new - old for new, old in zip(newer, older, strict=True)))


def _find_cause(used: ProcessUsage, delay_s: float) -> DelayCause:
    """Return what explains most of a delay.

    What the main thread neither computed nor was queued for, it waited. The usage
    includes the time before the wake-up was due, so that this is a lower bound.
    """
    waited_s = delay_s - used.main_cpu_s - used.main_queued_s
    shares_s = {
        DelayCause.BUSY: used.main_cpu_s,
        DelayCause.NOT_SCHEDULED: used.main_queued_s,
        DelayCause.BLOCKED: waited_s,
    }
    cause = max(shares_s, key=shares_s.__getitem__)
    others_cpu_s = used.process_cpu_s - used.main_cpu_s
    if cause is DelayCause.BLOCKED and others_cpu_s > waited_s / 2:
        return DelayCause.OTHER_THREADS
    return cause
