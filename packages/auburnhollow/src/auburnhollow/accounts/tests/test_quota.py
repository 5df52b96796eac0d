"""Quotas over nodes in virtual time: the bound in every window, and nobody refused below it."""

import asyncio
import random
from types import SimpleNamespace

import pytest

from auburnhollow.accounts import Account
from auburnhollow.accounts.ledger import QuotaBounds, QuotaLedger
from auburnhollow.accounts.quota import Quota
from auburnhollow.accounts.quota_messages import QuotaAsk
from auburnhollow.exceptions import PeerError, QuotaSpent
from auburnhollow.hashing import ranked
from auburnhollow.metrics import Metrics
from auburnhollow.peers import Peers
from auburnhollow_standins.virtual import VirtualClock, run_virtually

BOUNDS = QuotaBounds(window_ms=5_000.0, excess=0.1, slack=20.0)
ONE_WAY_MS = 12.0
GOSSIP_MS = 100.0
NOTICED_MS = 2_000.0


class Fleet(Peers):
    """Nodes whose links can be cut; ``admitted`` and ``refused`` hold (time, account)."""

    def __init__(self, count, accounts):
        self.clock = VirtualClock()
        self.names = [f"n-{number}" for number in range(count)]
        self.accounts = {account.name: account for account in accounts}
        self.sides = dict.fromkeys(self.names, 0)
        self.admitted = []
        self.refused = []
        self.sent_admitted = []
        self.asked = 0
        self.views = {name: tuple(self.names) for name in self.names}
        self.quotas = {}
        for name in self.names:
            self.start(name)

    def start(self, name):
        members = {each: SimpleNamespace(id=each, address=each) for each in self.names}
        membership = SimpleNamespace(
            me=members[name], members=members, present=lambda: self.views[name]
        )
        link = Link(self, name)
        quota = Quota(BOUNDS, link, membership, self.clock, Metrics(), known_nodes=3)
        quota.on_tight = lambda account: self.tell(name, account)
        quota.set_accounts(self.accounts)
        self.quotas[name] = quota

    def tell(self, teller, account):
        """Spread the word that an account is near its limit, as gossip does."""
        for name in self.names:
            if self.sides[name] == self.sides[teller]:
                delay_s = random.Random(name).uniform(0.012, GOSSIP_MS / 1_000)
                asyncio.get_running_loop().call_later(
                    delay_s, lambda name=name: self.quotas[name].hear_tight(account)
                )

    async def cut(self, names):
        """Cut some nodes from all others; their members notice it later."""
        for name in names:
            self.sides[name] = 1
        await self.clock.sleep(NOTICED_MS)
        self.notice()

    async def heal(self):
        self.sides = dict.fromkeys(self.names, 0)
        await self.clock.sleep(NOTICED_MS)
        self.notice()

    def notice(self):
        for side in (0, 1):
            group = tuple(name for name in self.names if self.sides[name] == side)
            for name in group:
                self.views[name] = group

    def kill(self, names):
        for name in names:
            self.start(name)

    async def request(self, node, account):
        sent_ms = self.clock.now_ms()
        try:
            await self.quotas[node].admit(account)
        except QuotaSpent as error:
            self.refused.append((sent_ms, account, error.retry_after_ms))
            return error
        self.admitted.append((self.clock.now_ms(), account))
        self.sent_admitted.append((sent_ms, account))
        return None

    async def send(self, rates, for_ms, source):
        """Send requests of accounts, by rate per second, to nodes at random."""
        end_ms = self.clock.now_ms() + for_ms
        tasks = []

        async def one_account(account, rate_per_s):
            while True:
                await self.clock.sleep(source.expovariate(rate_per_s) * 1_000.0)
                if self.clock.now_ms() >= end_ms:
                    return
                node = source.choice(self.names)
                tasks.append(asyncio.ensure_future(self.request(node, account)))

        await asyncio.gather(*[one_account(*each) for each in rates.items()])
        await asyncio.gather(*tasks)

    def most_in_window(self, account):
        times = sorted(when for when, name in self.admitted if name == account)
        most = first = 0
        for last, when in enumerate(times):
            while times[first] < when - BOUNDS.window_ms:
                first += 1
            most = max(most, last - first + 1)
        return most

    def refused_below_limit(self):
        """Return the accounts of refused requests that one central bucket would have admitted.

        The bucket counts all that was sent and admitted, and is full at first.
        """
        events = [(when, name, True) for when, name in self.sent_admitted]
        events += [(when, name, False) for when, name, _retry in self.refused]
        levels = {name: (account.burst, 0.0) for name, account in self.accounts.items()}
        found = []
        for when, name, is_admitted in sorted(events):
            account = self.accounts[name]
            level, before = levels[name]
            level = min(account.burst, level + (when - before) / 1_000 * account.rate_per_s)
            if is_admitted:
                level -= 1
            elif level >= 1:
                found.append(name)
            levels[name] = (level, when)
        return found

    def check_bounds(self):
        for account in self.accounts.values():
            allowed = (account.rate_per_s * 5 + account.burst) * 1.1 + 20
            assert self.most_in_window(account.name) <= allowed, account.name


