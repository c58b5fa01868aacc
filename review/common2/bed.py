"""A small deployment on loopback addresses, for the cases of this review.

Starts the programs with the commands and templates of the deploy file. The
store, the workers, the clients and their checks are the project's own
stand-ins of `tests/platform/soak/harness`, with the additions below.
"""

import asyncio
import os
import sys
import tempfile
import time
import tomllib

sys.dont_write_bytecode = True
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "tests/platform/soak"))

from harness import cluster as soak_cluster  # noqa: E402
from harness import http  # noqa: E402
from harness.checks import Checks, Job  # noqa: E402
from harness.target import Target  # noqa: E402
from harness.template import render  # noqa: E402

HELD, BROKEN, NOT_RUN = 0, 11, 2  # As `run.sh` of a case expects.
HEARTBEAT_SECONDS = 1.5
SETTINGS_VARIABLE = "GOOSEBERRYWING_BOOT"
SITE_TIMEOUT_MS = 1500  # Of the site's routes.


def with_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Lines of `record.txt`, with seconds since the start."""

    def __init__(self, folder):
        self._file = open(os.path.join(folder, "record.txt"), "w")
        self._start = time.monotonic()

    def note(self, text):
        self._file.write(f"{time.monotonic() - self._start:8.3f} {text}\n")
        self._file.flush()


class RecordedChecks(Checks):
    """The harness's checks; writes what workers start and end, too."""

    def __init__(self, record):
        super().__init__()
        self._record = record

    def report(self, rule, text, job=None):
        super().report(rule, text, job)
        self._record.note(f"BROKEN {rule}: {text}")

    def on_start(self, target, task, run, spec, is_late):
        self._record.note(f"{target.name} starts {task} run {run}")
        super().on_start(target, task, run, spec, is_late)

    def on_end(self, target, task, run, how):
        self._record.note(f"{target.name} ends {task} run {run}: {how}")
        super().on_end(target, task, run, how)

    def on_answer(self, job, status, state):
        self._record.note(f"answer to {job.name}: {status} {state}")
        super().on_answer(job, status, state)

    def broke(self, rule):
        return [text for text in self.violations
                if text.split(" ", 1)[1].startswith(rule)]


