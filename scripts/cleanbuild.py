#!/usr/bin/env python3
"""Checks that the packages declared in deploy/system.toml are enough to build and run the program.

cleanbuild.py [--work DIR] [-v]

The script builds HEAD in a scratch folder with the build command of the deploy file. It then looks up (dpkg) the
package of each system file that the build used: the tools, the headers that the compiler read, the module files
of cmake and pkg-config, the libraries that the linker opened and those that the program loads. Each package must
be reachable from the declared packages through Depends and Pre-Depends alone (Recommends are ignored), or from
the essential packages. A file that belongs to no package, or to any other package, is an error.

Of the alternatives in a dependency, the first one that is installed on this machine is used, as an installer takes
the first one available. Declared packages that own none of the used files are printed but are not an error: they
may be declared for their dependencies.
"""
import argparse
import collections
import os
import re
import shlex
import shutil
import subprocess
import sys
import tempfile
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
# The variables of a fresh machine; none of them points the build to another compiler or folder.
ENVIRONMENT = {"PATH": "/usr/sbin:/usr/bin:/sbin:/bin", "LC_ALL": "C", "HOME": "/nonexistent"}
GCC_TOOLS = ("cc1", "collect2", "as", "ld", "lto-wrapper")
CACHED_TOOLS = ("CMAKE_COMMAND", "CMAKE_C_COMPILER", "CMAKE_AR", "CMAKE_RANLIB", "CMAKE_LINKER", "CMAKE_MAKE_PROGRAM",
                "PKG_CONFIG_EXECUTABLE", "CMAKE_C_COMPILER_AR", "CMAKE_C_COMPILER_RANLIB")


def output(command, cwd=None):
    return subprocess.run(command, capture_output=True, text=True, cwd=cwd, env=ENVIRONMENT, check=True).stdout


class Packages:
    """The packages installed on this machine, with their dependencies."""

    def __init__(self):
        self.depends, self.essential = {}, set()
        self.provides = collections.defaultdict(list)
        text = output(["dpkg-query", "-W", "-f",
                       "${Package}\t${db:Status-Status}\t${Essential}\t${Pre-Depends}, ${Depends}\t${Provides}\n"])
        for line in text.splitlines():
            name, status, essential, depends, provides = line.split("\t")
            if status != "installed":
                continue
            self.depends[name] = [[self.bare_name(one) for one in group.split("|")]
                                  for group in depends.split(",") if group.strip()]
            if essential == "yes":
                self.essential.add(name)
            for one in provides.split(","):
                if one.strip():
                    self.provides[self.bare_name(one)].append(name)

    @staticmethod
    def bare_name(text):
        """Returns a package name without its version and architecture."""
        return re.sub(r"\(.*?\)", "", text).strip().split(":")[0]

    def first_installed(self, group):
        """Returns the first installed alternative of a dependency, as a list of at most one name."""
        for name in group:
            if name in self.depends:
                return [name]
            if name in self.provides:
                return self.provides[name][:1]
        return []

    def closure(self, names):
        """Maps each package that the named ones need to the package that depends on it (None for the named ones)."""
        reached = {name: None for name in names}
        waiting = collections.deque(names)
        while waiting:
            name = waiting.popleft()
            for group in self.depends.get(name, []):
                for other in self.first_installed(group):
                    if other not in reached:
                        reached[other] = name
                        waiting.append(other)
        return reached


def owners(paths):
    """Maps each path to the packages that own it; a package may list a file under / or under /usr."""
    path_of_spelling = {}
    for path in paths:
        for each in {path, os.path.realpath(path)}:
            path_of_spelling[each] = path
            path_of_spelling[each[4:] if each.startswith("/usr/") else "/usr" + each] = path
    found = {path: set() for path in paths}
    names = sorted(path_of_spelling)
    for at in range(0, len(names), 500):
        run = subprocess.run(["dpkg", "-S", *names[at:at + 500]], capture_output=True, text=True, env=ENVIRONMENT)
        for line in run.stdout.splitlines():
            if line.startswith("diversion "):
                continue
            owners_of_file, _, path = line.partition(": ")
            if path in path_of_spelling:
                found[path_of_spelling[path]] |= {Packages.bare_name(one) for one in owners_of_file.split(",")}
    return found


def build(work, command):
    """Builds HEAD in the scratch folder. Returns the folder of its sources."""
    source = os.path.join(work, "source")
    os.makedirs(source)
    archive = subprocess.Popen(["git", "archive", "HEAD"], cwd=ROOT, stdout=subprocess.PIPE)
    subprocess.run(["tar", "x"], stdin=archive.stdout, cwd=source, check=True)
    if archive.wait() != 0:
        sys.exit("git archive failed")
    run = subprocess.run(["sh", "-c", command], cwd=source, env=ENVIRONMENT, stdout=subprocess.PIPE,
                         stderr=subprocess.STDOUT, text=True)
    if run.returncode != 0:
        sys.exit(run.stdout[-4000:] + f"\nthe build command of the deploy file failed with exit code {run.returncode}")
    return source


def headers(target):
    """Returns the headers listed in the dependency files that the compiler wrote."""
    found = set()
    for folder, _, names in os.walk(target):
        for name in names:
            if name.endswith(".o.d"):
                with open(os.path.join(folder, name)) as file:
                    words = file.read().replace("\\\n", " ").split(":", 1)[1].split()
                found |= {os.path.normpath(os.path.join(target, word)) for word in words}
    return found