class Link(Peers):
    def __init__(self, fleet, name):
        self._fleet = fleet
        self._name = name

    async def ask(self, address, message, timeout_ms):
        fleet = self._fleet
        fleet.asked += 1
        if fleet.sides[address] != fleet.sides[self._name]:
            await fleet.clock.sleep(timeout_ms)
            raise PeerError(f"{address}: no answer")
        await fleet.clock.sleep(ONE_WAY_MS)
        answer = await fleet.quotas[address].answer(message)
        await fleet.clock.sleep(ONE_WAY_MS)
        return answer


def make_accounts(count=71, usual_per_s=0.85, large_per_s=8.0):
    accounts = []
    for number in range(count):
        usual = large_per_s if number < 4 else usual_per_s
        accounts.append(
            Account(name=f"a-{number}", key_digests=(), rate_per_s=usual * 1.6, burst=usual * 3.2)
        )
    return accounts


def usual_rates(accounts):
    return {account.name: account.rate_per_s / 1.6 for account in accounts}


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(("hot", "times"), [("a-0", 3), ("a-0", 12), ("a-9", 12)])
def test_a_hot_account_is_bounded_beside_seventy_quiet_ones(hot, times, seed):
    async def play():
        fleet = Fleet(58, make_accounts())
        rates = usual_rates(fleet.accounts.values())
        source = random.Random(seed)
        await fleet.clock.sleep(10_000)
        await fleet.send(rates, 6_000, source)
        await fleet.send({**rates, hot: rates[hot] * times}, 6_500, source)
        await fleet.send(rates, 6_000, source)
        return fleet

    fleet = run_virtually(play())
    fleet.check_bounds()
    assert fleet.most_in_window(hot) >= fleet.accounts[hot].rate_per_s * 5 * 0.95
    assert [name for name in fleet.refused_below_limit() if name != hot] == []


def test_a_request_far_from_the_limit_waits_for_no_other_node():
    async def play():
        fleet = Fleet(58, make_accounts())
        await fleet.clock.sleep(10_000)
        started_ms = fleet.clock.now_ms()
        for name in fleet.names[:5]:
            await fleet.request(name, "a-0")
        return fleet.clock.now_ms() - started_ms

    assert run_virtually(play()) == 0.0


def test_a_limit_that_falls_far_below_what_is_sent_binds_after_one_window():
    async def play():
        fleet = Fleet(58, make_accounts())
        rates = usual_rates(fleet.accounts.values())
        source = random.Random(1)
        await fleet.send(rates, 6_000, source)
        for name, account in list(fleet.accounts.items()):
            values = {**account.to_map(), "rate_per_s": account.rate_per_s / 10, "burst": 1.0}
            fleet.accounts[name] = Account(**values)
        for quota in fleet.quotas.values():
            quota.set_accounts(dict(fleet.accounts))
        await fleet.clock.sleep(5_000)
        fleet.admitted.clear()
        await fleet.send(rates, 10_000, source)
        return fleet

    fleet = run_virtually(play())
    fleet.check_bounds()
    assert fleet.refused and fleet.admitted


@pytest.mark.parametrize("count", [2, 7, 58])
@pytest.mark.parametrize("seed", range(5))
def test_the_bound_holds_through_cuts_and_kills(count, seed):
    async def play():
        source = random.Random(seed)
        fleet = Fleet(count, make_accounts(count=20))
        rates = usual_rates(fleet.accounts.values())
        for name in ("a-1", "a-7"):
            rates[name] *= source.uniform(3, 12)

        async def troubles():
            await fleet.clock.sleep(source.uniform(3_000, 6_000))
            share = source.choice((0.17, 0.35, 0.5))
            await fleet.cut(fleet.names[: max(1, int(count * share))])
            await fleet.clock.sleep(4_000)
            await fleet.heal()
            await fleet.clock.sleep(source.uniform(1_000, 3_000))
            fleet.kill(fleet.names)

        await asyncio.gather(fleet.send(rates, 20_000, source), troubles())
        return fleet

    run_virtually(play()).check_bounds()


