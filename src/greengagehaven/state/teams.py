"""Teams: the organisations that share a deployment, and their keys.

Only digests of keys are held here, so that a key can't be read from a dump or a log.
"""

import dataclasses
import hashlib
from collections import abc


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Team:
    """A team that sends requests with its own keys.

    :param key_digests: SHA-256 of each of its keys, in lower-case hex.
    :param priority: takes precedence over the route's priority; ``None`` if not set.
    :param rate: requests per second that it may send over all hosts, 0 for no limit.
    :param burst: requests that it may send in addition in one window.
    """

    id: str
    key_digests: tuple[str, ...] = ()
    priority: int | None = None
    rate: float = 0.0
    burst: float = 0.0


class TeamDirectory:
    """The teams of one document.

    :param teams: teams with distinct ids, no key of which belongs to two of them.
    """

    def __init__(self, teams: abc.Iterable[Team] = ()) -> None:
        self.teams_by_id = {team.id: team for team in teams}
        self._teams_by_key_digest = {
            digest: team
            for team in self.teams_by_id.values()
            for digest in team.key_digests
        }

    def __len__(self) -> int:
        return len(self.teams_by_id)

    def find(self, key_digest: str) -> Team | None:
        """Return the team that holds the key with a digest, ``None`` if there is none.

        The lookup compares digests only, so its duration tells nothing about keys.
        """
        return self._teams_by_key_digest.get(key_digest)


def digest_of_key(key: bytes) -> str:
    """Return the SHA-256 of a key in lower-case hex."""
    return hashlib.sha256(key).hexdigest()
