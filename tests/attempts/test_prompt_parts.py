"""Tests of the hashes of prompt parts."""

from chestnutvale.attempts.prompt_parts import format_parts, hash_shared_parts


def test_last_part_is_left_out_and_services_differ():
    shared = hash_shared_parts("s", ("a", "b", "own"))
    assert shared == hash_shared_parts("s", ("a", "b", "other"))
    assert len(shared) == 2
    assert set(shared).isdisjoint(hash_shared_parts("t", ("a", "b", "own")))
    assert hash_shared_parts("s", ("own",)) == hash_shared_parts("s", ()) == ()


def test_parts_are_logged_in_hexadecimal():
    assert format_parts([255]) == ["00000000000000ff"]
