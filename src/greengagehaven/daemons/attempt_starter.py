"""Starts the attempts of a step of the router once the step is over."""

import asyncio
import collections

from greengagehaven.transport import exchanges


class AttemptStarter:
    """Passes attempts to a channel in the next iteration of the event loop.

    An attempt that ends at once must not submit its end to the router within a step.

    :param channel: connections to upstreams.
    """

    def __init__(self, *, channel: exchanges.ExchangeChannel) -> None:
        self._channel = channel
        self._waiting: collections.deque[tuple[exchanges.Exchange, int]] = (
            collections.deque()
        )

    def add(self, exchange: exchanges.Exchange, *, max_connections: int) -> None:
        """Start an attempt soon.

        :param max_connections: maximum number of connections to the upstream.
        """
        if not self._waiting:
            self._schedule()
        self._waiting.append((exchange, max_connections))

    def _schedule(self) -> None:
        asyncio.get_running_loop().call_soon(self._start_all)

    def _start_all(self) -> None:
        try:
            while self._waiting:
                exchange, max_connections = self._waiting.popleft()
                self._channel.send(exchange, max_connections=max_connections)
        finally:
            # One that fails must not keep the others back.
            if self._waiting:
                self._schedule()
