"""Checks what the stand-ins see against the promises to callers."""

import time
from dataclasses import dataclass, field

CANCEL_SECONDS = 3.0
TRIES = 3


@dataclass
class Job:
    name: str
    spec: str
    tasks: int
    cpu: int
    run_seconds: float
    refusals: int = 0       # Answers that say "not run".
    attempts: int = 0
    started: set = field(default_factory=set)
    done: set = field(default_factory=set)
    failures: dict = field(default_factory=dict)
    left_at: float = None   # Since when no caller wants it.
    history: list = field(default_factory=list)

    def note(self, text):
        self.history.append(f"{time.monotonic():.3f} {text}")


class Checks:
    """Records violations; each names its rule and the job."""

    def __init__(self, max_violations=20):
        self.violations = []
        self.jobs = {}
        self.counts = {"jobs": 0, "starts": 0, "done": 0, "completed": 0,
                       "failed": 0, "refused": 0, "unanswered": 0,
                       "resent": 0, "left": 0}
        self.out_zones = {}  # By zone: since when starts are forbidden.
        self._active = {}    # By task: the targets that run it.
        self._max = max_violations

    def report(self, rule, text, job=None):
        if len(self.violations) < self._max:
            lines = [f"{time.monotonic():.3f} {rule}: {text}"]
            lines += [f"    {line}" for line in (job.history if job else [])]
            self.violations.append("\n".join(lines))

    def add_job(self, job):
        self.jobs[job.name] = job
        self.counts["jobs"] += 1

    def on_start(self, target, task, run, spec, is_late):
        """Checks a start that the target is about to carry out."""
        now = time.monotonic()
        self.counts["starts"] += 1
        name, occurrence, step, index = task.split(".")
        job = self.jobs.get(name)
        if job is None or (occurrence, step) != ("0", "0") \
                or int(index) >= job.tasks or spec != job.spec:
            self.report("UNASKED", f"{task} at {target.name}", job)
            return
        job.note(f"{target.name} starts {task} run {run}"
                 + (" late" if is_late else ""))
        job.started.add(int(index))
        self._check_single(target, task, job, now)
        self._check_refused(job)
        if not is_late and job.left_at and \
                now - job.left_at > CANCEL_SECONDS:
            self.report("UNASKED", f"{task} after its caller left", job)
        since = self.out_zones.get(target.zone)
        if not is_late and since and now > since:
            self.report("EVAC", f"{task} at {target.name}", job)
        self._active.setdefault(task, []).append(target)

    def _check_single(self, target, task, job, now):
        for other in list(self._active.get(task, [])):
            other.settle(now)
        if self._active.get(task):
            names = [other.name for other in self._active[task]]
            self.report("TWICE", f"{task} at {target.name} beside {names}",
                        job)

    def _check_refused(self, job):
        if job.started and job.attempts and job.refusals == job.attempts:
            self.report("REFUSED", f"{job.name} was said not to have run",
                        job)

    def on_end(self, target, task, run, how):
        """Records the end of a run: done, failed, stopped, lapsed, lost."""
        active = self._active.get(task, [])
        if target in active:
            active.remove(target)
        if not active:
            self._active.pop(task, None)
        job = self.jobs[task.split(".")[0]]
        job.note(f"{target.name} ends {task} run {run}: {how}")
        index = int(task.split(".")[3])
        if how == "done":
            job.done.add(index)
            self.counts["done"] += 1
        elif how == "failed":
            job.failures[index] = job.failures.get(index, 0) + 1

    def on_capacity(self, target, used):
        if used > target.capacity:
            self.report("LIMIT", f"{target.name}: {used} of "
                        f"{target.capacity} thousandths of a core")

    def on_answer(self, job, status, state):
        """Checks an answer to a job's submission."""
        job.note(f"answer {status} {state}")
        if status in (429, 503):
            job.refusals += 1
            self.counts["refused"] += 1
            self._check_refused(job)
        elif state == "completed":
            self.counts["completed"] += 1
            if len(job.done) < job.tasks:
                self.report("MIXED", f"{job.name} completed with "
                            f"{len(job.done)} of {job.tasks} done", job)
        elif state == "failed":
            self.counts["failed"] += 1
            if max(job.failures.values(), default=0) < TRIES:
                self.report("LOST", f"{job.name} failed without cause", job)
