"""Reads what the check of the relay nodes' configuration needs: files, the store, the regions."""

import asyncio
import importlib

import orjson

from auburnhollow.exceptions import ConfigurationError, Finding

from .table_check import report

DEFAULT_ADAPTER = "auburnhollow_platform"


def read_report(file, adapter=DEFAULT_ADAPTER, live=None, against=None, regions=None):
    """Return the :class:`~auburnhollow_operator.table_check.Report` on a configuration file.

    :param adapter: package that speaks to the platform.
    :param live: ``host:port`` of the platform's store, or ``None``.
    :param against: path of another file to compare with instead, or ``None``.
    :param regions: data centres and their regions, as a dictionary or JSON, or ``None``.
    :raises ConfigurationError: if a file or an argument can't be read.
    :raises StoreUnavailable: if the store does not answer.
    """
    platform = _adapter(adapter)
    table = platform.parse_table(_read(file))
    before, servers = None, None
    if live is not None:
        before, servers = asyncio.run(platform.read_in_force(str(live)))
    if against is not None:
        before = platform.parse_table(_read(against))
    regions = None if regions is None else _regions(regions)
    return report(table, before, servers, regions)


def _read(path):
    try:
        with open(path, "rb") as file:
            return file.read()
    except OSError as error:
        raise ConfigurationError([Finding(str(path), error.strerror)]) from error


def _adapter(name):
    try:
        return importlib.import_module(f"{name}.configuration")
    except ModuleNotFoundError as error:
        raise ConfigurationError([Finding("adapter", str(error))]) from error


def _regions(value):
    if isinstance(value, str):
        try:
            value = orjson.loads(value)
        except orjson.JSONDecodeError as error:
            finding = Finding("regions", f"not JSON: {error.msg}")
            raise ConfigurationError([finding]) from error
    if not isinstance(value, dict) or not all(isinstance(each, str) for each in value.values()):
        finding = Finding("regions", "not a JSON object of data centres to regions")
        raise ConfigurationError([finding])
    return value
