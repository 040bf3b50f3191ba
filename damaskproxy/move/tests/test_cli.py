"""The command line distinguishes rejected, conflicting and unknown edits."""

import asyncio
import shlex
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from aiohttp import web
from nose2.tools import params
from typer.testing import CliRunner

from damaskproxy.move import read_head
from damaskproxy.move.cli import app
from damaskproxy.move.tests.samples import edit, open_platform, section_json
from damaskproxy.standins import Lose
from damaskproxy.standins.serving import start_site

FILES = {
    "next": section_json(deadline_ms=900)[:-1] + b', "version": 1}',
    "stale": section_json(deadline_ms=900)[:-1] + b', "version": 0}',
    "unversioned": section_json(),
    "foreign": section_json(team="shops")[:-1] + b', "version": 1}',
    "invalid": section_json(deadline_ms=0),
    "broken": b"{",
}
DOWN = {"down": True}
LOST = {"lose": Lose.BEFORE}
NODES = [
    {"node_id": "n1", "state": "serving", "sections": {"horns": 1}},
    {"node_id": "n2", "state": "draining", "in_flight": 7, "hold": "7 calls"},
    {"node_id": "n3", "state": "serving", "sections": {"horns": 2}, "hold": "turn"},
]


class CommandTests(unittest.IsolatedAsyncioTestCase):
    """Guards against wrong exit codes, on which scripts rely."""

    def setUp(self):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.files = {name: str(Path(folder, name)) for name in FILES}
        for name, path in self.files.items():
            Path(path).write_bytes(FILES[name])
        # The pauses between the default number of attempts would take seconds.
        self.enterContext(mock.patch("damaskproxy.move.edit.MAX_ATTEMPTS", 2))

    async def asyncSetUp(self):
        await open_platform(self)
        self.assertTrue(await edit(self.table, 0, "edit-first"))

    async def run_line(self, line):
        arguments = shlex.split(line.format(**self.files))
        return await asyncio.to_thread(
            CliRunner().invoke,
            app,
            arguments,
            env={"DAMASK_TABLE": self.running_table.url, "COLUMNS": "200"},
        )

    @params(
        ("show", {}, 0, "horns version 1"),
        ("show horns", {}, 0, '"version": 1'),
        ("show cups", {}, 7, "no section 'cups'"),
        ("show horns --version 9", {}, 7, "version 9"),
        ("show", DOWN, 5, "unavailable"),
        ("show --table localhost", {}, 1, "not a URL"),
        ("edit {next}", {}, 0, "accepted: section horns version 2"),
        ("edit {stale}", {}, 4, "tester made version 1 of horns"),
        ("edit {next} --base-version 7", {}, 4, "made on version 7"),
        ("edit {unversioned}", {}, 3, "no base version"),
        ("edit {unversioned} --base-version 1", {}, 0, "version 2"),
        ("edit {foreign}", {}, 3, "$.team: section 'horns' belongs to team 'workshop'"),
        ("edit {invalid}", {}, 3, "$.services[0].routes[0].deadline_ms"),
        ("edit {broken}", DOWN, 3, "line 1 column 2"),
        ("edit /nonexistent", {}, 1, "No such file"),
        ("edit {next}", DOWN, 5, "nothing was changed"),
        ("edit {next}", LOST, 6, "damask-move resolve "),
        ("edit {next}", LOST | {"lose_count": 1}, 0, "accepted"),
        ("edit {next}", {"lose": Lose.AFTER}, 0, "accepted"),
        ("edit {stale} --edit-id edit-first", {}, 3, "edit_id"),
        ("validate {next}", DOWN, 0, "valid: section horns"),
        ("validate {foreign}", {}, 0, "valid"),
        ("validate {invalid}", {}, 3, "deadline_ms"),
        ("diff horns --file {next}", {}, 0, "place.deadline_ms: 2000 -> 900"),
        ("diff horns", {}, 0, 'team: absent -> "workshop"'),
        ("diff horns --from 3", {}, 7, "version 3"),
        ("diff cups --file {next}", {}, 1, "--file must hold"),
        ("history horns", {}, 0, "tester  edit edit-first"),
        ("history cups", {}, 7, "no section"),
        ("resolve edit-first", {}, 0, "accepted: section horns version 1"),
        ("resolve edit-unknown", {}, 7, "never will"),
        ("resolve edit-first", DOWN, 6, "unknown"),
        ("resolve x/y", {}, 1, "not the id of an edit"),
        ("watch --once --node 127.0.0.1:9", {}, 8, "no response: 127.0.0.1:9"),
        ("watch --once --node 127.0.0.1:9", DOWN, 8, "newest versions on the nodes"),
        ("edit", {}, 2, "Missing argument"),
    )
    async def test_line(self, line, faults, code, text):
        for name, value in faults.items():
            setattr(self.running_table.faults, name, value)
        result = await self.run_line(line)
        self.assertEqual((result.exit_code, text in result.output), (code, True), text)
        if code not in (0, 2, 8):
            self.assertRegex(result.stderr.splitlines()[-1], "^damask-move: ")

    @params((Lose.BEFORE, 7, 1), (Lose.AFTER, 0, 2))
    async def test_printed_command_resolves_an_unknown_edit(self, lose, code, version):
        faults = self.running_table.faults
        faults.lose = lose
        with mock.patch("damaskproxy.move.edit.MAX_ATTEMPTS", 1):
            result = await self.run_line("edit {next}")
        self.assertEqual(result.exit_code, 6)
        faults.clear()
        command = result.stderr.strip().rpartition("run: damask-move ")[2]
        self.assertEqual((await self.run_line(command)).exit_code, code)
        self.assertEqual(await read_head(self.table), {"horns": version})

    async def test_watch(self):
        async def status(request):
            return web.json_response(NODES[int(request.match_info["number"])])

        site = web.Application()
        site.router.add_get("/{number}/status", status)
        runner, address = await start_site(site, "127.0.0.1", 0)
        self.addAsyncCleanup(runner.cleanup)
        nodes = " ".join(f"--node http://{address}/{n}" for n in range(3))
        result = await self.run_line(f"watch horns --once {nodes}")
        self.assertEqual(result.exit_code, 8)
        lines = [
            "horns version 1: in force on 2 of 3 nodes; behind: n2 (0)",
            "draining: n2, 7 in flight; 7 calls",
            "waiting: n3; turn",
        ]
        self.assertEqual(result.output.splitlines(), lines)
        states = {"n1": "serving", "n4": "serving", "n5": "stopped"}
        members = [{"node_id": name, "state": states[name]} for name in states]
        done = NODES[0] | {"members": members}
        with (
            mock.patch.dict(NODES[1], done, clear=True),
            mock.patch.dict(NODES[2], done, clear=True),
        ):
            result = await self.run_line(f"watch --wait {nodes}")
        self.assertEqual(result.exit_code, 0)
        self.assertIn("no status from other members: 1\n", result.output)

    @params(503, 600)
    async def test_status_object_of_another_status_is_no_response(self, status):
        async def respond(_request):
            return web.json_response(NODES[0], status=status)

        site = web.Application()
        site.router.add_get("/status", respond)
        runner, address = await start_site(site, "127.0.0.1", 0)
        self.addAsyncCleanup(runner.cleanup)
        result = await self.run_line(f"watch horns --once --node http://{address}")
        self.assertEqual(result.exit_code, 8)
        self.assertIn("no response: http://", result.output)