class Bed(soak_cluster.Cluster):
    """Programs as the deploy file says, in a temporary folder."""

    def __init__(self, folder, entries, agents, seed, make_target=Target,
                 timeout_ms=SITE_TIMEOUT_MS):
        self.record = Record(folder)
        self._timeout_ms = timeout_ms
        self.checks = RecordedChecks(self.record)
        self._temporary = tempfile.TemporaryDirectory()
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            self._roles = tomllib.load(file)["roles"]
        super().__init__(ROOT, self._temporary.name, entries, agents,
                         self.checks, seed)
        self.targets = [
            make_target(f"worker-{i + 1}", agent.zone,
                        (agent.ip, soak_cluster.TARGET_PORT),
                        (agent.ip, soak_cluster.TARGET_CONTROL_PORT),
                        soak_cluster.SERVICE, soak_cluster.CAPACITY,
                        self.checks, seed * 1000 + i)
            for i, agent in enumerate(self.agents)]

    def configure(self, version, routes, names=None):
        """Writes a config as the operator does, with values of the site.
        `names` gives names to routes, by their paths."""
        names = names or {}
        self.store.put("op", "config", {
            "version": version,
            "routes": [{"name": names.get(path, f"route-{path.strip('/')}"),
                        "host": host, "pathPrefix": path, "type": "unsafe",
                        "timeoutMs": self._timeout_ms, "targetLatencyMs": 60,
                        "priority": 1, "service": soak_cluster.SERVICE,
                        "attempts": 4, "slackFactor": 1.6}
                       for host, path in routes],
            "services": [{"name": soak_cluster.SERVICE,
                          "healthPath": "/health", "maxConns": 64,
                          "protocol": "h1", "tls": False, "coldStartS": 0.0,
                          "coldPerS": 0.0, "rejectsOverload": False,
                          "standby": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})

    async def spawn(self, process):
        role = self._roles[process.role]
        settings = os.path.join(self._out, f"{process.name}.ini")
        with open(os.path.join(ROOT, role["template"])) as source, \
                open(settings, "w") as made:
            made.write(render(source.read(), self._fields(process)))
        words = role["run"].split()
        process.expects_end = False
        with open(os.path.join(self._out, f"{process.name}.log"), "ab") as log:
            process.child = await asyncio.create_subprocess_exec(
                os.path.join(ROOT, words[0]), *words[1:], cwd=ROOT,
                env={SETTINGS_VARIABLE: settings, "LANG": "C",
                     "PATH": os.environ.get("PATH", "")},
                stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
                preexec_fn=soak_cluster._die_with_parent)
        asyncio.create_task(self._watch(process, process.child))

    def log_of(self, name):
        with open(os.path.join(self._out, f"{name}.log"),
                  errors="replace") as file:
            return file.read()

    async def send(self, entry, job, deadline_ms):
        """Submits a job once, on a connection of its own."""
        connection = http.Connection(entry.ip, soak_cluster.CALLER_PORT)
        job.attempts += 1
        self.record.note(f"{entry.name} is sent {job.name}: {job.tasks} tasks "
                         f"of {job.cpu} for {job.run_seconds} s")
        body = {"spec": job.spec, "bestEffort": True,
                "steps": [{"count": job.tasks, "cpu": job.cpu, "memMb": 64,
                           "estimateMs": int(job.run_seconds * 1000)}]}
        try:
            status, _, answer = await asyncio.wait_for(connection.call(
                "POST", soak_cluster.PATH + job.name, body,
                {"Host": soak_cluster.HOST,
                 "Gooseberrywing-Deadline-Ms": str(deadline_ms)}),
                deadline_ms / 1000)
        except (ConnectionError, asyncio.TimeoutError) as failure:
            self.record.note(f"no answer to {job.name}: {failure!r}")
            return None
        finally:
            connection.abort()
        state = "completed" if b'"completed"' in answer else \
            "failed" if b'"failed"' in answer else ""
        self.checks.on_answer(job, status, state)
        return status

    async def cancel(self, entry, job):
        """Cancels a job, on a connection of its own; returns the status."""
        connection = http.Connection(entry.ip, soak_cluster.CALLER_PORT)
        try:
            status, _, _ = await asyncio.wait_for(connection.call(
                "DELETE", soak_cluster.PATH + job.name, None,
                {"Host": soak_cluster.HOST}), 2)
        except (ConnectionError, asyncio.TimeoutError):
            status = None
        finally:
            connection.abort()
        self.record.note(f"DELETE of {job.name} at {entry.name}: {status}")
        return status

    def new_job(self, number, tasks, cpu, seconds):
        name = f"{number:016x}"
        job = Job(name, f"work {name}", tasks, cpu, seconds)
        self.checks.add_job(job)
        return job


def run_case(folder, rule, play):
    """Runs `play(bed-making folder)`; returns the exit status of the case."""
    async def all_of_it():
        bed = await play.make(folder)
        try:
            await bed.start()
        except (TimeoutError, OSError) as failure:
            bed.record.note(f"the case could not run: {failure!r}")
            await bed.stop()
            return NOT_RUN
        try:
            await play.run(bed)
        finally:
            await bed.stop()
        broken = bed.checks.broke(rule)
        for text in bed.checks.violations:
            bed.record.note(text)
        bed.record.note(f"trouble: {with_trouble()}; {rule} broken "
                        f"{len(broken)} times; {bed.checks.counts}")
        return BROKEN if broken else HELD
    try:
        return asyncio.run(all_of_it())
    except Exception as failure:  # The case, not the software.
        print(f"the case could not run: {failure!r}", file=sys.stderr)
        return NOT_RUN
