"""Plans a request: which service and shards it goes to."""

from ..exceptions import NoShardMatched, UnknownService
from ..labels import describe, matches
from ..records import Record


class Plan(Record):
    """The plan of a request, made before the first call.

    ``shards`` are names; ``replicas`` maps each shard's name to the backend servers that hold it.
    """

    __slots__ = ("service", "snapshot", "shards", "replicas")


def find_service(configuration, name, kind):
    """Return the :class:`~auburnhollow.configuration.Service` for a request.

    :raises UnknownService: if there is none, or it does not accept this kind of request.
    """
    service = configuration.service(name)
    if service is None:
        raise UnknownService(f"no service is called '{name}'")
    if kind not in service.kinds:
        kinds = ", ".join(service.kinds)
        raise UnknownService(f"service '{name}' takes {kinds}, not {kind}")
    return service


def find_by_labels(configuration, selector, kind):
    """Return the one service with shards that match ``selector``.

    An answer reflects one snapshot of one index, so a selector that matches shards of several
    services is rejected.

    :raises NoShardMatched: if there is none, or more than one.
    """
    found = []
    for name in sorted(configuration.services):
        service = configuration.services[name]
        if kind not in service.kinds:
            continue
        if any(_matches(service, shard, selector) for shard in service.newest.shards):
            found.append(service)
    if not found:
        raise NoShardMatched(f"no shard carries {describe(selector)}")
    if len(found) > 1:
        names = ", ".join(service.name for service in found)
        raise NoShardMatched(f"{describe(selector)} matches several services: {names}; name one")
    return found[0]


def plan_request(configuration, service, snapshot, selector):
    """Return the :class:`Plan` for a request.

    :param selector: selects shards by the labels of service and shard.
    :raises NoShardMatched: if the selector matches no shard of the snapshot.
    """
    shards = []
    for shard in snapshot.shards:
        if _matches(service, shard, selector):
            shards.append(shard.name)
    if not shards:
        raise NoShardMatched(
            f"no shard of {service.name} version {snapshot.version} carries {describe(selector)}"
        )
    return Plan(
        service=service,
        snapshot=snapshot,
        shards=shards,
        replicas=configuration.replicas_of(service),
    )


def _matches(service, shard, selector):
    return matches(selector, {**service.labels, **shard.labels, "shard": shard.name})
