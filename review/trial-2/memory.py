"""A trial, no case: large jobs reach one entry at the same moment. See
REPORT-2.md.

python3 -B review/trial-2/memory.py FOLDER [JOBS]: writes the entry's peak of
memory into record.txt.
"""

import asyncio
import collections
import os
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))), "common2"))

from bed import Bed, Job, run_case  # noqa: E402

FOLDER = sys.argv[1]
JOBS = int(sys.argv[2]) if len(sys.argv) > 2 else 100
TASKS = 870        # The users' letter 1: "jobs of up to 870 tasks".
SPEC_BYTES = 4000  # The longest that the pages allow.
CPU, RUN_SECONDS, DEADLINE_MS = 100, 0.05, 1500


def peak_kib(process):
    with open(f"/proc/{process.child.pid}/status") as file:
        return next(int(line.split()[1]) for line in file
                    if line.startswith("VmHWM"))


class Play:
    @staticmethod
    async def make(folder):
        return Bed(folder, 3, 3, 7)

    @staticmethod
    async def run(bed):
        await asyncio.sleep(2)
        entry = bed.entries[0]
        bed.record.note(f"peak before: {peak_kib(entry)} KiB")
        jobs = [Job(f"{0x6000 + i:016x}", "x" * SPEC_BYTES, TASKS, CPU,
                    RUN_SECONDS) for i in range(JOBS)]
        for job in jobs:
            bed.checks.add_job(job)
        answers = await asyncio.gather(*[
            bed.send(entry, job, DEADLINE_MS) for job in jobs])
        bed.record.note(f"peak after {JOBS} jobs: {peak_kib(entry)} KiB, "
                        f"{dict(collections.Counter(answers))}")


os.makedirs(FOLDER, exist_ok=True)
sys.exit(run_case(FOLDER, "TWICE", Play))
