"""The object model of the operators' configuration."""

from ..labels import matches, values_of
from ..records import Record

SHARD_LABEL = "shard"

DEADLINE = "deadline"
COMPLETE = "complete"


class Shard(Record):
    """A part of a service's index; callers' selectors match its ``labels``."""

    __slots__ = ("name", "labels")


class IndexVersion(Record):
    """One version of a service's index and its shards."""

    __slots__ = ("version", "shards")


class Policy(Record):
    """How a service balances latency, coverage and extra load; times are in milliseconds."""

    __slots__ = (
        "coverage",
        "deadline_ms",
        "hedge_quantile",
        "hedge_fraction",
        "retry_fraction",
        "silent_ms",
    )


POLICY_DEFAULTS = {
    "coverage": DEADLINE,
    "deadline_ms": 1000.0,
    "hedge_quantile": 0.98,
    "hedge_fraction": 0.05,
    "retry_fraction": 0.1,
    "silent_ms": 2000.0,
}


class Service(Record):
    """A set of backend servers that answer the same kinds of request."""

    __slots__ = (
        "name",
        "kinds",
        "labels",
        "selector",
        "versions",
        "slots",
        "connections",
        "policy",
    )

    def version(self, number):
        """Return the :class:`IndexVersion` with this number, or ``None``."""
        for version in self.versions:
            if version.version == number:
                return version
        return None

    @property
    def newest(self):
        """The :class:`IndexVersion` with the highest number."""
        return max(self.versions, key=lambda version: version.version)


class Server(Record):
    """A backend server; ``address`` is ``host:port``."""

    __slots__ = ("id", "address", "data_centre", "labels")


class Configuration:
    """An immutable configuration.

    ``services`` maps names to :class:`Service`, ``servers`` maps ids to :class:`Server`,
    ``draining`` holds ids of servers, ``regions`` maps data centres to regions.

    >>> configuration = Configuration.from_document(document)
    >>> configuration.service("booking-desk").newest.version
    7
    """

    __slots__ = ("_matched", "_replicas", "draining", "regions", "servers", "services")

    def __init__(self, services, servers, draining, regions):
        self.services = services
        self.servers = servers
        self.draining = draining
        self.regions = regions
        self._matched = {}
        self._replicas = {}

    @classmethod
    def from_document(cls, document):
        """Build a configuration from a checked JSON document."""
        return cls(
            services={entry["name"]: _service(entry) for entry in document["services"]},
            servers={entry["id"]: Server(**entry) for entry in document["servers"]},
            draining=frozenset(document.get("draining", ())),
            regions={entry["name"]: entry["region"] for entry in document["data_centres"]},
        )

    def service(self, name):
        """Return the :class:`Service` called ``name``, or ``None``."""
        return self.services.get(name)

    def servers_of(self, service):
        """Return the servers that the service's selector matches, in order of their ids."""
        found = self._matched.get(service.name)
        if found is None:
            found = []
            for server_id in sorted(self.servers):
                server = self.servers[server_id]
                if matches(service.selector, server.labels):
                    found.append(server)
            self._matched[service.name] = found
        return found

    def replicas_of(self, service):
        """Return a dictionary of shard name to the servers that hold the shard."""
        replicas = self._replicas.get(service.name)
        if replicas is None:
            replicas = {}
            for server in self.servers_of(service):
                for name in values_of(server.labels, SHARD_LABEL):
                    replicas.setdefault(name, []).append(server)
            self._replicas[service.name] = replicas
        return replicas


def _service(entry):
    return Service(
        name=entry["name"],
        kinds=tuple(entry["kinds"]),
        labels=entry.get("labels", {}),
        selector=entry["selector"],
        versions=[_version(version) for version in entry["versions"]],
        slots=entry["slots"],
        connections=entry["connections"],
        policy=Policy(**{**POLICY_DEFAULTS, **entry.get("policy", {})}),
    )


def _version(entry):
    shards = []
    for shard in entry["shards"]:
        shards.append(Shard(name=shard["name"], labels=shard.get("labels", {})))
    return IndexVersion(version=entry["version"], shards=shards)
