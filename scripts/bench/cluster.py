"""A cluster of real processes on loopback."""

import ctypes
import json
import os
import signal
import subprocess
import time
import urllib.error
import urllib.request

from bench.ports import PortBlock

PR_SET_PDEATHSIG = 1
READY_SECONDS = 30
STOP_SECONDS = 15

USERS = {
    "tabcraft": {
        "domains": ["cluj", "brasov", "iasi"],
        "service": "tab-order",
        "targets": "tab",
        "teams": ["wholesale", "print-shop", "notary"],
    },
    "qamar": {
        "domains": ["lac", "ariana", "marsa"],
        "service": "almanac",
        "targets": "almanac",
        "teams": ["counter", "calendar"],
    },
}


def _die_with_parent():
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def call(method, url, body=None, timeout=2.0):
    """Makes one HTTP call; gives (status, text), or (0, reason)."""
    data = body.encode() if body is not None else None
    request = urllib.request.Request(url, data=data, method=method)
    request.add_header("Content-Type", "application/json")
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, answer.read().decode()
    except urllib.error.HTTPError as refusal:
        return refusal.code, refusal.read().decode()
    except OSError as failure:
        return 0, str(failure)


def ini(sections):
    """Text of an INI file from {section: {key: value}}."""
    lines = []
    for section, keys in sections.items():
        lines.append(f"[{section}]")
        lines += [f"{key} = {value}" for key, value in keys.items()]
        lines.append("")
    return "\n".join(lines)


