"""The scenarios: each gives rows of (measure, value, bar, met)."""

import os
import signal
import time

from bench.cluster import call
from bench.plot import write_svg
from bench.run import (BASELINE, extra_messages, outcome_share, ratio)

import json


def _checks(report):
    """The invariants that hold in any scenario."""
    bad = {f["check"]: f["count"] for f in report["findings"] if f["count"]}
    passed = report["passed"]
    return [("invariants, from the targets' records",
             "held" if passed else str(bad), "all held", passed)]


def _responses(report, bars=None, kind="all"):
    rows = []
    for point in ("p50", "p95", "p99"):
        value = ratio(report, point, kind)
        bar = (bars or {}).get(point)
        rows.append((f"response over ideal, {kind}, {point}", value,
                     f"<= {bar}" if bar else "",
                     value <= bar if bar else None))
    return rows


def _with_baseline(bench, *words, bars=None, **options):
    ours = bench.run("policy", *words, **options)
    base = bench.run("baseline", *words, entry=BASELINE, **options)
    halved = ratio(ours, "p95") <= ratio(base, "p95") / 2
    rows = _checks(ours) + _responses(ours, bars)
    rows += [(f"baseline (random, FIFO), {p}", ratio(base, p), "", None)
             for p in ("p50", "p95", "p99")]
    rows.append(("p95 over baseline's p95", ratio(ours, "p95") / ratio(base, "p95"),
                 "<= 0.5" if bars else "", halved if bars else None))
    wasted = extra_messages(ours) / max(1, ours["tasks"])
    rows.append(("extra messages for each task", wasted, "<= 0.02",
                 wasted <= 0.02))
    rows += _checks(base)
    return rows


def idle(bench):
    """One task at a time on an idle cluster."""
    report = bench.run("idle", "--jobs-per-s", 2, mix="single")
    over = report["overhead_ms"]["p50"]
    return _checks(report) + [("median over the run time, ms", over, "<= 1",
                               over <= 1)]


def steady50(bench):
    """Qamar's mix at 50% load, with the baseline beside it."""
    return _with_baseline(bench, load=0.5)


def steady70(bench):
    """Qamar's mix at 70% load, with the baseline beside it."""
    return _with_baseline(bench, load=0.7,
                          bars={"p50": 1.05, "p95": 1.3, "p99": 1.6})


def steady90(bench):
    """Qamar's mix at 90% load, with the baseline beside it."""
    return _with_baseline(bench, load=0.9)


def tabcraft70(bench):
    """Tabcraft's mix at 70% load, with the baseline beside it."""
    return _with_baseline(bench, mix="tabcraft", load=0.7)


def burst(bench):
    """50% load with three times as much for five seconds."""
    return _with_baseline(bench, "--burst", "3,20,25", load=0.5)


def stragglers(bench):
    """One task in fifty takes five times as long."""
    faults = {"straggler_probability": 0.02, "straggler_factor": 5}
    return _with_baseline(bench, load=0.7, target_faults=faults)


def failing_worker(bench):
    """One worker fails everything it starts from second 15 on."""
    seen = {}

    def fail(cluster):
        cluster.target_put("agent-2", "faults", '{"fails_everything":true}')
        seen["at"] = time.time() * 1e6

    def look(cluster):
        address = cluster.agents["agent-2"]["target_address"]
        lines = call("GET", f"http://{address}/v1/records", timeout=10)[1]
        starts = [json.loads(line) for line in lines.splitlines()]
        seen["late"] = sum(r["start_us"] > seen["at"] + 2e6 for r in starts)
        seen["failed"] = sum(r["state"] == "failed" for r in starts)

    report = bench.run("policy", load=0.7,
                       changes=[(15, fail), (bench.seconds - 1, look)])
    failed = outcome_share(report, "failed")
    idempotent = failed - outcome_share(report, "failed (non-idempotent)")
    return _checks(report) + _responses(report) + [
        ("idempotent jobs that failed, share", idempotent, "0", idempotent == 0),
        ("tasks that the worker failed", seen["failed"], "", None),
        ("starts there later than 2 s", seen["late"], "probes only", None),
        ("jobs that failed, share", failed, "< 0.01", failed < 0.01)]


def domain(bench):
    """Tabcraft at 60% load; one domain of three out for 30 s and back."""
    out_at, in_at = 20, 50
    report = bench.run(
        "policy", mix="tabcraft", load=0.6, seconds=80,
        changes=[(out_at, lambda c: c.set_domain("brasov", "out")),
                 (in_at, lambda c: c.set_domain("brasov", "in"))])
    work, allowed = report["work_per_second"], report["reference_per_second"]
    write_svg(os.path.join(bench.out, "domain.svg"),
              "Completed work while a failure domain is out", {
                  "completed": work, "what the slots allow": allowed},
              [(out_at, in_at)])
    parts = [w / a for w, a in zip(work, allowed) if a > 0]
    share = min(parts[out_at:in_at])
    full = min(part for part, a in zip(parts[out_at:in_at],
                                       allowed[out_at:in_at]) if a > 55.5)
    low = [s for s in range(out_at, in_at + 10) if parts[s] < 0.95]
    total = sum(work[out_at:in_at]) / sum(allowed[out_at:in_at])
    back = sum(work[in_at + 5:75]) / sum(allowed[in_at + 5:75])
    return _checks(report) + _responses(report) + [
        ("work over allowed, while out", total, "", None),
        ("work over allowed, worst second", share, ">= 0.95", share >= 0.95),
        ("the same, of seconds that need all slots left", full, "", None),
        ("seconds under 95%, out and 10 s after", len(low), "0", not low),
        ("work over allowed, from 5 s after return", back, ">= 0.95",
         back >= 0.95)]


