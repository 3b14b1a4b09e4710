"""Tracks which members of a Raft group have stopped answering."""

import typing

from greengagehaven import clock as clocks


class Contacts:
    """Records since when each other member has left a message unanswered.

    It spans elections, so that a new leader knows that its predecessor is silent.

    :param clock: monotonic clock.
    """

    def __init__(self, *, clock: clocks.Clock) -> None:
        self._clock = clock
        self._unanswered_since_by_id: dict[str, float] = {}

    def on_sent(self, member_id: str) -> None:
        """Record that a message was sent to a member.

        A follower's reply counts as well: the leader sends another heartbeat.
        """
        self._unanswered_since_by_id.setdefault(member_id, self._clock.monotonic())

    def on_received(self, member_id: str) -> None:
        """Record that any message was received from a member."""
        self._unanswered_since_by_id.pop(member_id, None)

    def unanswered_since(self, member_id: str) -> float | None:
        """Return the time of the first unanswered message, in monotonic seconds.

        :return: ``None`` if the member has answered all messages.
        """
        return self._unanswered_since_by_id.get(member_id)

    def clear(self) -> None:
        """Forget all members: a follower does not hear from the other followers."""
        self._unanswered_since_by_id.clear()

    def retain(self, member_ids: typing.Container[str]) -> None:
        """Forget all members but these."""
        self._unanswered_since_by_id = {
            member_id: since
            for member_id, since in self._unanswered_since_by_id.items()
            if member_id in member_ids
        }
