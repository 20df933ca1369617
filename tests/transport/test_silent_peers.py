"""Detection of peer connections that stopped delivering without an error."""

from chestnutvale.transport.silent_peers import SilentPeerDetector


def test_a_peer_that_answers_is_left_alone():
    detector = SilentPeerDetector(silence_timeout_s=1.5)
    for now_s in range(10):
        assert not detector.record_send("c1", "10.0.0.1:1", float(now_s))
        detector.record_receive("c1", now_s + 0.1)


def test_a_silent_peer_is_dialled_again_once_in_a_while():
    detector = SilentPeerDetector(silence_timeout_s=1.5)
    dialled = [
        step / 10
        for step in range(100)
        if detector.record_send("c1", "10.0.0.1:1", step / 10)
    ]
    assert 1.5 < dialled[0] <= 1.7
    assert 5 <= len(dialled) <= 7


def test_a_pause_without_sending_is_no_silence():
    detector = SilentPeerDetector(silence_timeout_s=1.5)
    detector.record_send("c1", "10.0.0.1:1", 0.0)
    detector.record_receive("c1", 0.1)
    assert not detector.record_send("c1", "10.0.0.1:1", 60.0)
    assert not detector.record_send("c1", "10.0.0.1:1", 61.0)


def test_another_address_begins_anew():
    detector = SilentPeerDetector(silence_timeout_s=1.5)
    detector.record_send("c1", "10.0.0.1:1", 0.0)
    assert not detector.record_send("c1", "10.0.0.2:1", 5.0)
