"""Jobs of a fan-out: one shard asked directly, or a region's shards forwarded to a node there."""

import asyncio
import logging

from ..exceptions import PeerError, Ran
from .forward import unpack_outcomes
from .shard import ShardQuery

log = logging.getLogger("scatter")


class ShardJob:
    """Queries one shard from this node."""

    __slots__ = ("_query", "shards")

    def __init__(self, components, search, plan, shard, until_ms, fingerprint):
        self.shards = [shard]
        self._query = ShardQuery(components, search, plan, shard, until_ms, fingerprint)

    @property
    def ran(self):
        """Whether a server may have run the request."""
        return self._query.ran

    async def run(self):
        """Return a list with the shard's outcome."""
        return [await self._query.run()]


class RegionJob:
    """Forwards the shards of another region; asks them directly when no node there answers."""

    __slots__ = (
        "_components",
        "_group",
        "_in_doubt",
        "_make_shard_job",
        "_plan",
        "_search",
        "_until_ms",
    )

    def __init__(self, components, search, plan, group, until_ms, make_shard_job):
        self._components = components
        self._search = search
        self._plan = plan
        self._group = group
        self._until_ms = until_ms
        self._make_shard_job = make_shard_job
        self._in_doubt = False

    @property
    def shards(self):
        """Names of the shards."""
        return self._group.shards

    @property
    def ran(self):
        """Whether a server may have run the request."""
        return Ran.UNKNOWN if self._in_doubt else Ran.NO

    async def run(self):
        """Return a list with one outcome for each shard."""
        components = self._components
        # Servers may have run the request until the other node reports that they did not.
        self._in_doubt = True
        try:
            answer = await components.forwarder.ask(
                components.configuration(), self._search, self._plan, self._group, self._until_ms
            )
            outcomes = unpack_outcomes(self._group, answer)
        except PeerError as error:
            log.info("scatter: asking region %s directly: %s", self._group.region, error)
            return await self._ask_directly()
        self._in_doubt = answer.in_doubt
        return outcomes

    async def _ask_directly(self):
        jobs = [self._make_shard_job(shard) for shard in self.shards]
        tasks = [asyncio.create_task(job.run()) for job in jobs]
        try:
            found = await asyncio.gather(*tasks)
        finally:
            for task in tasks:
                task.cancel()
        return [outcome for outcomes in found for outcome in outcomes]
