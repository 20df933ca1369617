"""Detection of peer connections that stopped delivering without an error."""

from chestnutvale.transport.silent_peers import SilentPeerDetector


def test_answering_peer_is_not_reconnected():
    detector = SilentPeerDetector(silence_timeout_s=1.5)
    for now_s in range(10):
        assert not detector.record_send("c1", "10.0.0.1:1", float(now_s))
        detector.record_receive("c1", now_s + 0.1)


def test_silent_peer_is_reconnected_once_per_timeout():
    detector = SilentPeerDetector(silence_timeout_s=1.5)
    detector.record_send("c1", "10.0.0.1:1", 0.0)
    detector.record_receive("c1", 0.0)
    reconnected_at_s = [
        step / 10
        for step in range(100)
        if detector.record_send("c1", "10.0.0.1:1", step / 10)
    ]
    assert 1.5 < reconnected_at_s[0] <= 1.7
    assert 5 <= len(reconnected_at_s) <= 7


def test_peer_that_was_never_heard_is_reconnected_sooner_and_then_less_often():
    """A handshake with a host that is still down is repeated only after a second."""
    detector = SilentPeerDetector(silence_timeout_s=1.5, connect_timeout_s=0.25)
    reconnected_at_s = [
        step / 100
        for step in range(800)
        if detector.record_send("c1", "10.0.0.1:1", step / 100)
    ]
    assert reconnected_at_s[0] <= 0.3
    pauses_s = [
        round(later - sooner, 2)
        for sooner, later in zip(reconnected_at_s, reconnected_at_s[1:], strict=False)
    ]
    assert pauses_s == sorted(pauses_s)
    assert 1.5 <= pauses_s[-1] <= 1.6


def test_first_message_of_a_peer_opens_a_new_connection_to_it():
    """An answer waits for a handshake that began while the peer was down."""
    detector = SilentPeerDetector(silence_timeout_s=1.5, connect_timeout_s=0.25)
    detector.record_send("c1", "10.0.0.1:1", 0.0)
    detector.record_receive("c1", 0.15)
    assert detector.record_send("c1", "10.0.0.1:1", 0.16)
    assert not detector.record_send("c1", "10.0.0.1:1", 0.17)


def test_connection_to_a_peer_that_answers_soon_is_kept():
    detector = SilentPeerDetector(silence_timeout_s=1.5, connect_timeout_s=0.25)
    detector.record_send("c1", "10.0.0.1:1", 0.0)
    detector.record_receive("c1", 0.01)
    assert not detector.record_send("c1", "10.0.0.1:1", 0.02)


def test_pause_without_sending_is_not_silence():
    detector = SilentPeerDetector(silence_timeout_s=1.5)
    detector.record_send("c1", "10.0.0.1:1", 0.0)
    detector.record_receive("c1", 0.1)
    assert not detector.record_send("c1", "10.0.0.1:1", 60.0)
    assert not detector.record_send("c1", "10.0.0.1:1", 61.0)


def test_changed_address_restarts_the_timeout():
    detector = SilentPeerDetector(silence_timeout_s=1.5)
    detector.record_send("c1", "10.0.0.1:1", 0.0)
    assert not detector.record_send("c1", "10.0.0.2:1", 5.0)


def test_connection_to_a_peer_that_spoke_first_is_kept():
    """A leader reopens its connections to all entries after their second report."""
    detector = SilentPeerDetector(silence_timeout_s=1.5, connect_timeout_s=0.25)
    for step in range(10):
        detector.record_receive("e1", step / 2)
        assert not detector.record_send("e1", "10.0.0.1:1", step / 2)