def cmake_cache(target):
    with open(os.path.join(target, "CMakeCache.txt")) as file:
        return dict(re.findall(r"^(\w+):\w+=(.+)$", file.read(), re.M))


def tools(target):
    """Returns the paths of the build tools that cmake found and that gcc runs."""
    cache = cmake_cache(target)
    compiler = cache["CMAKE_C_COMPILER"]
    found = {cache[name] for name in CACHED_TOOLS if cache.get(name, "").startswith("/")}
    for name in GCC_TOOLS:
        path = output([compiler, "-print-prog-name=" + name]).strip()
        found.add(path if "/" in path else shutil.which(path, path=ENVIRONMENT["PATH"]) or path)
    return found


def module_files(target):
    """Returns the files that cmake lists as read, and the .pc files of the required pkg-config modules, transitively."""
    with open(os.path.join(target, "CMakeFiles/Makefile.cmake")) as file:
        found = set(re.findall(r'"(/[^"]+)"', file.read()))
    program = cmake_cache(target)["PKG_CONFIG_EXECUTABLE"]
    with open(os.path.join(ROOT, "CMakeLists.txt")) as file:
        text = file.read()
    text = re.sub(r"if\(SPANCART_TESTS\)\n  pkg_check_modules.*?endif\(\)", "", text, flags=re.S)
    waiting, seen = re.findall(r"pkg_check_modules\(\w+ REQUIRED IMPORTED_TARGET ([^)]+)\)", text), set()
    waiting = [name for names in waiting for name in names.split()]
    while waiting:
        name = waiting.pop()
        if name in seen:
            continue
        seen.add(name)
        folder = output([program, "--variable=pcfiledir", name]).strip()
        found.add(os.path.join(folder, name + ".pc"))
        for option in ("--print-requires", "--print-requires-private"):
            waiting += [line.split()[0] for line in output([program, option, name]).splitlines() if line.strip()]
    return found


def libraries(target):
    """Returns the files that the linker opens for each program, and the libraries that the programs load."""
    opened, loaded = set(), set()
    for folder, _, names in os.walk(target):
        if "link.txt" not in names:
            continue
        with open(os.path.join(folder, "link.txt")) as file:
            lines = file.read().splitlines()
        words = shlex.split(lines[0])
        if "-o" not in words or words[0].endswith("ar"):
            continue
        top = os.path.dirname(os.path.dirname(folder))
        program = os.path.join(top, words[words.index("-o") + 1])
        words[words.index("-o") + 1] = os.path.join(folder, "traced")
        for line in output([*words, "-Wl,--trace"], cwd=top).splitlines():
            opened.add(os.path.normpath(os.path.join(top, re.sub(r"\(.*\)$", "", line.strip()))))  # archive(member)
        for line in output(["ldd", program]).splitlines():
            match = re.search(r"(/\S+) \(0x", line)
            if match:
                loaded.add(match[1])
    return opened, loaded


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--work")
    parser.add_argument("-v", dest="verbose", action="store_true")
    args = parser.parse_args()
    work = tempfile.mkdtemp(prefix="cleanbuild-", dir=args.work)
    try:
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            deploy = tomllib.load(file)
        source = build(work, deploy["build"])
        target = os.path.join(source, "target")
        opened, loaded = libraries(target)
        used = {"tool": tools(target), "header": headers(target), "module": module_files(target), "linked": opened,
                "loaded": loaded}
        used = {kind: {path for path in paths if not path.startswith(work)} for kind, paths in used.items()}
    finally:
        shutil.rmtree(work)
    good = check_packages(used, deploy["packages"], args.verbose)
    sys.exit(0 if good else 1)


def check_packages(used, declared, verbose):
    """Returns whether all used files belong to permitted packages, and prints those that do not."""
    packages = Packages()
    good = True
    for name in declared:
        if name not in packages.depends:
            good = False
            print(f"{name}: declared, but not installed on this machine", file=sys.stderr)
    allowed = packages.closure(declared)
    base = packages.closure(sorted(packages.essential))
    needed = collections.defaultdict(set)
    for kind, paths in used.items():
        for path, owners_of_file in sorted(owners(paths).items()):
            if not owners_of_file:
                good = False
                print(f"{kind} {path}: belongs to no package", file=sys.stderr)
            elif not any(name in allowed or name in base for name in owners_of_file):
                good = False
                print(f"{kind} {path}: belongs to {', '.join(sorted(owners_of_file))}, which no declared package brings",
                      file=sys.stderr)
            for name in owners_of_file:
                needed[name].add(kind)
        print(f"{kind}: {len(paths)} files")
    if verbose:
        for name in sorted(needed):
            by = name if name in declared else allowed.get(name)
            print(f"{name}: {', '.join(sorted(needed[name]))} (by {by or 'the essential packages'})")
    unused = [name for name in declared if name not in needed]
    print(f"{len(needed)} packages used, of {len(allowed)} reachable from {len(declared)} declared packages"
          + (f"; no used file belongs to {', '.join(unused)}" if unused else ""))
    return good


if __name__ == "__main__":
    main()
