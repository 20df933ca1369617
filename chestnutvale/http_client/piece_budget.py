"""Bounds the work of parsing answers that arrive in many tiny pieces."""

import attrs

from chestnutvale.http_client.const import (
    BYTES_PER_FREE_PIECE,
    FREE_PIECES,
    FREE_PIECES_PER_S,
    SHARED_PIECES_PER_S,
)


@attrs.define
class SharedPieceBudget:
    """Pieces beyond their own allowance that all answers of a process may take.

    Answers take turns in the order in which they ask. Designed for some hundred answers
    at a time from faulty endpoints, beside sound ones that never ask.

    Attributes
    ----------
    taken_pieces : int
        Number of pieces taken so far.
    """

    taken_pieces: int = 0
    _next_at_s: float = 0.0

    def take(self, pieces: float, now_s: float) -> float:
        """Take pieces and return when the next ones may be parsed.

        Parameters
        ----------
        pieces : float
            Number of pieces that were parsed.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        float
            Monotonic time in seconds.
        """
        self.taken_pieces += round(pieces)
        self._next_at_s = max(self._next_at_s, now_s) + pieces / SHARED_PIECES_PER_S
        return self._next_at_s


@attrs.define
class PieceMeter:
    """Tells when the next pieces of one answer may be parsed.

    A piece is what costs about the same work whatever its size, such as a chunk. An
    answer has an allowance that grows with its bytes and with time, so that large
    bodies, streams and short bodies in tiny chunks are not delayed.

    Parameters
    ----------
    started_at_s : float
        Monotonic time in seconds at which the answer began.
    shared : SharedPieceBudget
        Budget for what exceeds the allowance.
    """

    started_at_s: float
    shared: SharedPieceBudget
    _pieces: int = 0
    _bytes: int = 0
    _paid_pieces: float = 0.0

    @property
    def has_excess(self) -> bool:
        """Whether the answer has taken pieces from the shared budget."""
        return self._paid_pieces > 0.0

    def record(self, pieces: int, size_bytes: int, now_s: float) -> float:
        """Record pieces that were parsed and return when to parse the next ones.

        Parameters
        ----------
        pieces : int
            Number of pieces.
        size_bytes : int
            Bytes of the body in them.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        float
            Monotonic time in seconds; not above `now_s` if there is nothing to wait
            for.
        """
        self._pieces += pieces
        self._bytes += size_bytes
        allowed = (
            FREE_PIECES
            + self._bytes / BYTES_PER_FREE_PIECE
            + (now_s - self.started_at_s) * FREE_PIECES_PER_S
        )
        excess = self._pieces - self._paid_pieces - allowed
        if excess <= 0.0:
            return now_s
        self._paid_pieces += excess
        return self.shared.take(excess, now_s)
