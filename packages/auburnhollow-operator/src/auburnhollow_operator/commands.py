"""The commands of the ``auburnhollow`` program."""

import asyncio
import copy
import getpass
import sys
from contextlib import asynccontextmanager

import aiohttp
import orjson

from auburnhollow.backing import HttpStore
from auburnhollow.clock import Clock
from auburnhollow.configuration import (
    Configuration,
    Repository,
    check_document,
    check_effect,
    differences,
    new_change_id,
)
from auburnhollow.documents import read_json
from auburnhollow.exceptions import (
    AuburnhollowError,
    ConfigurationError,
    ConflictError,
    Finding,
    StoreOutcomeUnknown,
    StoreUnavailable,
)
from auburnhollow_node.relay.settings import check_settings

from . import (
    configuration_spread,
    formatting,
    html_timeline,
    late_calls,
    relay_formatting,
    request_trace,
    table_check,
    table_reading,
)
from .fleet import FleetClient

MAX_WRITE_ATTEMPTS = 20
WRITE_RETRY_INTERVAL_MS = 500
CONFIRMATION_POLL_INTERVAL_MS = 200
DEFAULT_WAIT_S = 30
DEFAULT_TIMELINE_MINUTES = 15
EMPTY_DOCUMENT = {"data_centres": [], "services": [], "servers": [], "draining": []}


class NotInForce(AuburnhollowError):
    """Some live nodes did not confirm that they use a revision in time."""


class FoundInCheck(AuburnhollowError):
    """The check of a configuration has findings, which are printed already."""


class UnknownRequest(AuburnhollowError):
    """The log files have no line of a request."""


class NoChangeLogged(AuburnhollowError):
    """The log files have no line of a configuration that came in force."""


class NoLateCallLogged(AuburnhollowError):
    """The log files have no line of a call that was late or failed."""


class ProposedChange:
    """A configuration change to write: the document before and after, its base and its reason."""

    __slots__ = ("author", "base", "before", "document", "note")

    def __init__(self, current, document, note, base, author):
        number = 0 if current is None else current.number
        self.before = EMPTY_DOCUMENT if current is None else current.document
        self.document = document
        self.note = note
        self.base = number if base is None else base
        self.author = author or getpass.getuser()


