"""Exceptions raised while reading the streams of attempts."""

from chestnutvale.exceptions import ChestnutError


class StreamFormatError(ChestnutError):
    """The stream of an endpoint violates the event format."""

    code = "stream_malformed"
