"""The demo fails on each broken promise, and its documents are valid."""

import unittest

from nose2.tools import params

from damaskproxy.common import Outcome
from damaskproxy.history import Recorder
from damaskproxy.move import parse_document, section_of
from damaskproxy.standins.callers import CallerConfig, plan_requests
from damaskproxy.standins.callers_meshes import GEORGIA, MESHES
from damaskproxy.standins.callers_told import Told
from demo.layout import NEW, OLD, plan, section
from demo.processes import EPHEMERAL_PORT, free_ports
from demo.report import format_report
from demo.scenario import Story


def whole(recorder):
    recorder.sent("k", send="1", caller="c", request=b"r")
    run = recorder.ran("k", attempt="a", request=b"r")
    recorder.finished("k", run, answer=b"x")
    recorder.told("k", send="1", caller="c", answer=b"x")


def run_twice(recorder):
    whole(recorder)
    recorder.ran("k", attempt="b", request=b"r")


def not_run_but_ran(recorder):
    recorder.sent("k", send="1", caller="c", request=b"r")
    recorder.ran("k", attempt="a", request=b"r")
    recorder.told("k", send="1", caller="c", outcome="not-run")


def read_refused_after_a_run(recorder):
    for send, outcome in (("1", "unknown"), ("2", "not-run")):
        recorder.sent("k", send=send, caller="c", request=b"r", idempotent=True)
        if send == "1":
            recorder.ran("k", attempt="a", request=b"r")
        recorder.told("k", send=send, caller="c", outcome=outcome)


def read_not_run_but_ran(recorder):
    recorder.sent("k", send="1", caller="c", request=b"r", idempotent=True)
    recorder.ran("k", attempt="a", request=b"r")
    recorder.told("k", send="1", caller="c", outcome="not-run")


def cut(recorder):
    whole(recorder)
    recorder.cut("k", send="1", caller="c")


class ReportTests(unittest.TestCase):
    """Guards against a demo that passes although a promise was broken."""

    @params(
        ("none", whole, {}, 0),
        ("run twice", run_twice, {}, 1),
        ("told not-run but ran", not_run_but_ran, {}, 1),
        ("a read is refused after a run", read_refused_after_a_run, {}, 0),
        ("a read is told not-run but ran", read_not_run_but_ran, {}, 1),
        ("cut", cut, {}, 1),
        ("late section", whole, {"in_force_s": 3.1}, 1),
        ("process fault", whole, {"faults": ["node exited with 1"]}, 1),
        ("nothing answered", whole, {"results": []}, 1),
    )
    def test_broken_promise(self, _name, happened, fields, count):
        serial = iter(range(100))
        recorder = Recorder(now_s=lambda: float(next(serial)))
        happened(recorder)
        config = CallerConfig(rate_per_s=10, duration_s=1)
        request = next(plan_requests(GEORGIA, config))
        story = Story(
            results=[(request, Told(200, Outcome.RUN))],
            latencies_s={request.kind.name: [0.01]},
            events=recorder.events,
        )
        for name, value in fields.items():
            setattr(story, name, value)
        report, broken = format_report(story)
        self.assertEqual(len(broken), count, broken)
        self.assertIn("whole answers", report)

    @params(*MESHES.values())
    def test_sections_are_valid(self, mesh):
        service = next(iter(mesh.routes))
        layout = plan(mesh, service)
        document = parse_document(section(layout, service, leaving=(OLD,)))
        self.assertTrue(document, document)
        placement = section_of(document, version=1, edit_id="e").services[0].placement
        self.assertEqual(placement, {OLD: "leaving", NEW: "serving"})
        self.assertEqual(len(layout.leaving()), 2)
        ports = [p for host in layout.hosts for p in host.ports.values()]
        self.assertEqual(len(ports), len(set(ports)))

    def test_ports_are_distinct_and_not_of_outgoing_connections(self):
        ports = free_ports(200)
        self.assertEqual(len(set(ports)), 200)
        self.assertLess(max(ports), EPHEMERAL_PORT)
