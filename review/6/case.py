"""A worker at work is cut off, its connections are reset and refused, and it
runs on."""

import asyncio
import os
import sys

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common2"))

from bed import Bed, Target, http, run_case, with_trouble  # noqa: E402

CPU = 1600
TASKS = 4
RUN_SECONDS = 0.9
DEADLINE_MS = 1500
CUT_AFTER = 0.2
CUT_SECONDS = 2.0


class Worker(Target):
    """The harness's worker, which can be cut off. What runs there runs on
    until it is done or its lease lapses."""

    def __init__(self, *words):
        super().__init__(*words)
        self._is_cut = False

    async def _say(self, method, body):
        if not self._is_cut:
            await super()._say(method, body)

    async def cut(self, seconds):
        self._is_cut = True
        self._server.stop()
        await asyncio.sleep(seconds)
        self._server = http.Server(self._serve)
        await self._server.start(*self._address)
        self._is_cut = False


class Play:
    @staticmethod
    async def make(folder):
        return Bed(folder, 3, 6, 6, Worker)

    @staticmethod
    async def run(bed):
        number = iter(range(0x6000, 0x7000))

        async def burst(jobs):
            await asyncio.gather(*[
                bed.send(bed.entries[i % 3],
                         bed.new_job(next(number), TASKS, CPU, RUN_SECONDS),
                         DEADLINE_MS) for i in range(jobs)])

        await asyncio.sleep(2)
        await burst(9)  # What targets run is known from here on.
        await asyncio.sleep(1)
        jobs = asyncio.create_task(burst(9))
        await asyncio.sleep(CUT_AFTER)
        if with_trouble():
            bed.record.note("worker-1 is cut off, and runs on")
            await bed.targets[0].cut(CUT_SECONDS)
            bed.record.note("the cut of worker-1 heals")
        await jobs
        await asyncio.sleep(1)


sys.exit(run_case(HERE, "TWICE", Play))