class Cluster:
    """Platform, targets, agents and entries; a context manager.

    `entry` and `agent` are {section: {key: value}} added to the settings.
    """

    def __init__(self, root, out, user="tabcraft", entries=3, agents=10,
                 slots=8, entry=None, agent=None, target_faults=None,
                 operator_file=None):
        self.root, self.out, self.user = root, out, USERS[user]
        self.name = user
        self.bin = os.path.join(root, "build/release")
        self.slots, self.extra = slots, {"entry": entry, "agent": agent}
        self.target_faults = target_faults
        self.operator_file = operator_file
        self.processes, self.commands = {}, {}
        self.timeline = os.path.join(out, "timeline.jsonl")
        self.ports = PortBlock()
        self.platform = self.ports.address()
        domains = self.user["domains"]
        self.agents = {}
        self.entries = {}
        for i in range(agents):
            self.agents[f"agent-{i + 1}"] = {
                "http": self.ports.address(), "peer": self.ports.address(),
                "domain": domains[i % len(domains)],
                "rack": f"{domains[i % len(domains)]}-rack-{i // 9 + 1}",
                "target": f"{self.user['targets']}-{i + 1}",
                "target_address": self.ports.address()}
        for i in range(entries):
            self.entries[f"entry-{i + 1}"] = {
                "http": self.ports.address(), "peer": self.ports.address(),
                "domain": domains[i % len(domains)]}

    # Life of the cluster.

    def __enter__(self):
        os.makedirs(self.out, exist_ok=True)
        open(self.timeline, "w").close()
        signal.signal(signal.SIGTERM, lambda *_: (_ for _ in ()).throw(
            SystemExit(143)))
        try:
            self._start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_):
        self.stop()

    def _start(self):
        self.spawn("platform", [f"{self.bin}/tools/platform/platform-standin",
                                "--listen", self.platform])
        self._start_targets()
        for name in self.agents:
            self.start_agent(name)
        for name in self.entries:
            self.start_entry(name)
        self.wait_ready()
        self.apply_initial()
        self._wait_targets()

    def _start_targets(self):
        words = [f"{self.bin}/tools/target/target-standin"]
        for agent in self.agents.values():
            words += ["--target", ",".join([
                agent["target"], agent["target_address"], agent["http"],
                str(self.slots), agent["domain"]])]
        words += ["--services", self.user["service"]]
        if self.target_faults:
            words += ["--faults", json.dumps(self.target_faults)]
        self.spawn("targets", words)

    def start_agent(self, name):
        agent = self.agents[name]
        self._start_daemon("agent", name, {
            "name": name, "peer_address": agent["peer"],
            "http_address": agent["http"], "failure_domain": agent["domain"],
            "rack": agent["rack"]})

    def start_entry(self, name):
        entry = self.entries[name]
        self._start_daemon("entry", name, {
            "name": name, "http_address": entry["http"],
            "peer_address": entry["peer"], "failure_domain": entry["domain"]})

    def _start_daemon(self, role, name, own):
        sections = {role: own, "platform": {"address": self.platform},
                    "log": {"level": "info", "file": "-", "decisions": "off"}}
        for section, keys in (self.extra[role] or {}).items():
            sections.setdefault(section, {}).update(keys)
        path = os.path.join(self.out, f"{name}.ini")
        with open(path, "w") as file:
            file.write(ini(sections))
        self.spawn(name, [f"{self.bin}/src/{role}/gooseberry-{role}",
                          "--settings", path])

    def spawn(self, name, words):
        log = open(os.path.join(self.out, f"{name}.log"), "a")
        self.processes[name] = subprocess.Popen(
            words, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
            preexec_fn=_die_with_parent)
        log.close()

    def wait_ready(self, names=None):
        members = {**self.agents, **self.entries}
        until = time.monotonic() + READY_SECONDS
        for name in names or members:
            while call("GET", f"http://{members[name]['http']}/readyz")[0] != 200:
                if self.processes[name].poll() is not None:
                    raise RuntimeError(f"{name} ended, see {self.out}/{name}.log")
                if time.monotonic() > until:
                    raise RuntimeError(f"{name} is not ready")
                time.sleep(0.05)

    def _wait_targets(self):
        until = time.monotonic() + READY_SECONDS
        for agent in self.agents.values():
            url = f"http://{agent['http']}/v1/targets/{agent['target']}"
            while call("GET", url)[0] != 200:
                if time.monotonic() > until:
                    raise RuntimeError(f"{agent['target']} did not announce itself")
                time.sleep(0.05)
        # Announces carry the targets to the entries.
        time.sleep(1.0)

    def stop(self):
        """Ends everything, entries first; kills what does not leave."""
        groups = [self.entries, self.agents, ["targets"], ["platform"]]
        for group in groups:
            members = [self.processes[n] for n in group if n in self.processes]
            for process in members:
                if process.poll() is None:
                    process.send_signal(signal.SIGCONT)
                    process.terminate()
            until = time.monotonic() + STOP_SECONDS
            for process in members:
                try:
                    process.wait(max(0.1, until - time.monotonic()))
                except subprocess.TimeoutExpired:
                    process.kill()
                    process.wait()
        self.processes.clear()

    # Operators.

    def configuration(self, out=()):
        if self.operator_file:
            with open(self.operator_file) as file:
                text = file.read()
            for domain in out:
                section = text.index(f"[failure_domain {domain}]")
                state = text.index("state = in", section)
                text = text[:state] + "state = out" + text[state + 10:]
            return text
        sections = {"state": {"format": 1, "name": self.name}}
        for domain in self.user["domains"]:
            state = "out" if domain in out else "in"
            sections[f"failure_domain {domain}"] = {
                "region": "one", "state": state}
        sections[f"service {self.user['service']}"] = {
            "targets": self.user["targets"] + "-*", "max_tries": 3,
            "max_task_ms": 30000}
        for team in self.user["teams"]:
            sections[f"team {team}"] = {"quota_slots": 0}
        return ini(sections)

    def ctl(self, *words, entry=None):
        entry = entry or next(iter(self.entries))
        done = subprocess.run(
            [f"{self.bin}/src/ctl/gooseberryctl", "--entry",
             self.entries[entry]["http"], *words],
            capture_output=True, text=True, timeout=60)
        if done.returncode != 0:
            raise RuntimeError(f"gooseberryctl {' '.join(words)}: "
                               f"{done.stdout}{done.stderr}")
        return done.stdout

    def apply_initial(self):
        path = os.path.join(self.out, "operator.ini")
        with open(path, "w") as file:
            file.write(self.configuration())
        self.ctl("apply", path)

    def note(self, **change):
        with open(self.timeline, "a") as file:
            file.write(json.dumps(change) + "\n")

    def set_domain(self, domain, state, entry=None):
        # The change is accepted between this moment and the command's end.
        at = int(time.time() * 1e6)
        self.ctl(state, domain, entry=entry)
        self.note(at_us=at, domain=domain, state=state)

    # Faults.

    def signal(self, name, number):
        self.processes[name].send_signal(number)

    def kill(self, name):
        self.processes[name].kill()
        self.processes[name].wait()

    def leave(self, name):
        """SIGTERM; gives the exit status once the process has left."""
        self.processes[name].terminate()
        return self.processes[name].wait(60)

    def target_put(self, agent, path, body=""):
        address = self.agents[agent]["target_address"]
        status, text = call("PUT", f"http://{address}/v1/{path}", body)
        if status != 200:
            raise RuntimeError(f"PUT {path} at {address}: {status} {text}")

    def leave_target(self, agent):
        at = int(time.time() * 1e6)
        self.target_put(agent, "leave")
        self.note(at_us=at, target=self.agents[agent]["target"], state="leaving")

    def return_target(self, agent):
        self.target_put(agent, "return")
        self.note(at_us=int(time.time() * 1e6),
                  target=self.agents[agent]["target"], state="back")

    def platform_faults(self, **faults):
        status, text = call("PUT", f"http://{self.platform}/v1/faults",
                            json.dumps(faults))
        if status not in (200, 204):
            raise RuntimeError(f"platform faults: {status} {text}")

    # Load.

    def record_urls(self):
        return [f"http://{agent['target_address']}/v1/records"
                for agent in self.agents.values()]

    def total_slots(self):
        return self.slots * len(self.agents)

    def domain_slots(self):
        slots = {}
        for agent in self.agents.values():
            slots[agent["domain"]] = slots.get(agent["domain"], 0) + self.slots
        return slots

    def load_command(self, report, *words):
        command = [f"{self.bin}/tools/load/gooseberry-load",
                   "--slots", str(self.total_slots()), "--json", report,
                   "--timeline", self.timeline, "--domain-slots",
                   ",".join(f"{d}={n}" for d, n in self.domain_slots().items())]
        for entry in self.entries.values():
            command += ["--entry", entry["http"],
                        "--metrics", f"http://{entry['http']}/metrics"]
        for agent in self.agents.values():
            command += ["--metrics", f"http://{agent['http']}/metrics"]
        for url in self.record_urls():
            command += ["--records", url]
        return command + [str(word) for word in words]

    def start_load(self, report, *words):
        return subprocess.Popen(self.load_command(report, *words),
                                stdout=subprocess.PIPE, text=True,
                                preexec_fn=_die_with_parent)
