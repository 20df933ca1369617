"""How the answer to one request ended, if not whole."""

from collections.abc import Iterable, Iterator
from typing import Any

import attrs
from eventlet import Timeout

from chestnutvale.http_server.const import (
    ENDED_BY_CALLER,
    ENDED_BY_SERVER,
    ENVIRON_ANSWER_END,
    REASON_CALLER_GONE,
    REASON_INTERNAL_ERROR,
    REASON_MEMORY,
    REASON_NOT_READ,
)
from chestnutvale.http_server.exceptions import (
    AnswerBrokenError,
    AnswerCutError,
    AnswerNotReadError,
)

_STATUS_INTERNAL_ERROR = 500


@attrs.define
class AnswerEnd:
    """Records who ended the answer to a request, and why.

    The part of the server or of the application that ends an answer records it; the
    connection writes the log line.

    Attributes
    ----------
    request_id : str
        Id of the request, as its caller knows it; empty if it has none.
    client : str
        Address and port of the client.
    started_s : float
        Monotonic time in seconds at which the head of the request was read.
    status : int
        Status of the answer; 0 before it begins.
    ended_by : str
        One of the ``ENDED_BY_*`` constants; empty as long as the answer may end whole.
    reason : str
        Why it ended, as a code.
    detail : str
        What happened, for a reader.
    is_broken_off : bool
        Whether the body had begun and will not be whole.
    """

    request_id: str = ""
    client: str = ""
    started_s: float = 0.0
    status: int = 0
    ended_by: str = ""
    reason: str = ""
    detail: str = ""
    is_broken_off: bool = False

    def record(self, ended_by: str, reason: str, detail: str = "") -> None:
        """Record that the answer ends early; what was recorded first is kept.

        Parameters
        ----------
        ended_by : str
            One of the ``ENDED_BY_*`` constants.
        reason : str
            Why it ended, as a code.
        detail : str, optional
            What happened, for a reader.
        """
        if not self.ended_by:
            self.ended_by, self.reason, self.detail = ended_by, reason, detail

    def record_error(self, error: BaseException) -> None:
        """Record that an error ended the answer.

        Parameters
        ----------
        error : BaseException
            The error; its text is left out unless it was written for callers.
        """
        if isinstance(error, AnswerBrokenError):
            self.record(error.ended_by, error.reason, str(error))
        else:
            self.record(ENDED_BY_SERVER, REASON_INTERNAL_ERROR, type(error).__name__)

    def record_write_error(self, error: OSError) -> None:
        """Record that the answer could not be written.

        An answer that this server cut ends the call as well, which would look like one
        that its caller has left.

        Parameters
        ----------
        error : OSError
            The error of the writer.
        """
        self.is_broken_off = True
        if isinstance(error, AnswerCutError | AnswerNotReadError):
            is_cut = isinstance(error, AnswerCutError)
            self.ended_by = ""
            self.record(
                ENDED_BY_SERVER,
                REASON_MEMORY if is_cut else REASON_NOT_READ,
                str(error),
            )
        else:
            self.record(ENDED_BY_CALLER, REASON_CALLER_GONE, str(error))

    def log_fields(self, sent_bytes: int, now_s: float) -> dict[str, Any]:
        """Return the fields of the log line.

        Parameters
        ----------
        sent_bytes : int
            Bytes of the answer that the socket has accepted.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        dict
            The fields.
        """
        return {
            "request": self.request_id,
            "client": self.client,
            "status": self.status,
            "sent_bytes": sent_bytes,
            "ended_by": self.ended_by,
            "reason": self.reason,
            "detail": self.detail,
            "held_ms": round(1_000 * (now_s - self.started_s)),
        }


class ObservedAnswer:
    """The body of an answer; records the error that ends it.

    Parameters
    ----------
    parts : iterable of bytes
        The body.
    end : AnswerEnd
        The record.
    """

    def __init__(self, parts: Iterable[bytes], end: AnswerEnd) -> None:
        self._parts = parts
        self._end = end

    def __iter__(self) -> Iterator[bytes]:
        """Yield the parts of the body."""
        has_begun = False
        try:
            for part in self._parts:
                has_begun = has_begun or bool(part)
                yield part
        except (Exception, Timeout) as error:
            self._end.record_error(error)
            self._end.is_broken_off = has_begun
            if not has_begun:
                self._end.status = _STATUS_INTERNAL_ERROR
            raise

    def close(self) -> None:
        """Close the body, which ends the call that it belongs to."""
        close = getattr(self._parts, "close", None)
        if close is not None:
            close()


def find_answer_end(environ: dict[str, Any]) -> AnswerEnd:
    """Return the record of the request that an environment belongs to.

    Parameters
    ----------
    environ : dict
        The WSGI environment.

    Returns
    -------
    AnswerEnd
        The record; nobody reads it if another server made the environment.
    """
    return environ.setdefault(ENVIRON_ANSWER_END, AnswerEnd())


def observe_answer(answer: Iterable[bytes], end: AnswerEnd) -> Iterable[bytes]:
    """Record the error that ends an answer.

    Parameters
    ----------
    answer : iterable of bytes
        The body of the answer.
    end : AnswerEnd
        The record.

    Returns
    -------
    iterable of bytes
        The body; a list is returned as it is, since the server takes its length.
    """
    return answer if isinstance(answer, list) else ObservedAnswer(answer, end)
