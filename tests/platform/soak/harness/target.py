"""A stand-in of a target that runs tasks under leases."""

import asyncio
import random
import time
from dataclasses import dataclass

from . import http

MAX_LEASE_MS = 1000
STOP_GRACE_SECONDS = 0.05
POLL_SECONDS = 0.005
BEAT_SECONDS = 1.5
DRAIN_SECONDS = 2.0
LATE_SECONDS = (2.0, 12.0)
#: Of calls that are late all the time, at any target.
LATE_ALWAYS_SECONDS = (1.0, 4.0)
MAX_LISTED_ENDS = 500
#: Reading of a target's clock at the start of a process. It starts anew with
#: each, but not at zero, and may be ahead of the last one's or behind it.
FIRST_CLOCK_MS = (60_000, 900_000)
FAILED_SHARE = 0.005


@dataclass
class Run:
    cpu: int
    ends_at: float
    how: str
    stopped_at: float = None


@dataclass
class Fault:
    """Calls that a target leaves unanswered until a time.

    `kind`: `late`, carried out seconds later; `lost`, carried out at once;
    `dropped`; `reset`, dropped and the connection reset; `busy`, refused.
    """
    kind: str
    share: float
    until: float


class Target:
    def __init__(self, name, zone, address, control, service, capacity,
                 checks, seed):
        self.name = name
        self.zone = zone
        self.capacity = capacity
        self.fault = None
        self._address = address
        self._control = control
        self._service = service
        self._checks = checks
        self._random = random.Random(seed)
        self._clock_random = random.Random(f"clocks of {seed}")
        self._server = None
        self._is_alive = False
        self._reachable = asyncio.Event()
        self._reachable.set()
        #: Of the calls that come while it is silent, those carried out later;
        #: the others are reset.
        self.held_share = 1.0
        #: Of all starts and stops, those left unanswered and executed late.
        self.late_share = 0.0
        #: Late calls that fell due while no process was up.
        self._due = []
        self._beats = None
        self._state = "ready"
        self._clear()

    def _clear(self):
        self._born = int(time.time() * 1000)
        self._started_at = time.monotonic()
        self._rate = 1 - 0.02 * self._random.random()
        self._first_clock_ms = self._clock_random.randint(*FIRST_CLOCK_MS)
        self._token = 0
        self._lease_ms = 0
        self._runs = {}
        self._superseded = {}
        self._ends = []
        self._end_count = 0
        self._sequence = 0

    @property
    def is_up(self):
        return self._is_alive

    async def start(self):
        """Starts a process: nothing runs, and the clock starts anew."""
        self._clear()
        self._state = "ready"
        self._is_alive = True
        for request in self._due:
            self._carry_out_late(request)
        self._due.clear()
        await self.reconnect()
        self._beats = asyncio.create_task(self._beat_always())

    def crash(self):
        """Ends the process and all that it runs; its port refuses."""
        self._end_life()
        self._stop_listening()

    def go_dark(self):
        """Ends the process and all that it runs; its port is silent."""
        self._reachable.clear()
        self._end_life()

    def cut_off(self, refuses):
        """Cuts the process off, which runs on. Calls to it are refused, or
        wait without an answer."""
        self._reachable.clear()
        if refuses:
            self._stop_listening()

    async def reconnect(self):
        """Ends a cut. Calls that have waited are carried out, also those
        whose sender has given up."""
        if self._server is None:
            server = http.Server(self._serve)
            self._server = server
            await server.start(*self._address)
        self._reachable.set()

    def _end_life(self):
        if not self._is_alive:
            return
        self.settle(time.monotonic())
        self._is_alive = False
        self._beats.cancel()
        for task, run in list(self._runs):
            self._remove(task, run, "lost")

    def _is_silent(self):
        return self._server is not None and not self._reachable.is_set()

    def _stop_listening(self):
        if self._server is not None:
            self._server.stop()
            self._server = None

    async def drain(self):
        """Announces its end, serves on for a while, then ends."""
        self._state = "draining"
        await self._beat()
        await asyncio.sleep(DRAIN_SECONDS + self._random.random())
        if self.is_up:
            await self._say("DELETE", None)
            self.crash()

    # Clock and runs.

    def _clock_ms(self, now):
        return self._first_clock_ms + \
            int((now - self._started_at) * self._rate * 1000)

    def _lease_end(self):
        granted_ms = self._lease_ms - self._first_clock_ms
        return self._started_at + granted_ms / self._rate / 1000

    def _end_of(self, run):
        """When a run ends if no call comes before, and how."""
        ends = [(run.ends_at, run.how), (self._lease_end(), "lapsed")]
        if run.stopped_at is not None:
            ends.append((run.stopped_at, "stopped"))
        return min(ends)

    def settle(self, now):
        """Ends the runs that are over by now, in the order of their ends."""
        over = sorted((self._end_of(run), key)
                      for key, run in self._runs.items()
                      if self._end_of(run)[0] <= now)
        for (_, how), (task, run) in over:
            self._remove(task, run, how)
            self._end_count += 1
            self._ends.append([self._end_count, task, run, how, ""])

    def _remove(self, task, run, how):
        del self._runs[task, run]
        self._superseded[task] = max(self._superseded.get(task, 0), run)
        self._checks.on_end(self, task, run, how)

    def _extend(self, until_ms, now):
        longest = self._clock_ms(now) + MAX_LEASE_MS
        self._lease_ms = max(self._lease_ms, min(until_ms, longest))

    # Registration.

    async def _beat_always(self):
        while True:
            await self._beat()
            await asyncio.sleep(BEAT_SECONDS * self._random.uniform(0.8, 1.2))

    async def _beat(self):
        self._sequence += 1
        ip, port = self._address
        await self._say("PUT", {
            "service": self._service, "address": f"{ip}:{port}",
            "zone": self.zone, "version": "v1", "slots": 8,
            "state": self._state, "coldRemainingMs": 0,
            "capacity": {"cpu": self.capacity, "memMb": 65536, "gpus": 0},
            "labels": ["a", "r1"], "born": self._born,
            "clockMs": self._clock_ms(time.monotonic()),
            "seq": self._sequence})

    async def _say(self, method, body):
        if not self._reachable.is_set():
            return
        connection = http.Connection(*self._control)
        try:
            await asyncio.wait_for(
                connection.call(method, f"/instances/{self.name}", body), 1)
        except (ConnectionError, asyncio.TimeoutError):
            pass
        finally:
            connection.abort()

    # Calls.

    async def _serve(self, request):
        if not self._reachable.is_set():
            return await self._serve_held(request)
        if not self.is_up:
            raise http.Reset  # Read before the crash.
        if request.headers.get("gooseberrywing-expect-instance",
                               self.name) != self.name:
            return http.Response(421)
        fault = self.fault
        if fault and time.monotonic() < fault.until and \
                self._random.random() < fault.share:
            if fault.kind == "busy" and request.path != "/hold":
                return http.Response(503)
            self._misbehave(fault, request)
        if request.path != "/hold" and \
                self._random.random() < self.late_share:
            self._defer(request, LATE_ALWAYS_SECONDS)
            raise http.NoAnswer
        return await self._carry_out(request, False)

    async def _serve_held(self, request):
        """Carries out, or resets, a call that came while cut off or dark."""
        await self._reachable.wait()
        if not self.is_up or self._random.random() >= self.held_share:
            raise http.Reset
        return await self._carry_out(request, True)

    def _misbehave(self, fault, request):
        if fault.kind == "reset":
            raise http.Reset
        if fault.kind == "late":
            self._defer(request, LATE_SECONDS)
        elif fault.kind == "lost":
            self._carry_out_late(request)
        raise http.NoAnswer

    def _defer(self, request, seconds):
        asyncio.get_running_loop().call_later(
            self._random.uniform(*seconds), self._carry_out_late, request)

    def _carry_out_late(self, request):
        """Carries a call out unanswered, in whatever life there is now. One
        that falls due while none is up is carried out by the next."""
        if self.is_up:
            now = time.monotonic()
            self.settle(now)
            self._apply(request, now, True)
        else:
            self._due.append(request)

    async def _carry_out(self, request, is_late):
        now = time.monotonic()
        self.settle(now)
        response = self._apply(request, now, is_late)
        if request.path == "/hold" and response.status == 200:
            return await self._report(request.json(), now)
        return response

    def _apply(self, request, now, is_late):
        call = request.json()
        clock = {"clockMs": self._clock_ms(now)}
        token = call.get("fencingToken", 0)
        if token < self._token:
            return http.Response(409, clock | {"reason": "fence"})
        self._token = token
        if request.path == "/run-start":
            return self._start_run(call, clock, now, is_late)
        if request.path == "/run-stop":
            self._stop_run(call, now)
        elif request.path == "/hold":
            self._extend(call.get("deadlineMs", 0), now)
            self._ends = [end for end in self._ends
                          if end[0] > call.get("lastSeen", 0)]
        else:
            return http.Response(404)
        return http.Response(200, clock)

    def _start_run(self, call, clock, now, is_late):
        task, run = call["task"], call["run"]
        if call["deadlineMs"] < clock["clockMs"]:
            return http.Response(409, clock | {"reason": "late"})
        known = self._runs.get((task, run))
        if known and known.stopped_at is None:
            return http.Response(200, clock)
        if run <= self._superseded.get(task, 0):
            self._extend(call["deadlineMs"], now)
            return http.Response(409, clock | {"reason": "old"})
        self._checks.on_start(self, task, run, call["spec"], is_late)
        job = self._checks.jobs.get(task.split(".")[0])
        if job is None:
            return http.Response(200, clock)
        self._extend(call["deadlineMs"], now)
        fails = self._random.random() < FAILED_SHARE
        self._runs[task, run] = Run(
            job.cpu, now + job.run_seconds * self._random.uniform(0.9, 1.2),
            "failed" if fails else "done")
        self._checks.on_capacity(
            self, sum(each.cpu for each in self._runs.values()))
        return http.Response(200, clock)

    def _stop_run(self, call, now):
        task, last = call["task"], call["run"]
        self._superseded[task] = max(self._superseded.get(task, 0), last)
        for (name, run), state in self._runs.items():
            if name == task and run <= last and state.stopped_at is None:
                state.stopped_at = now + \
                    self._random.uniform(0, STOP_GRACE_SECONDS)

    async def _report(self, call, asked_at):
        """Waits for an end that the caller has not seen, then lists all."""
        until = asked_at + min(call.get("waitMs", 0), 2000) / 1000
        born = self._born
        while not self._ends and time.monotonic() < until:
            await asyncio.sleep(POLL_SECONDS)
            if self._born != born or not (self.is_up or self._is_silent()):
                raise http.Reset
            self.settle(time.monotonic())
        if not self._reachable.is_set():
            raise http.NoAnswer
        return http.Response(200, {
            "clockMs": self._clock_ms(time.monotonic()), "born": self._born,
            "running": [[task, run, "", 0] for task, run in self._runs],
            "finished": self._ends[:MAX_LISTED_ENDS]})
