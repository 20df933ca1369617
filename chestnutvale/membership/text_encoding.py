"""Compressed form of the text in views."""

import attrs
from google.protobuf.message import DecodeError

from chestnutvale.compression import compress, decompress
from chestnutvale.schema.configuration_pb2 import Text
from chestnutvale.schema.peer_pb2 import ControlView


def read_text(view: ControlView) -> Text | None:
    """Return the text of a view, compressed or not.

    Parameters
    ----------
    view : ControlView
        The view.

    Returns
    -------
    Text or None
        None if the view has no text.

    Raises
    ------
    ValueError
        If the compressed text is damaged or too large.
    """
    if not view.compressed_text:
        return view.text if view.HasField("text") else None
    try:
        return Text.FromString(decompress(view.compressed_text))
    except DecodeError as error:
        raise ValueError(f"the text is damaged: {error}") from error


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
            The text; must not change afterwards.
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
            self._compressed = compress(text.SerializeToString())
        return self._compressed
