"""Entries and agents as real processes, on loopback addresses of their own."""

import asyncio
import ctypes
import fcntl
import os
import signal
import time
from dataclasses import dataclass

from . import http
from .store import Store
from .target import Target
from .template import render

ZONES = ("north", "east", "west")
REGION = "region"
SERVICE = "press"
HOST = "press.example"
PATH = "/work/"
CAPACITY = 16000
GRACE_SECONDS = 6.0
RESEND_MS = 1300
MAX_HOLD_MS = 1000
CALLER_PORT = 8161
READY_PORT = 8167
TARGET_CONTROL_PORT = 8166
TARGET_PORT = 8165
STORE_PORT = 8169
PEER_PORTS = [7720, 7735]
PR_SET_PDEATHSIG = 1
LOCK_DIR = "/tmp/gooseberrywing-soak"
BLOCKS = 60


def _die_with_parent():
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class AddressBlock:
    """Loopback addresses that no other soak on this machine uses."""

    def __init__(self):
        os.makedirs(LOCK_DIR, exist_ok=True)
        for block in range(BLOCKS):
            lock = open(f"{LOCK_DIR}/{block}.lock", "w")
            try:
                fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except OSError:
                lock.close()
                continue
            self._lock = lock
            self._prefix = f"127.{64 + block}"
            return
        raise RuntimeError("no free block of addresses")

    def address(self, group, index):
        return f"{self._prefix}.{group}.{index + 1}"


@dataclass
class Process:
    """One program of ours; its end is a fault unless `expects_end`."""
    name: str
    role: str
    ip: str
    zone: str
    child: asyncio.subprocess.Process = None
    expects_end: bool = False
    suspensions: int = 0  # Under way.

    @property
    def is_running(self):
        return self.child is not None and self.child.returncode is None


class Cluster:
    """The store, targets, agents and entries of one run."""

    def __init__(self, root, out, entries, agents, checks, seed):
        self._root = root
        self._out = out
        self._checks = checks
        self._block = AddressBlock()
        self._store_ip = self._block.address(1, 0)
        self.store = Store(seed)
        self.entries = [self._process("entry", 2, i) for i in range(entries)]
        self.agents = [self._process("agent", 3, i) for i in range(agents)]
        self.targets = [
            Target(f"target-{i}", agent.zone, (agent.ip, TARGET_PORT),
                   (agent.ip, TARGET_CONTROL_PORT), SERVICE, CAPACITY,
                   checks, seed * 1000 + i)
            for i, agent in enumerate(self.agents)]

    def _process(self, role, group, index):
        return Process(f"{role}-{index + 1}", role,
                       self._block.address(group, index),
                       ZONES[index % len(ZONES)])

    def caller_addresses(self):
        return [(entry.ip, CALLER_PORT) for entry in self.entries]

    # Life of the cluster.

    async def start(self):
        await self.store.start(self._store_ip, STORE_PORT)
        self.configure(1, [(HOST, PATH)])
        for process in self.agents + self.entries:
            await self.spawn(process)
        for target in self.targets:
            await target.start()
        await self.wait_ready()

    def configure(self, version, routes):
        """Writes a configuration as the operator does."""
        self.store.put("op", "config", {
            "version": version, "limits": {},
            "services": [{"name": SERVICE, "rejectsOverload": False}],
            "routes": [{"name": f"route-{path.strip('/')}", "host": host,
                        "pathPrefix": path, "service": SERVICE,
                        "priority": 1, "attempts": 3, "slackFactor": 2.0,
                        "targetLatencyMs": 60, "timeoutMs": 8000}
                       for host, path in routes]})

    async def wait_ready(self, seconds=30):
        """Waits until each entry takes callers; raises TimeoutError."""
        until = time.monotonic() + seconds
        for entry in self.entries:
            while not await self.is_ready(entry):
                if time.monotonic() > until:
                    raise TimeoutError(f"{entry.name} is not ready")
                await asyncio.sleep(0.1)

    async def is_ready(self, entry):
        connection = http.Connection(entry.ip, READY_PORT)
        try:
            status, _, _ = await asyncio.wait_for(
                connection.call("GET", "/ready"), 1)
            return status == 200
        except (ConnectionError, asyncio.TimeoutError):
            return False
        finally:
            connection.abort()

    async def stop(self):
        """Ends all processes at once."""
        for target in self.targets:
            target.crash()
        for process in self.entries + self.agents:
            process.expects_end = True
            if process.is_running:
                process.child.kill()
                await process.child.wait()
        self.store.stop()

    # Processes.

    async def spawn(self, process):
        settings = os.path.join(self._out, f"{process.name}.ini")
        template = os.path.join(self._root, f"deploy/{process.role}.ini")
        with open(template) as source, open(settings, "w") as made:
            made.write(render(source.read(), self._fields(process)))
        log = open(os.path.join(self._out, f"{process.name}.log"), "ab")
        process.expects_end = False
        process.child = await asyncio.create_subprocess_exec(
            os.path.join(self._root, "build/release/platform",
                         f"gooseberry-platform-{process.role}"),
            "--settings", settings, stdin=asyncio.subprocess.DEVNULL,
            stdout=log, stderr=log, preexec_fn=_die_with_parent)
        log.close()
        asyncio.create_task(self._watch(process, process.child))

    async def _watch(self, process, child):
        status = await child.wait()
        if child is process.child and not process.expects_end:
            self._checks.report("EXIT", f"{process.name} ended: {status}")

    def _fields(self, process):
        return {
            "nodeName": process.name, "ip": process.ip,
            "zone": process.zone, "region": REGION,
            "zones": {zone: REGION for zone in ZONES},
            "limits": {"cpuQuota": 0.25},
            "internalPorts": PEER_PORTS,
            "listenAddrs": {
                "front": f"{process.ip}:{CALLER_PORT}",
                "ready": f"{process.ip}:{READY_PORT}",
                "control": f"{process.ip}:{TARGET_CONTROL_PORT}"},
            "platform": {"address": f"{self._store_ip}:{STORE_PORT}"},
            "bounds": {"resendMs": RESEND_MS, "maxHoldMs": MAX_HOLD_MS}}

    def signal(self, process, number):
        if process.is_running:
            process.child.send_signal(number)

    async def kill(self, process, down_seconds):
        """Kills a process, which starts again after a while."""
        process.expects_end = True
        child = process.child
        if child.returncode is None:
            child.kill()
        await child.wait()
        await asyncio.sleep(down_seconds)
        if process.child is child:
            await self.spawn(process)

    async def terminate(self, process, down_seconds):
        """Stops a process in order; it starts again after a while."""
        process.expects_end = True
        child = process.child
        self.signal(process, signal.SIGCONT)
        self.signal(process, signal.SIGTERM)
        try:
            await asyncio.wait_for(child.wait(), GRACE_SECONDS)
        except asyncio.TimeoutError:
            child.kill()
            await child.wait()
        await asyncio.sleep(down_seconds)
        if process.child is child:
            await self.spawn(process)

    async def suspend(self, process, seconds):
        """Suspends a process, until the last of several suspensions ends."""
        process.suspensions += 1
        self.signal(process, signal.SIGSTOP)
        await asyncio.sleep(seconds)
        process.suspensions -= 1
        if process.suspensions == 0:
            self.signal(process, signal.SIGCONT)
