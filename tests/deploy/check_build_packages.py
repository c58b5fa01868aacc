#!/usr/bin/env python3
"""Checks that deploy/system.toml lists the packages that its build uses.

The build runs on a copy of the checkout, without tests, network or root. Of all
that it opens, a clean machine must hold the packages; of what the project's own
files name, the deploy file must list the packages themselves, as dependencies of
others may change.

usage: tests/deploy/check_build_packages.py [--list] [CHECKOUT]
"""

import argparse
import collections
import dataclasses
import pathlib
import re
import sys
import tomllib

from debian_packages import (InstalledPackages, command_owner, is_kernel_file,
                             owners)
from recorded_build import record_build

COMPILER = "CMAKE_CXX_COMPILER"
# The programs that the project's build files ask for, by CMake variable.
TOOLS = (COMPILER, "CMAKE_COMMAND", "CMAKE_MAKE_PROGRAM", "PKG_CONFIG_EXECUTABLE")

# The linker loads each plug-in that it finds here, needed or not.
LINKER_PLUGINS = "/usr/lib/bfd-plugins/"
# The linker reads each list of library folders that it finds here; what it
# opens in such a folder is checked by itself.
LIBRARY_FOLDERS = "/etc/ld.so.conf.d/"

_SHARED_LIBRARY = re.compile(r"\.so[.\d]*$")
_INCLUDE = re.compile(r"^\s*#\s*include\s*<([^>]+)>", re.MULTILINE)
_PKG_CONFIG = re.compile(
    r"pkg_check_modules\(\w+\s+REQUIRED\s+IMPORTED_TARGET\s+([^)\s]+)\)")
_FIND_PACKAGE = re.compile(r"find_package\((\w+)")


@dataclasses.dataclass
class BuildUse:
    """What a build uses. Each path is mapped to the packages that hold it."""

    files: dict[str, set[str]]
    # Headers and modules that the project's own files name.
    named: dict[str, set[str]]
    # The programs of TOOLS, by variable.
    tools: dict[str, set[str]]


def named_suffixes(sources):
    """The endings of the system files that the project's own files name."""
    suffixes = set()
    for name, text in sources.items():
        if name.endswith((".h", ".cpp")):
            suffixes |= {f"/{header}" for header in _INCLUDE.findall(text)}
        elif name.endswith(("CMakeLists.txt", ".cmake")):
            suffixes |= {f"/{m}.pc" for m in _PKG_CONFIG.findall(text)}
            for package in _FIND_PACKAGE.findall(text):
                suffixes |= {f"/{package}Config.cmake",
                             f"/{package.lower()}-config.cmake"}
    return suffixes


def named_files(sources, paths):
    """Of the `paths` opened, those that the project's own files name: for each
    ending the shortest, as libraries nest headers of the same name deeper."""
    by_suffix = collections.defaultdict(list)
    suffixes = named_suffixes(sources)
    for path in paths:
        parts = path.split("/")
        for first in range(1, len(parts)):
            suffix = "/" + "/".join(parts[first:])
            if suffix in suffixes:
                by_suffix[suffix].append(path)
    return {min(found, key=lambda path: (len(path), path))
            for found in by_suffix.values()}


def unowned(recorded, holders):
    """System files that no package holds, under neither of their names."""
    return sorted({path for named, path in recorded.system_files
                   if path not in holders and named not in holders
                   and not is_kernel_file(path)
                   and not path.startswith(LIBRARY_FOLDERS)})


def optional_files(holders, installed):
    """Files that are opened only because this machine holds more: the linker's
    plug-ins, with the shared libraries that they load, and lists of folders."""
    plugins = {package for path, packages in holders.items()
               if path.startswith(LINKER_PLUGINS) for package in packages}
    loaded = installed.closure(plugins)
    return {path for path, packages in holders.items()
            if path.startswith(LIBRARY_FOLDERS)
            or (packages & loaded and _SHARED_LIBRARY.search(path))}


def build_use(recorded, holders, installed):
    optional = optional_files(holders, installed)
    files = {path: packages for path, packages in holders.items()
             if path not in optional}
    return BuildUse(
        files=files,
        named={path: files[path] for path in named_files(recorded.sources, files)},
        tools={tool: command_owner(recorded.cmake_cache[tool]) for tool in TOOLS})


def problems_with(listed, use, installed):
    """What is wrong with the list of packages `listed`, a line each."""
    base = installed.closure(installed.essential())
    present = base | installed.closure(listed)
    # The standard library comes with the compiler.
    direct = base | set(listed) | installed.closure(use.tools[COMPILER])
    problems = []
    for path, packages in sorted(use.files.items()):
        if not packages & present:
            problems.append(f"{path}: of {', '.join(sorted(packages))}, which is "
                            "neither listed nor a dependency of a listed package")
    for path, packages in sorted(use.named.items()):
        if not packages & direct:
            problems.append(f"{path}: of {', '.join(sorted(packages))}, which the "
                            "project names and the deploy file doesn't list")
    for tool, packages in use.tools.items():
        if not packages & set(listed):
            problems.append(f"{tool}: of {', '.join(sorted(packages))}, which the "
                            "deploy file doesn't list")
    return problems


def lacks_without_each(listed, use, installed):
    """For each listed package, how many problems there are once it is taken out
    of the list; 0 for one that the build doesn't need."""
    return {package: len(problems_with([p for p in listed if p != package], use,
                                       installed))
            for package in listed}


def print_list(use):
    rows = sorted((",".join(sorted(packages)), path)
                  for path, packages in use.files.items())
    for packages, path in rows:
        print(packages, path, "named" if path in use.named else "", sep="\t")


def check(checkout, list_files):
    deploy = tomllib.loads(pathlib.Path(checkout, "deploy/system.toml").read_text())
    listed = deploy["packages"]
    recorded = record_build(checkout, deploy["build"])
    if not recorded.succeeded:
        print(recorded.output[-4000:])
        return ["the build failed"]
    installed = InstalledPackages()
    holders = owners({p for pair in recorded.system_files for p in pair})
    use = build_use(recorded, holders, installed)
    if list_files:
        print_list(use)
    problems = [f"{package}: listed, but not installed here"
                for package in installed.missing(listed)]
    problems += [f"{path}: no package holds it" for path in unowned(recorded, holders)]
    problems += [f"the build wrote {path}" for path in recorded.stray_files]
    problems += [f"the build went to the network: {call}"
                 for call in recorded.network_calls]
    problems += problems_with(listed, use, installed)
    for package, lacks in lacks_without_each(listed, use, installed).items():
        print(f"taken_out={package} problems={lacks}")
        if lacks == 0:
            problems.append(f"{package}: listed, but the build needs nothing of it")
    counts = collections.Counter(
        ",".join(sorted(packages)) for packages in use.files.values())
    print(f"files={len(use.files)} packages={len(counts)} listed={len(listed)} "
          f"problems={len(problems)}")
    return problems


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--list", action="store_true",
                        help="print each file that the build opens, with its package")
    parser.add_argument("checkout", nargs="?",
                        default=pathlib.Path(__file__).parents[2])
    arguments = parser.parse_args()
    problems = check(arguments.checkout, arguments.list)
    for problem in problems:
        print(problem, file=sys.stderr)
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
