"""Member identities, quorums and single-server membership changes."""

from chestnutvale.consensus.const import IDENTITY_SEPARATOR, STEP_MEMBERS
from chestnutvale.consensus.events import ChangeKind, MembersChange
from chestnutvale.consensus.exceptions import MembersChangeError
from chestnutvale.schema.raft_pb2 import Members


def control_of(member_id: str) -> str:
    """Return the control that a member identity belongs to.

    Parameters
    ----------
    member_id : str
        For example ``"control-1#5f3a9c01"``.

    Returns
    -------
    str
        For example ``"control-1"``.
    """
    return member_id.partition(IDENTITY_SEPARATOR)[0]


def peer_addresses(members: Members) -> dict[str, str]:
    """Return the peer addresses of the voters' and learners' controls.

    Parameters
    ----------
    members : Members
        The members.

    Returns
    -------
    dict of str to str
        Peer address by control; a member without an address is left out.
    """
    return {
        control_of(member_id): members.addresses[member_id]
        for member_id in (*members.voters, *members.learners)
        if members.addresses.get(member_id)
    }


def quorum_size(members: Members) -> int:
    """Return the number of voters that form a quorum."""
    return len(members.voters) // 2 + 1


def has_quorum(members: Members, ids: set[str]) -> bool:
    """Return whether the identities include a quorum of the voters."""
    return len(ids.intersection(members.voters)) >= quorum_size(members)


def change_members(members: Members, change: MembersChange) -> Members:
    """Return the members that result from a single-member change.

    Parameters
    ----------
    members : Members
        The members before.
    change : MembersChange
        The change.

    Returns
    -------
    Members
        The members after.

    Raises
    ------
    MembersChangeError
        If the change is not valid for these members.
    """
    changed = Members()
    changed.CopyFrom(members)
    if change.kind is ChangeKind.ADD_LEARNER:
        _add_learner(changed, change)
    elif change.kind is ChangeKind.PROMOTE:
        _promote(changed, change)
    else:
        _remove(changed, change)
    return changed


def recoverable_copies(members: Members, target_voters: int) -> int:
    """Return on how many disks each committed entry is, so that it can be read again.

    Copies are of no use once no quorum can form: two of four voters are no quorum,
    though three of them hold each entry. So while the voters of a first start are still
    being added, the entry counts only as often as disks may be lost, plus one. A set
    that has been complete lacks a voter only because its disk is lost already.

    Parameters
    ----------
    members : Members
        The committed members.
    target_voters : int
        Number of voters that the cluster grows to; 0 for no further growth.

    Returns
    -------
    int
        Number of copies.
    """
    reached = max(len(members.voters), members.wanted_voters)
    if reached >= target_voters:
        return quorum_size(members)
    return (len(members.voters) + 1) // 2


def _make_refusal(reason: str, member_id: str) -> MembersChangeError:
    return MembersChangeError(reason, step=STEP_MEMBERS, peer=member_id)


def _add_learner(members: Members, change: MembersChange) -> None:
    member_id = change.member_id
    control_id = control_of(member_id)
    if member_id in members.voters or member_id in members.learners:
        raise _make_refusal("is already a voter or learner", member_id)
    if control_id in members.barred_controls:
        if not change.by_operator:
            raise _make_refusal("was removed by an operator", member_id)
        members.barred_controls.remove(control_id)
    members.learners.append(member_id)
    members.addresses[member_id] = change.address


def _promote(members: Members, change: MembersChange) -> None:
    if change.member_id not in members.learners:
        raise _make_refusal("is not a learner", change.member_id)
    members.learners.remove(change.member_id)
    members.voters.append(change.member_id)
    # Kept while a lost voter is replaced, so that it tells how far the set has grown.
    members.wanted_voters = max(members.wanted_voters, len(members.voters))


def _remove(members: Members, change: MembersChange) -> None:
    member_id = change.member_id
    if member_id in members.learners:
        members.learners.remove(member_id)
    elif member_id in members.voters:
        if len(members.voters) == 1:
            raise _make_refusal("is the only voter and can't be removed", member_id)
        members.voters.remove(member_id)
        if change.by_operator:
            members.wanted_voters = len(members.voters)
    else:
        raise _make_refusal("is neither a voter nor a learner", member_id)
    members.addresses.pop(member_id, None)
    if change.by_operator:
        members.barred_controls.append(control_of(member_id))
