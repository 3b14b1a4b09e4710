"""Attempts beyond the first of each request, bounded over all entry hosts.

A service bears ``ratio`` of its requests and ``burst`` more in any window. Each
host uses the ratio of its own requests and its part of the burst, so that the
sum holds without a message for each attempt.
"""

_SAFETY = 0.9
_MIN_HOSTS = 1


class ExtraAttempts:
    """Tokens of each service for hedges and retries.

    :param ratio: extra attempts allowed for each request.
    :param burst: extra attempts allowed besides, over all hosts.
    """

    def __init__(self, *, ratio: float, burst: float) -> None:
        self._ratio = ratio * _SAFETY
        self._burst = burst * _SAFETY
        self._most = 0.0
        self._tokens_by_service: dict[str, float] = {}
        self.set_hosts(_MIN_HOSTS)

    def set_hosts(self, count: int) -> None:
        """Take this host's part of the burst.

        One more host than is known gets a part: one that has just started has
        tokens before the others have heard of it.
        """
        self._most = self._burst / (max(_MIN_HOSTS, count) + 1)
        for service, tokens in self._tokens_by_service.items():
            self._tokens_by_service[service] = min(tokens, self._most)

    def earn(self, service: str) -> None:
        """Count a request for a service."""
        # A host that has just restarted may have spent its part a moment ago.
        tokens = self._tokens_by_service.get(service, self._most / 2)
        self._tokens_by_service[service] = min(self._most, tokens + self._ratio)

    def spend(self, service: str, *, keep: float = 0.0) -> bool:
        """Take a token; return whether there was one.

        :param keep: part of the most tokens that is left to others.
        """
        tokens = self._tokens_by_service.get(service, 0.0)
        if tokens - 1.0 < keep * self._most:
            return False
        self._tokens_by_service[service] = tokens - 1.0
        return True

    def retain(self, services: frozenset[str]) -> None:
        """Forget services that no route names any more."""
        for service in set(self._tokens_by_service) - services:
            del self._tokens_by_service[service]
