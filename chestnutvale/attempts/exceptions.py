"""Errors of attempts."""

from chestnutvale.exceptions import ChestnutError


class StreamFormatError(ChestnutError):
    """A stream that is not made of the events that the protocol asks for."""

    code = "stream_malformed"
