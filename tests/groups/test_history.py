"""Tests serving, ownership and order invariants under random faults."""

import pytest
from hypothesis import Phase, given, seed, settings
from hypothesis import strategies as st

from tests.groups.history import ACTIONS, History

STEPS = st.lists(
    st.tuples(st.sampled_from(ACTIONS), st.integers(0, 11), st.integers(1, 9)),
    min_size=4,
    max_size=12,
)


def run_steps(history, steps):
    history.run(20.0)
    for action, index, pause_s in steps:
        getattr(history, action)(index)
        history.run(float(pause_s))


def recover(history):
    """End all faults and give the services time to recover by themselves."""
    history.world.network.loss = 0.0
    history.resume_leaders(0)
    history.restore_network(0)
    history.regain_quorum(0)
    history.undrain(0)
    for index, host in enumerate(history.hosts()):
        history.wake(index)
        if host.leaving or not host.is_running:
            host.restart()
            host.leaving = False
    history.run(90.0)


@pytest.mark.parametrize("fencing", [True, False])
def test_random_faults_violate_no_invariant_and_all_services_recover(fencing):
    @seed(20261203)
    @settings(database=None, deadline=None, max_examples=10, phases=[Phase.generate])
    @given(STEPS)
    def run(steps):
        history = History(fencing=fencing)
        run_steps(history, steps)
        recover(history)
        assert history.serving_count("llm") == 2
        assert history.serving_count("aux") == 1
        assert not history.world.state.repairs

    run()
