"""In whose name a request is made, and when it is refused."""

import pytest

from auburnhollow.accounts import Account, digest_of, urgency_of
from auburnhollow.accounts.access import Access
from auburnhollow.exceptions import NotReady, Unauthorized, Unavailable
from auburnhollow.routes import FrontLimits, RouteTable
from auburnhollow_standins.fake_servers import make_request, make_route

LIMITS = FrontLimits(header_bytes=1, body_bytes=2, header_ms=3, idle_ms=4)


class FakeClock:
    def now_ms(self):
        return 1_000.0


def make_table(*accounts):
    return RouteTable(1, [make_route(("a",))], [], LIMITS, accounts)


def make_keyed(key="k", **fields):
    digest = None if key is None else digest_of(key)
    withheld = (("authorization", "Bearer k"),)
    return make_request(FakeClock(), key_digest=digest, withheld=withheld, **fields)


DESK = Account(name="desk", key_digests=(digest_of("k"),), urgency=0)


def test_withheld_headers_go_on_only_without_accounts():
    for accounts, expected in (((), 1), ((DESK,), 0)):
        request = make_keyed()
        Access().admit(request, make_route(("a",)), make_table(*accounts), age_ms=0.0)
        names = [name for name, _value in request.headers]
        assert names.count("authorization") == expected
        assert request.withheld == ()


def test_a_node_with_old_state_refuses_keyed_requests_where_revocation_is_strict():
    table, route = make_table(DESK), make_route(("a",))
    strict = Access(max_age_ms=5_000.0)
    strict.admit(make_keyed(), route, table, age_ms=4_999.0)
    for age_ms in (5_001.0, None):
        with pytest.raises(NotReady) as caught:
            strict.admit(make_keyed(), route, table, age_ms=age_ms)
        assert caught.value.retry_after_ms > 0
        Access().admit(make_keyed(), route, table, age_ms=age_ms)


def test_a_public_route_is_served_from_old_state_too():
    request = make_keyed()
    public = make_route(("a",), is_public=True)
    Access(max_age_ms=5_000.0).admit(request, public, make_table(DESK), age_ms=None)
    assert request.account == "desk"


def test_an_unknown_key_is_told_so_without_naming_it():
    with pytest.raises(Unauthorized) as caught:
        Access().admit(make_keyed("x"), make_route(("a",)), make_table(DESK), age_ms=0.0)
    assert digest_of("x") not in str(caught.value) and caught.value.status == 401


def test_a_helper_refuses_what_its_configuration_does_not_allow_as_not_run():
    access, route = Access(), make_route(("a",))
    table = make_table(DESK)
    access.check_helped("desk", route, table)
    access.check_helped(None, make_route(("a",), is_public=True), table)
    access.check_helped("shop", route, make_table())
    for account in ("shop", None):
        with pytest.raises(Unavailable) as caught:
            access.check_helped(account, route, table)
        assert caught.value.ran == "no"


def test_the_urgency_of_an_account_goes_before_that_of_the_route():
    route = make_route(("a",))
    table = make_table(DESK, Account(name="shop", key_digests=()))
    assert urgency_of("desk", route, table) == 0
    for account in ("shop", None, "gone"):
        assert urgency_of(account, route, table) == route.urgency
