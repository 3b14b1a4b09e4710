"""Cuts an entry host off from all other hosts on a signal, for measurements.

Cutting links of the machine would need privileges, so the fault is injected where the
process makes its calls: they get no answer, also those in flight.
"""

import asyncio
import signal
from collections import abc

from greengagehaven import exceptions
from greengagehaven.transport import http_peers

SIGNAL = signal.SIGUSR1

COMMAND = (
    "from greengagehaven.daemons.measure import cut_off; cut_off.install(); "
    "from greengagehaven.platform import roles; roles.main()"
)
"""Python code that runs a role which can be cut off."""

_is_cut_off = False


class CutOffClient(http_peers.HttpPeerClient):
    """Client whose calls time out once this process is cut off."""

    async def call(
        self,
        address: str,
        method: str,
        body: bytes,
        *,
        timeout: float,
        on_sending: abc.Callable[[], None] | None = None,
    ) -> bytes:
        """Call another host, unless this process is cut off.

        :raises PeerError: no reply arrived in time, or the handler failed.
        """
        reply = None
        if not _is_cut_off:
            reply = await super().call(
                address, method, body, timeout=timeout, on_sending=on_sending
            )
        if _is_cut_off or reply is None:
            await asyncio.sleep(timeout)
            raise exceptions.PeerError(f"{method}: this host is cut off")
        return reply


def install() -> None:
    """Replace the client of this process, and cut it off on ``SIGNAL``."""
    http_peers.HttpPeerClient = CutOffClient  # type: ignore[misc]
    signal.signal(SIGNAL, _cut_off)


def _cut_off(_signal: int, _frame: object) -> None:
    global _is_cut_off  # noqa: PLW0603
    _is_cut_off = True