def entry_killed(bench):
    """One entry of three is killed at 70% load; callers resubmit."""
    report = bench.run("policy", "--allow-cuts", load=0.7,
                       changes=[(15, lambda c: c.kill("entry-2"))])
    lost = outcome_share(report, "unanswered") + outcome_share(report, "no ")
    return _checks(report) + _responses(report) + [
        ("jobs complete, share", outcome_share(report, "complete"), "", None),
        ("jobs failed, share", outcome_share(report, "failed"), "", None),
        ("jobs without outcome, share", lost, "0", lost == 0)]


def agent_killed(bench):
    """One agent of ten is killed at 70% load and started 5 s later."""
    report = bench.run("policy", load=0.7, changes=[
        (15, lambda c: c.kill("agent-2")), (20, lambda c: c.start_agent("agent-2"))])
    return _checks(report) + _responses(report) + [
        ("jobs complete, share", outcome_share(report, "complete"), "", None),
        ("jobs failed, share", outcome_share(report, "failed"), "", None)]


def agent_paused(bench):
    """One agent is stopped for 5 s (SIGSTOP) and goes on."""
    report = bench.run("policy", load=0.7, changes=[
        (15, lambda c: c.signal("agent-2", signal.SIGSTOP)),
        (20, lambda c: c.signal("agent-2", signal.SIGCONT))])
    return _checks(report) + _responses(report) + [
        ("jobs complete, share", outcome_share(report, "complete"), "", None)]


def silent(bench):
    """All connections between agents and targets go silent, three times."""
    def silence(cluster):
        for agent in cluster.agents:
            cluster.target_put(agent, "silence")

    report = bench.run("policy", load=0.7, changes=[
        (15, silence), (20, silence), (25, silence)])
    return _checks(report) + _responses(report) + [
        ("jobs complete, share", outcome_share(report, "complete"), "", None),
        ("jobs failed, share", outcome_share(report, "failed"), "", None)]


def store_down(bench):
    """The platform is down from second 3 to the end."""
    up = bench.run("store-up", load=0.7)
    down = bench.run("store-down", load=0.7,
                     changes=[(3, lambda c: c.platform_faults(down=True))])
    p95 = ratio(down, "p95") / ratio(up, "p95")
    work = down["goodput_share"] / up["goodput_share"]
    return _checks(down) + _responses(down) + [
        ("p95 over that with the store up", p95, "<= 1.05", p95 <= 1.05),
        ("goodput over that with the store up", work, ">= 0.95", work >= 0.95)]


def resubmit_storm(bench):
    """Every job is sent twice, 20 ms apart, to two entries."""
    once = bench.run("once", load=0.7)
    twice = bench.run("twice", "--resubmit-all", load=0.7)
    extra = (extra_messages(twice) - extra_messages(once)) / twice["jobs"]
    return _checks(twice) + _responses(twice) + [
        ("messages for each resubmission", extra, "<= 3", extra <= 3)]


def cancel_wave(bench):
    """Half of the jobs are cancelled in waves, every 5 s, at 90% load."""
    report = bench.run("policy", "--cancel-share", 0.5, load=0.9)
    return _checks(report) + _responses(report)


def overload150(bench):
    """150% load."""
    report = bench.run("policy", load=1.5, warm_up=10)
    refusals = report["refusals_ms"]
    return _checks(report) + _responses(report) + [
        ("goodput, share of capacity", report["goodput_share"], ">= 0.9",
         report["goodput_share"] >= 0.9),
        ("refusals answered, ms, p99", refusals["p99"], "<= 50",
         refusals["p99"] <= 50),
        ("jobs refused, share", outcome_share(report, "not_run"), "", None)]


def leaving(bench):
    """A target, an agent and an entry leave gracefully and return."""
    report = bench.run("policy", load=0.7, changes=[
        (10, lambda c: c.leave_target("agent-1")),
        (18, lambda c: c.return_target("agent-1")),
        (22, lambda c: c.leave("agent-2")),
        (26, lambda c: c.start_agent("agent-2")),
        (32, lambda c: c.leave("entry-3")),
        (36, lambda c: c.start_entry("entry-3"))])
    return _checks(report) + _responses(report) + [
        ("jobs complete, share", outcome_share(report, "complete"), "1",
         outcome_share(report, "complete") == 1)]


def two_faults(bench):
    """A domain goes out while an entry is killed and the store is down."""
    def out(cluster):
        cluster.set_domain("ariana", "out", entry="entry-1")
        cluster.platform_faults(down=True)
        cluster.kill("entry-2")

    def back(cluster):
        cluster.platform_faults(down=False)
        cluster.set_domain("ariana", "in", entry="entry-1")

    report = bench.run("policy", "--allow-cuts", load=0.5, seconds=60,
                       changes=[(15, out), (35, back)])
    return _checks(report) + _responses(report) + [
        ("jobs complete, share", outcome_share(report, "complete"), "", None),
        ("jobs failed, share", outcome_share(report, "failed"), "", None)]


SCENARIOS = {
    function.__name__.replace("_", "-"): function
    for function in (idle, steady50, steady70, steady90, tabcraft70, burst,
                     stragglers, failing_worker, domain, entry_killed,
                     agent_killed, agent_paused, silent, store_down,
                     resubmit_storm, cancel_wave, overload150, leaving,
                     two_faults)
}
