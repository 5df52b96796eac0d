"""The ``auburnhollow`` program, run as a process against a fleet of node processes."""

import asyncio
import copy
import signal
import sys

import orjson

from auburnhollow_standins.deployments import FRANCHISE
from auburnhollow_standins.fleet import running_fleet


class Shell:
    """Runs ``auburnhollow`` against a fleet."""

    def __init__(self, fleet, folder):
        self.fleet = fleet
        self.folder = folder

    async def run(self, *arguments, store=None):
        """Return exit code, standard output and standard error."""
        nodes = ",".join(node.url for node in self.fleet.nodes)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "auburnhollow_operator",
            *[str(argument) for argument in arguments],
            f"--store={store or self.fleet.store_url}",
            f"--nodes={nodes}",
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        out, err = await process.communicate()
        assert b"Traceback" not in err, err.decode()
        return process.returncode, out.decode(), err.decode()

    def file(self, name, document):
        path = self.folder / name
        path.write_bytes(orjson.dumps(document))
        return path


def with_shell(steps, tmp_path, nodes=2):
    async def run():
        async with running_fleet(FRANCHISE, nodes=nodes, settings={"linger_ms": 0}) as fleet:
            await steps(Shell(fleet, tmp_path))

    asyncio.run(run())


def test_a_change_is_checked_applied_and_listed_in_the_history(tmp_path):
    async def steps(shell):
        document = copy.deepcopy(shell.fleet.document)
        document["services"][0]["selector"] = {"service": "booking-desk", "tier": "gold"}
        code, _, err = await shell.run("check", shell.file("bad.json", document))
        assert code == 2
        assert "services[0].selector: no backend server carries" in err
        for server in document["servers"][:30:3]:
            server["labels"]["tier"] = "gold"
        path = shell.file("good.json", document)
        code, out, err = await shell.run("apply", path, "--yes", "--note", "gold only")
        assert code == 0, err
        assert "booking-desk: 30 -> 10 servers" in err
        assert "in force on 2 of 2 live nodes" in out
        code, out, _ = await shell.run("route", "--service", "booking-desk")
        assert code == 0
        assert "booking-desk-0-0" in out
        assert "booking-desk-0-1" not in out
        other = shell.file("other.json", {**document, "draining": ["depot-portal-0-3"]})
        code, _, err = await shell.run("apply", other, "--yes", "--base", "1")
        assert code == 3
        assert "revision 2" in err
        theirs, _, yours = err.partition("yours since revision 1")
        assert "labels.tier: None -> 'gold'" in theirs.partition("theirs since revision 1")[2]
        assert "draining: [] -> ['depot-portal-0-3']" in yours
        code, _, _ = await shell.run("drain", "depot-portal-0-0")
        assert code == 0
        code, out, _ = await shell.run("diff", "2")
        assert code == 0
        assert "draining" in out
        code, out, _ = await shell.run("revert-to", "1", "--yes", "--json")
        assert code == 0
        assert orjson.loads(out)["revision"] == 4
        code, out, _ = await shell.run("show", "--json")
        assert orjson.loads(out)["document"] == shell.fleet.document
        code, out, _ = await shell.run("history")
        assert [line.split()[1] for line in out.splitlines()] == ["4", "3", "2", "1"]
        code, _, err = await shell.run("show", "99")
        assert code == 2
        assert "revision 99" in err

    with_shell(steps, tmp_path)


def test_status_and_timeline_cover_all_nodes(tmp_path):
    async def steps(shell):
        await shell.run("drain", "depot-portal-0-0")
        code, out, _ = await shell.run("status", "--json")
        assert code == 0
        for status in orjson.loads(out).values():
            assert status["revision"] == 2
            assert status["draining"] == ["depot-portal-0-0"]
            assert len(status["members"]) == 2
        code, out, _ = await shell.run("status")
        assert "node-1" in out
        code, out, _ = await shell.run("timeline", "--json")
        events = [orjson.loads(line) for line in out.splitlines()]
        in_force = [event for event in events if event["kind"] == "configuration-in-force"]
        assert {event["process"] for event in in_force} == {"node-0", "node-1"}
        assert events == sorted(events, key=lambda event: event["at_ms"])
        page = tmp_path / "line.html"
        code, _, _ = await shell.run("timeline", "--html", page)
        assert code == 0
        assert "<svg" in page.read_text()

    with_shell(steps, tmp_path)


def test_an_unconfirmed_revision_names_the_nodes_that_have_not_confirmed(tmp_path):
    async def steps(shell):
        shell.fleet.nodes[1].send(signal.SIGSTOP)
        code, _, err = await shell.run("drain", "depot-portal-0-0", "--wait-s", "1")
        shell.fleet.nodes[1].send(signal.SIGCONT)
        assert code == 4
        assert "not confirmed by node-1" in err

    with_shell(steps, tmp_path)


def test_a_store_that_is_down_is_an_error_without_a_traceback(tmp_path):
    async def steps(shell):
        code, _, err = await shell.run("history", store="http://127.0.0.1:9")
        assert code == 1
        assert "StoreUnavailable" in err

    with_shell(steps, tmp_path, nodes=1)


def test_a_write_with_lost_answers_is_retried_and_stored_once(tmp_path):
    async def steps(shell):
        shell.fleet.store.faults.lose_answers = 2
        code, out, _ = await shell.run("drain", "depot-portal-0-0", "--json")
        assert code == 0
        assert orjson.loads(out)["revision"] == 2
        stored = await shell.fleet.repository.history()
        assert [entry.number for entry in stored] == [2, 1]

    with_shell(steps, tmp_path)
