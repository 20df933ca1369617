"""Budget for answers in many tiny pieces, without sockets."""

import pytest

from chestnutvale.http_client.const import (
    BYTES_PER_FREE_PIECE,
    FREE_PIECES,
    FREE_PIECES_PER_S,
    SHARED_PIECES_PER_S,
)
from chestnutvale.http_client.piece_budget import PieceMeter, SharedPieceBudget

STEP = 32


def parse(meter, pieces, size_bytes, now_s):
    """Parse pieces of one size step by step; return when the last one was parsed."""
    while pieces > 0:
        step = min(STEP, pieces)
        now_s = max(now_s, meter.record(step, step * size_bytes, now_s))
        pieces -= step
    return now_s


def test_pieces_of_a_useful_size_are_never_delayed():
    shared = SharedPieceBudget()
    meter = PieceMeter(0.0, shared)
    assert parse(meter, 100_000, BYTES_PER_FREE_PIECE, 1.0) == 1.0
    assert not shared.taken_pieces


def test_short_answer_in_tiny_pieces_is_not_delayed():
    shared = SharedPieceBudget()
    assert parse(PieceMeter(0.0, shared), FREE_PIECES, 1, 0.0) == 0.0
    assert not shared.taken_pieces


def test_stream_of_tiny_events_is_not_delayed():
    shared = SharedPieceBudget()
    meter = PieceMeter(0.0, shared)
    for number in range(1, 6_000):
        now_s = number / FREE_PIECES_PER_S
        assert meter.record(1, 1, now_s) == now_s


def test_long_answer_in_tiny_pieces_ends_some_time_later():
    # Such an answer is valid, so it is read, in turn with the others.
    taken_s = parse(PieceMeter(0.0, SharedPieceBudget()), 10_000, 1, 0.0)
    assert taken_s == pytest.approx(1.2, abs=0.2)


@pytest.mark.parametrize("answers", [1, 40, 400])
def test_work_for_all_answers_together_is_bounded(answers):
    # Guards against faulty endpoints that keep a process from serving others.
    shared = SharedPieceBudget()
    turns_s = [(0.0, number) for number in range(answers)]
    meters = [PieceMeter(0.0, shared) for _ in turns_s]
    parsed = 0
    while True:
        now_s, number = min(turns_s)
        if now_s >= 2.0:
            break
        parsed += STEP
        next_s = max(now_s, meters[number].record(STEP, STEP, now_s))
        turns_s[turns_s.index((now_s, number))] = (next_s, number)
    free = answers * (FREE_PIECES + 2.0 * FREE_PIECES_PER_S + STEP)
    assert parsed <= 1.1 * (2.0 * SHARED_PIECES_PER_S + free)


def test_answers_take_turns():
    shared = SharedPieceBudget()
    meters = [PieceMeter(0.0, shared) for _ in range(3)]
    for meter in meters:
        meter.record(FREE_PIECES, 0, 0.0)
    turns_s = [meter.record(STEP, 0, 0.0) for meter in meters]
    assert turns_s == sorted(turns_s)
    assert turns_s[2] == pytest.approx(3 * STEP / SHARED_PIECES_PER_S)
