"""Compressed form of the text that views carry to entries."""

import zlib
from typing import Final

import attrs
from google.protobuf.message import DecodeError

from chestnutvale.schema.configuration_pb2 import Text
from chestnutvale.schema.peer_pb2 import ControlView

# Higher levels take several times as long and save a few percent on texts.
COMPRESSION_LEVEL: Final = 1
# Decompressed size above which a text is refused; a valid one is far smaller.
MAX_DECOMPRESSED_BYTES: Final = 64 * 1024 * 1024


def compress_text(text: Text) -> bytes:
    """Serialise and compress a text.

    Parameters
    ----------
    text : Text
        The text.

    Returns
    -------
    bytes
        Its serialised form, compressed with zlib.
    """
    return zlib.compress(text.SerializeToString(), COMPRESSION_LEVEL)


def decompress_text(data: bytes) -> Text:
    """Return the text that `compress_text` compressed.

    Parameters
    ----------
    data : bytes
        Result of `compress_text`.

    Returns
    -------
    Text
        The text.

    Raises
    ------
    ValueError
        If the data is damaged, incomplete or too large.
    """
    decompressor = zlib.decompressobj()
    try:
        serialised = decompressor.decompress(data, MAX_DECOMPRESSED_BYTES)
        if not decompressor.eof:
            raise ValueError("the compressed text is incomplete or too large")
        return Text.FromString(serialised)
    except (zlib.error, DecodeError) as error:
        raise ValueError(f"the compressed text is damaged: {error}") from error


def read_text(view: ControlView) -> Text | None:
    """Return the text of a view, compressed or not; None if it has none.

    Parameters
    ----------
    view : ControlView
        The view.

    Returns
    -------
    Text or None
        The text.

    Raises
    ------
    ValueError
        As `decompress_text`.
    """
    if view.compressed_text:
        return decompress_text(view.compressed_text)
    return view.text if view.HasField("text") else None


@attrs.define
class TextEncoder:
    """Puts texts into views; compresses each text once for all entries."""

    _text: Text | None = None
    _compressed: bytes = b""

    def measure_bytes(self, text: Text, *, compressed: bool) -> int:
        """Return the size of a text in a view, in bytes."""
        return len(self._compress(text)) if compressed else text.ByteSize()

    def add_text(self, view: ControlView, text: Text, *, compressed: bool) -> None:
        """Put a text into a view.

        Parameters
        ----------
        view : ControlView
            The view.
        text : Text
            The text; not modified afterwards.
        compressed : bool
            Whether the recipient reads the compressed form.
        """
        if compressed:
            view.compressed_text = self._compress(text)
        else:
            view.text.CopyFrom(text)

    def _compress(self, text: Text) -> bytes:
        if text is not self._text:
            self._text = text
            self._compressed = compress_text(text)
        return self._compressed