def test_all_nodes_killed_at_once_grant_no_second_burst():
    account = Account(name="a", key_digests=(), rate_per_s=2.0, burst=40.0)

    async def play():
        fleet = Fleet(7, [account])
        await fleet.clock.sleep(60_000)
        for _round in range(4):
            await asyncio.gather(*[fleet.request(name, "a") for name in fleet.names * 8])
            fleet.kill(fleet.names)
        return fleet

    run_virtually(play()).check_bounds()


def test_refused_callers_get_times_in_order_that_the_quota_keeps():
    bounds = QuotaBounds(window_ms=5_000.0, excess=0.0, slack=0.0)
    ledger = QuotaLedger(bounds)
    ask = QuotaAsk(account="a", used=0, wanted=1, rate_per_s=2.0, burst=0.0)
    while ledger.answer(ask, 1.0, 0.0).granted:
        pass
    waits = [ledger.answer(ask, 1.0, 0.0).retry_ms for _number in range(4)]
    assert waits == sorted(waits) and waits[1] - waits[0] == 500.0
    for wait_ms in waits:
        assert ledger.answer(ask, 1.0, wait_ms + 1.0).granted == 1


def test_a_token_that_is_given_back_can_be_taken_again():
    ledger = QuotaLedger(BOUNDS)
    take = QuotaAsk(account="a", used=0, wanted=1, rate_per_s=0.001, burst=0.0)
    while ledger.answer(take, 1.0, 0.0).granted:
        pass
    back = QuotaAsk(account="a", used=-1, wanted=0, rate_per_s=0.001, burst=0.0)
    ledger.answer(back, 1.0, 0.0)
    assert ledger.answer(take, 1.0, 0.0).granted == 1


def test_the_parts_of_a_divided_fleet_add_up_to_the_bound():
    for rate_per_s, burst in ((0.1, 0.0), (1.4, 3.0), (50.0, 100.0)):
        window = rate_per_s * 5 + burst
        for shares in ((0.5, 0.5), (0.83, 0.17), (1 / 58,) * 58):
            granted = sum(BOUNDS.factor(rate_per_s, burst, share) for share in shares) * window
            assert granted <= window * 1.1 + 20


@pytest.mark.parametrize("seed", range(3))
def test_a_limit_that_falls_refuses_nobody_whom_one_bucket_for_all_nodes_would_admit(seed):
    async def play():
        fleet = Fleet(58, make_accounts())
        rates = usual_rates(fleet.accounts.values())
        source = random.Random(seed)
        await fleet.clock.sleep(10_000)
        await fleet.send(rates, 6_000, source)
        lowered = fleet.accounts["a-0"]
        values = {**lowered.to_map(), "rate_per_s": rates["a-0"] * 0.8, "burst": 4.0}
        fleet.accounts["a-0"] = Account(**values)
        for quota in fleet.quotas.values():
            quota.set_accounts(dict(fleet.accounts))
        fleet.sent_admitted.clear()
        fleet.refused.clear()
        await fleet.send(rates, 12_000, source)
        return fleet

    fleet = run_virtually(play())
    assert "a-0" in {name for _when, name, _retry in fleet.refused}
    assert fleet.refused_below_limit() == []


def test_an_owner_keeps_its_buckets_when_another_node_leaves():
    accounts = [
        Account(name=f"a-{number}", key_digests=(), rate_per_s=2.0, burst=10.0)
        for number in range(71)
    ]

    async def play():
        fleet = Fleet(58, accounts)
        await fleet.clock.sleep(10_000)
        for account in accounts:
            await fleet.request(fleet.names[1], account.name)
        await fleet.clock.sleep(10_000)
        kept = [each.name for each in accounts if ranked(each.name, fleet.names)[0] != "n-0"]
        fleet.names.remove("n-0")
        for name in fleet.names:
            fleet.views[name] = tuple(fleet.names)
            fleet.quotas[name].set_accounts(fleet.accounts)
        for name in kept:
            await asyncio.gather(*[fleet.request(node, name) for node in fleet.names[:5]])
        await fleet.clock.sleep(200)
        for name in kept:
            await asyncio.gather(*[fleet.request(node, name) for node in fleet.names[:4]])
        return fleet

    fleet = run_virtually(play())
    assert fleet.refused == []
