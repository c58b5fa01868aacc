"""Agents that are in touch start tasks in an evacuated zone, as the only entry
left can't read the store."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))

import deployment as common  # noqa: E402

ZONE = "west"
EVACUATE_SECONDS = 5.0  # evacuateMs
CUT_SECONDS = 5.5       # for_s of core_cut
TIMER_SECONDS = 0.05    # Slack of the stand-ins' own timers.
CLIENTS = 8             # At each entry.


async def case(cluster, watch, record):
    trouble = common.has_trouble()
    left, *lost = cluster.entries
    await cluster.start()
    stop = asyncio.Event()
    load = asyncio.create_task(
        common.press(cluster, watch, record, CLIENTS, stop))
    await asyncio.sleep(3)
    if trouble:
        for entry in lost:
            await cluster.remove(entry)
    await asyncio.sleep(4)
    if not any(start[1].zone == ZONE for start in watch.starts):
        raise RuntimeError(f"nothing ran in {ZONE} before")

    if trouble:
        cluster.store.cut_off = {left.name}
        record.note(f"{left.name} is partitioned from the store")
    cut_at = record.now()
    await asyncio.sleep(0.05)
    cluster.store.put("op", f"evacuate/{ZONE}", {})
    evacuated = record.now()
    record.note(f"op/evacuate/{ZONE} written and confirmed")
    await asyncio.sleep(cut_at + CUT_SECONDS - record.now())
    cluster.store.cut_off = set()
    record.note(f"{left.name} reaches the store again")
    await asyncio.sleep(3)
    stop.set()
    await load
    due = evacuated + EVACUATE_SECONDS + TIMER_SECONDS
    late = [start for start in watch.starts
            if start[1].zone == ZONE and start[0] > due]
    record.note(f"starts in {ZONE} after {due:.3f}: {len(late)}")
    if not late:
        return []
    return [f"EVAC: {len(late)} tasks started in {ZONE} later than evacuateMs "
            f"after its evacuation was confirmed at {evacuated:.3f}, from "
            f"{late[0][0]:.3f} to {late[-1][0]:.3f}"]


common.run_case(HERE, case)
