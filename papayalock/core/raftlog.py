"""The Raft log of one replica in memory, and the member sets in it."""

from papayalock.commands import decode_command
from papayalock.messages import Entry, Member, SetMember, Snapshot


def apply_member_change(
    members: list[Member], change: SetMember
) -> list[Member]:
    """Returns the member set after one change, which is idempotent."""
    subject = change.member
    others = [member for member in members if member.member != subject.member]
    current = next((vm for vm in members if vm.member == subject.member), None)
    if change.action == 'remove':
        return others
    if change.action == 'add':
        return members if current else [*others, subject]
    if current is None:
        return members
    return sorted(
        [*others, _changed(current, change)], key=lambda vm: vm.member
    )


def _changed(current: Member, change: SetMember) -> Member:
    adopts = list(current.adopts)
    if change.action == 'adopt':
        adopts = sorted({*adopts, *change.member.adopts})
    return Member(
        member=current.member,
        zone=change.member.zone if change.action == 'locate' else current.zone,
        address=current.address,
        voter=_votes(current, change),
        fenced=_fenced(current, change),
        adopts=adopts,
    )


def _votes(current: Member, change: SetMember) -> bool:
    if change.action == 'promote':
        return True
    return current.voter and change.action != 'demote'


def _fenced(current: Member, change: SetMember) -> bool:
    if change.action == 'fence':
        return True
    return current.fenced and change.action != 'unfence'


class MemberSet:
    """A member set and the log index that established it."""

    __slots__ = ('index', 'members')

    def __init__(self, index: int, members: list[Member]) -> None:
        """Sets the index and the members."""
        self.index = index
        self.members = members


class RaftLog:
    """Entries after a snapshot; indices start at 1 and have no gaps."""

    def __init__(self, snapshot: Snapshot, entries: list[Entry]) -> None:
        """Restores the log from a snapshot and the entries after it."""
        self.snapshot = snapshot
        self._entries: list[Entry] = []
        self._member_sets = [MemberSet(snapshot.index, list(snapshot.members))]
        self.append(entries)

    @property
    def last_index(self) -> int:
        """The index of the newest entry."""
        return self.snapshot.index + len(self._entries)

    @property
    def last_term(self) -> int:
        """The term of the newest entry."""
        return self._entries[-1].term if self._entries else self.snapshot.term

    @property
    def members(self) -> list[Member]:
        """The newest member set, whether committed or not."""
        return self._member_sets[-1].members

    @property
    def member_set_index(self) -> int:
        """The index of the newest member change."""
        return self._member_sets[-1].index

    def member_set_at(self, index: int) -> MemberSet:
        """Returns the member set in force at an index."""
        return next(
            (
                member_set
                for member_set in reversed(self._member_sets)
                if member_set.index <= index
            ),
            self._member_sets[0],
        )

    def term_at(self, index: int) -> int | None:
        """Returns the term of an entry, or None when the log lacks it."""
        if index == self.snapshot.index:
            return self.snapshot.term
        position = index - self.snapshot.index - 1
        if 0 <= position < len(self._entries):
            return self._entries[position].term
        return None

    def append(self, entries: list[Entry]) -> None:
        """Appends entries that follow the newest one."""
        for entry in entries:
            self._entries.append(entry)
            self._track_members(entry)

    def truncate(self, index: int) -> None:
        """Removes the entries from ``index`` on."""
        del self._entries[index - self.snapshot.index - 1 :]
        while (
            len(self._member_sets) > 1 and self._member_sets[-1].index >= index
        ):
            self._member_sets.pop()

    def entries_between(self, start: int, stop: int, limit: int) -> list[Entry]:
        """Returns at most ``limit`` entries, ``start`` to ``stop`` inclusive."""
        offset = self.snapshot.index + 1
        end = min(stop + 1, start + limit)
        return self._entries[start - offset : max(end - offset, 0)]

    def batch(self, start: int, limit: int, size: int) -> list[Entry]:
        """Returns the entries from ``start`` that fit into one message.

        :param limit: maximum number of entries
        :param size: maximum characters of payload; a larger entry is returned
            alone
        """
        entries: list[Entry] = []
        for entry in self.entries_between(start, self.last_index, limit):
            size -= len(entry.payload)
            if entries and size < 0:
                break
            entries.append(entry)
        return entries

    def compact(self, snapshot: Snapshot) -> None:
        """Replaces all entries up to the snapshot's index by the snapshot."""
        if self.term_at(snapshot.index) == snapshot.term:
            keep = self.entries_between(
                snapshot.index + 1, self.last_index, self.last_index
            )
        else:
            keep = []
        self._entries = []
        self.snapshot = snapshot
        self._member_sets = [MemberSet(snapshot.index, list(snapshot.members))]
        self.append(keep)

    def _track_members(self, entry: Entry) -> None:
        if '"member"' not in entry.payload:
            return
        command = decode_command(entry.payload)
        if isinstance(command, SetMember):
            members = apply_member_change(self.members, command)
            self._member_sets.append(MemberSet(entry.index, members))
