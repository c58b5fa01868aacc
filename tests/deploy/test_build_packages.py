"""Tests of the rules that compare a build with the packages of the deploy file."""

import unittest

from check_build_packages import (BuildUse, lacks_without_each, named_files,
                                  problems_with, unowned)
from debian_packages import InstalledPackages, Package
from recorded_build import RecordedBuild

TOOLS = {
    "CMAKE_CXX_COMPILER": {"g++"},
    "CMAKE_COMMAND": {"cmake"},
    "CMAKE_MAKE_PROGRAM": {"make"},
    "PKG_CONFIG_EXECUTABLE": {"pkgconf"},
}
LISTED = ["g++", "cmake", "make", "pkgconf", "libthrift-dev", "libboost-dev"]


class FakePackages(InstalledPackages):
    """A package database without a machine."""

    def __init__(self):
        depends = {
            "dash": [],
            "g++": [["libstdc++-12-dev"]],
            "libstdc++-12-dev": [],
            "cmake": [],
            "make": [],
            "pkgconf": [],
            "libthrift-dev": [["pkgconf", "pkg-config"]],
            "libboost-dev": [["libboost1.74-dev"]],
            "libboost1.74-dev": [],
            "libulfius-dev": [["libjansson-dev"], ["libcurl-dev"]],
            "libjansson-dev": [],
            "libcurl4-gnutls-dev": [],
            "libcurl4-openssl-dev": [],
        }
        self._packages = {name: Package(name, name == "dash", needs)
                          for name, needs in depends.items()}
        self._providers = {"libcurl-dev": {"libcurl4-gnutls-dev",
                                           "libcurl4-openssl-dev"}}


def use_of(files, named=()):
    return BuildUse(files=files, named={path: files[path] for path in named},
                    tools=TOOLS)


class PackageRules(unittest.TestCase):
    def setUp(self):
        self.installed = FakePackages()
        self.use = use_of({
            "/usr/bin/dash": {"dash"},
            "/usr/include/c++/12/vector": {"libstdc++-12-dev"},
            "/usr/include/thrift/Thrift.h": {"libthrift-dev"},
            "/usr/include/boost/version.hpp": {"libboost1.74-dev"},
        }, named=["/usr/include/c++/12/vector", "/usr/include/thrift/Thrift.h"])

    def test_a_whole_list_has_no_problem(self):
        self.assertEqual(problems_with(LISTED, self.use, self.installed), [])

    def test_each_package_taken_out_is_a_problem(self):
        lacks = lacks_without_each(LISTED, self.use, self.installed)
        self.assertEqual([p for p, count in lacks.items() if count == 0], [])

    def test_a_listed_package_that_nothing_needs_is_found(self):
        lacks = lacks_without_each([*LISTED, "libjansson-dev"], self.use,
                                   self.installed)
        self.assertEqual(lacks["libjansson-dev"], 0)

    def test_a_header_that_another_header_opens_needs_its_package(self):
        without = [p for p in LISTED if p != "libboost-dev"]
        [problem] = problems_with(without, self.use, self.installed)
        self.assertIn("libboost1.74-dev", problem)

    def test_a_dependency_that_the_project_names_must_be_listed(self):
        path = "/usr/include/jansson.h"
        opened = {**self.use.files, path: {"libjansson-dev"}}
        listed = [*LISTED, "libulfius-dev"]
        self.assertEqual(problems_with(listed, use_of(opened), self.installed), [])
        [problem] = problems_with(listed, use_of(opened, [path]), self.installed)
        self.assertIn("names", problem)

    def test_a_virtual_package_with_two_providers_brings_none(self):
        closure = self.installed.closure(["libulfius-dev"])
        self.assertEqual(closure, {"libulfius-dev", "libjansson-dev"})


class NamedFiles(unittest.TestCase):
    def test_includes_and_modules_are_found_among_the_opened_paths(self):
        sources = {
            "src/a.cpp": "#include <curl/curl.h>\n#include \"own.h\"\n",
            "src/CMakeLists.txt":
                "pkg_check_modules(INIH REQUIRED IMPORTED_TARGET inih)",
        }
        opened = ["/usr/include/x86_64-linux-gnu/curl/curl.h",
                  "/usr/include/other/nested/curl/curl.h/deeper.h",
                  "/usr/lib/x86_64-linux-gnu/pkgconfig/inih.pc",
                  "/usr/include/own.h"]
        self.assertEqual(named_files(sources, opened), {opened[0], opened[2]})


class UnownedFiles(unittest.TestCase):
    def test_a_file_that_no_package_holds_is_found(self):
        recorded = RecordedBuild(
            succeeded=True, output="", sources={}, stray_files=[],
            network_calls=[], cmake_cache={},
            system_files={("/usr/local/include/a.h", "/usr/local/include/a.h"),
                          ("/usr/bin/c++", "/usr/bin/g++-12"),
                          ("/proc/self/maps", "/proc/self/maps")})
        holders = {"/usr/bin/g++-12": {"g++-12"}}
        self.assertEqual(unowned(recorded, holders), ["/usr/local/include/a.h"])


if __name__ == "__main__":
    unittest.main()
