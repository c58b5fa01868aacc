#!/usr/bin/env python3
"""Callers outside our control against real processes on loopback addresses.

Each case sends one pattern of bodies over many connections to an entry or an
agent, and keeps the connections open. It guards against memory that grows with
the number of connections times the size of a body, and against connections
that are held by requests which never end. The checks name no times and no share of
served requests.
"""

import asyncio
import json
import os
import re
import subprocess
import sys
import tempfile
import unittest

sys.dont_write_bytecode = True
ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "../../.."))
sys.path.insert(0, os.path.join(ROOT, "tests/platform/soak"))

from harness import http  # noqa: E402
from harness.checks import Checks, Job  # noqa: E402
from harness.cluster import (  # noqa: E402
    CALLER_PORT, HOST, PATH, TARGET_CONTROL_PORT, Cluster)

MAX_BODY = 262_144
CROWD = 150
#: Of the crowd, one in so many completes its body where most stop short.
COMPLETES = 10
#: Fewer than the crowd, so that connections run short.
LIMITS = {"max_body_bytes": MAX_BODY, "max_callers": 128,
          "max_buffered_bytes": 2_097_152, "body_timeout_ms": 3000}
MEMORY_BOUND_KB = 24 * 1024  # Above what the process used before.
DESCRIPTOR_BOUND = LIMITS["max_callers"] + 32  # Likewise.
AGENT_DESCRIPTOR_BOUND = CROWD + 32
TRIES = 30
SEND_SECONDS = 20  # Bounds the test itself where a server reads no more.
#: More than a job may have, and the most that it may have.
TOO_MANY_TASKS = 4_096
MAX_TASKS = 870
PIECE = 8_192
LARGE_CHUNK = 65_536


def lower_limits(text, reference):
    """Sets the test's limits, as far as the program has these settings."""
    for key, value in LIMITS.items():
        if f"| limits | {key} |" not in reference:
            continue
        text = re.sub(rf"(?m)^{key} = .*\n", "", text)
        text = text.replace("[limits]\n", f"[limits]\n{key} = {value}\n")
    return text


class SmallCluster(Cluster):
    """One entry and one agent with lowered limits."""

    def __init__(self, out):
        super().__init__(ROOT, out, 1, 1, Checks(), 1)
        os.makedirs(os.path.join(out, "deploy"))
        os.symlink(os.path.join(ROOT, "build"), os.path.join(out, "build"))
        self._root = out
        for role in ("entry", "agent"):
            program = f"build/release/platform/gooseberry-platform-{role}"
            reference = subprocess.run(
                [os.path.join(ROOT, program), "--print-settings-reference"],
                capture_output=True, text=True, check=True).stdout
            name = f"deploy/{role}.ini"
            with open(os.path.join(ROOT, name)) as source, \
                    open(os.path.join(out, name), "w") as made:
                made.write(lower_limits(source.read(), reference))


def status_kb(process, field):
    with open(f"/proc/{process.child.pid}/status") as status:
        return int(re.search(rf"{field}:\s+(\d+) kB", status.read()).group(1))


def descriptors(process):
    return len(os.listdir(f"/proc/{process.child.pid}/fd"))


def large_body(size=MAX_BODY):
    """A valid job with a long list that no step needs."""
    start = b'{"spec":"work","bestEffort":true,"steps":[{"count":1,"cpu":100' \
            b',"memMb":1,"estimateMs":20}],"pad":[0'
    pad = b",0" * ((size - len(start) - 2) // 2)
    return (start + pad + b"]}").ljust(size)


def ordinary_job(tasks=1):
    return {"spec": "work", "bestEffort": True,
            "steps": [{"count": tasks, "cpu": 100, "memMb": 1,
                       "estimateMs": 20}]}


def padded_to(size, body):
    body["pad"] = ""
    body["pad"] = "x" * (size - len(json.dumps(body)))
    return body


def head(path, length=None, method="POST"):
    framing = "Transfer-Encoding: chunked" if length is None else \
        f"Content-Length: {length}"
    return (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n{framing}\r\n"
            "\r\n").encode()


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def parts(data, size):
    return [data[i:i + size] for i in range(0, len(data), size)]


class Crowd:
    """Connections that each send a list of pieces and then stay open."""

    def __init__(self, address):
        self._address = address
        self._writers = []

    async def send(self, pieces_of):
        await asyncio.gather(*[self._send_one(pieces_of(i))
                               for i in range(CROWD)])

    async def _send_one(self, pieces):
        try:
            _, writer = await asyncio.open_connection(*self._address)
            self._writers.append(writer)
            await asyncio.wait_for(self._write(writer, pieces), SEND_SECONDS)
        except (OSError, asyncio.TimeoutError):
            pass  # A server may refuse, close or stop reading.

    @staticmethod
    async def _write(writer, pieces):
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0)

    def abort(self):
        for writer in self._writers:
            writer.transport.abort()


class UncontrolledCallersTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self._folder = tempfile.TemporaryDirectory()
        self.cluster = SmallCluster(self._folder.name)
        self._jobs = 0
        await self.cluster.start()
        self.assertTrue(await self.is_served(), "before the crowd")

    async def asyncTearDown(self):
        await self.cluster.stop()
        self._folder.cleanup()

    def next_path(self, tasks=1):
        self._jobs += 1
        name = f"{self._jobs:016x}"
        self.cluster._checks.add_job(Job(name, "work", tasks, 100, 0.02))
        return f"{PATH}{name}"

    async def is_served(self, body=None):
        """Sends a job, an ordinary one if none is given, again where it is
        refused."""
        for _ in range(TRIES):
            connection = http.Connection(self.cluster.entries[0].ip,
                                         CALLER_PORT)
            try:
                status, _, _ = await asyncio.wait_for(connection.call(
                    "POST", self.next_path(), body or ordinary_job(),
                    {"Host": HOST}), SEND_SECONDS)
                if status == 200:
                    return True
            except (ConnectionError, asyncio.TimeoutError):
                pass
            finally:
                connection.abort()
            await asyncio.sleep(0.5)
        return False

    async def check(self, pieces_of, process=None, port=CALLER_PORT):
        process = process or self.cluster.entries[0]
        descriptor_bound = DESCRIPTOR_BOUND if process.role == "entry" \
            else AGENT_DESCRIPTOR_BOUND
        memory = status_kb(process, "VmHWM")
        opened = descriptors(process)
        crowd = Crowd((process.ip, port))
        sending = asyncio.create_task(crowd.send(pieces_of))
        most_opened = opened
        while not sending.done():
            await asyncio.wait([sending], timeout=0.05)
            self.assertIsNone(process.child.returncode)
            most_opened = max(most_opened, descriptors(process))
        is_served = await self.is_served()
        self.assertIsNone(process.child.returncode)
        grown = status_kb(process, "VmHWM") - memory
        resident = status_kb(process, "VmRSS") - memory
        print(f"{self.id().split('.')[-1]}: HWM +{grown} kB, RSS +{resident} "
              f"kB over {memory} kB, descriptors +{most_opened - opened}, "
              f"served: {is_served}", flush=True)
        crowd.abort()
        with self.subTest("memory"):
            self.assertLess(grown, MEMORY_BOUND_KB)
        with self.subTest("descriptors"):
            self.assertLess(most_opened - opened, descriptor_bound)
        with self.subTest("an ordinary request is answered"):
            self.assertTrue(is_served)

    def stop_short(self, framed):
        """All pieces for one connection in ten, else all but the end."""
        return lambda i: framed if i % COMPLETES == 0 else framed[:-1]

    async def test_whole_large_bodies(self):
        body = large_body()
        await self.check(
            lambda i: [head(self.next_path(), len(body)) + body])

    async def test_a_single_body_of_the_largest_size_is_served(self):
        body = padded_to(MAX_BODY, ordinary_job())
        self.assertTrue(await self.is_served(body))

    # Small bodies, each of which asks for memory of its own.
    async def test_jobs_of_too_many_tasks(self):
        await self.check_jobs(TOO_MANY_TASKS)

    async def test_jobs_of_the_most_tasks(self):
        await self.check_jobs(MAX_TASKS)

    async def check_jobs(self, tasks):
        body = json.dumps(ordinary_job(tasks)).encode()
        await self.check(
            lambda i: [head(self.next_path(tasks), len(body)) + body])

    async def test_large_bodies_piece_by_piece(self):
        body = large_body()
        pieces = [head(self.next_path(), len(body))] + \
            parts(body[:-1], PIECE) + [body[-1:]]
        await self.check(self.stop_short(pieces))

    async def test_large_chunks(self):
        pieces = [head(self.next_path())] + \
            [chunk(part) for part in parts(large_body(), LARGE_CHUNK)] + \
            [b"0\r\n\r\n"]
        await self.check(self.stop_short(pieces))

    async def test_tiny_chunks(self):
        # Two bytes of body in each chunk, many chunks in each write.
        chunks = b"".join(chunk(part) for part in parts(large_body(), 2))
        pieces = [head(self.next_path())] + parts(chunks, LARGE_CHUNK) + \
            [b"0\r\n\r\n"]
        await self.check(self.stop_short(pieces))

    async def test_announced_far_over_the_limit(self):
        body = large_body(8 * MAX_BODY)
        pieces = [head(self.next_path(), len(body))] + \
            parts(body, LARGE_CHUNK)
        await self.check(lambda i: pieces)

    async def test_sent_far_over_the_limit(self):
        pieces = [head(self.next_path())] + \
            [chunk(part) for part in parts(large_body(8 * MAX_BODY),
                                           LARGE_CHUNK)]
        await self.check(lambda i: pieces)

    async def test_large_chunks_to_an_agent(self):
        pieces = [head("/instances/other", method="PUT")] + \
            [chunk(part) for part in parts(large_body(), LARGE_CHUNK)] + \
            [b"0\r\n\r\n"]
        await self.check(self.stop_short(pieces), self.cluster.agents[0],
                         TARGET_CONTROL_PORT)


if __name__ == "__main__":
    unittest.main()
