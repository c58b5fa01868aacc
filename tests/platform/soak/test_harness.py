#!/usr/bin/env python3
"""Tests of the soak's stand-ins and checks."""

import asyncio
import os
import sys
import time
import unittest

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from harness.checks import Checks, Job  # noqa: E402
from harness.http import Request, Reset  # noqa: E402
from harness.target import MAX_LEASE_MS, Target  # noqa: E402
from harness.template import render  # noqa: E402

NAME = "0123456789abcdef"
TASK = f"{NAME}.0.0.0"


def make_target(name, checks):
    return Target(name, "north", ("127.0.0.1", 0), ("127.0.0.1", 0), "press",
                  4000, checks, 1)


def start(target, now, run=1, token=1, deadline_ms=2_000_000):
    body = (f'{{"task":"{TASK}","run":{run},"spec":"work","fencingToken":'
            f'{token},"deadlineMs":{deadline_ms}}}')
    request = Request("POST", "/run-start", {}, {}, body.encode())
    target.settle(now)
    return target._apply(request, now, False)


class HarnessTest(unittest.TestCase):
    def setUp(self):
        self.checks = Checks()
        self.job = Job(NAME, "work", 1, 1600, 30.0)
        self.checks.add_job(self.job)
        self.now = time.monotonic()

    def rules(self):
        return [text.split()[1] for text in self.checks.violations]

    def test_two_runs_at_once_are_found(self):
        start(make_target("a", self.checks), self.now)
        start(make_target("b", self.checks), self.now)
        self.assertEqual(self.rules(), ["TWICE:"])

    def test_a_run_ends_with_its_lease(self):
        first = make_target("a", self.checks)
        start(first, self.now)
        first.settle(self.now + 1.1 * MAX_LEASE_MS / 1000)
        start(make_target("b", self.checks), self.now)
        self.assertEqual(self.rules(), [])

    def test_the_clock_of_each_process_starts_anew_and_not_at_zero(self):
        target = make_target("a", self.checks)
        first = target._clock_ms(time.monotonic())
        target._clear()
        second = target._clock_ms(time.monotonic())
        self.assertGreater(min(first, second), MAX_LEASE_MS)
        self.assertGreater(abs(first - second), MAX_LEASE_MS)

    def test_a_start_of_a_refused_job_is_found(self):
        self.job.attempts = 1
        self.checks.on_answer(self.job, 503, "")
        start(make_target("a", self.checks), self.now)
        self.assertEqual(self.rules(), ["REFUSED:"])

    def test_a_refusal_of_a_started_job_is_found(self):
        self.job.attempts = 1
        start(make_target("a", self.checks), self.now)
        self.checks.on_answer(self.job, 429, "")
        self.assertEqual(self.rules(), ["REFUSED:"])

    def test_completion_without_the_ends_of_all_tasks_is_found(self):
        self.checks.on_answer(self.job, 200, "completed")
        self.assertEqual(self.rules(), ["MIXED:"])

    def test_starts_beyond_the_capacity_are_found(self):
        self.job.cpu = 2500
        target = make_target("a", self.checks)
        start(target, self.now)
        self.checks.on_capacity(target, 5000)
        self.assertEqual(self.rules(), ["LIMIT:"])

    def test_lower_tokens_and_earlier_runs_are_rejected(self):
        target = make_target("a", self.checks)
        start(target, self.now, run=2, token=5)
        fenced = start(target, self.now, run=3, token=4)
        self.assertEqual(fenced.body["reason"], "fence")
        target.settle(self.now + 2)
        earlier = start(target, self.now, run=2, token=5)
        self.assertEqual(earlier.body["reason"], "old")

    def test_a_call_read_before_a_crash_is_not_carried_out(self):
        target = make_target("a", self.checks)
        with self.assertRaises(Reset):
            asyncio.run(target._serve(Request("POST", "/hold", {}, {}, b"")))

    def test_templates_are_filled_in(self):
        text = "{{#zones}}{{@}}{{,}} {{/zones}}{{a.0}}{{^b}}-{{/b}}"
        fields = {"zones": {"x": 1, "y": 1}, "a": [3]}
        self.assertEqual(render(text, fields), "x, y 3-")

    def test_a_held_start_is_carried_out_by_the_next_life(self):
        asyncio.run(self.hold_a_start())
        self.assertEqual(self.checks.counts["starts"], 1)
        self.assertEqual(self.rules(), [])

    async def hold_a_start(self):
        target = make_target("a", self.checks)
        await target.start()
        target.go_dark()
        body = (f'{{"task":"{TASK}","run":1,"spec":"work",'
                f'"fencingToken":9,"deadlineMs":2000000}}')
        held = asyncio.create_task(target._serve(
            Request("POST", "/run-start", {}, {}, body.encode())))
        await asyncio.sleep(0.02)
        self.assertFalse(held.done())
        await target.start()
        self.assertEqual((await held).status, 200)
        target.crash()

    def test_a_late_start_that_falls_due_while_down_is_carried_out(self):
        asyncio.run(self.defer_a_start())
        self.assertEqual(self.checks.counts["starts"], 1)

    async def defer_a_start(self):
        target = make_target("a", self.checks)
        await target.start()
        body = (f'{{"task":"{TASK}","run":1,"spec":"work",'
                f'"fencingToken":9,"deadlineMs":2000000}}')
        target.crash()
        target._defer(Request("POST", "/run-start", {}, {}, body.encode()),
                      (0.0, 0.0))
        await asyncio.sleep(0.02)
        self.assertEqual(self.checks.counts["starts"], 0)
        await target.start()
        target.crash()

    def test_runs_go_on_while_a_target_is_cut_off(self):
        asyncio.run(self.cut_off_a_run())
        self.assertEqual(self.rules(), ["TWICE:"])

    async def cut_off_a_run(self):
        target = make_target("a", self.checks)
        await target.start()
        start(target, time.monotonic())
        target.cut_off(refuses=True)
        self.assertTrue(target.is_up)
        start(make_target("b", self.checks), time.monotonic())
        target.crash()


if __name__ == "__main__":
    unittest.main()
