"""Connections that went dead without a sign are made anew."""

from chestnutvale.transport.contacts import PeerContacts


def test_a_peer_that_answers_is_left_alone():
    contacts = PeerContacts(silent_peer_s=1.5)
    for now_s in range(10):
        assert not contacts.note_sent("c1", "10.0.0.1:1", float(now_s))
        contacts.note_heard("c1", now_s + 0.1)


def test_a_silent_peer_is_dialled_again_once_in_a_while():
    contacts = PeerContacts(silent_peer_s=1.5)
    dialled = [
        step / 10
        for step in range(100)
        if contacts.note_sent("c1", "10.0.0.1:1", step / 10)
    ]
    assert 1.5 < dialled[0] <= 1.7
    assert 5 <= len(dialled) <= 7


def test_a_pause_without_sending_is_no_silence():
    contacts = PeerContacts(silent_peer_s=1.5)
    contacts.note_sent("c1", "10.0.0.1:1", 0.0)
    contacts.note_heard("c1", 0.1)
    assert not contacts.note_sent("c1", "10.0.0.1:1", 60.0)
    assert not contacts.note_sent("c1", "10.0.0.1:1", 61.0)


def test_another_address_begins_anew():
    contacts = PeerContacts(silent_peer_s=1.5)
    contacts.note_sent("c1", "10.0.0.1:1", 0.0)
    assert not contacts.note_sent("c1", "10.0.0.2:1", 5.0)
