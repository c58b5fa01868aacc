"""A zone that is evacuated, taken back and evacuated again gets work."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))

import deployment as common  # noqa: E402

ZONE = "west"
EVACUATE_SECONDS = 5.0     # evacuateMs
SKEW_SECONDS = 5.0         # maxSkewMs, for a core that was not stable
CONTACT_SECONDS = 3.0      # contactMs
TURNED_AWAY_SECONDS = 4.5  # for_s of platform_down with `nodes`
WATCH_SECONDS = 6.0
CLIENTS = 4  # At each entry.


async def case(cluster, watch, record):
    trouble = common.has_trouble()
    first, reader, third = cluster.entries
    await cluster.start_store()
    cluster.configure(1, [(common.HOST, common.PATH)])
    cluster.store.put("op", f"evacuate/{ZONE}", {})
    record.note(f"op/evacuate/{ZONE} is there from the start")
    await cluster.start_processes()
    stop = asyncio.Event()
    load = asyncio.create_task(
        common.press(cluster, watch, record, CLIENTS, stop))
    await asyncio.sleep(3)

    began = record.now()
    if trouble:
        cluster.store.turned_away = {first.name, third.name}
        record.note(f"the store turns {first.name} and {third.name} away")
    await asyncio.sleep(1)
    cluster.store.remove("op", f"evacuate/{ZONE}")
    record.note(f"op/evacuate/{ZONE} removed: the zone is taken back")
    await asyncio.sleep(1.2)
    if trouble:
        await cluster.remove(reader)
    await asyncio.sleep(0.8)
    cluster.store.put("op", f"evacuate/{ZONE}", {})
    evacuated = record.now()
    record.note(f"op/evacuate/{ZONE} written again and confirmed")
    await asyncio.sleep(max(0, began + TURNED_AWAY_SECONDS - record.now()))
    cluster.store.turned_away = set()
    served = record.now()
    record.note("the store serves all")

    due = max(evacuated + EVACUATE_SECONDS + SKEW_SECONDS,
              served + CONTACT_SECONDS + EVACUATE_SECONDS)
    await asyncio.sleep(due - record.now() + WATCH_SECONDS)
    stop.set()
    await load
    late = [start for start in watch.starts
            if start[1].zone == ZONE and start[0] > due]
    others = [start for start in watch.starts
              if start[1].zone != ZONE and start[0] > due]
    record.note(f"starts after {due:.3f}: {len(late)} in {ZONE}, "
                f"{len(others)} elsewhere")
    if not others:
        raise RuntimeError("nothing ran at the end")
    if any(start[1].zone == ZONE for start in watch.starts
           if start[0] < began):
        raise RuntimeError("the first evacuation was not in force")
    if not late:
        return []
    return [f"EVAC: {len(late)} tasks started in {ZONE} later than "
            f"evacuateMs + maxSkewMs after its evacuation was confirmed at "
            f"{evacuated:.3f}; the first {late[0][2]} at {late[0][0]:.3f}"]


common.run_case(HERE, case)
