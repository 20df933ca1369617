"""Definitions of all metrics of the daemons, with units and labels."""

from typing import Final

import attrs

UNIT_SECONDS: Final = "s"
UNIT_BYTES: Final = "By"
UNIT_NONE: Final = "1"

LABEL_SERVICE: Final = "service"
LABEL_REASON: Final = "reason"
LABEL_ENDED_BY: Final = "ended_by"
LABEL_ROUTE: Final = "route"
LABEL_STATUS: Final = "status"
LABEL_DIRECTION: Final = "direction"
LABEL_ENTRY: Final = "entry"
LABEL_WORKSPACE: Final = "workspace"
LABEL_RANK: Final = "rank"
LABEL_DATA_CENTRE: Final = "data_centre"

DEFAULT_MAX_SERIES: Final = 200

DURATION_BOUNDARIES_S: Final = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.37,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
    60.0,
    120.0,
)


@attrs.frozen
class Metric:
    """Definition of a metric.

    Attributes
    ----------
    name : str
        Dotted name; the Prometheus exporter uses underscores and appends the unit.
    unit : str
        Unit as in the Unified Code for Units of Measure (UCUM).
    description : str
        One sentence, exported as the help text.
    labels : tuple of str
        Names of the labels that each value must have.
    max_series : int
        Most label sets that are exported; values of further ones are summed under
        the label value ``other``.
    """

    name: str
    unit: str
    description: str
    labels: tuple[str, ...] = ()
    max_series: int = DEFAULT_MAX_SERIES


