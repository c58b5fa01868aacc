"""The demonstration that `scripts/demo` runs once everything is built."""

import json
import os
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "scripts"))

from bench.cluster import Cluster  # noqa: E402
from bench.run import outcome_share, ratio  # noqa: E402

SECONDS, OUT_AT, IN_AT, LOAD = 30, 8, 20, 0.5


def _work(report, begin, end):
    """Slots at work on average, and as many as an ideal schedule uses."""
    done, allowed = (sum(report[key][begin:end]) / (end - begin)
                     for key in ("work_per_second", "reference_per_second"))
    return f"{done:.1f} of {allowed:.1f}"


def _print_summary(report):
    counts = {f["check"]: f["count"] for f in report["findings"]}
    rows = [
        ("jobs", report["jobs"]),
        ("jobs complete", f"{outcome_share(report, 'complete'):.1%}"),
        ("tasks", report["tasks"]),
        ("response over ideal, p50", f"{ratio(report, 'p50'):.2f}"),
        ("response over ideal, p95", f"{ratio(report, 'p95'):.2f}"),
        ("slots at work of those possible, Brasov in", _work(report, 2, OUT_AT)),
        ("slots at work of those possible, Brasov out", _work(report, OUT_AT + 2, IN_AT)),
        ("slots at work of those possible, Brasov back", _work(report, IN_AT + 3, SECONDS)),
    ]
    rows += [(f"{name} (targets' records)", n) for name, n in counts.items()]
    for name, value in rows:
        print(f"{name:60}{value:>14}")


def main():
    with tempfile.TemporaryDirectory(prefix="gooseberry-demo-") as out:
        report_file = os.path.join(out, "report.json")
        operator_file = os.path.join(ROOT, "examples/tabcraft.ini")
        with Cluster(ROOT, out, "tabcraft",
                     operator_file=operator_file) as cluster:
            print(f"3 entries and 10 agents run; {SECONDS} s of jobs at "
                  f"{LOAD:.0%} load; Brasov is out from second {OUT_AT} to "
                  f"{IN_AT}", flush=True)
            load = cluster.start_load(
                report_file, "--mix", "tabcraft", "--load", LOAD,
                "--seconds", SECONDS, "--run", "demo")
            _change_domain(cluster)
            text, _ = load.communicate(timeout=SECONDS + 120)
        if not os.path.exists(report_file):
            print(text)
            return 1
        with open(report_file) as file:
            report = json.load(file)
    _print_summary(report)
    whole = outcome_share(report, "complete") == 1
    if not whole:
        print(json.dumps(report["outcomes"], indent=1))
    print("PASSED" if whole and report["passed"] else "FAILED")
    return 0 if whole and report["passed"] else 1


def _change_domain(cluster):
    time.sleep(OUT_AT)
    cluster.set_domain("brasov", "out")
    time.sleep(IN_AT - OUT_AT)
    cluster.set_domain("brasov", "in")


if __name__ == "__main__":
    sys.exit(main())
