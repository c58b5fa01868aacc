"""Faults in overlapping series, drawn from a seed."""

import asyncio
import random
import signal
import time

from .target import Fault

#: How often each fault is drawn, against the others.
WEIGHTS = {
    "kill_entry": 3, "kill_agent": 4, "suspend_entry": 3, "suspend_agent": 3,
    "terminate_entry": 1, "terminate_agent": 1, "hang_up": 1,
    "crash_target": 4, "fault_target": 6, "drain_target": 1, "fail_store": 2,
}
#: What else happens to a target that starts again and is then cut off.
RECUTS = ("silent", "refused", "agent_killed")
RECUT_DARK_SECONDS = (0.3, 0.9)
RECUT_UP_SECONDS = (0.2, 2.2)
RECUT_CUT_SECONDS = (2.0, 4.0)
TARGET_FAULTS = ("late", "lost", "dropped", "reset", "busy")


class Faults:
    def __init__(self, cluster, seed, log):
        self._cluster = cluster
        self._random = random.Random(seed)
        self._recut_random = random.Random(f"recuts of {seed}")
        self._log = log
        self._tasks = set()

    async def run(self, until, series, recuts, recut_kinds):
        """Runs several series at once; returns when their effects end."""
        await asyncio.gather(
            *[self._series(until) for _ in range(series)],
            self._recut_rounds(until, recuts, recut_kinds))
        if self._tasks:
            await asyncio.wait(self._tasks)

    async def _series(self, until):
        draw = self._random
        while time.monotonic() < until:
            name = draw.choices(list(WEIGHTS), list(WEIGHTS.values()))[0]
            for _ in range(draw.choice([1, 1, 2, 3])):
                self._start(name, getattr(self, f"_{name}")())
                await asyncio.sleep(draw.uniform(0.02, 0.6))
            await asyncio.sleep(draw.uniform(0.2, 2.5))

    def _start(self, name, effect):
        task = asyncio.create_task(effect)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _note(self, text):
        self._log(f"{time.monotonic():.3f} {text}")

    def _entry(self):
        return self._random.choice(self._cluster.entries)

    def _agent(self):
        return self._random.choice(self._cluster.agents)

    def _target(self):
        return self._random.choice(self._cluster.targets)

    def _kill(self, process):
        down = self._random.choice([0.02, 0.3, 1.0, 2.5])
        self._note(f"kill {process.name}, down for {down}")
        return self._cluster.kill(process, down)

    def _kill_entry(self):
        return self._kill(self._entry())

    def _kill_agent(self):
        return self._kill(self._agent())

    def _suspend(self, process):
        seconds = self._random.choice([0.2, 0.7, 1.1, 1.4, 3.2])
        self._note(f"suspend {process.name} for {seconds}")
        return self._cluster.suspend(process, seconds)

    def _suspend_entry(self):
        return self._suspend(self._entry())

    def _suspend_agent(self):
        return self._suspend(self._agent())

    def _terminate(self, process):
        self._note(f"terminate {process.name}")
        return self._cluster.terminate(process, self._random.uniform(0, 1))

    def _terminate_entry(self):
        return self._terminate(self._entry())

    def _terminate_agent(self):
        return self._terminate(self._agent())

    async def _hang_up(self):
        process = self._random.choice(
            self._cluster.entries + self._cluster.agents)
        self._note(f"SIGHUP to {process.name}")
        self._cluster.signal(process, signal.SIGHUP)

    async def _crash_target(self):
        target = self._target()
        down = self._random.choice([0.05, 0.3, 1.0])
        self._note(f"crash {target.name}, down for {down}")
        target.crash()
        await asyncio.sleep(down)
        await self._start_target(target)

    async def _fault_target(self):
        target = self._target()
        fault = Fault(self._random.choice(TARGET_FAULTS),
                      self._random.uniform(0.2, 0.9),
                      time.monotonic() + self._random.uniform(0.3, 4))
        self._note(f"{target.name} {fault.kind} {fault.share:.2f}")
        target.fault = fault

    async def _drain_target(self):
        target = self._target()
        self._note(f"drain {target.name}")
        if target.is_up:
            await target.drain()
        await self._start_target(target)

    @staticmethod
    async def _start_target(target):
        if not target.is_up:
            await target.start()

    async def _recut_rounds(self, until, count, kinds):
        """Recuts several targets at a time, again and again."""
        draw = self._recut_random
        held_share = draw.choice([0.5, 1.0])
        for target in self._cluster.targets:
            target.held_share = held_share
        while count and time.monotonic() < until:
            await asyncio.sleep(draw.uniform(0.5, 2))
            chosen = draw.sample(range(len(self._cluster.targets)), count)
            await asyncio.gather(*[
                self._recut(index, draw.choice(kinds)) for index in chosen])

    async def _recut(self, index, kind):
        """A target starts again under its name and is soon cut off."""
        draw = self._recut_random
        target = self._cluster.targets[index]
        self._note(f"{target.name} is dark, then cut off, {kind}")
        target.go_dark()
        if kind == "agent_killed":
            self._start("kill", self._kill_after(
                self._cluster.agents[index], draw.uniform(0, 2)))
        await asyncio.sleep(draw.uniform(*RECUT_DARK_SECONDS))
        await self._start_target(target)
        self._note(f"{target.name} is back")
        await asyncio.sleep(draw.uniform(*RECUT_UP_SECONDS))
        target.cut_off(kind == "refused")
        self._note(f"{target.name} is cut off")
        await asyncio.sleep(draw.uniform(*RECUT_CUT_SECONDS))
        if target.is_up:
            await target.reconnect()
        self._note(f"{target.name} is reconnected")

    async def _kill_after(self, process, seconds):
        await asyncio.sleep(seconds)
        down = self._recut_random.choice([0.02, 0.3, 1.0, 2.5])
        self._note(f"kill {process.name}, down for {down}")
        await self._cluster.kill(process, down)

    async def _fail_store(self):
        store = self._cluster.store
        mode = self._random.choice(store.MODES)
        self._note(f"store {mode}")
        store.mode = mode
        await asyncio.sleep(self._random.uniform(0.5, 5))
        store.mode = None
