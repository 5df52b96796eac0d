"""Two builds side by side: fields that a newer build has added."""

import msgpack

from auburnhollow.accounts import Account, digest_of
from auburnhollow.follow.messages import pack_table, unpack_table
from auburnhollow.peers.codec import compress, decompress, pack, unpack
from auburnhollow.records import Record
from auburnhollow.relay.subquery_messages import pack_subquery, unpack_subquery
from auburnhollow.routes import FrontLimits, RouteTable, Service
from auburnhollow_standins.fake_servers import make_request, make_route

LIMITS = FrontLimits(header_bytes=1, body_bytes=2, header_ms=3, idle_ms=4)
OLD_ROUTE_FIELDS = 12
OLD_SERVICE_FIELDS = 2
OLD_SUBQUERY_FIELDS = 16


class FakeClock:
    def now_ms(self):
        return 1_000.0


class Point(Record):
    __slots__ = ("x", "y", "label", "weight")
    DEFAULTS = {"label": None, "weight": 1}


def make_table(**route_fields):
    accounts = []
    if route_fields:
        accounts = [Account(name="desk", key_digests=(digest_of("k"),), rate_per_s=2.0, burst=4)]
    route = make_route(("a", "b"), **route_fields)
    return RouteTable(7, [route], [Service(name="a", connections=9)], LIMITS, accounts)


def test_defaults_at_the_end_are_left_out_and_filled_in():
    assert Point(x=1, y=2).to_short_list() == [1, 2]
    assert Point(x=1, y=2, weight=3).to_short_list() == [1, 2, None, 3]
    assert Point.from_list([1, 2]) == Point(x=1, y=2, label=None, weight=1)
    assert Point.from_list([1, 2, "a"]).weight == 1


def test_a_list_that_lacks_a_required_field_or_has_too_many_is_refused():
    for values in ([1], [1, 2, None, 1, 5]):
        try:
            Point.from_list(values)
        except ValueError:
            continue
        raise AssertionError(values)


def test_an_older_build_can_read_a_configuration_that_uses_nothing_new():
    version, routes, services, limits = decompress(pack_table(make_table()))
    assert version == 7 and limits == LIMITS.to_list()
    assert [len(values) for values in routes] == [OLD_ROUTE_FIELDS]
    assert [len(values) for values in services] == [OLD_SERVICE_FIELDS]


def test_a_configuration_of_an_older_build_can_be_read():
    old = [7, [make_route(("a", "b")).to_list()[:OLD_ROUTE_FIELDS]], [["a", 9]], LIMITS.to_list()]
    old[1][0][8] = []
    table = unpack_table(compress(old))
    assert table.routes[0].homes == () and not table.routes[0].is_public
    assert table.services["a"].cold_rate_per_s is None and table.accounts == {}


def test_accounts_and_homes_pass_between_nodes_without_their_keys():
    table = make_table(homes=("north",), is_public=True)
    packed = pack_table(table)
    again = unpack_table(packed)
    assert again.routes[0].homes == ("north",) and again.routes[0].is_public
    account = again.account_of(digest_of("k"))
    assert account == table.accounts["desk"]
    assert again.account_of(digest_of("other")) is None and again.account_of(None) is None


def test_a_key_of_two_accounts_belongs_to_the_first():
    accounts = [Account(name=name, key_digests=(digest_of("k"),)) for name in ("a", "b")]
    table = RouteTable(1, [], [], LIMITS, accounts)
    assert table.account_of(digest_of("k")).name == "a"


def test_subqueries_carry_account_and_homes_only_where_there_are_any():
    clock = FakeClock()
    plain = make_request(clock)
    named = make_request(clock, account="desk", homes=("north",))
    lengths = []
    for request in (plain, named):
        message = pack_subquery("k", request, make_route(("a", "b")), [], 1_000.0, False)
        again, _number = unpack(msgpack.unpackb(pack(message)))
        lengths.append(len(again.to_short_list()))
        received, _route = unpack_subquery(again, 1_004.0, 4.0)
        assert (received.account, received.homes) == (request.account, request.homes)
    assert lengths == [OLD_SUBQUERY_FIELDS, OLD_SUBQUERY_FIELDS + 2]
