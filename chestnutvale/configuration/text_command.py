"""Log records that apply a text, compressed if it is large."""

from chestnutvale.compression import compress, decompress
from chestnutvale.configuration.const import MIN_COMPRESSED_COMMAND_BYTES
from chestnutvale.schema.command_pb2 import Command
from chestnutvale.schema.configuration_pb2 import ApplyText


def make_text_command(apply_text: ApplyText, *, may_compress: bool) -> Command:
    """Return the command that applies a text.

    The leader sends each record to all other controls at once, and heartbeats wait
    behind them; a large document shrinks to a small part of its size.

    Parameters
    ----------
    apply_text : ApplyText
        The text and how to apply it.
    may_compress : bool
        Whether all members of the log read commands of
        `COMPRESSED_TEXT_COMMAND_VERSION`.

    Returns
    -------
    Command
        The command.
    """
    if may_compress and apply_text.ByteSize() >= MIN_COMPRESSED_COMMAND_BYTES:
        return Command(compressed_apply_text=compress(apply_text.SerializeToString()))
    return Command(apply_text=apply_text)


def read_text_command(command: Command) -> ApplyText:
    """Return what `make_text_command` was given.

    Parameters
    ----------
    command : Command
        The command.

    Returns
    -------
    ApplyText
        The text and how to apply it.

    Raises
    ------
    ValueError
        If the compressed record is damaged.
    """
    if command.WhichOneof("body") == "compressed_apply_text":
        return ApplyText.FromString(decompress(command.compressed_apply_text))
    return command.apply_text
