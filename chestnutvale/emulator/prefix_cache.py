"""The prompt blocks that an engine keeps in the memory that nobody uses."""

from collections import OrderedDict

from chestnutvale.emulator.const import PREFIX_BLOCK_TOKENS


class PrefixCache:
    """Least recently used cache of prompt blocks, with a log of its changes.

    Attributes
    ----------
    added, removed : list of int
        Prefix hashes since the last `pop_changes`.
    """

    def __init__(self) -> None:
        self.added: list[int] = []
        self.removed: list[int] = []
        self._blocks: OrderedDict[int, None] = OrderedDict()

    @property
    def used_tokens(self) -> int:
        """Memory in tokens that the cached blocks take."""
        return len(self._blocks) * PREFIX_BLOCK_TOKENS

    def match_tokens(self, hashes: list[int]) -> int:
        """Return how many tokens of a prompt are cached, from its start.

        Parameters
        ----------
        hashes : list of int
            The prompt's prefix hashes.

        Returns
        -------
        int
            Tokens that need no prefill.
        """
        matched_blocks = 0
        for block in hashes:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            matched_blocks += 1
        return matched_blocks * PREFIX_BLOCK_TOKENS

    def insert(self, hashes: list[int]) -> None:
        """Keep the blocks of a prompt that has been prefilled."""
        for block in hashes:
            if block not in self._blocks:
                self.added.append(block)
            self._blocks[block] = None
            self._blocks.move_to_end(block)

    def shrink(self, limit_tokens: int) -> None:
        """Drop the least recently used blocks above a limit in tokens."""
        while self._blocks and self.used_tokens > limit_tokens:
            block, _ = self._blocks.popitem(last=False)
            self.removed.append(block)

    def clear(self) -> None:
        """Drop all blocks."""
        self.shrink(0)

    def pop_changes(self) -> tuple[list[int], list[int]]:
        """Return and forget the hashes added and removed since the last call."""
        changes = (self.added, self.removed)
        self.added = []
        self.removed = []
        return changes
