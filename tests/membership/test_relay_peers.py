"""Which entries an isolated entry may pass its calls on to."""

from chestnutvale.membership.const import MAX_RELAY_PEERS
from chestnutvale.membership.relay_peers import RelayPeer, choose_relay_peers


def make_peers(count, data_centre, can_serve=True):
    return [
        RelayPeer(f"{data_centre}-{number}:1", data_centre, can_serve)
        for number in range(count)
    ]


def test_entries_that_can_not_serve_or_take_no_calls_are_left_out():
    peers = make_peers(3, "a", can_serve=False) + [RelayPeer("", "a", True)]
    assert choose_relay_peers(peers, "e", "a") == []


def test_entries_of_the_same_data_centre_come_first():
    peers = make_peers(2, "b") + make_peers(2, "a")
    chosen = choose_relay_peers(peers, "e", "a")
    assert [address[0] for address in chosen] == ["a", "a", "b", "b"]


def test_the_number_of_addresses_is_bounded_and_entries_get_different_ones():
    peers = make_peers(340, "b")
    chosen = [set(choose_relay_peers(peers, f"e{n}", "a")) for n in range(8)]
    assert {len(addresses) for addresses in chosen} == {MAX_RELAY_PEERS}
    assert len(set.union(*chosen)) > 4 * MAX_RELAY_PEERS
