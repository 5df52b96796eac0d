"""The users' two deployments, as configurations and as behaviour of fake backend servers."""

from auburnhollow.records import Record

DELAY_BETWEEN_DATA_CENTRES_MS = 3.5


class ServiceSpec(Record):
    """One service: ``shards`` shards with ``replicas`` replicas each.

    ``connect_ms`` is the time for a new connection, in milliseconds.
    """

    __slots__ = (
        "name",
        "kinds",
        "shards",
        "replicas",
        "slots",
        "connections",
        "connect_ms",
        "labels",
        "policy",
    )


class Deployment(Record):
    """A user's deployment; ``data_centres`` maps data centres to regions."""

    __slots__ = ("name", "theme", "data_centres", "delay_between_regions_ms", "service_specs")

    def document(self):
        """Return the configuration document, with placeholder addresses of the servers."""
        servers = []
        services = []
        for spec in self.service_specs:
            services.append(_service_entry(spec))
            servers += self._server_entries(spec, first_port=20_000 + len(servers))
        data_centres = [
            {"name": name, "region": region} for name, region in self.data_centres.items()
        ]
        return {
            "data_centres": data_centres,
            "services": services,
            "servers": servers,
            "draining": [],
        }

    def one_way_delays_ms(self, data_centre):
        """Return the one-way delay to ``data_centre`` from each other one, in milliseconds."""
        delays = {}
        for name, region in self.data_centres.items():
            if name == data_centre:
                continue
            is_same_region = region == self.data_centres[data_centre]
            delays[name] = (
                DELAY_BETWEEN_DATA_CENTRES_MS if is_same_region else self.delay_between_regions_ms
            )
        return delays

    def _server_entries(self, spec, first_port):
        servers = []
        data_centres = list(self.data_centres)
        for shard in range(spec.shards):
            for replica in range(spec.replicas):
                number = len(servers)
                servers.append(
                    {
                        "id": f"{spec.name}-{shard}-{replica}",
                        "address": f"127.0.0.1:{first_port + number}",
                        "data_centre": data_centres[replica % len(data_centres)],
                        "labels": {"service": spec.name, "shard": str(shard)},
                    }
                )
        return servers


def _service_entry(spec):
    shards = []
    for shard in range(spec.shards):
        shards.append({"name": str(shard), "labels": {"half": "even" if shard % 2 == 0 else "odd"}})
    return {
        "name": spec.name,
        "kinds": spec.kinds,
        "labels": spec.labels,
        "selector": {"service": spec.name},
        "versions": [{"version": 1, "shards": shards}],
        "slots": spec.slots,
        "connections": spec.connections,
        "policy": spec.policy,
    }


FRANCHISE = Deployment(
    name="franchise",
    theme="crushers",
    data_centres={"ploiesti": "ro-south", "cluj": "ro-south", "iasi": "ro-east"},
    delay_between_regions_ms=12.0,
    service_specs=[
        ServiceSpec(
            name="booking-desk",
            kinds=["search", "order"],
            shards=10,
            replicas=3,
            slots=5,
            connections=40,
            connect_ms=6.0,
            labels={"desk": "booking"},
            policy={"coverage": "deadline", "deadline_ms": 500},
        ),
        ServiceSpec(
            name="invoicing",
            kinds=["search", "order"],
            shards=15,
            replicas=3,
            slots=5,
            connections=40,
            connect_ms=6.0,
            labels={"desk": "invoicing"},
            policy={"coverage": "deadline", "deadline_ms": 1000},
        ),
        ServiceSpec(
            name="depot-portal",
            kinds=["check"],
            shards=1,
            replicas=20,
            slots=2,
            connections=100,
            connect_ms=1.0,
            labels={"desk": "depot"},
            policy={"coverage": "deadline", "deadline_ms": 300},
        ),
        ServiceSpec(
            name="franchisee-reporting",
            kinds=["search"],
            shards=1,
            replicas=10,
            slots=2,
            connections=100,
            connect_ms=1.0,
            labels={"desk": "reporting"},
            policy={"coverage": "complete", "deadline_ms": 5000},
        ),
    ],
)

CO_OPERATIVE = Deployment(
    name="co-operative",
    theme="braille",
    data_centres={"dakar": "sn-west", "thies": "sn-west", "ziguinchor": "sn-south"},
    delay_between_regions_ms=8.0,
    service_specs=[
        ServiceSpec(
            name="catalogue-desk",
            kinds=["search"],
            shards=10,
            replicas=3,
            slots=3,
            connections=30,
            connect_ms=6.0,
            labels={"desk": "catalogue"},
            policy={"coverage": "complete", "deadline_ms": 1000},
        ),
        ServiceSpec(
            name="member-ledger",
            kinds=["search"],
            shards=15,
            replicas=3,
            slots=3,
            connections=30,
            connect_ms=6.0,
            labels={"desk": "members"},
            policy={"coverage": "complete", "deadline_ms": 1000},
        ),
        ServiceSpec(
            name="press-orders",
            kinds=["check", "order"],
            shards=1,
            replicas=10,
            slots=3,
            connections=40,
            connect_ms=1.0,
            labels={"desk": "press"},
            policy={"coverage": "complete", "deadline_ms": 1000},
        ),
        ServiceSpec(
            name="reader-mail",
            kinds=["check", "order"],
            shards=1,
            replicas=5,
            slots=3,
            connections=40,
            connect_ms=1.0,
            labels={"desk": "mail"},
            policy={"coverage": "complete", "deadline_ms": 2000},
        ),
    ],
)

DEPLOYMENTS = {deployment.name: deployment for deployment in (FRANCHISE, CO_OPERATIVE)}
