"""The operators' commands."""

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

from . import pictures, relays, stories, texts
from .fleet import FleetView

WRITE_TRIES = 20
WRITE_PAUSE_MS = 500
CONFIRM_PAUSE_MS = 200
DEFAULT_WAIT_S = 30
EVENTS_MINUTES = 15
EMPTY = {"data_centres": [], "services": [], "servers": [], "draining": []}


class NotInForce(AuburnhollowError):
    """Some live nodes did not confirm a revision in time."""


class UnknownRequest(AuburnhollowError):
    """The logs do not mention a request."""


class Change:
    """A change that an operator wants: the document before and after, and why."""

    __slots__ = ("author", "base", "before", "document", "note")

    def __init__(self, current, document, note, base, author):
        number = 0 if current is None else current.number
        self.before = EMPTY if current is None else current.document
        self.document = document
        self.note = note
        self.base = number if base is None else base
        self.author = author or getpass.getuser()


class Commands:
    """auburnhollow: look at the fleet and change its configuration.

    :param store: address of the platform's key-value service.
    :param nodes: addresses of nodes, separated by commas.
    :param json: print JSON for programs.
    """

    def __init__(self, store="http://127.0.0.1:8200", nodes="http://127.0.0.1:8000", json=False):
        self._store = store
        self._nodes = list(nodes) if isinstance(nodes, list | tuple) else str(nodes).split(",")
        self._json = json

    def check(self, file):
        """Check a configuration file, or the settings of a relay node; print all findings."""
        document = read_json(file, ConfigurationError)
        is_settings = "adapter" in document
        findings = check_settings(document) if is_settings else check_document(document)
        if findings:
            raise ConfigurationError(findings)
        self._print({"valid": True, "file": str(file)}, f"{file} is valid")

    def apply(self, file, note="", base=None, author=None, wait_s=DEFAULT_WAIT_S, yes=False):
        """Write a configuration file as the next revision and wait until it is in force.

        :param note: why, for the history.
        :param base: the revision it was made from; the newest one when absent.
        :param wait_s: how long to wait for the nodes, in seconds.
        :param yes: do not ask before writing.
        """
        document = read_json(file, ConfigurationError)
        asyncio.run(self._apply(lambda _current: document, note, base, author, wait_s, yes))

    def revert_to(self, revision, note="", author=None, wait_s=DEFAULT_WAIT_S, yes=False):
        """Write the content of an old revision as a new one."""
        note = note or f"content of revision {revision}"
        asyncio.run(self._revert(revision, note, author, wait_s, yes))

    def drain(self, server, undo=False, author=None, wait_s=DEFAULT_WAIT_S):
        """Give a backend server no more work; with ``--undo`` take that back."""

        def change(current):
            document = copy.deepcopy(current)
            draining = set(document.get("draining", ()))
            draining = draining - {server} if undo else draining | {server}
            document["draining"] = sorted(draining)
            return document

        note = f"{'take back draining' if undo else 'drain'} {server}"
        asyncio.run(self._apply(change, note, None, author, wait_s, yes=True))

    def show(self, revision=None):
        """Print a configuration, the one in the store or an old one."""
        stored = asyncio.run(self._read(revision))
        document = orjson.dumps(stored.document, option=orjson.OPT_INDENT_2).decode()
        self._print(stored.to_map(), f"{texts.stored_text(stored)}\n{document}")

    def history(self, limit=20):
        """Print the newest revisions."""

        async def read():
            async with self._opened() as (repository, _):
                return await repository.history(limit)

        found = asyncio.run(read())
        shown = [{**stored.to_map(), "document": None} for stored in found]
        self._print(shown, "\n".join(texts.stored_text(stored) for stored in found))

    def diff(self, before, after=None):
        """Print what differs between two revisions, or a revision and the newest one."""
        old = asyncio.run(self._read(before))
        new = asyncio.run(self._read(after))
        found = differences(old.document, new.document)
        self._print([entry.to_map() for entry in found], texts.differences_text(found))

    def route(self, service=None, selector=None, kind="search"):
        """Explain where a request would go and why.

        :param selector: a JSON object, such as '{"half": "odd"}'.
        """
        question = {"kind": kind, "selector": _selector(selector)}
        if service is not None:
            question["service"] = service

        async def ask():
            async with self._opened() as (_, fleet):
                return await fleet.route(question)

        found = asyncio.run(ask())
        self._print(found, texts.route_text(found))

    def status(self):
        """Print the fleet at a glance, as each named node sees it."""

        async def ask():
            async with self._opened() as (_, fleet):
                return await fleet.statuses()

        found = asyncio.run(ask())
        if not found:
            raise ConfigurationError([Finding("nodes", "none of the named nodes answers")])
        text = "\n\n".join(texts.status_text(status) for status in found.values())
        self._print(found, text)

    def relay_status(self):
        """Print what each named relay node knows of the store, the servers and the fleet."""

        async def ask():
            async with self._opened() as (_, fleet):
                return await fleet.relay_statuses()

        found = asyncio.run(ask())
        if not found:
            raise ConfigurationError([Finding("nodes", "none of the named nodes answers")])
        self._print(found, "\n\n".join(relays.status_text(status) for status in found.values()))

    def relay_route(self, host, path="/"):
        """Print where a relay node would send a request for HOST and PATH, and why."""

        async def ask():
            async with self._opened() as (_, fleet):
                return await fleet.relay_route(str(host), str(path))

        found = asyncio.run(ask())
        self._print(found, relays.route_text(found))

    def timeline(self, minutes=EVENTS_MINUTES, html=None, follow_request=None):
        """Merge the events of the named nodes into one time line.

        :param minutes: how far back, in minutes.
        :param html: write a self-contained HTML picture to this file.
        :param follow_request: only events that carry this request id or key.
        """
        since_ms = Clock().wall_ms() - int(minutes * 60_000)

        async def ask():
            async with self._opened() as (_, fleet):
                return await fleet.events(since_ms)

        events, silent = asyncio.run(ask())
        if follow_request is not None:
            wanted = str(follow_request)
            events = [event for event in events if wanted in event["details"].values()]
        for url in silent:
            print(f"no events from {url}: it does not answer", file=sys.stderr)
        if html is not None:
            with open(html, "w", encoding="utf-8") as file:
                file.write(pictures.timeline_page(events))
            self._print({"file": html, "events": len(events)}, f"{len(events)} events in {html}")
            return
        if self._json:
            for event in events:
                print(orjson.dumps(event).decode())
            return
        print("\n".join(texts.event_text(event) for event in events) or "no events")

    async def _apply(self, make_document, note, base, author, wait_s, yes):
        async with self._opened() as (repository, fleet):
            current = await repository.current()
            document = make_document(EMPTY if current is None else current.document)
            change = Change(current, document, note, base, author)
            await self._write(repository, fleet, change, wait_s, yes)

    async def _revert(self, revision, note, author, wait_s, yes):
        old = await self._read(revision)
        await self._apply(lambda _current: old.document, note, None, author, wait_s, yes)

    async def _write(self, repository, fleet, change, wait_s, yes):
        findings = check_document(change.document)
        if findings:
            raise ConfigurationError(findings)
        found = differences(change.before, change.document)
        effects = check_effect(
            Configuration.from_document(change.before),
            Configuration.from_document(change.document),
        )
        self._progress(texts.differences_text(found))
        self._progress(texts.effects_text(effects))
        if not yes and not _confirmed():
            self._progress("nothing was written")
            return
        try:
            stored = await self._change(repository, change)
        except ConflictError as error:
            await self._show_race(repository, change, error.current)
            raise
        self._progress(f"accepted as revision {stored.number}, change {stored.change_id}")
        confirmation = await self._wait_in_force(fleet, stored.number, wait_s)
        self._print(
            {
                "revision": stored.number,
                "change_id": stored.change_id,
                "differences": [entry.to_map() for entry in found],
                "effects": [entry.to_map() for entry in effects],
                "confirmed": confirmation.confirmed,
                "waiting": confirmation.waiting,
            },
            f"in force on {len(confirmation.confirmed)} of "
            f"{len(confirmation.confirmed) + len(confirmation.waiting)} live nodes",
        )
        if not confirmation.is_complete:
            waiting = texts.names_text(confirmation.waiting)
            raise NotInForce(f"revision {stored.number} is accepted; not confirmed by {waiting}")

    async def _show_race(self, repository, change, current):
        """Show the loser of a race what both changed since the revision it started from."""
        base = await repository.revision(change.base)
        before = EMPTY if base is None else base.document
        self._progress(f"theirs since revision {change.base}:")
        self._progress(texts.differences_text(differences(before, current.document)))
        self._progress(f"yours since revision {change.base}:")
        self._progress(texts.differences_text(differences(before, change.document)))

    async def _change(self, repository, change):
        """Write, and go on asking under the same change id while the outcome is unknown."""
        change_id = new_change_id()
        clock = Clock()
        for attempt in range(WRITE_TRIES):
            try:
                return await repository.change(
                    change.document, change.base, change.author, change.note, change_id
                )
            except StoreOutcomeUnknown as error:
                last = error
                self._progress(f"the answer was lost, asking again: {error}")
            except StoreUnavailable as error:
                last = error
                self._progress(f"the store does not answer, try {attempt + 1}: {error}")
            await clock.sleep(WRITE_PAUSE_MS)
        raise last

    async def _wait_in_force(self, fleet, revision, wait_s):
        clock = Clock()
        give_up_ms = clock.now_ms() + wait_s * 1000
        shown = None
        while True:
            confirmation = await fleet.confirmation(revision)
            if confirmation.is_complete or clock.now_ms() > give_up_ms:
                return confirmation
            if confirmation.waiting != shown:
                shown = confirmation.waiting
                self._progress(f"waiting for {texts.names_text(shown)}")
            await clock.sleep(CONFIRM_PAUSE_MS)

    async def _read(self, revision):
        async with self._opened() as (repository, _):
            if revision is None:
                stored = await repository.current()
            else:
                stored = await repository.revision(int(revision))
        if stored is None:
            raise ConfigurationError([Finding(f"revision {revision}", "is not in the store")])
        return stored

    @asynccontextmanager
    async def _opened(self):
        async with aiohttp.ClientSession() as session:
            yield Repository(HttpStore(session, self._store)), FleetView(session, self._nodes)

    def explain_request(self, request, *files, around_ms=0):
        """Print what became of a request, from the log files of all nodes.

        :param request: the id that the caller sent.
        :param files: log files; the standard input without any.
        :param around_ms: also what its nodes came to believe so long before and after it.
        """
        story = stories.tell(str(request), stories.read_lines(files or ("-",)), around_ms)
        if not story:
            raise UnknownRequest(f"no line of {request}: answered before the logs, or dropped")
        self._print(story, "\n".join(story))

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


def _confirmed():
    if not sys.stdin.isatty():
        return False
    return input("write this? [y/N] ").strip().lower() == "y"
