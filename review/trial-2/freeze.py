"""A trial, no case: an entry stands still while start calls to agents that
stood still wait to be repeated (issue 39, entry 3). See REPORT-2.md.

python3 -B review/trial-2/freeze.py FOLDER [ROUNDS]: writes record.txt and the
programs' logs into FOLDER; status 11 where a task has run twice at once.
"""

import asyncio
import os
import shutil
import signal
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))), "common2"))

from bed import Bed, run_case  # noqa: E402

FOLDER = sys.argv[1]
ROUNDS = int(sys.argv[2]) if len(sys.argv) > 2 else 8
AGENTS, STANDING = 6, 4
JOBS, TASKS, CPU, RUN_SECONDS = 4, 8, 1600, 0.9
DEADLINE_MS = 1500
ENTRY_STOPS, RESEND_SECONDS, ENTRY_WAKES = 1.05, 1.3, 0.35


class Play:
    @staticmethod
    async def make(folder):
        return Bed(folder, 3, AGENTS, 7)

    @staticmethod
    async def run(bed):
        usual, other = bed.entries[:2]
        number = iter(range(0x6000, 0x9000))
        await asyncio.sleep(2)
        await asyncio.gather(*[
            bed.send(bed.entries[i % 3], bed.new_job(next(number), 4, CPU, 0.3),
                     DEADLINE_MS) for i in range(9)])
        for each in range(ROUNDS):
            await asyncio.sleep(4)
            bed.record.note(f"round {each}")
            jobs = [bed.new_job(next(number), TASKS, CPU, RUN_SECONDS)
                    for _ in range(JOBS)]
            for agent in bed.agents[:STANDING]:
                bed.signal(agent, signal.SIGSTOP)
            start = time.monotonic()
            first = [asyncio.create_task(bed.send(usual, job, DEADLINE_MS))
                     for job in jobs]
            await asyncio.sleep(ENTRY_STOPS)
            bed.signal(usual, signal.SIGSTOP)
            await asyncio.sleep(0.05)
            for agent in bed.agents[:STANDING]:
                bed.signal(agent, signal.SIGCONT)
            await asyncio.gather(*first)
            resend_at = start + DEADLINE_MS / 1000 + RESEND_SECONDS
            await asyncio.sleep(max(0, resend_at - time.monotonic()))
            second = [asyncio.create_task(bed.send(other, job, DEADLINE_MS))
                      for job in jobs]
            await asyncio.sleep(ENTRY_WAKES)
            bed.signal(usual, signal.SIGCONT)
            await asyncio.gather(*second)
        for process in bed.agents + bed.entries:
            shutil.copy(os.path.join(bed._out, f"{process.name}.log"), FOLDER)


os.makedirs(FOLDER, exist_ok=True)
sys.exit(run_case(FOLDER, "TWICE", Play))
