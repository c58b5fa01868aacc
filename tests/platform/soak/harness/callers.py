"""Callers that submit jobs and keep their connections."""

import asyncio
import random
import time

from . import http
from .checks import Job

RESEND_SECONDS = 1.3
MAX_SENDS = 4
THINK_SECONDS = (0.05, 0.6)
#: Tasks, thousandths of a core of each, seconds of each. Some outlast the time
#: after which a job is sent again.
KINDS = ((8, 1600, 0.06), (4, 1600, 0.9), (2, 1600, 0.2), (2, 1600, 3.0))


class Caller:
    """One caller: one request at a time, each on its kept connection."""

    def __init__(self, entries, queue, checks, seed):
        self._entries = entries
        self._queue = queue
        self._checks = checks
        self._random = random.Random(seed)
        self._connection = None

    async def run(self, until):
        while time.monotonic() < until:
            await self.submit_one()
            await asyncio.sleep(self._random.uniform(*THINK_SECONDS))

    def new_job(self):
        tasks, cpu, seconds = self._random.choice(KINDS)
        name = f"{self._random.getrandbits(64):016x}"
        job = Job(name, f"work {name}", tasks, cpu, seconds)
        self._checks.add_job(job)
        return job

    async def submit_one(self):
        """Submits one job until it is answered, refused or given up."""
        job = self.new_job()
        deadline = time.monotonic() + self._random.uniform(1.5, 6) \
            + 2 * job.run_seconds
        leaves_after = self._random.choice([None] * 5 + [0.02, 0.3, 1.0])
        for _ in range(MAX_SENDS):
            if await self.send(job, deadline, leaves_after):
                return
            leaves_after = None
            if time.monotonic() + RESEND_SECONDS > deadline or \
                    self._random.random() < 0.3:
                break
            await asyncio.sleep(RESEND_SECONDS)
            self._checks.counts["resent"] += 1
        job.left_at = time.monotonic()
        self._checks.counts["left"] += 1

    async def send(self, job, deadline, leaves_after=None, entry=None):
        """Sends a job once. False: the connection broke or was broken."""
        if entry is not None or self._connection is None \
                or not self._connection.is_open:
            address = entry or self._random.choice(self._entries)
            self._connection = http.Connection(*address)
        left = deadline - time.monotonic()
        job.attempts += 1
        job.note(f"attempt {job.attempts} at {self._connection.address}")
        try:
            status, _, body = await asyncio.wait_for(
                self._connection.call(
                    "POST", f"{self._queue.path}{job.name}",
                    self._body(job),
                    {"Host": self._queue.host,
                     "Gooseberrywing-Deadline-Ms": str(int(left * 1000))}),
                min(left, leaves_after or left))
        except (ConnectionError, asyncio.TimeoutError) as failure:
            self._leave()
            job.note(f"broken: {failure!r}")
            self._checks.counts["unanswered"] += 1
            return False
        self._checks.on_answer(job, status, _state(body))
        return status not in (502, 504)

    def _leave(self):
        if self._random.random() < 0.5:
            self._connection.abort()
        else:
            self._connection.close()

    @staticmethod
    def _body(job):
        return {"spec": job.spec, "bestEffort": True,
                "steps": [{"count": job.tasks, "cpu": job.cpu, "memMb": 256,
                           "estimateMs": int(job.run_seconds * 1000)}]}


def _state(body):
    return "completed" if b'"completed"' in body else \
        "failed" if b'"failed"' in body else ""
