"""What a watch passes over beside a configuration that comes otherwise."""

from auburnhollow.exceptions import StoreUnavailable
from auburnhollow.follow import ConfigurationUpdate

from .test_comparison import LONGEST_MS, DeafFeed, play
from .test_sharing import make_table


class RefusingFeed(DeafFeed):
    """A store that refuses the next ``refused`` reads."""

    refused = 0

    async def read(self):
        if self.refused:
            self.refused -= 1
            raise StoreUnavailable("too many calls")
        return await super().read()


def servers_of(follower):
    return [server.id for server in follower.registry.servers]


def miss(feed, version=5, position=1):
    """Let the watch pass over a configuration and a server."""
    feed.newest = ConfigurationUpdate(table=make_table(version), position=position)
    feed.servers = ["missed"]


# Another watcher that compares first tells all others of the version within a second.
def test_servers_that_a_watch_missed_are_read_where_another_node_told_of_the_configuration():
    async def scenario(feed, follower, _told):
        miss(feed)
        follower.apply_routes(make_table(5), through="10.0.0.1:1")
        await feed.clock.sleep(3 * LONGEST_MS)
        return servers_of(follower)

    assert play(scenario) == ["missed"]


def test_a_read_again_that_the_store_refuses_once_is_made_later():
    async def scenario(feed, follower, _told):
        feed.__class__ = RefusingFeed
        feed.refused = 1
        miss(feed)
        await feed.clock.sleep(3 * LONGEST_MS)
        return follower.routes.version, servers_of(follower)

    assert play(scenario) == (5, ["missed"])


def test_a_read_again_asked_for_during_a_read_is_made_after_it():
    async def scenario(feed, follower, _told):
        follower.read_again()
        follower.read_again()
        await feed.clock.sleep(10)
        return feed.reads

    assert play(scenario) == 2


class SlowFeed(DeafFeed):
    """A store whose reads take a while, and hold what there was when they began."""

    async def read(self):
        view = await super().read()
        await self.clock.sleep(50)
        return view


def test_state_learned_from_another_node_during_a_read_is_no_return_of_the_store(caplog):
    async def scenario(feed, follower, _told):
        feed.__class__ = SlowFeed
        follower.read_again()
        await feed.clock.sleep(20)
        feed.revision += 1
        follower.learn_servers([], feed.revision)
        await feed.clock.sleep(100)

    play(scenario)
    assert "store came back from a copy" not in caplog.text
