"""Wrong builds and wrappers, each of which a soak has to notice.

A judge that has never found anything may be one that checks nothing.
"""

import typing

from greengagehaven.protocol import upstream as messages
from greengagehaven.standin import upstream
from greengagehaven.transport import http


class DoubledRuns(upstream.StandinUpstream):
    """Runs each billed order twice, as a tier would that sends it twice."""

    async def _run(self, request: http.Request, *arguments: typing.Any) -> typing.Any:
        reply = await super()._run(request, *arguments)
        if b'"retire"' in request.body:
            await super()._run(request, *arguments)
        return reply


class StaleRows(upstream.StandinUpstream):
    """Answers from an older snapshot under the name of the one that is pinned."""

    def _reply(
        self,
        status: int,
        headers: tuple[tuple[str, str], ...],
        echo: tuple[tuple[str, str], ...],
        body: bytes = b"",
    ) -> http.Response:
        return super()._reply(status, headers, echo, body.replace(b":42", b":41"))


class HalfRows(upstream.StandinUpstream):
    """Leaves rows out of its replies."""

    def _index_shards(self) -> None:
        super()._index_shards()
        self._credits_by_shard = {
            shard: held[1:] for shard, held in self._credits_by_shard.items()
        }


class DrainedButUsed(upstream.StandinUpstream):
    """Believes that it told of its draining, while the tier heard nothing."""

    def change(self, **fields: typing.Any) -> None:
        """Say everything but that it drains."""
        if fields.get("state") is not messages.UpstreamState.DRAINING:
            super().change(**fields)


def deny_run(data: bytes) -> bytes:
    """Let each error say that nothing ran; the length stays."""
    return data.replace(b'"ran":"unknown"', b'"ran":"no"     ')


def claim_complete(data: bytes) -> bytes:
    """Let each answer say that it lacks nothing."""
    return data.replace(b'"complete":false', b'"complete":true ')


UPSTREAMS_BY_PLANT: dict[str, type[upstream.StandinUpstream]] = {
    "doubled_run": DoubledRuns,
    "stale_rows": StaleRows,
    "half_rows": HalfRows,
    "drained_but_used": DrainedButUsed,
}

REWRITES_BY_PLANT = {
    "false_refusal": deny_run,
    "false_coverage": claim_complete,
}

STOP_BY_KILL = "stop_cuts"
LOSE_CONFIGURATION = "lost_configuration"

PLANTS = (*UPSTREAMS_BY_PLANT, *REWRITES_BY_PLANT, STOP_BY_KILL, LOSE_CONFIGURATION)
