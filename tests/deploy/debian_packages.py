"""What the installed Debian packages hold and depend on."""

import collections
import dataclasses
import os
import re
import subprocess

# Written when a package is set up, so that no package lists them.
GENERATED_FILES = {
    "/etc/ld.so.cache": "libc-bin",
    "/etc/passwd": "base-passwd",
    "/etc/group": "base-passwd",
    "/etc/nsswitch.conf": "base-files",
    "/usr/lib/locale/locale-archive": "libc-bin",
    "/usr/lib/x86_64-linux-gnu/gconv/gconv-modules.cache": "libc-bin",
}
PATHS_IN_ONE_QUERY = 500


@dataclasses.dataclass
class Package:
    name: str
    essential: bool
    # Each entry is a list of alternatives; recommended packages are left out.
    depends: list[list[str]]


def _names(relation):
    """The package names of one relation field: `a (>= 1) | b, c`."""
    return [[re.sub(r"[\s(:].*", "", alternative.strip())
             for alternative in entry.split("|")]
            for entry in relation.split(",") if entry.strip()]


class InstalledPackages:
    """The package database of this machine, read once."""

    def __init__(self):
        self._packages: dict[str, Package] = {}
        self._providers = collections.defaultdict(set)
        text = subprocess.run(
            ["dpkg-query", "-W", "-f", "${db:Status-Status}\t${Package}\t"
             "${Essential}\t${Pre-Depends}\t${Depends}\t${Provides}\n"],
            check=True, capture_output=True, text=True).stdout
        for line in text.splitlines():
            status, name, essential, before, depends, provides = line.split("\t")
            if status != "installed":
                continue
            self._packages[name] = Package(name, essential == "yes",
                                           _names(before) + _names(depends))
            for [provided] in _names(provides):
                self._providers[provided].add(name)

    def missing(self, names):
        """Those of `names` that are not installed here."""
        return [name for name in names if name not in self._packages]

    def essential(self):
        """What each Debian machine holds."""
        return {p.name for p in self._packages.values() if p.essential}

    def _resolve(self, alternatives):
        for name in alternatives:
            if name in self._packages:
                return [name]
        # Of a virtual package's providers a clean machine may get another one
        # than this machine has, unless there is only one.
        for name in alternatives:
            if len(self._providers[name]) == 1:
                return list(self._providers[name])
        return []

    def closure(self, names):
        """`names` and all that they depend on, as far as it is installed."""
        found, waiting = set(), list(names)
        while waiting:
            name = waiting.pop()
            if name in found or name not in self._packages:
                continue
            found.add(name)
            for alternatives in self._packages[name].depends:
                waiting.extend(self._resolve(alternatives))
        return found


def _path_variants(path):
    """A path with and without /usr: /lib is a link to /usr/lib."""
    if path.startswith("/usr/"):
        return [path, path[len("/usr"):]]
    return [path, f"/usr{path}"]


def _query_owners(paths):
    text = subprocess.run(["dpkg", "-S", "--", *paths], capture_output=True,
                          text=True, check=False).stdout
    for line in text.splitlines():
        packages, found, path = line.partition(": ")
        if found and not packages.startswith("diversion by"):
            yield path, {p.partition(":")[0] for p in packages.split(", ")}


def owners(paths):
    """Maps each path that a package holds to the names of its packages."""
    variants = [v for path in paths for v in _path_variants(path)]
    known = collections.defaultdict(set)
    for first in range(0, len(variants), PATHS_IN_ONE_QUERY):
        for path, names in _query_owners(
                variants[first:first + PATHS_IN_ONE_QUERY]):
            known[path] |= names
    result = {}
    for path in paths:
        names = set().union(*(known.get(v, set()) for v in _path_variants(path)))
        if path in GENERATED_FILES:
            names.add(GENERATED_FILES[path])
        if names:
            result[path] = names
    return result


def is_kernel_file(path):
    """Whether a path is made by the kernel and held by no package."""
    return path.startswith(("/proc/", "/dev/", "/sys/")) or not os.path.isabs(path)


def command_owner(program):
    """The packages of a program: of the first link to it that a package holds,
    as /usr/bin/c++ is a choice of the machine's and /usr/bin/g++ is held."""
    while True:
        if found := owners([program]):
            return found[program]
        if not os.path.islink(program):
            return set()
        program = os.path.normpath(
            os.path.join(os.path.dirname(program), os.readlink(program)))
