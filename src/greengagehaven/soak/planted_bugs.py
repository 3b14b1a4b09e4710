"""Planted bugs, each of which a soak must report as a violated invariant.

They show that the invariants are really checked: a checker that never reported
anything might check nothing.
"""

import typing

from greengagehaven.protocol import upstream as messages
from greengagehaven.standin import upstream
from greengagehaven.transport import http


class DoubleRunUpstream(upstream.StandinUpstream):
    """Runs each billed order twice, as if the tier had sent it twice."""

    async def _run(self, request: http.Request, *arguments: typing.Any) -> typing.Any:
        reply = await super()._run(request, *arguments)
        if b'"retire"' in request.body:
            await super()._run(request, *arguments)
        return reply


class StaleRowsUpstream(upstream.StandinUpstream):
    """Answers with rows of an older snapshot than the requested one."""

    def _reply(
        self,
        status: int,
        headers: tuple[tuple[str, str], ...],
        echo: tuple[tuple[str, str], ...],
        body: bytes = b"",
    ) -> http.Response:
        return super()._reply(status, headers, echo, body.replace(b":42", b":41"))


class MissingRowsUpstream(upstream.StandinUpstream):
    """Omits the first credit of each shard from its responses."""

    def _index_shards(self) -> None:
        super()._index_shards()
        self._credits_by_shard = {
            shard: credits_held[1:]
            for shard, credits_held in self._credits_by_shard.items()
        }


class SilentDrainUpstream(upstream.StandinUpstream):
    """Drains without announcing it, so that the tier keeps sending work."""

    def update_announcement(self, **fields: typing.Any) -> None:
        """Announce every change but the one to draining."""
        if fields.get("state") is not messages.UpstreamState.DRAINING:
            super().update_announcement(**fields)


def claim_not_run(data: bytes) -> bytes:
    """Make each error claim that nothing ran, keeping the length of the body."""
    return data.replace(b'"ran":"unknown"', b'"ran":"no"     ')


def claim_complete(data: bytes) -> bytes:
    """Make each answer claim to be complete, keeping the length of the body."""
    return data.replace(b'"complete":false', b'"complete":true ')


UPSTREAM_CLASSES_BY_BUG: dict[str, type[upstream.StandinUpstream]] = {
    "doubled_run": DoubleRunUpstream,
    "stale_rows": StaleRowsUpstream,
    "half_rows": MissingRowsUpstream,
    "drained_but_used": SilentDrainUpstream,
}

REWRITES_BY_BUG = {
    "false_refusal": claim_not_run,
    "false_coverage": claim_complete,
}

KILL_ON_STOP = "stop_cuts"
LOSE_CONFIGURATION = "lost_configuration"

NAMES = (*UPSTREAM_CLASSES_BY_BUG, *REWRITES_BY_BUG, KILL_ON_STOP, LOSE_CONFIGURATION)
