"""Checks a configuration before it is written, and the effect of a change on routing."""

from ..documents import check_schema
from ..exceptions import Finding
from ..labels import describe
from ..records import Record
from .model import Configuration
from .schema import CONFIGURATION


def check_document(document):
    """Return all findings of a configuration document; an empty list means that it is valid."""
    findings = check_schema(CONFIGURATION, document)
    if findings:
        return findings
    findings += _duplicates(document, "services", "name")
    findings += _duplicates(document, "servers", "id")
    findings += _duplicates(document, "servers", "address")
    findings += _duplicates(document, "data_centres", "name")
    findings += _unknown_references(document)
    findings += _unserved_shards(document)
    return findings


def _duplicates(document, section, key):
    seen = {}
    for index, entry in enumerate(document[section]):
        first = seen.setdefault(entry[key], index)
        if first != index:
            text = f"'{entry[key]}' is already used at {section}[{first}].{key}"
            yield Finding(f"{section}[{index}].{key}", text)


def _unknown_references(document):
    names = {entry["name"] for entry in document["data_centres"]}
    servers = {entry["id"] for entry in document["servers"]}
    for index, entry in enumerate(document["servers"]):
        if entry["data_centre"] not in names:
            text = f"no data centre is called '{entry['data_centre']}'"
            yield Finding(f"servers[{index}].data_centre", text)
    for index, server in enumerate(document.get("draining", ())):
        if server not in servers:
            yield Finding(f"draining[{index}]", f"no backend server is called '{server}'")


def _unserved_shards(document):
    configuration = Configuration.from_document(document)
    for index, entry in enumerate(document["services"]):
        place = f"services[{index}]"
        service = configuration.service(entry["name"])
        if not configuration.servers_of(service):
            text = f"no backend server carries {describe(service.selector)}"
            yield Finding(f"{place}.selector", text)
            continue
        replicas = configuration.replicas_of(service)
        numbers = set()
        for position, version in enumerate(service.versions):
            where = f"{place}.versions[{position}]"
            if version.version in numbers:
                yield Finding(f"{where}.version", f"version {version.version} is listed twice")
            numbers.add(version.version)
            yield from _unserved_shards_of(where, version, replicas)


def _unserved_shards_of(where, version, replicas):
    names = set()
    for position, shard in enumerate(version.shards):
        place = f"{where}.shards[{position}].name"
        if shard.name in names:
            yield Finding(place, f"shard '{shard.name}' is listed twice")
        names.add(shard.name)
        if shard.name not in replicas:
            yield Finding(place, f"no backend server holds shard '{shard.name}'")


class Effect(Record):
    """The effect of a change on one service: ids of matched servers before and after."""

    __slots__ = ("service", "before", "after")

    @property
    def gained(self):
        """Servers that the service matches only after the change."""
        return sorted(set(self.after) - set(self.before))

    @property
    def lost(self):
        """Servers that the service matches only before the change."""
        return sorted(set(self.before) - set(self.after))


def check_effect(before, after):
    """Return an :class:`Effect` for each service of either :class:`Configuration`."""
    effects = []
    names = set(before.services) | set(after.services)
    for name in sorted(names):
        effects.append(
            Effect(service=name, before=_matched(before, name), after=_matched(after, name))
        )
    return effects


def _matched(configuration, name):
    service = configuration.service(name)
    if service is None:
        return []
    servers = configuration.servers_of(service)
    return [server.id for server in servers if server.id not in configuration.draining]
