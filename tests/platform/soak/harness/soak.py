"""One run of the soak: traffic under faults, then a calm check."""

import asyncio
import os
import shutil
import signal
import time
from dataclasses import dataclass

from .callers import Caller
from .checks import Checks
from .cluster import HOST, PATH, ZONES, Cluster
from .faults import RECUTS, Faults

RECOVERY_SECONDS = 12.0
CONFIGURATION_SECONDS = 2.0
EVACUATION_SECONDS = 5.0
CALM_DEADLINE_SECONDS = 6.0
STOP_SECONDS = 7.0
NEW_PATH = "/later/"


@dataclass
class Queue:
    host: str = HOST
    path: str = PATH


@dataclass
class Options:
    seed: int
    seconds: float = 20
    entries: int = 3
    agents: int = 6
    callers: int = 24
    series: int = 3
    recuts: int = 1  # Targets that are recut at a time.
    recut_kind: str = "any"
    late_share: float = 0.0  # Of starts and stops, at all targets.


class Soak:
    def __init__(self, root, out, options):
        self._options = options
        shutil.rmtree(out, ignore_errors=True)
        os.makedirs(out)
        self._fault_log = open(os.path.join(out, "faults.log"), "w",
                               buffering=1)
        self.checks = Checks()
        self.cluster = Cluster(root, out, options.entries, options.agents,
                               self.checks, options.seed)
        self._next_caller = options.seed * 10_000

    async def run(self):
        """Returns the violations."""
        try:
            await self.cluster.start()
            await self._run_faults()
            await self._check_recovery()
            await self._check_configuration()
            await self._check_evacuation()
            await self._check_stop()
        except TimeoutError as failure:
            self.checks.report("RECOVER", str(failure))
        finally:
            await self.cluster.stop()
            self._fault_log.close()
        return self.checks.violations

    def _callers(self, count, queue=None):
        first = self._next_caller
        self._next_caller += count
        return [Caller(self.cluster.caller_addresses(), queue or Queue(),
                       self.checks, first + i) for i in range(count)]

    async def _run_faults(self):
        options = self._options
        until = time.monotonic() + options.seconds
        faults = Faults(self.cluster, options.seed,
                        lambda line: print(line, file=self._fault_log))
        callers = [caller.run(until)
                   for caller in self._callers(options.callers)]
        for target in self.cluster.targets:
            target.late_share = options.late_share
        kinds = RECUTS if options.recut_kind == "any" \
            else (options.recut_kind,)
        await asyncio.gather(
            faults.run(until, options.series, options.recuts, kinds),
            *callers)

    async def _submit_at_each(self, queue):
        """Submits a job at each entry; returns those not completed."""
        callers = self._callers(len(self.cluster.entries), queue)
        jobs = [caller.new_job() for caller in callers]
        deadline = time.monotonic() + CALM_DEADLINE_SECONDS
        await asyncio.gather(*[
            caller.send(job, deadline, entry=address)
            for caller, job, address in zip(
                callers, jobs, self.cluster.caller_addresses())])
        return [job for job in jobs if len(job.done) < job.tasks]

    async def _check_recovery(self):
        for target in self.cluster.targets:
            target.fault = None
            target.late_share = 0.0
        await self.cluster.wait_ready(RECOVERY_SECONDS)
        until = time.monotonic() + RECOVERY_SECONDS
        left = await self._submit_at_each(Queue())
        while left and time.monotonic() < until:
            await asyncio.sleep(0.5)
            left = await self._submit_at_each(Queue())
        for job in left:
            self.checks.report("RECOVER", f"{job.name} after the faults", job)

    async def _check_configuration(self):
        """A new route is served, and a removed one refused, in time."""
        self.cluster.configure(2, [(HOST, NEW_PATH)])
        await asyncio.sleep(CONFIGURATION_SECONDS)
        for job in await self._submit_at_each(Queue(path=NEW_PATH)):
            self.checks.report("CONFIG", f"{job.name} on a new route", job)
        for job in await self._submit_at_each(Queue()):
            if "answer 404 " in job.history[-1]:
                continue
            self.checks.report("CONFIG", f"{job.name} on a removed route",
                               job)

    async def _check_evacuation(self):
        """Nothing starts in a zone that is evacuated."""
        zone = ZONES[0]
        self.cluster.store.put("op", f"evacuate/{zone}", {})
        self.checks.out_zones[zone] = time.monotonic() + EVACUATION_SECONDS
        await asyncio.sleep(EVACUATION_SECONDS)
        until = time.monotonic() + 1
        await asyncio.gather(*[
            caller.run(until)
            for caller in self._callers(8, Queue(path=NEW_PATH))])

    async def _check_stop(self):
        """Each process ends in order, entries first."""
        for process in self.cluster.entries + self.cluster.agents:
            process.expects_end = True
            self.cluster.signal(process, signal.SIGTERM)
            try:
                status = await asyncio.wait_for(process.child.wait(),
                                                STOP_SECONDS)
            except asyncio.TimeoutError:
                status = "none"
            if status != 0:
                self.checks.report("STOP", f"{process.name}: {status}")
