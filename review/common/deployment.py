"""A small deployment on loopback addresses, for the cases of this review.

The store, the workers and the HTTP code are the stand-ins of the project's own
soak (tests/platform/soak/harness). The programs are started with the commands
and templates of deploy/system.toml.
"""

import asyncio
import json
import os
import sys
import tempfile
import time
import tomllib

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
sys.path.insert(0, os.path.join(ROOT, "tests/platform/soak"))

from harness import cluster as soak_cluster  # noqa: E402
from harness import http  # noqa: E402
from harness import target as soak_target  # noqa: E402
from harness.store import Store  # noqa: E402
from harness.template import render  # noqa: E402

soak_target.FAILED_SHARE = 0.0  # Workers of these cases fail nothing.

ZONES = soak_cluster.ZONES
SERVICE = soak_cluster.SERVICE
HOST = soak_cluster.HOST
PATH = "/orders/"
CALLER_PORT = soak_cluster.CALLER_PORT
STORE_PORT = soak_cluster.STORE_PORT

HELD, BROKEN, NOT_RUN = 0, 1, 2


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, with times from the start."""

    def __init__(self, folder):
        self._began = time.monotonic()
        self._file = open(os.path.join(folder, "record.txt"), "w",
                          buffering=1)

    def now(self):
        return time.monotonic() - self._began

    def note(self, text):
        self._file.write(f"{self.now():8.3f} {text}\n")

    def close(self):
        self._file.close()


class Job:
    def __init__(self, name, tasks, cpu, run_seconds):
        self.name = name
        self.spec = f"work {name}"
        self.tasks = tasks
        self.cpu = cpu
        self.run_seconds = run_seconds

    def body(self):
        return {"spec": self.spec, "bestEffort": True,
                "steps": [{"count": self.tasks, "cpu": self.cpu, "memMb": 64,
                           "estimateMs": int(self.run_seconds * 1000)}]}


class Watch:
    """Takes note of what the workers run. Cases add their rule to it."""

    def __init__(self, record):
        self.record = record
        self.jobs = {}
        self.starts = []  # (time, worker, task, run)
        self.ends = []    # (time, worker, task, run, how)
        self.ended_processes = []

    def add_job(self, job):
        self.jobs[job.name] = job
        return job

    def on_start(self, target, task, run, spec, is_late):
        self.starts.append((self.record.now(), target, task, run))
        late = ", carried out late" if is_late else ""
        self.record.note(
            f"{target.name} ({target.zone}) starts {task} run {run}{late}")

    def on_end(self, target, task, run, how):
        self.ends.append((self.record.now(), target, task, run, how))
        self.record.note(f"{target.name} ({target.zone}) ends {task} run "
                         f"{run}: {how}")

    def on_capacity(self, target, used):
        pass

    def report(self, rule, text, job=None):
        self.ended_processes.append(text)
        self.record.note(f"{rule}: {text}")


class Doors(Store):
    """The store, with an address of its own for each process.

    A process in `turned_away` gets 503, as do machines that the store turns
    away while it serves the others. One in `cut_off` gets no answer.
    """

    def __init__(self, seed):
        super().__init__(seed)
        self.turned_away = set()
        self.cut_off = set()
        self._doors = []

    async def open_door(self, name, ip, port):
        async def serve(request):
            if name in self.turned_away:
                return http.Response(503)
            if name in self.cut_off:
                raise http.NoAnswer
            return await self._serve(request)
        door = http.Server(serve)
        await door.start(ip, port)
        self._doors.append(door)

    def stop(self):
        super().stop()
        for door in self._doors:
            door.stop()


class Deployment(soak_cluster.Cluster):
    """Entries and agents of the deploy file, with store and workers."""

    def __init__(self, out, entries, agents, watch, record):
        super().__init__(ROOT, out, entries, agents, watch, 1)
        self.record = record
        self.store = Doors(1)
        self._doors = {}
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            self._roles = tomllib.load(file)["roles"]

    async def start_store(self):
        await self.store.start(self._store_ip, STORE_PORT)
        for index, process in enumerate(self.entries + self.agents):
            ip = self._block.address(4, index)
            self._doors[process.name] = ip
            await self.store.open_door(process.name, ip, STORE_PORT)

    async def start(self, routes=((HOST, PATH),)):
        await self.start_store()
        self.configure(1, list(routes))
        await self.start_processes()

    async def start_processes(self):
        for process in self.agents + self.entries:
            await self.spawn(process)
        for target in self.targets:
            await target.start()
        await self.wait_ready()

    def _fields(self, process):
        fields = super()._fields(process)
        fields["platform"] = {
            "address": f"{self._doors[process.name]}:{STORE_PORT}"}
        return fields

    async def spawn(self, process):
        role = self._roles[process.role]
        settings = os.path.join(self._out, f"{process.name}.ini")
        with open(os.path.join(ROOT, role["template"])) as source, \
                open(settings, "w") as made:
            made.write(render(source.read(), self._fields(process)))
        log = open(os.path.join(self._out, f"{process.name}.log"), "ab")
        process.expects_end = False
        process.child = await asyncio.create_subprocess_exec(
            *role["run"].split(), cwd=ROOT, stdin=asyncio.subprocess.DEVNULL,
            stdout=log, stderr=log, preexec_fn=soak_cluster._die_with_parent,
            env={"GOOSEBERRYWING_BOOT": settings,
                 "PATH": os.environ["PATH"], "HOME": self._out,
                 "LANG": "C.UTF-8"})
        log.close()
        asyncio.create_task(self._watch(process, process.child))

    async def remove(self, process):
        """The machine is gone for good."""
        process.expects_end = True
        process.child.kill()
        await process.child.wait()
        self.record.note(f"{process.name} is gone for good")


async def call(record, entry, method, path, body=None, wait=30, headers=None):
    """Calls an entry on a connection of its own; returns (status, text)."""
    connection = http.Connection(entry.ip, CALLER_PORT)
    record.note(f"{method} {path} to {entry.name}")
    try:
        status, _, text = await asyncio.wait_for(
            connection.call(method, path, body,
                            {"Host": HOST, "Content-Type": "application/json",
                             "Gooseberrywing-Deadline-Ms":
                                 str(int(wait * 1000))} | (headers or {})),
            wait + 2)
        answer = status, text.decode()
    except (ConnectionError, asyncio.TimeoutError) as failure:
        answer = None, repr(failure)
    finally:
        connection.close()
    record.note(f"{method} {path} at {entry.name}: {answer[0]} {answer[1]}")
    return answer


async def press(cluster, watch, record, clients, stop):
    """Several clients of each entry that is up hand in one job after the
    other, until `stop`: enough to keep the workers of all zones busy."""
    number = 0

    async def submit(entry):
        nonlocal number
        while not stop.is_set():
            number += 1
            job = watch.add_job(Job(f"{number:016x}", 10, 1600, 0.2))
            if entry.is_running:
                await call(record, entry, "POST", PATH + job.name,
                           job.body(), 1.5)
            await asyncio.sleep(0.05)

    await asyncio.gather(*[submit(entry) for entry in cluster.entries
                           for _ in range(clients)])


def run_case(folder, case, entries=3, agents=6):
    """Runs `case(deployment, watch, record)`, which returns the broken
    rules, and exits with the status that the review asks for."""
    record = Record(folder)

    async def play():
        watch = Watch(record)
        with tempfile.TemporaryDirectory(prefix="review-") as out:
            deployment = Deployment(out, entries, agents, watch, record)
            try:
                return await case(deployment, watch, record)
            finally:
                await deployment.stop()
                if os.environ.get("KEEP_LOGS"):
                    os.system(f"cp -r {out} {os.environ['KEEP_LOGS']}")

    try:
        broken = asyncio.run(asyncio.wait_for(play(), 115))
    except Exception as failure:  # The case could not run.
        record.note(f"could not run: {failure!r}")
        print(f"could not run: {failure!r}")
        sys.exit(NOT_RUN)
    for text in broken:
        record.note(f"BROKEN {text}")
        print(f"BROKEN {text}")
    record.note(f"result: {'broken' if broken else 'held'}")
    record.close()
    sys.exit(BROKEN if broken else HELD)
