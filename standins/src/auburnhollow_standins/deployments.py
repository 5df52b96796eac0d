"""The two deployments of today as configurations and stand-in behaviours."""

from auburnhollow.records import Record

DELAY_BETWEEN_CENTRES_MS = 3.5


class Part(Record):
    """One service: ``shards`` shards of ``replicas`` replicas. Times are in milliseconds."""

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
    """A user's deployment; ``centres`` maps data centres to regions."""

    __slots__ = ("name", "theme", "centres", "delay_between_regions_ms", "parts")

    def document(self):
        """Return the operators' configuration; addresses stand for those of real servers."""
        servers = []
        services = []
        for part in self.parts:
            services.append(_service(part))
            servers += self._servers(part, first_port=20_000 + len(servers))
        centres = [{"name": name, "region": region} for name, region in self.centres.items()]
        return {"data_centres": centres, "services": services, "servers": servers, "draining": []}

    def away_ms(self, data_centre):
        """Return the one-way delay from each data centre to ``data_centre``."""
        delays = {}
        for name, region in self.centres.items():
            if name == data_centre:
                continue
            same = region == self.centres[data_centre]
            delays[name] = DELAY_BETWEEN_CENTRES_MS if same else self.delay_between_regions_ms
        return delays

    def _servers(self, part, first_port):
        servers = []
        centres = list(self.centres)
        for shard in range(part.shards):
            for replica in range(part.replicas):
                number = len(servers)
                servers.append(
                    {
                        "id": f"{part.name}-{shard}-{replica}",
                        "address": f"127.0.0.1:{first_port + number}",
                        "data_centre": centres[replica % len(centres)],
                        "labels": {"service": part.name, "shard": str(shard)},
                    }
                )
        return servers


def _service(part):
    shards = []
    for shard in range(part.shards):
        shards.append({"name": str(shard), "labels": {"half": "even" if shard % 2 == 0 else "odd"}})
    return {
        "name": part.name,
        "kinds": part.kinds,
        "labels": part.labels,
        "selector": {"service": part.name},
        "versions": [{"version": 1, "shards": shards}],
        "slots": part.slots,
        "connections": part.connections,
        "policy": part.policy,
    }


FRANCHISE = Deployment(
    name="franchise",
    theme="crushers",
    centres={"ploiesti": "ro-south", "cluj": "ro-south", "iasi": "ro-east"},
    delay_between_regions_ms=12.0,
    parts=[
        Part(
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
        Part(
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
        Part(
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
        Part(
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
    centres={"dakar": "sn-west", "thies": "sn-west", "ziguinchor": "sn-south"},
    delay_between_regions_ms=8.0,
    parts=[
        Part(
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
        Part(
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
        Part(
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
        Part(
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
