"""Cache of prompt blocks in the part of an engine's memory that requests leave free."""

from collections import OrderedDict

from chestnutvale.emulator.const import PREFIX_BLOCK_TOKENS


class PrefixCache:
    """LRU cache of prompt blocks that records its changes.

    Attributes
    ----------
    added, removed : list of int
        Prefix hashes inserted and evicted since the last call of `pop_changes`.
    """

    def __init__(self) -> None:
        self.added: list[int] = []
        self.removed: list[int] = []
        self._blocks: OrderedDict[int, None] = OrderedDict()

    @property
    def used_tokens(self) -> int:
        """Memory that the cached blocks occupy, in tokens."""
        return len(self._blocks) * PREFIX_BLOCK_TOKENS

    def count_cached_tokens(self, hashes: list[int]) -> int:
        """Return the length in tokens of the longest cached prefix of a prompt.

        The matched blocks become the most recently used ones.

        Parameters
        ----------
        hashes : list of int
            Prefix hashes of the prompt.

        Returns
        -------
        int
            Number of tokens that need no prefill.
        """
        matched_blocks = 0
        for block in hashes:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            matched_blocks += 1
        return matched_blocks * PREFIX_BLOCK_TOKENS

    def insert_blocks(self, hashes: list[int]) -> None:
        """Cache the blocks of a prefilled prompt as the most recently used ones."""
        for block in hashes:
            if block not in self._blocks:
                self.added.append(block)
            self._blocks[block] = None
            self._blocks.move_to_end(block)

    def evict_to_limit(self, limit_tokens: int) -> None:
        """Evict least recently used blocks until at most ``limit_tokens`` remain."""
        while self._blocks and self.used_tokens > limit_tokens:
            block, _ = self._blocks.popitem(last=False)
            self.removed.append(block)

    def clear(self) -> None:
        """Evict all blocks and record them as removed."""
        self.evict_to_limit(0)

    def pop_changes(self) -> tuple[list[int], list[int]]:
        """Return the hashes added and removed since the last call, and reset them."""
        changes = (self.added, self.removed)
        self.added = []
        self.removed = []
        return changes
