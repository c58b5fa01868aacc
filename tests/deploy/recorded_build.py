"""Runs the build of the deploy file on a copy of the checkout and records what
it opens, runs and connects to."""

import dataclasses
import os
import pathlib
import re
import shutil
import subprocess
import tempfile

# User and group `nobody`: the build needs no root.
NOBODY = 65534
BUILD_ENVIRONMENT = {
    "PATH": "/usr/sbin:/usr/bin:/sbin:/bin",
    "LC_ALL": "C",
    "TZ": "UTC0",
}
SYSTEM_CALLS = "open,openat,openat2,execve,execveat,connect"

_OPENED = re.compile(
    r'^open(?:at2?)?\(.*?"(?P<name>(?:[^"\\]|\\.)*)".* = \d+<(?P<path>[^>]*)>$')
_RUN = re.compile(r'^execve(?:at)?\(.*?"(?P<name>(?:[^"\\]|\\.)*)"')
_CONNECTED = re.compile(r"^connect\(.*sa_family=AF_INET6?\b")


@dataclasses.dataclass
class RecordedBuild:
    """What one build did. Paths are absolute; those of the copy are relative to
    it and stand in `sources`."""

    succeeded: bool
    output: str
    # Each file opened or run, as named and as resolved.
    system_files: set[tuple[str, str]]
    # Relative path to text, of the files of the copy that were opened.
    sources: dict[str, str]
    # Files outside target/ that the build wrote.
    stray_files: list[str]
    network_calls: list[str]
    # Variables of the CMake cache.
    cmake_cache: dict[str, str]


def _copy_checkout(checkout, copy):
    """Copies what git tracks or would track, without the tests."""
    names = subprocess.run(
        ["git", "ls-files", "-coz", "--exclude-standard", "--", ".",
         ":!tests", ":!journal"],
        cwd=checkout, check=True, capture_output=True, text=True).stdout
    for name in filter(None, names.split("\0")):
        source = pathlib.Path(checkout, name)
        if source.is_file():
            target = pathlib.Path(copy, name)
            target.parent.mkdir(parents=True, exist_ok=True)
            shutil.copy(source, target)


def _files(folder):
    return {str(path.relative_to(folder))
            for path in pathlib.Path(folder).rglob("*") if path.is_file()}


def _read_calls(traces):
    """Yields (name, resolved path) of files and (None, line) of connections."""
    for trace in traces:
        with open(trace, encoding="utf-8", errors="surrogateescape") as lines:
            for line in lines:
                line = line.rstrip("\n")
                if opened := _OPENED.match(line):
                    yield opened["name"], opened["path"]
                elif run := _RUN.match(line):
                    yield run["name"], os.path.realpath(run["name"])
                elif _CONNECTED.match(line):
                    yield None, line


def _read_cmake_cache(build_folder):
    entries = {}
    cache = pathlib.Path(build_folder, "CMakeCache.txt")
    if cache.exists():
        for line in cache.read_text().splitlines():
            if match := re.match(r"(\w+):\w+=(.*)", line):
                entries[match[1]] = match[2]
    return entries


def _read_sources(copy, names):
    texts = {}
    for name in names:
        path = pathlib.Path(copy, name)
        if path.is_file() and not name.startswith("target/"):
            texts[name] = path.read_text(errors="replace")
    return texts


def _run(command, copy, traces, scratch):
    tracer = ["strace", "-ff", "-z", "-y", "-qq", "--seccomp-bpf", "-s", "4096",
              "-e", f"trace={SYSTEM_CALLS}", "-e", "signal=none",
              "-o", f"{traces}/call"]
    as_nobody = {}
    if os.geteuid() == 0:
        as_nobody = {"user": NOBODY, "group": NOBODY, "extra_groups": []}
    return subprocess.run(
        [*tracer, "/bin/sh", "-c", command], cwd=copy, text=True,
        env={**BUILD_ENVIRONMENT, "HOME": scratch, "TMPDIR": scratch}, stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE, stderr=subprocess.STDOUT, **as_nobody)


def record_build(checkout, command):
    """Builds a copy of `checkout` with the shell command `command`."""
    with tempfile.TemporaryDirectory(prefix="gooseberry-build-") as work:
        copy, traces, scratch = (f"{work}/{name}" for name in
                                 ("copy", "traces", "scratch"))
        for folder in (copy, traces, scratch):
            os.mkdir(folder)
        _copy_checkout(checkout, copy)
        if os.geteuid() == 0:
            subprocess.run(["chown", "-R", f"{NOBODY}:{NOBODY}", work], check=True)
        before = _files(copy)
        done = _run(command, copy, traces, scratch)

        system_files, opened_sources, network_calls = set(), set(), []
        for name, path in _read_calls(pathlib.Path(traces).iterdir()):
            if name is None:
                network_calls.append(path)
            elif path.startswith(f"{copy}/"):
                opened_sources.add(os.path.relpath(path, copy))
            elif not path.startswith(f"{work}/") and not os.path.isdir(path):
                named = os.path.normpath(name) if os.path.isabs(name) else path
                system_files.add((named, path))
        return RecordedBuild(
            succeeded=done.returncode == 0, output=done.stdout,
            system_files=system_files,
            sources=_read_sources(copy, opened_sources),
            stray_files=sorted(name for name in _files(copy) - before
                               if not name.startswith("target/")),
            network_calls=network_calls,
            cmake_cache=_read_cmake_cache(f"{copy}/target"))
