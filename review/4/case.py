"""A start that a worker left unanswered is carried out by its next process,
while the task runs on another worker."""

import asyncio
import os
import socket
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))

import deployment as common  # noqa: E402
from harness import http  # noqa: E402

UP_SECONDS = 0.5     # From the lost start to the crash.
DARK_SECONDS = 2.0   # Of at most 4.5 of `srv_crash` with `dark`.
FIRST_BEAT_SECONDS = 0.5  # Within heartbeatMs, 1.5 s.
TASK_SECONDS = 6.0
WAIT_SECONDS = 12.0


class DarkPort:
    """A port that answers nothing: its queue of new connections is full."""

    def __init__(self, ip, port):
        self._sockets = [socket.socket()]
        self._sockets[0].setsockopt(socket.SOL_SOCKET,
                                    socket.SO_REUSEADDR, 1)
        self._sockets[0].bind((ip, port))
        self._sockets[0].listen(0)
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((ip, port))
            self._sockets.append(filler)

    def close(self):
        for each in self._sockets:
            each.close()


async def restart_dark(worker, late, record):
    """The worker's machine goes dark and comes back under the same id. The
    call that it left unanswered is carried out as it comes up."""
    address = worker._address
    worker.crash()
    record.note(f"{worker.name} crashes and is dark")
    dark = DarkPort(*address)
    await asyncio.sleep(DARK_SECONDS)
    dark.close()
    worker._clear()
    worker._server = http.Server(worker._serve)
    await worker._server.start(*address)
    record.note(f"{worker.name} is back, a new life under the same id")
    worker._carry_out_late(late)
    await asyncio.sleep(FIRST_BEAT_SECONDS)
    worker._beats = asyncio.create_task(worker._beat_always())


async def case(cluster, watch, record):
    trouble = common.has_trouble()
    lost = []
    overlaps = []
    running = {}

    def on_start(target, task, run, spec, is_late):
        common.Watch.on_start(watch, target, task, run, spec, is_late)
        others = running.setdefault(task, [])
        if others:
            overlaps.append(f"{task} starts on {target.name} while it runs on "
                            f"{others[0].name}")
        others.append(target)

    def on_end(target, task, run, how):
        common.Watch.on_end(watch, target, task, run, how)
        running[task].remove(target)

    watch.on_start = on_start
    watch.on_end = on_end
    await cluster.start()
    await asyncio.sleep(3)
    for worker in cluster.targets:
        usual = worker._serve

        async def serve(request, worker=worker, usual=usual):
            if trouble and request.path == "/run-start" and not lost:
                lost.append((worker, request))
                record.note(f"{worker.name} leaves {request.json()} "
                            "unanswered; it will be carried out late")
                raise http.NoAnswer
            return await usual(request)
        worker._serve = serve
        worker._server._handler = serve
    job = watch.add_job(common.Job("5c0e7a21d94b36f8", 1, 1600, TASK_SECONDS))
    post = asyncio.create_task(common.call(
        record, cluster.entries[0], "POST", common.PATH + job.name, job.body(),
        WAIT_SECONDS))
    await asyncio.sleep(UP_SECONDS)
    if not watch.starts:
        raise RuntimeError("the task did not start elsewhere")
    if trouble:
        await restart_dark(*lost[0], record)
    await post
    return [f"TWICE: {text}" for text in overlaps]


common.run_case(HERE, case, entries=3, agents=3)
