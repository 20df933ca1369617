"""Tells which version of the commands all members of the log can read."""

from collections.abc import Mapping

import attrs

from chestnutvale.schema.command_pb2 import ConfirmReaders


@attrs.define
class CommandReaders:
    """Replicated record of the members that can read a version of the commands.

    A member that can't read a command would skip it, and its state would differ from
    then on. So a command of a version is proposed only if every voter and learner is
    known to read it: by its replies to the leader, or, if it has not replied in this
    term, by this record. Without the record, a control that was lost before the last
    change of leader would block such commands until it returns.

    Designed for a handful of members and one check per second at the leader.
    """

    _version: int = 0
    _member_ids: frozenset[str] = frozenset()

    @property
    def confirmed_version(self) -> int:
        """Newest version that all members of the record can read; 0 if unknown."""
        return self._version

    def find_unready(
        self, heard_versions: Mapping[str, int | None], version: int
    ) -> list[str]:
        """Return the members that are not known to read a version.

        Parameters
        ----------
        heard_versions : mapping of str to int or None
            Version in the last reply of each voter and learner; None if the member has
            not replied in this term.
        version : int
            The version.

        Returns
        -------
        list of str
            Member identities, sorted.
        """
        is_confirmed = self._version >= version
        return sorted(
            member_id
            for member_id, heard in heard_versions.items()
            if (
                heard < version
                if heard is not None
                else not (is_confirmed and member_id in self._member_ids)
            )
        )

    def needs_confirmation(
        self, heard_versions: Mapping[str, int | None], version: int
    ) -> bool:
        """Tell whether the record should be replaced, which all members can read.

        Parameters
        ----------
        heard_versions : mapping of str to int or None
            As for `find_unready`.
        version : int
            Version that this build can read.

        Returns
        -------
        bool
            False while a member is not known to read the version.
        """
        is_current = (
            self._version == version and self._member_ids == heard_versions.keys()
        )
        return not is_current and not self.find_unready(heard_versions, version)

    def apply(self, command: ConfirmReaders) -> None:
        """Apply a committed record.

        Parameters
        ----------
        command : ConfirmReaders
            The record.
        """
        self._version = command.command_version
        self._member_ids = frozenset(command.member_ids)

    def to_snapshot(self) -> ConfirmReaders:
        """Return the record as a message, the same at every control."""
        return ConfirmReaders(
            command_version=self._version, member_ids=sorted(self._member_ids)
        )

    @classmethod
    def from_snapshot(cls, snapshot: ConfirmReaders) -> "CommandReaders":
        """Return the record of a snapshot.

        Parameters
        ----------
        snapshot : ConfirmReaders
            The message; empty in a snapshot of a build without versions.

        Returns
        -------
        CommandReaders
            The record.
        """
        return cls(snapshot.command_version, frozenset(snapshot.member_ids))