class Commands:
    """auburnhollow: inspect the fleet and change its configuration.

    :param store: URL of the platform's key-value service.
    :param nodes: URLs of nodes, separated by commas.
    :param json: print JSON instead of text.
    """

    def __init__(self, store="http://127.0.0.1:8200", nodes="http://127.0.0.1:8000", json=False):
        self._store = store
        self._nodes = list(nodes) if isinstance(nodes, list | tuple) else str(nodes).split(",")
        self._json = json

    def check(self, file):
        """Validate a configuration file or a relay node's settings file; print all findings."""
        document = read_json(file, ConfigurationError)
        is_settings = "adapter" in document
        findings = check_settings(document) if is_settings else check_document(document)
        if findings:
            raise ConfigurationError(findings)
        self._print({"valid": True, "file": str(file)}, f"{file} is valid")

    def apply(self, file, note="", base=None, author=None, wait_s=DEFAULT_WAIT_S, yes=False):
        """Write a configuration file as the next revision and wait until it is in force.

        :param file: path of the configuration file.
        :param note: reason for the change, kept in the history.
        :param base: revision that the file is based on; the newest one by default.
        :param author: name for the history; the current user by default.
        :param wait_s: how long to wait for the nodes to confirm, in seconds.
        :param yes: write without asking for confirmation.
        """
        document = read_json(file, ConfigurationError)
        asyncio.run(self._apply(lambda _current: document, note, base, author, wait_s, yes))

    def revert_to(self, revision, note="", author=None, wait_s=DEFAULT_WAIT_S, yes=False):
        """Write the content of an old revision as a new revision."""
        note = note or f"content of revision {revision}"
        asyncio.run(self._revert(revision, note, author, wait_s, yes))

    def drain(self, server, undo=False, author=None, wait_s=DEFAULT_WAIT_S):
        """Stop sending work to a backend server; ``--undo`` reverts this."""

        def change(current):
            document = copy.deepcopy(current)
            draining = set(document.get("draining", ()))
            draining = draining - {server} if undo else draining | {server}
            document["draining"] = sorted(draining)
            return document

        note = f"{'take back draining' if undo else 'drain'} {server}"
        asyncio.run(self._apply(change, note, None, author, wait_s, yes=True))

    def show(self, revision=None):
        """Print the current configuration or an old revision."""
        stored = asyncio.run(self._read(revision))
        document = orjson.dumps(stored.document, option=orjson.OPT_INDENT_2).decode()
        self._print(stored.to_map(), f"{formatting.format_revision(stored)}\n{document}")

    def history(self, limit=20):
        """Print the newest revisions."""

        async def read():
            async with self._open_clients() as (repository, _):
                return await repository.history(limit)

        revisions = asyncio.run(read())
        shown = [{**stored.to_map(), "document": None} for stored in revisions]
        self._print(shown, "\n".join(formatting.format_revision(stored) for stored in revisions))

    def diff(self, before, after=None):
        """Print the differences between two revisions, or between one and the newest."""
        old = asyncio.run(self._read(before))
        new = asyncio.run(self._read(after))
        entries = differences(old.document, new.document)
        self._print([entry.to_map() for entry in entries], formatting.format_differences(entries))

    def route(self, service=None, selector=None, kind="search"):
        """Explain where a request would be sent and why.

        :param service: name of the service; found by the selector if absent.
        :param selector: a JSON object, such as '{"half": "odd"}'.
        :param kind: search or check.
        """
        query = {"kind": kind, "selector": _selector(selector)}
        if service is not None:
            query["service"] = service

        async def ask():
            async with self._open_clients() as (_, fleet):
                return await fleet.route(query)

        explanation = asyncio.run(ask())
        self._print(explanation, formatting.format_route(explanation))

    def status(self):
        """Print the status of each given node and its view of the fleet."""

        async def ask():
            async with self._open_clients() as (_, fleet):
                return await fleet.statuses()

        statuses = asyncio.run(ask())
        if not statuses:
            raise ConfigurationError([Finding("nodes", "none of the given nodes answers")])
        text = "\n\n".join(formatting.format_status(status) for status in statuses.values())
        self._print(statuses, text)

    def relay_status(self):
        """Print each given relay node's view of the store, the servers and the fleet."""

        async def ask():
            async with self._open_clients() as (_, fleet):
                return await fleet.relay_statuses()

        statuses = asyncio.run(ask())
        if not statuses:
            raise ConfigurationError([Finding("nodes", "none of the given nodes answers")])
        self._print(
            statuses,
            "\n\n".join(relay_formatting.format_status(status) for status in statuses.values()),
        )

    def relay_route(self, host, path="/"):
        """Print where a relay node would send a request for HOST and PATH, and why."""

        async def ask():
            async with self._open_clients() as (_, fleet):
                return await fleet.relay_route(str(host), str(path))

        explanation = asyncio.run(ask())
        self._print(explanation, relay_formatting.format_route(explanation))

    def relay_check(
        self, file, adapter=table_reading.DEFAULT_ADAPTER, live=None, against=None, regions=None
    ):
        """Check a configuration of the relay nodes before it is sent.

        Prints errors, entries that can never match, limits that contradict each other, and what
        differs from the version in force. Ends with code 2 if there are findings. Keys of
        client accounts are never printed.

        :param file: path of the configuration file.
        :param adapter: package that speaks to the platform.
        :param live: host:port of the platform's store, to compare with the version in force there,
            and to find services without servers.
        :param against: path of another configuration file to compare with instead.
        :param regions: JSON object of data centres to regions, as in a node's settings.
        """
        report = table_reading.read_report(file, adapter, live, against, regions)
        self._print(report.to_map(), table_check.format_report(report))
        if report.findings:
            raise FoundInCheck(f"{len(report.findings)} findings")

    def timeline(self, minutes=DEFAULT_TIMELINE_MINUTES, html=None, follow_request=None):
        """Merge the events of the given nodes into one timeline.

        :param minutes: how far back to start, in minutes.
        :param html: write the timeline as a self-contained HTML page to this file.
        :param follow_request: include only events with this request id or key.
        """
        since_ms = Clock().wall_ms() - int(minutes * 60_000)

        async def ask():
            async with self._open_clients() as (_, fleet):
                return await fleet.events(since_ms)

        events, unreachable = asyncio.run(ask())
        if follow_request is not None:
            wanted = str(follow_request)
            events = [event for event in events if wanted in event["details"].values()]
        for url in unreachable:
            print(f"no events from {url}: it does not answer", file=sys.stderr)
        if html is not None:
            with open(html, "w", encoding="utf-8") as file:
                file.write(html_timeline.timeline_page(events))
            self._print({"file": html, "events": len(events)}, f"{len(events)} events in {html}")
            return
        if self._json:
            for event in events:
                print(orjson.dumps(event).decode())
            return
        print("\n".join(formatting.format_event(event) for event in events) or "no events")

    async def _apply(self, make_document, note, base, author, wait_s, yes):
        async with self._open_clients() as (repository, fleet):
            current = await repository.current()
            document = make_document(EMPTY_DOCUMENT if current is None else current.document)
            change = ProposedChange(current, document, note, base, author)
            await self._write_change(repository, fleet, change, wait_s, yes)

    async def _revert(self, revision, note, author, wait_s, yes):
        old = await self._read(revision)
        await self._apply(lambda _current: old.document, note, None, author, wait_s, yes)

    async def _write_change(self, repository, fleet, change, wait_s, yes):
        findings = check_document(change.document)
        if findings:
            raise ConfigurationError(findings)
        entries = differences(change.before, change.document)
        effects = check_effect(
            Configuration.from_document(change.before),
            Configuration.from_document(change.document),
        )
        self._progress(formatting.format_differences(entries))
        self._progress(formatting.format_effects(effects))
        if not yes and not _ask_confirmation():
            self._progress("nothing was written")
            return
        try:
            stored = await self._write_with_retries(repository, change)
        except ConflictError as error:
            await self._show_conflict(repository, change, error.current)
            raise
        self._progress(f"accepted as revision {stored.number}, change {stored.change_id}")
        confirmation = await self._wait_in_force(fleet, stored.number, wait_s)
        self._print(
            {
                "revision": stored.number,
                "change_id": stored.change_id,
                "differences": [entry.to_map() for entry in entries],
                "effects": [entry.to_map() for entry in effects],
                "confirmed": confirmation.confirmed,
                "waiting": confirmation.waiting,
            },
            f"in force on {len(confirmation.confirmed)} of "
            f"{len(confirmation.confirmed) + len(confirmation.waiting)} live nodes",
        )
        if not confirmation.is_complete:
            waiting = formatting.format_names(confirmation.waiting)
            raise NotInForce(f"revision {stored.number} is accepted; not confirmed by {waiting}")

    async def _show_conflict(self, repository, change, current):
        """Print what the conflicting change and this one changed since the base revision."""
        base = await repository.revision(change.base)
        before = EMPTY_DOCUMENT if base is None else base.document
        self._progress(f"theirs since revision {change.base}:")
        self._progress(formatting.format_differences(differences(before, current.document)))
        self._progress(f"yours since revision {change.base}:")
        self._progress(formatting.format_differences(differences(before, change.document)))

    async def _write_with_retries(self, repository, change):
        """Write a change, retrying with the same change id while the outcome is unknown."""
        change_id = new_change_id()
        clock = Clock()
        for attempt in range(MAX_WRITE_ATTEMPTS):
            try:
                return await repository.change(
                    change.document, change.base, change.author, change.note, change_id
                )
            except StoreOutcomeUnknown as error:
                last = error
                self._progress(f"the answer was lost, trying again: {error}")
            except StoreUnavailable as error:
                last = error
                self._progress(f"the store does not answer, try {attempt + 1}: {error}")
            await clock.sleep(WRITE_RETRY_INTERVAL_MS)
        raise last

    async def _wait_in_force(self, fleet, revision, wait_s):
        clock = Clock()
        deadline_ms = clock.now_ms() + wait_s * 1000
        shown = None
        while True:
            confirmation = await fleet.confirmation(revision)
            if confirmation.is_complete or clock.now_ms() > deadline_ms:
                return confirmation
            if confirmation.waiting != shown:
                shown = confirmation.waiting
                self._progress(f"waiting for {formatting.format_names(shown)}")
            await clock.sleep(CONFIRMATION_POLL_INTERVAL_MS)

    async def _read(self, revision):
        async with self._open_clients() as (repository, _):
            if revision is None:
                stored = await repository.current()
            else:
                stored = await repository.revision(int(revision))
        if stored is None:
            raise ConfigurationError([Finding(f"revision {revision}", "is not in the store")])
        return stored

    @asynccontextmanager
    async def _open_clients(self):
        async with aiohttp.ClientSession() as session:
            yield Repository(HttpStore(session, self._store)), FleetClient(session, self._nodes)

    def explain_request(self, request, *files, around_ms=0):
        """Print the log lines of a request, from the log files of all nodes.

        :param request: the request id that the caller sent.
        :param files: log files; the standard input if there are none.
        :param around_ms: also print lines of the same nodes that belong to no request, from up to
            this many milliseconds before and after it.
        """
        trace = request_trace.trace_request(
            str(request), request_trace.read_lines(files or ("-",)), around_ms
        )
        if not trace:
            raise UnknownRequest(f"no log line of {request}: logged before these files, or dropped")
        self._print(trace, "\n".join(trace))

    def configuration_spread(self, *files):
        """Print when the nodes put each version in force, and which was the slowest.

        :param files: log files of all nodes; the standard input if there are none.
        """
        spreads = configuration_spread.spread_of(request_trace.read_lines(files or ("-",)))
        if not spreads:
            raise NoChangeLogged(
                "no line 'configuration in force': logged before these files, or below log_level"
            )
        self._print(spreads, configuration_spread.format_spread(spreads))

    def late_calls(self, *files):
        """Print how many calls were late or failed in each second, and whether that was known.

        :param files: log files of all nodes; the standard input if there are none.
        """
        seconds = late_calls.late_seconds(request_trace.read_lines(files or ("-",)))
        if not seconds:
            raise NoLateCallLogged(
                "no late call in a line 'calls of a request': none was late, or below log_level"
            )
        self._print(seconds, late_calls.format_late_seconds(seconds))

    def _progress(self, text):
        if not self._json:
            print(text, file=sys.stderr)

    def _print(self, value, text):
        print(orjson.dumps(value).decode() if self._json else text)


def _selector(value):
    if value is None:
        return {}
    if isinstance(value, dict):
        return value
    try:
        return orjson.loads(value)
    except orjson.JSONDecodeError as error:
        finding = Finding("selector", f"not JSON: {error.msg}")
        raise ConfigurationError([finding]) from error


def _ask_confirmation():
    if not sys.stdin.isatty():
        return False
    return input("write this? [y/N] ").strip().lower() == "y"
