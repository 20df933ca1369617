"""Chooses the entries through which an isolated entry may pass its calls on."""

from collections.abc import Iterable

import attrs
import xxhash

from chestnutvale.membership.const import MAX_RELAY_PEERS


@attrs.frozen
class RelayPeer:
    """An entry that may take calls of other entries.

    Attributes
    ----------
    address : str
        Address at which it takes them; empty if it takes none.
    data_centre : str
        Its data centre.
    can_serve : bool
        Whether it reaches endpoints and is not about to stop.
    """

    address: str
    data_centre: str
    can_serve: bool


def choose_relay_peers(
    peers: Iterable[RelayPeer], entry_id: str, data_centre: str
) -> list[str]:
    """Choose peers for an isolated entry.

    It answers the loss of most entries of a data centre: isolated entries get different
    peers where there are many, so that their calls spread over all of them.

    Parameters
    ----------
    peers : iterable of RelayPeer
        The live entries.
    entry_id : str
        The isolated entry.
    data_centre : str
        Its data centre, whose entries come first.

    Returns
    -------
    list of str
        At most `MAX_RELAY_PEERS` addresses.
    """
    usable = [peer for peer in peers if peer.address and peer.can_serve]
    usable.sort(
        key=lambda peer: (
            peer.data_centre != data_centre,
            xxhash.xxh64_intdigest(f"{entry_id} {peer.address}".encode()),
        )
    )
    return [peer.address for peer in usable[:MAX_RELAY_PEERS]]
