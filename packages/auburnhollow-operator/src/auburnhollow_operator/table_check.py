"""The report of a check of the relay nodes' configuration."""

from auburnhollow.records import Record
from auburnhollow.servers import ServerState

from .table_differences import table_differences
from .table_findings import check_table


class Report(Record):
    """Findings and differences of a configuration, as dictionaries, and its version.

    ``differences`` is ``None`` if there was nothing to compare with.
    """

    __slots__ = ("version", "version_before", "findings", "differences")


def report(table, before=None, servers=None, regions=None):
    """Return the :class:`Report` on a route table.

    :param table: the :class:`~auburnhollow.routes.RouteTable` to send.
    :param before: the one in force, or ``None``.
    :param servers: list of the known :class:`~auburnhollow.servers.Server`, or ``None``.
    :param regions: dictionary of data centres to regions, or ``None``.
    """
    names = None if regions is None else set(regions.values())
    places = None if servers is None else _places(servers, regions or {})
    findings = [finding.to_map() for finding in check_table(table, names, places)]
    differences = None
    if before is not None:
        differences = [each.to_map() for each in table_differences(before, table)]
        if table.version <= before.version:
            text = f"version {before.version} is in force; nodes ignore {table.version}"
            findings.append({"kind": "error", "place": "version", "text": text})
    return Report(
        version=table.version,
        version_before=None if before is None else before.version,
        findings=findings,
        differences=differences,
    )


def format_report(report):
    """Return a report as text, one finding or difference per line."""
    lines = [f"version {report.version}: {len(report.findings)} findings"]
    for finding in report.findings:
        lines.append(f"  {finding['kind']}: {finding['place']}: {finding['text']}")
    if report.differences is None:
        lines.append("no other version to compare with")
        return "\n".join(lines)
    lines.append(f"differences from version {report.version_before}:")
    if not report.differences:
        lines.append("  none")
    for each in report.differences:
        lines.append(f"  {each['place']}: {each['before']!r} -> {each['after']!r}")
    return "\n".join(lines)


def _places(servers, regions):
    """Return the regions of each service's servers that get requests, ``None`` if unknown."""
    places = {}
    for server in servers:
        if server.state is not ServerState.READY:
            continue
        places.setdefault(server.service, set()).add(regions.get(server.data_centre))
    return places
