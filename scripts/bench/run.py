"""One load on one cluster, with changes made while it runs."""

import json
import os
import sys
import time

from bench.cluster import Cluster

POLICY = {}
BASELINE = {"policy": {"placement": "random", "order": "fifo"}}


class Bench:
    """What all scenarios of one call share."""

    def __init__(self, root, out, seconds, seed):
        self.root, self.out = root, out
        self.seconds, self.seed = seconds, seed
        self.runs = {}

    def run(self, name, *words, mix="qamar", load=0.7, seconds=None,
            changes=(), entry=None, warm_up=5, **cluster_options):
        """Runs the load `words`; `changes` are (second, function(cluster)).

        Gives the load tool's report as a dict.
        """
        seconds = seconds or self.seconds
        out = os.path.join(self.out, name)
        report = os.path.join(out, "report.json")
        user = "tabcraft" if mix == "tabcraft" else "qamar"
        options = ["--mix", mix, "--load", load, "--seconds", seconds,
                   "--seed", self.seed, "--run", f"s{self.seed}",
                   "--warm-up", warm_up, *words]
        with Cluster(self.root, out, user, entry=entry,
                     **cluster_options) as cluster:
            process = cluster.start_load(report, *options)
            start = time.monotonic()
            for second, change in sorted(changes, key=lambda c: c[0]):
                time.sleep(max(0.0, start + second - time.monotonic()))
                if process.poll() is None:
                    change(cluster)
            text, _ = process.communicate(timeout=seconds + 120)
        with open(os.path.join(out, "report.txt"), "w") as file:
            file.write(text)
        print(f"== {name}\n{text}", flush=True)
        with open(report) as file:
            result = json.load(file)
        result["exit"] = process.returncode
        self.runs[name] = result
        return result


def ratio(report, point, kind="all"):
    """A percentile of response over ideal; infinite where no job ended."""
    summary = report["responses"].get(kind)
    return summary["over_ideal"][point] if summary else float("inf")


def outcome_share(report, prefix):
    """Share of the jobs whose outcome starts so."""
    count = sum(n for text, n in report["outcomes"].items()
                if text.startswith(prefix))
    return count / max(1, report["jobs"])


def extra_messages(report):
    """Messages beyond one start and one finish for each task."""
    wanted = ("repeat", "refused", "locate", "fence", "cancel", "deliver")
    return sum(report["messages"].get(kind, 0) for kind in wanted)


def print_table(rows, out=sys.stdout):
    """Rows of (name, value, bar, met)."""
    print(f"{'measure':44}{'value':>12}  {'bar':16}", file=out)
    for name, value, bar, met in rows:
        text = f"{value:.3f}" if isinstance(value, float) else str(value)
        mark = "" if met is None else ("met" if met else "MISSED")
        print(f"{name:44}{text:>12}  {bar:16}{mark}", file=out)
