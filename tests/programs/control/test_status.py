"""Reachability of voters, and evacuations, in the operators' status."""

from types import SimpleNamespace

import pytest

from chestnutvale.membership.view_publisher import ViewPublisher
from chestnutvale.programs.control.measures import MeasureTracker
from chestnutvale.programs.control.state import ControlState
from chestnutvale.programs.control.status import StatusBuilder, _find_voter_fault
from chestnutvale.schema.configuration_pb2 import Service, Text
from chestnutvale.schema.evacuations_pb2 import SetEvacuation
from chestnutvale.schema.groups_pb2 import Group, GroupMember, PutGroup
from chestnutvale.schema.operator_pb2 import EvacuationStatus
from chestnutvale.schema.settings_pb2 import ControlSettings
from tests.groups.test_planner import make_membership_table, make_plain_announcement


@pytest.mark.parametrize(
    ("member", "silent_s", "reason"),
    [
        ("c1#a", {}, ""),
        ("c2#b", {"c2#b": 0.1}, ""),
        ("c2#b", {"c2#b": 7.2}, "it has not answered for 7 s"),
        ("c2#b", {}, "only a control that leads knows"),
    ],
)
def test_voter_is_reachable_only_if_the_leader_heard_it(member, silent_s, reason):
    status = {"member_id": "c1#a", "silent_s": silent_s}
    assert _find_voter_fault(member, status) == reason


def test_status_names_evacuated_data_centres_with_their_groups_and_hosts():
    # Guards against hosts that look stranded although an operator evacuated them.
    table = make_membership_table([make_plain_announcement()])
    state = ControlState()
    member = GroupMember(host_id="p1", boot_id="b")
    group = Group(
        group_id="g",
        service="ledger-app",
        members=[member],
        phase="forming",
        plain=True,
    )
    state.groups.put_group(PutGroup(group=group), 0)
    state.groups.groups["g"].phase = "serving"
    order = SetEvacuation(data_centre="d", operator="Ann")
    state.evacuations.apply(order, 7_000)
    publisher = ViewPublisher("life-1")
    publisher.refresh(state.groups, table, 0.1, state.evacuations.evacuated)
    text = Text(services={"ledger-app": Service(kind="plain", groups=1)})
    measures = MeasureTracker()
    measures.update(0.1, text, publisher.group_views(), state.groups, table)
    assert not measures.stranded_host_ids
    builder = StatusBuilder(
        ControlSettings(),
        SimpleNamespace(
            term=1,
            leader_id="c1",
            status=lambda: {"voters": (), "learners": ()},
        ),
        state,
        table,
        publisher,
        SimpleNamespace(entries={}),
        measures,
    )
    status = builder.build(0.1, confirmed=True)
    (evacuation,) = status.evacuations
    assert evacuation == EvacuationStatus(
        data_centre="d", begun_at_unix_ms=7_000, operator="Ann", groups=1
    )
    assert status.groups[0].reason == "the data centre d is evacuated"
    assert [host.state for host in status.hosts] == ["evacuated"]
