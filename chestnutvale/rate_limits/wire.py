"""Converts statements about request rates to and from messages."""

from collections.abc import Iterable, Mapping

from chestnutvale.membership.endpoint_notices import Incarnation
from chestnutvale.rate_limits.cold_bound import SlotPlan
from chestnutvale.rate_limits.const import MAX_RATE_PER_S
from chestnutvale.rate_limits.statements import RateStatement
from chestnutvale.schema.peer_pb2 import ColdShare, EndpointLimit


def to_message(
    statement: RateStatement, now_s: float, share_per_s: float = 0.0
) -> EndpointLimit:
    """Return the message of a statement.

    Parameters
    ----------
    statement : RateStatement
        The statement.
    now_s : float
        Monotonic time in seconds.
    share_per_s : float, optional
        Requests per second that the receiving entry may send.

    Returns
    -------
    EndpointLimit
        The message, with the age of the statement in place of its time.
    """
    return EndpointLimit(
        host_id=statement.endpoint.host_id,
        boot_id=statement.endpoint.boot_id,
        limit_per_s=statement.rate_per_s,
        age_ms=max(0, round(1_000 * (now_s - statement.stated_at_s))),
        share_per_s=share_per_s,
    )


def from_message(message: EndpointLimit, now_s: float) -> RateStatement:
    """Return the statement in a message.

    Parameters
    ----------
    message : EndpointLimit
        The message.
    now_s : float
        Monotonic time in seconds at which it arrived.

    Returns
    -------
    RateStatement
        The statement, on the clock of this process.
    """
    rate_per_s = None
    if message.HasField("limit_per_s"):
        rate_per_s = min(max(message.limit_per_s, 0.0), MAX_RATE_PER_S)
    return RateStatement(
        Incarnation(message.host_id, message.boot_id),
        rate_per_s,
        now_s - message.age_ms / 1_000,
    )


def to_cold_messages(shares: Mapping[Incarnation, SlotPlan]) -> list[ColdShare]:
    """Return the messages of the slots of an entry.

    Parameters
    ----------
    shares : mapping of Incarnation to SlotPlan
        Number and rate of its slots at each cold endpoint.

    Returns
    -------
    list of ColdShare
        One for each endpoint.
    """
    return [
        ColdShare(
            host_id=endpoint.host_id,
            boot_id=endpoint.boot_id,
            slots=plan.count,
            rate_per_s=plan.rate_per_s,
        )
        for endpoint, plan in shares.items()
    ]


def from_cold_messages(messages: Iterable[ColdShare]) -> dict[Incarnation, SlotPlan]:
    """Return the slots in messages.

    Parameters
    ----------
    messages : iterable of ColdShare
        The messages.

    Returns
    -------
    dict of Incarnation to SlotPlan
        Number and rate of the slots at each cold endpoint.
    """
    return {
        Incarnation(message.host_id, message.boot_id): SlotPlan(
            message.slots, min(max(message.rate_per_s, 0.0), MAX_RATE_PER_S)
        )
        for message in messages
    }
