"""Latest configuration and the recent deltas that led to it, served to followers."""

import collections

from greengagehaven import exceptions
from greengagehaven.state import configuration, document, rollouts

MAX_DELTA_BYTES = 1024 * 1024
MAX_DELTAS = 4096
DELTA_OVERHEAD_BYTES = 160


class ConfigurationHistory:
    """The latest configuration known to this host; revisions only increase.

    Deltas are kept up to a maximum size, so that memory stays bounded however long
    a follower was away; a follower that is further behind gets the full state.
    """

    def __init__(self, state: configuration.ConfigurationState | None = None) -> None:
        self.state = state or configuration.ConfigurationState()
        self._deltas: collections.deque[configuration.Delta] = collections.deque()
        self._delta_bytes = 0

    @property
    def revision(self) -> int:
        """Return the revision of the latest state."""
        return self.state.revision

    def apply_delta(self, delta: configuration.Delta) -> None:
        """Apply the next delta.

        :raises StateMismatchError: the delta isn't for the next revision, or the
            document that results has another digest.
        """
        state = self.state
        if delta.revision != state.revision + 1:
            raise exceptions.StateMismatchError(
                f"revision {delta.revision} does not follow {state.revision}"
            )
        data = state.document
        if delta.splice is not None:
            data = delta.splice.apply(data)
            if document.digest_of(data) != delta.digest:
                raise exceptions.StateMismatchError(
                    f"revision {delta.revision} does not result in {delta.digest}"
                )
        current_rollouts = state.rollouts
        if delta.rollout is not None:
            current_rollouts = rollouts.with_rollout(current_rollouts, delta.rollout)
        self.state = configuration.ConfigurationState(
            revision=delta.revision,
            document=data,
            digest=delta.digest,
            drained_zones=delta.drained_zones,
            number=delta.number,
            rollouts=current_rollouts,
        )
        self._append(delta)

    def replace(self, state: configuration.ConfigurationState) -> None:
        """Replace the state by a newer one; ignore one that isn't newer."""
        if state.revision <= self.state.revision:
            return
        self.state = state
        self._deltas.clear()
        self._delta_bytes = 0

    def deltas_since(self, revision: int) -> tuple[configuration.Delta, ...] | None:
        """Return the deltas after ``revision``.

        Return ``None`` if some of them are no longer kept, or if they are larger than
        the document by more than ``MAX_DELTAS`` bytes.
        """
        missed = self.revision - revision
        if missed <= 0:
            return ()
        if missed > len(self._deltas):
            return None
        deltas = tuple(self._deltas)[-missed:]
        if sum(map(_delta_size, deltas)) > len(self.state.document) + MAX_DELTAS:
            return None
        return deltas

    def recent_deltas(self) -> tuple[configuration.Delta, ...]:
        """Return all deltas that are kept."""
        return tuple(self._deltas)

    def restore(
        self,
        state: configuration.ConfigurationState,
        deltas: tuple[configuration.Delta, ...],
    ) -> None:
        """Restore from the ``state`` and :meth:`recent_deltas` of a snapshot."""
        self.state = state
        self._deltas = collections.deque(deltas)
        self._delta_bytes = sum(map(_delta_size, deltas))

    def _append(self, delta: configuration.Delta) -> None:
        self._deltas.append(delta)
        self._delta_bytes += _delta_size(delta)
        while self._delta_bytes > MAX_DELTA_BYTES or len(self._deltas) > MAX_DELTAS:
            self._delta_bytes -= _delta_size(self._deltas.popleft())


def _delta_size(delta: configuration.Delta) -> int:
    inserted_bytes = 0 if delta.splice is None else len(delta.splice.inserted)
    return DELTA_OVERHEAD_BYTES + inserted_bytes
