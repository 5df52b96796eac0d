"""Functions that send one request with a :class:`~auburnhollow.sessions.Session`."""

from .sessions import Session


def search(url, service, query, **options):
    """Search all shards of a service.

    :param url: base URL of a node or of the load balancer.
    :param service: name of the service, or ``None`` with a ``selector`` option.
    :param query: JSON object that the backend servers understand.
    :returns: :class:`~auburnhollow.sessions.Response`.
    :raises QueryError: when there is no answer.

    >>> search("http://127.0.0.1:8000", "booking-desk", {"text": "jaw crusher"}).rows
    """
    with Session(url) as session:
        return session.search(service, query, **options)


def check(url, service, query, **options):
    """Query one replica of a service with one shard; see :func:`search`."""
    with Session(url) as session:
        return session.check(service, query, **options)


def order(url, service, order, key=None, **options):
    """Run a request that may not be repeated, at most once.

    :param order: JSON object that the backend servers understand.
    :param key: idempotency key; pass the key of an earlier call to retry the same order.
    """
    with Session(url) as session:
        return session.order(service, order, key, **options)
