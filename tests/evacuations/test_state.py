"""Replicated state of evacuations: orders, repetition, snapshots and bad input."""

from hypothesis import given
from hypothesis import strategies as st

from chestnutvale.evacuations.const import MAX_DATA_CENTRES
from chestnutvale.evacuations.state import EvacuationState
from chestnutvale.programs.control.state import ControlState
from chestnutvale.schema.command_pb2 import Command, StateSnapshot
from chestnutvale.schema.evacuations_pb2 import SetEvacuation

ORDERS = st.lists(
    st.tuples(st.sampled_from(["", "a", "b", "ü" * 200]), st.booleans()), max_size=12
)


def order(name, finish=False, operator=""):
    return SetEvacuation(data_centre=name, finish=finish, operator=operator)


def make_command(name, finish, at_unix_ms):
    return Command(proposed_at_unix_ms=at_unix_ms, set_evacuation=order(name, finish))


def replay(state, commands, first_index=1):
    for index, command in enumerate(commands, first_index):
        state.apply(index, command)
    return state


def test_order_that_is_in_force_is_acknowledged_without_effect():
    # Guards against a resent order that fails, or that moves the time of the end.
    state = EvacuationState()
    assert not state.apply(order("a", finish=True), 5).changed
    assert state.apply(order("a"), 10).changed
    assert state.apply(order("a"), 11) == state.apply(order("a"), 12)
    assert state.evacuated == {"a"}
    assert state.finished_at_unix_ms("a") == 0
    assert state.apply(order("a", finish=True), 20).changed
    assert not state.apply(order("a", finish=True), 30).changed
    assert state.finished_at_unix_ms("a") == 20
    assert state.ended_unix_ms() == {"a": 20}
    state.apply(order("a"), 40)
    assert not state.ended_unix_ms()


def test_last_of_two_contradicting_operators_wins():
    # Guards against a state that depends on who ordered instead of on the log.
    state = EvacuationState()
    state.apply(order("a", operator="one"), 1)
    state.apply(order("a", finish=True, operator="two"), 2)
    assert not state.is_evacuated("a")
    state.apply(order("a", operator="one"), 3)
    assert state.in_force["a"].operator == "one"
    assert state.finished_at_unix_ms("a") == 0


def test_number_of_kept_data_centres_is_bounded():
    # Guards against a snapshot that grows with every name that was ever ordered.
    state = EvacuationState()
    for number in range(2 * MAX_DATA_CENTRES):
        state.apply(order(f"d{number}"), number)
        state.apply(order(f"d{number}", finish=True), number)
    assert len(state.to_snapshot().evacuations) == MAX_DATA_CENTRES
    assert state.finished_at_unix_ms(f"d{2 * MAX_DATA_CENTRES - 1}")
    for number in range(MAX_DATA_CENTRES):
        assert state.apply(order(f"e{number}"), 1_000).outcome == "done"
    assert state.apply(order("f"), 1_001).outcome == "refused"
    assert len(state.evacuated) == MAX_DATA_CENTRES


@given(ORDERS, st.integers(0, 12))
def test_replay_and_snapshot_give_the_same_state(orders, cut):
    # Guards against controls that differ after a restart or a snapshot transfer.
    commands = [
        make_command(name, finish, at) for at, (name, finish) in enumerate(orders, 1)
    ]
    whole = replay(ControlState(), commands)
    restored = ControlState()
    restored.restore(replay(ControlState(), commands[:cut]).snapshot())
    replay(restored, commands[cut:], cut + 1)
    assert restored.snapshot() == whole.snapshot()
    assert restored.evacuations.evacuated == whole.evacuations.evacuated
    last = dict(orders)
    assert whole.evacuations.evacuated == {
        name for name, finish in last.items() if name and not finish
    }


def test_snapshot_of_an_older_build_has_no_evacuations():
    # Guards against a new control that can't start from an old data folder.
    state = ControlState()
    state.restore(StateSnapshot().SerializeToString())
    assert not state.evacuations.evacuated