GROUP_DOWNTIME: Final = Metric(
    "chestnutvale.group.downtime",
    UNIT_SECONDS,
    "Time for which a wanted group did not serve, summed over groups.",
    (LABEL_SERVICE,),
)
STRANDED_ACCELERATORS: Final = Metric(
    "chestnutvale.stranded.accelerators",
    "{accelerator}",
    "Accelerators of healthy hosts whose group does not serve.",
)
STRANDED_HOSTS: Final = Metric(
    "chestnutvale.stranded.hosts",
    "{host}",
    "Healthy hosts whose group does not serve.",
)
STRANDED_TIME: Final = Metric(
    "chestnutvale.stranded.accelerator.time",
    UNIT_SECONDS,
    "Time for which accelerators were stranded, summed over accelerators.",
)
GROUPS_WANTED: Final = Metric(
    "chestnutvale.service.groups.wanted",
    "{group}",
    "Groups that the text in force wants.",
    (LABEL_SERVICE,),
)
GROUPS_SERVING: Final = Metric(
    "chestnutvale.service.groups.serving",
    "{group}",
    "Groups that serve.",
    (LABEL_SERVICE,),
)
EVACUATED_DATA_CENTRES: Final = Metric(
    "chestnutvale.evacuated.data.centres",
    "{data_centre}",
    "Data centres that operators have evacuated, as far as this control has applied.",
)
DEPARTURES_RECORDED: Final = Metric(
    "chestnutvale.departures.recorded",
    "{host}",
    "Boots of hosts that leave, as far as this control has applied the log.",
)
DEPARTURES_UNRECORDED: Final = Metric(
    "chestnutvale.departures.unrecorded",
    "{host}",
    "Departures that this control knows and the log does not contain.",
)
EVACUATED_GROUPS: Final = Metric(
    "chestnutvale.entry.evacuated.groups",
    "{group}",
    "Groups to which the entry sends nothing new because of an evacuation.",
)
GROUPS_COLD: Final = Metric(
    "chestnutvale.service.groups.cold",
    "{group}",
    "Groups that serve and whose head is cold.",
    (LABEL_SERVICE,),
)
COLD_SLOTS: Final = Metric(
    "chestnutvale.cold.slots",
    "{slot}",
    "Slots of cold hosts that entries hold.",
)
HOSTS_KNOWN: Final = Metric("chestnutvale.hosts", "{host}", "Hosts known.")
CONFIGURATION_NUMBER: Final = Metric(
    "chestnutvale.configuration.number", UNIT_NONE, "Number of the text in force."
)
ENTRY_NUMBER: Final = Metric(
    "chestnutvale.entry.configuration.number",
    UNIT_NONE,
    "Number of the text in force at an entry, as it last reported.",
    (LABEL_ENTRY,),
    max_series=1_000,
)
LEASE_LEFT: Final = Metric(
    "chestnutvale.entry.lease.left",
    UNIT_SECONDS,
    "Time for which the entry may still take calls; zero if it may not.",
)
READY: Final = Metric("chestnutvale.ready", UNIT_NONE, "1 if the process is ready.")
LEADER: Final = Metric(
    "chestnutvale.consensus.leader", UNIT_NONE, "1 if this control leads."
)
TERM: Final = Metric("chestnutvale.consensus.term", UNIT_NONE, "Current term.")
SKIPPED_COMMANDS: Final = Metric(
    "chestnutvale.consensus.commands.skipped",
    "{command}",
    "Committed commands that can't be applied, and are skipped by all controls.",
)
APPLIED_INDEX: Final = Metric(
    "chestnutvale.consensus.applied", "{record}", "Log records applied."
)
WRITE_WAIT: Final = Metric(
    "chestnutvale.consensus.write.wait",
    UNIT_SECONDS,
    "Time for which the oldest unfinished write to the data folder has waited.",
)
SILENT_VOTERS: Final = Metric(
    "chestnutvale.consensus.voters.silent",
    "{voter}",
    "Voters that have not replied to the leader for an election timeout.",
)
CONSENSUS_DELAY: Final = Metric(
    "chestnutvale.consensus.delay",
    UNIT_SECONDS,
    "Time by which the consensus task ran late, summed.",
)
PROCESS_DELAY: Final = Metric(
    "chestnutvale.process.delay",
    UNIT_SECONDS,
    "Time by which the process ran late, summed, by what it did meanwhile.",
    (LABEL_REASON,),
)
LEDGER_RECORDS: Final = Metric(
    "chestnutvale.ledger.records", "{record}", "Claims and outcomes kept."
)
LEDGER_SIZE: Final = Metric(
    "chestnutvale.ledger.size", UNIT_BYTES, "Size of the claims and outcomes kept."
)
PEER_MESSAGES: Final = Metric(
    "chestnutvale.peer.messages",
    "{message}",
    "Messages between processes.",
    (LABEL_DIRECTION,),
)
PEER_IO: Final = Metric(
    "chestnutvale.peer.io",
    UNIT_BYTES,
    "Bytes of messages between processes.",
    (LABEL_DIRECTION,),
)
PEER_DROPS: Final = Metric(
    "chestnutvale.peer.drops",
    "{message}",
    "Messages between processes that were dropped.",
    (LABEL_REASON,),
)
REQUESTS_RUNNING: Final = Metric(
    "chestnutvale.http.requests.running", "{request}", "Requests being answered."
)
CONNECTIONS: Final = Metric(
    "chestnutvale.http.connections", "{connection}", "Open HTTP connections."
)
ANNOUNCEMENTS_MALFORMED: Final = Metric(
    "chestnutvale.control.announcements.malformed",
    "{announcement}",
    "Announcements of hosts that were rejected because a field is missing or invalid.",
)
REQUESTS_REFUSED: Final = Metric(
    "chestnutvale.http.requests.refused",
    "{request}",
    "Requests and connections beyond a limit of the HTTP server.",
    (LABEL_REASON,),
)
REQUEST_DURATION: Final = Metric(
    "chestnutvale.http.request.duration",
    UNIT_SECONDS,
    "Time from a request's head to the end of its answer.",
    (LABEL_ROUTE, LABEL_STATUS),
)
FIRST_BYTE: Final = Metric(
    "chestnutvale.http.first.byte",
    UNIT_SECONDS,
    "Time from a request's head to the first byte of its answer's body.",
    (LABEL_ROUTE, LABEL_STATUS),
)
ADMISSIONS: Final = Metric(
    "chestnutvale.admission.decisions",
    "{request}",
    "Requests that were admitted, or refused with this code.",
    (LABEL_REASON,),
)
REFUSALS: Final = Metric(
    "chestnutvale.admission.refusals",
    "{request}",
    "Requests that were refused with this code, by workspace, rank and data centre.",
    (LABEL_WORKSPACE, LABEL_RANK, LABEL_REASON, LABEL_DATA_CENTRE),
    max_series=1_000,
)
ATTEMPTS: Final = Metric(
    "chestnutvale.attempts",
    "{attempt}",
    "Attempts that ended with this result.",
    (LABEL_REASON,),
)
KEPT_ATTEMPTS: Final = Metric(
    "chestnutvale.attempts.kept.silent",
    "{attempt}",
    "Silent attempts that were kept because the call could not go on elsewhere.",
    (LABEL_REASON,),
)
LOST_GROUP_REPORTS: Final = Metric(
    "chestnutvale.attempts.group.lost",
    "{attempt}",
    "Attempts whose group the controls reported as lost; most of them may go on.",
    (LABEL_REASON,),
)
STALLS: Final = Metric(
    "chestnutvale.groups.stalled",
    "{group}",
    "Groups whose streams at the entry all fell silent.",
)
ENDPOINT_NOTICES: Final = Metric(
    "chestnutvale.entry.endpoint.notices",
    "{endpoint}",
    "Departures, pauses, cold states and limit changes that endpoints stated.",
    (LABEL_REASON,),
)
REPLACED_REFUSALS: Final = Metric(
    "chestnutvale.entry.refusals.replaced",
    "{answer}",
    "Answers that said without a proof that the request has not run, by status.",
    (LABEL_REASON,),
)
ISOLATION_CHANGES: Final = Metric(
    "chestnutvale.entry.isolation.changes",
    UNIT_NONE,
    "Times that the entry reached no endpoint any more, and reached one again.",
    (LABEL_REASON,),
)
GROUP_CHOICES: Final = Metric(
    "chestnutvale.entry.group.choices",
    "{choice}",
    "Groups chosen for attempts, by load-balancing policy and the rule that decided.",
    (LABEL_REASON,),
)
PART_BANS: Final = Metric(
    "chestnutvale.entry.part.bans",
    UNIT_NONE,
    "Prompt parts that were banned, requests refused for them, and trial requests.",
    (LABEL_REASON,),
)
LEASE_CHANGES: Final = Metric(
    "chestnutvale.entry.lease.changes",
    UNIT_NONE,
    "Serving leases that the entry won or lost.",
    (LABEL_REASON,),
)
BUFFERED_BYTES: Final = Metric(
    "chestnutvale.entry.buffered",
    UNIT_BYTES,
    "Memory of the bodies of running calls and of the unread parts of answers.",
)
CUT_ANSWERS: Final = Metric(
    "chestnutvale.entry.answers.cut",
    "{answer}",
    "Answers that were broken off because their callers read too slowly.",
)
ANSWERS_ENDED_EARLY: Final = Metric(
    "chestnutvale.entry.answers.ended.early",
    "{answer}",
    "Answers that did not end whole, by who ended them.",
    (LABEL_ENDED_BY,),
)
CUT_BODIES: Final = Metric(
    "chestnutvale.entry.answers.given.up",
    "{answer}",
    "Answers of endpoints that were given up because they took too much memory.",
)
REFUSED_WITHOUT_MEMORY: Final = Metric(
    "chestnutvale.entry.calls.refused.memory",
    "{call}",
    "Calls that were refused as not run because there was no memory for them.",
)
