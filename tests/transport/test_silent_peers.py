"""Detection of peer connections that stopped delivering without an error."""

from chestnutvale.transport.silent_peers import SilentPeerDetector


def test_answering_peer_is_not_reconnected():
    detector = SilentPeerDetector(silence_timeout_s=1.5)
    for now_s in range(10):
        assert not detector.record_send("c1", "10.0.0.1:1", float(now_s))
        detector.record_receive("c1", now_s + 0.1)


def test_silent_peer_is_reconnected_once_per_timeout():
    detector = SilentPeerDetector(silence_timeout_s=1.5)
    reconnected_at_s = [
        step / 10
        for step in range(100)
        if detector.record_send("c1", "10.0.0.1:1", step / 10)
    ]
    assert 1.5 < reconnected_at_s[0] <= 1.7
    assert 5 <= len(reconnected_at_s) <= 7


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
