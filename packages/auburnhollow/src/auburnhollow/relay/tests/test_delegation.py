"""How often a request may run that is delegated after it has failed here."""

import random

import pytest

from auburnhollow.exceptions import BackendDied, BackendRejected, QueryError, Ran
from auburnhollow.peers import Peers
from auburnhollow.relay import Answer
from auburnhollow.relay.delegation import Delegation
from auburnhollow.relay.delegation_messages import DelegatedRequest, DelegatedTaken, pack_answer
from auburnhollow_standins.fake_servers import HOME, RelayBed, make_request, make_route
from auburnhollow_standins.virtual import run_virtually

from .test_subquery import FAR, Fleet, make_member

HELPER = make_member("helper", HOME)


class FakeReachGossip:
    """Gossip of one node that reaches servers."""

    on_change = None
    is_comparing = True

    def compares_versions(self, _name):
        """Return whether the helper's build does."""
        return self.is_comparing

    def publish(self):
        """Publish nothing."""

    def reaching(self):
        """Return the helper."""
        return [HELPER]

    def count_cut_off(self, _data_centre):
        """Return that no other node is cut off."""
        return 0


class AnsweringPeers(Peers):
    """A helper that answers each delegated request; ``messages`` lists them."""

    __slots__ = ("messages",)

    def __init__(self):
        self.messages = []

    async def stream(self, address, message, first_answer_timeout_ms):
        """Accept and answer a request."""
        self.messages.append(message)
        yield DelegatedTaken()
        answer = Answer(status=200, headers=(), body=b"", signature="signed", load=None)
        for each in pack_answer(answer):
            yield each


class KnownVersion:
    """The state exchange of a node with version 7 of the configuration."""

    version = 7

    async def catch_up(self, _address, version):
        """Learn nothing."""
        return version <= self.version


def run_failing(runs, is_comparing=True):
    """Fail a request here after it may have run on some servers, while this node is cut off.

    :returns: the messages to the helper.
    """

    async def scenario():
        bed = RelayBed({"s0": (HOME,) * 3})
        peers = AnsweringPeers()
        reach_gossip = FakeReachGossip()
        reach_gossip.is_comparing = is_comparing
        delegation = Delegation(bed.dispatcher, reach_gossip, peers, bed.clock, random.Random(1))
        delegation.address = "here:1"
        delegation.state_exchange = KnownVersion()

        async def dispatch_here(_request, _route):
            bed.dispatcher.set_stranded(True)
            error = BackendRejected("failed", ran=Ran.UNKNOWN)
            error.runs = runs
            raise error

        request = make_request(bed.clock)
        try:
            await delegation.dispatch(request, make_route(("s0",)), dispatch_here)
        except QueryError:
            return peers.messages
        return peers.messages

    return run_virtually(scenario())


@pytest.mark.parametrize("runs, left", [(0, 2), (1, 1)])
def test_a_request_that_failed_here_has_the_attempts_that_are_left(runs, left):
    (message,) = run_failing(runs)
    assert message.is_repeat
    assert message.attempts == left


@pytest.mark.parametrize("runs", [2, 3])
def test_a_request_without_attempts_left_is_not_delegated(runs):
    assert run_failing(runs) == []


def test_runs_at_aggregators_count_as_attempts():
    async def scenario():
        fleet = Fleet()
        for shard in FAR:
            for number in range(2):
                fleet.set_behaviour(f"{shard}-{number}", BackendDied("died"))
        try:
            await fleet.gather()
        except QueryError as error:
            return error.runs, max(fleet.runs().values())
        return None

    runs, most_runs = run_virtually(scenario())
    assert runs >= most_runs >= 1


def test_a_helper_that_compares_versions_gets_this_nodes():
    (message,) = run_failing(runs=0)
    assert (message.version, message.sender) == (7, "here:1")


def test_a_helper_of_the_build_before_gets_a_message_that_it_can_read():
    (message,) = run_failing(runs=0, is_comparing=False)
    assert message.version is None
    known_fields = DelegatedRequest.__slots__.index("account")
    assert len(message.to_short_list()) == known_fields
