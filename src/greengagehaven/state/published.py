"""A state with the deltas that led to it, as it is handed on to followers."""

import collections

from greengagehaven import exceptions
from greengagehaven.state import configuration, document, rollouts

MAX_DELTA_BYTES = 1024 * 1024
MAX_DELTAS = 4096
DELTA_OVERHEAD_BYTES = 160


class Published:
    """The newest configuration known here; it only ever moves forward.

    Deltas are kept up to a size, so that memory stays bounded however long
    a follower was away; one that is further behind gets the whole state.
    """

    def __init__(self, state: configuration.ConfigurationState | None = None) -> None:
        self.state = state or configuration.ConfigurationState()
        self._deltas: collections.deque[configuration.Delta] = collections.deque()
        self._delta_bytes = 0

    @property
    def revision(self) -> int:
        """Return the revision of the newest state."""
        return self.state.revision

    def advance(self, delta: configuration.Delta) -> None:
        """Take the next change.

        :raises StateMismatchError: it does not follow the state held here.
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
                    f"revision {delta.revision} does not give {delta.digest}"
                )
        held = state.rollouts
        if delta.rollout is not None:
            held = rollouts.put(held, delta.rollout)
        self.state = configuration.ConfigurationState(
            revision=delta.revision,
            document=data,
            digest=delta.digest,
            drained_zones=delta.drained_zones,
            number=delta.number,
            rollouts=held,
        )
        self._keep(delta)

    def replace(self, state: configuration.ConfigurationState) -> None:
        """Take a whole state; one that is not newer changes nothing."""
        if state.revision <= self.state.revision:
            return
        self.state = state
        self._deltas.clear()
        self._delta_bytes = 0

    def since(self, revision: int) -> tuple[configuration.Delta, ...] | None:
        """Return the deltas after ``revision``, ``None`` where some are gone.

        Also ``None`` where the whole state is smaller than they are.
        """
        missing = self.revision - revision
        if missing <= 0:
            return ()
        if missing > len(self._deltas):
            return None
        deltas = tuple(self._deltas)[-missing:]
        if sum(map(_size_of, deltas)) > len(self.state.document) + MAX_DELTAS:
            return None
        return deltas

    def kept(self) -> tuple[configuration.Delta, ...]:
        """Return every delta held."""
        return tuple(self._deltas)

    def restore(
        self,
        state: configuration.ConfigurationState,
        deltas: tuple[configuration.Delta, ...],
    ) -> None:
        """Become what ``state`` and ``kept`` returned elsewhere."""
        self.state = state
        self._deltas = collections.deque(deltas)
        self._delta_bytes = sum(map(_size_of, deltas))

    def _keep(self, delta: configuration.Delta) -> None:
        self._deltas.append(delta)
        self._delta_bytes += _size_of(delta)
        while self._delta_bytes > MAX_DELTA_BYTES or len(self._deltas) > MAX_DELTAS:
            self._delta_bytes -= _size_of(self._deltas.popleft())


def _size_of(delta: configuration.Delta) -> int:
    inserted = 0 if delta.splice is None else len(delta.splice.inserted)
    return DELTA_OVERHEAD_BYTES + inserted
