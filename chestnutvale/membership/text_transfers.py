"""Decides to which entries the leader sends the text of the configuration."""

from collections.abc import Mapping, Sequence

import attrs

from chestnutvale.membership.const import (
    MAX_TEXT_RETRY_S,
    MAX_UNCONFIRMED_TEXT_BYTES,
    TEXT_RETRY_S,
)


@attrs.define
class _Transfer:
    """A text that was sent to an entry and that it has not confirmed."""

    number: int
    size_bytes: int
    retry_at_s: float
    timeout_s: float
    is_counted: bool = True


@attrs.define
class TextTransfers:
    """Limits the texts that are on their way to entries.

    Answers the load of a large text that all entries lack at once: after a change, a
    restart of all processes or a change of leader. Sent to all of them together, or
    again with each answer until it has arrived, texts fill the leader's link for
    seconds. Heartbeats and leases wait behind them, the leader loses its leadership,
    and its successor begins anew.

    An entry confirms a text by reporting its number. Only a limited number of bytes is
    unconfirmed at a time, and an entry gets the text again only after a timeout, which
    doubles. A transfer that has timed out no longer counts, so that entries which fell
    silent do not delay the others.

    Parameters
    ----------
    max_unconfirmed_bytes : int, optional
        Bytes of texts that may be unconfirmed at a time; a larger text goes to one
        entry at a time.
    retry_s : float, optional
        Time in seconds after which a text is sent again for the first time.
    """

    max_unconfirmed_bytes: int = MAX_UNCONFIRMED_TEXT_BYTES
    retry_s: float = TEXT_RETRY_S
    _transfers: dict[str, _Transfer] = attrs.field(factory=dict)
    _unconfirmed_bytes: int = 0

    def begin(self, entry_id: str, number: int, size_bytes: int, now_s: float) -> bool:
        """Begin a transfer, if the entry may get the text now.

        Parameters
        ----------
        entry_id : str
            The entry.
        number : int
            Number of the text.
        size_bytes : int
            Size of the text.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            Whether to send the text now; it then counts as unconfirmed.
        """
        previous = self._transfers.get(entry_id)
        if previous is not None and now_s < previous.retry_at_s:
            return False
        if not self._has_room(size_bytes, now_s):
            return False
        timeout_s = self.retry_s
        if previous is not None:
            self._stop_counting(previous)
            timeout_s = min(2 * previous.timeout_s, MAX_TEXT_RETRY_S)
        self._transfers[entry_id] = _Transfer(
            number, size_bytes, now_s + timeout_s, timeout_s
        )
        self._unconfirmed_bytes += size_bytes
        return True

    def confirm(self, entry_id: str, number: int) -> bool:
        """End the transfer to an entry that has reported its number.

        Parameters
        ----------
        entry_id : str
            The entry.
        number : int
            Number of the text that it has.

        Returns
        -------
        bool
            Whether a transfer has ended, so that others may begin.
        """
        transfer = self._transfers.get(entry_id)
        if transfer is None or number < transfer.number:
            return False
        self._stop_counting(transfer)
        del self._transfers[entry_id]
        return True

    def forget(self, entry_id: str) -> None:
        """Forget the transfer to an entry that has restarted, which lost the text.

        Parameters
        ----------
        entry_id : str
            The entry.
        """
        transfer = self._transfers.pop(entry_id, None)
        if transfer is not None:
            self._stop_counting(transfer)

    def retain(self, entry_ids: Sequence[str]) -> None:
        """Forget the transfers to all other entries.

        Parameters
        ----------
        entry_ids : sequence of str
            The live entries.
        """
        for entry_id in self._transfers.keys() - set(entry_ids):
            self.forget(entry_id)

    def order_waiting(
        self, numbers: Mapping[str, int], number: int, now_s: float
    ) -> list[str]:
        """Return the entries that lack a text and may get it, by precedence.

        Parameters
        ----------
        numbers : mapping of str to int
            Number of the text at each live entry.
        number : int
            Number of the text in force.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        list of str
            Those that have not been sent a text before, and then the others.
        """
        waiting = [
            entry_id
            for entry_id, held_number in numbers.items()
            if held_number < number and self._retry_at_s(entry_id) <= now_s
        ]
        return sorted(waiting, key=lambda entry_id: entry_id in self._transfers)

    def _retry_at_s(self, entry_id: str) -> float:
        transfer = self._transfers.get(entry_id)
        return transfer.retry_at_s if transfer is not None else float("-inf")

    def _has_room(self, size_bytes: int, now_s: float) -> bool:
        limit_bytes = max(self.max_unconfirmed_bytes, size_bytes)
        if self._unconfirmed_bytes + size_bytes > limit_bytes:
            for transfer in self._transfers.values():
                if now_s >= transfer.retry_at_s:
                    self._stop_counting(transfer)
        return self._unconfirmed_bytes + size_bytes <= limit_bytes

    def _stop_counting(self, transfer: _Transfer) -> None:
        if transfer.is_counted:
            transfer.is_counted = False
            self._unconfirmed_bytes -= transfer.size_bytes
