#!/usr/bin/env python3
"""Runs clang-tidy on every source of the build, in parallel, and compares the findings with a baseline.

lint.py BUILD [--jobs N] [--lower | --anew] [FILE...]

BUILD is the build folder with compile_commands.json. The rules and their reasons are in .clang-tidy. A finding is
an error unless the baseline .ci/known/lint.txt lists it by rule, file and function; magic numbers are counted by
file, and only in the sources of the control plane. --lower removes findings that are gone from the baseline; --anew
writes all findings as the new baseline, so that a reviewer sees them in the diff. With FILEs, only these are checked,
and only new findings are errors.
"""
import argparse
import collections
import concurrent.futures
import json
import os
import re
import subprocess
import sys

import ratchet

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
KNOWN = os.path.join(ROOT, ".ci/known/lint.txt")
CONTROL_PLANE = ("replication", "lock", "member", "routing", "wire", "entry_point", "controller", "scheduler",
                 "inforce", "callers")
FINDING = re.compile(r"^(/.*?):(\d+):(\d+): (?:warning|error): (.*) \[([\w.,-]+)\]$")
SOURCES_PER_PROCESS = 3  # small, so that slow sources are spread over the processes


def sources(build):
    """Returns the sources that the build compiles."""
    with open(os.path.join(build, "compile_commands.json")) as file:
        return sorted({entry["file"] for entry in json.load(file)})


def tidy(build, files):
    """Runs clang-tidy on files. Returns its findings (path, line, column, text, rules) and its own errors."""
    run = subprocess.run(["clang-tidy", "-p", build, "--quiet", *files], capture_output=True, text=True, cwd=ROOT)
    matches = map(FINDING.match, run.stdout.split("\n"))
    found = [match.groups() for match in matches if match]
    # a source that can't be read is an error, not a finding of a rule
    broken = [line for line in run.stderr.split("\n") if line.startswith(("Error ", "error:"))]
    return found, broken


def function_at(path, line):
    """Returns the function that contains a line: the last one that begins above it; - if there is none."""
    with open(path) as file:
        lines = file.read().split("\n")[:line]
    for text in reversed(lines):
        match = re.match(r"^[A-Za-z_][\w\s*]*?\**(\w+)\(", text)
        if match and not text.startswith("#"):
            return match[1]
    return "-"


def key_of(path, line, rules):
    """Returns the baseline key of a finding; None for a magic number outside of the control plane."""
    relative = os.path.relpath(path, ROOT)
    rule = rules.split(",")[0]
    if rule == "readability-magic-numbers":
        match = re.match(r"packages/(\w+)/src/", relative)
        return f"{rule} {relative}" if match and match[1] in CONTROL_PLANE else None
    return f"{rule} {relative} {function_at(path, int(line))}"


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("build")
    parser.add_argument("--jobs", type=int, default=os.cpu_count())
    parser.add_argument("--lower", action="store_true")
    parser.add_argument("--anew", action="store_true")
    parser.add_argument("files", nargs="*")
    args = parser.parse_intermixed_args()
    if args.files and (args.lower or args.anew):
        parser.error("--lower and --anew need all sources: FILE is not permitted")
    files = [os.path.abspath(file) for file in args.files] or sources(args.build)
    parts = [files[at:at + SOURCES_PER_PROCESS] for at in range(0, len(files), SOURCES_PER_PROCESS)]
    locations = collections.defaultdict(set)
    failed = False
    with concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
        for found, broken in pool.map(lambda part: tidy(args.build, part), parts):
            for line in broken:
                failed = True
                print(line, file=sys.stderr)
            for path, line, column, text, rules in found:
                key = key_of(path, line, rules)
                if key is not None:
                    locations[key].add((os.path.relpath(path, ROOT), int(line), int(column), text))
    counts = {key: len(each) for key, each in locations.items()}

    def where(key):
        return [f"{path}:{line}:{column}: {text}" for path, line, column, text in sorted(locations[key])]

    good = ratchet.compare(KNOWN, counts, where, args.lower, args.anew, not args.files)
    print(f"{len(files)} sources, {sum(counts.values())} known findings" if good else "see .clang-tidy for the rules")
    sys.exit(0 if good and not failed else 1)


if __name__ == "__main__":
    main()
