"""A config with one long host name never comes into force, with no later one."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))

import deployment as common  # noqa: E402

APPLY_SECONDS = 2.0  # configApplyMs
LONG_HOST = ("label-checks.tab-orders.brasov.ro-central.plants"
             ".tabcraft-unite-sa.example")
SHORT_HOST = "label-checks.brasov.example"
NEW_PATH = "/proofs/"
LATER_PATH = "/plans/"


async def submit(cluster, watch, record, path, number):
    """A job at each entry; returns the statuses."""
    statuses = []
    for index, entry in enumerate(cluster.entries):
        job = watch.add_job(
            common.Job(f"{number * 16 + index:016x}", 2, 1600, 0.1))
        status, _ = await common.call(record, entry, "POST", path + job.name,
                                      job.body(), 1.5)
        statuses.append(status)
    return statuses


async def case(cluster, watch, record):
    await cluster.start()
    await asyncio.sleep(2)
    host = LONG_HOST if common.has_trouble() else SHORT_HOST
    before = await submit(cluster, watch, record, common.PATH, 1)
    if before != [200] * len(before):
        raise RuntimeError(f"before the change: {before}")
    broken = []

    cluster.configure(2, [(common.HOST, NEW_PATH), (host, "/checks/")])
    record.note(f"version 2 confirmed: {common.PATH} removed, {NEW_PATH} "
                f"added, and a route of {host}, {len(host)} characters")
    await asyncio.sleep(APPLY_SECONDS + 1)
    added = await submit(cluster, watch, record, NEW_PATH, 2)
    removed = await submit(cluster, watch, record, common.PATH, 3)
    if 404 in added:
        broken.append(f"CONFIG: {NEW_PATH} of version 2 gives {added} later "
                      "than configApplyMs after its confirmation")
    if 200 in removed:
        broken.append(f"CONFIG: {common.PATH}, which version 2 has dropped, "
                      f"gives {removed}")

    cluster.configure(3, [(common.HOST, LATER_PATH), (host, "/checks/")])
    record.note(f"version 3 confirmed: {NEW_PATH} removed, {LATER_PATH} added")
    await asyncio.sleep(APPLY_SECONDS + 1)
    later = await submit(cluster, watch, record, LATER_PATH, 4)
    if 404 in later:
        broken.append(f"CONFIG: {LATER_PATH} of version 3 gives {later}")
    return broken


common.run_case(HERE, case, entries=3, agents=3)
