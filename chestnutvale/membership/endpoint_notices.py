"""What endpoints say in their answers about whether they want further requests."""

import math
from collections.abc import Iterable

import attrs

from chestnutvale.membership.const import DEPARTURE_RETENTION_S, MAX_PAUSE_S
from chestnutvale.schema.groups_pb2 import GroupMember


@attrs.frozen
class Incarnation:
    """One run of a host's process.

    Attributes
    ----------
    host_id : str
        Identity of the host.
    boot_id : str
        Its boot; a restart under the same identity has another one.
    """

    host_id: str
    boot_id: str

    @classmethod
    def of_member(cls, member: GroupMember) -> "Incarnation":
        """Return the incarnation that a group lists as a member."""
        return cls(member.host_id, member.boot_id)


@attrs.frozen
class EndpointNotice:
    """What an answer says about the endpoint that sent it.

    Attributes
    ----------
    is_leaving : bool
        Whether the endpoint is about to stop and wants no further requests.
    pause_s : float or None
        Time in seconds for which it wants no request from this process; None for no
        such wish.
    rate_limit_per_s : float or None
        Requests per second that it takes from all entries together; None if it names
        no limit.
    is_misdirected : bool
        Whether another endpoint answered, so that the answer says nothing.
    cold_remaining_s : float
        Time in seconds for which it stays cold; 0 if it does not say so.
    """

    is_leaving: bool = False
    pause_s: float | None = None
    rate_limit_per_s: float | None = None
    is_misdirected: bool = False
    cold_remaining_s: float = 0.0


MISDIRECTED = EndpointNotice(is_misdirected=True)


@attrs.define
class _Departure:
    """When a departure was learned, and when a view last listed the endpoint."""

    learned_at_s: float
    listed_at_s: float


@attrs.define
class EndpointNotices:
    """Departures and pauses of endpoints, from their answers to one process.

    It decides which endpoints may be sent a request now. A departure holds for the
    rest of that incarnation, whatever it announces later. A pause ends by itself.
    """

    _departures: dict[Incarnation, _Departure] = attrs.field(factory=dict)
    _paused_until_s: dict[Incarnation, float] = attrs.field(factory=dict)

    def record(
        self, endpoint: Incarnation, notice: EndpointNotice, now_s: float
    ) -> bool:
        """Record the notice of an answer.

        Parameters
        ----------
        endpoint : Incarnation
            The endpoint that answered.
        notice : EndpointNotice
            What its answer says.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            Whether the endpoint departs, or pauses although it did not before.
        """
        was_sendable = self.may_send(endpoint, now_s)
        is_new_departure = notice.is_leaving and endpoint not in self._departures
        if is_new_departure:
            self._departures[endpoint] = _Departure(now_s, now_s)
        if notice.pause_s:
            until_s = now_s + min(notice.pause_s, MAX_PAUSE_S)
            known_s = self._paused_until_s.get(endpoint, -math.inf)
            self._paused_until_s[endpoint] = max(known_s, until_s)
        return is_new_departure or (was_sendable and not self.may_send(endpoint, now_s))

    def may_send(self, endpoint: Incarnation, now_s: float) -> bool:
        """Tell whether a request may be sent to an endpoint.

        Parameters
        ----------
        endpoint : Incarnation
            The endpoint.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            False if it departs or still pauses.
        """
        if endpoint in self._departures:
            return False
        return now_s >= self._paused_until_s.get(endpoint, -math.inf)

    def is_departing(self, endpoint: Incarnation) -> bool:
        """Tell whether an endpoint said that it leaves."""
        return endpoint in self._departures

    def pause_end_s(self, endpoint: Incarnation, now_s: float) -> float | None:
        """Return when an endpoint may be sent requests again.

        Parameters
        ----------
        endpoint : Incarnation
            The endpoint.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        float or None
            Monotonic time in seconds; None if it departs or does not pause.
        """
        until_s = self._paused_until_s.get(endpoint, -math.inf)
        return until_s if until_s > now_s and endpoint not in self._departures else None

    def departures(self) -> list[Incarnation]:
        """Return the endpoints that said that they leave, for reports."""
        return list(self._departures)

    def keep_listed(self, listed: Iterable[Incarnation], now_s: float) -> None:
        """Forget ended pauses, and departures that no view has listed for a while.

        Parameters
        ----------
        listed : iterable of Incarnation
            Endpoints of the newest view.
        now_s : float
            Monotonic time in seconds.
        """
        for endpoint in listed:
            departure = self._departures.get(endpoint)
            if departure is not None:
                departure.listed_at_s = now_s
        self._departures = {
            endpoint: departure
            for endpoint, departure in self._departures.items()
            if now_s - departure.listed_at_s <= DEPARTURE_RETENTION_S
        }
        self._paused_until_s = {
            endpoint: until_s
            for endpoint, until_s in self._paused_until_s.items()
            if until_s > now_s
        }

    def describe(self, now_s: float) -> list[dict[str, object]]:
        """Return all departures and pauses for the state dump.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        list of dict
            Host, boot, kind, and the age of a departure or the rest of a pause in
            seconds.
        """
        departing = [
            {
                "host": endpoint.host_id,
                "boot": endpoint.boot_id,
                "notice": "leaving",
                "age_s": round(now_s - departure.learned_at_s, 3),
            }
            for endpoint, departure in self._departures.items()
        ]
        pausing = [
            {
                "host": endpoint.host_id,
                "boot": endpoint.boot_id,
                "notice": "paused",
                "left_s": round(until_s - now_s, 3),
            }
            for endpoint, until_s in self._paused_until_s.items()
            if until_s > now_s
        ]
        return departing + pausing
