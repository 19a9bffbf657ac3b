#!/usr/bin/env python3
"""Runs clang-tidy over every source of the build, beside each other, and compares with what is known.

lint.py BUILD [--jobs N] [--lower | --anew] [FILE...]

BUILD holds compile_commands.json. The rules, each with its reason, stand in .clang-tidy. A finding fails
unless .ci/known/lint.txt lists it by rule, file and function; magic numbers are counted by file, in the
sources of the control side only. --lower takes out of the list what is gone; --anew writes it as found, which
a reviewer then sees in the change. With FILEs only these are read, and only what is new fails.
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
CONTROL = ("replication", "lock", "member", "routing", "wire", "entry_point", "controller", "scheduler", "inforce", "callers")
FINDING = re.compile(r"^(/.*?):(\d+):(\d+): (?:warning|error): (.*) \[([\w.,-]+)\]$")
AT_ONCE = 3  # sources for each process, so that the slow ones spread


def sources(build):
    with open(os.path.join(build, "compile_commands.json")) as file:
        return sorted({entry["file"] for entry in json.load(file)})


def tidy(build, files):
    run = subprocess.run(["clang-tidy", "-p", build, "--quiet", *files], capture_output=True, text=True, cwd=ROOT)
    matches = map(FINDING.match, run.stdout.split("\n"))
    found = [match.groups() for match in matches if match]
    # a source that can't be read at all is no finding of a rule
    broken = [line for line in run.stderr.split("\n") if line.startswith(("Error ", "error:"))]
    return found, broken


def function_at(path, line):
    """The function around a line: the last line above it that begins one."""
    with open(path) as file:
        lines = file.read().split("\n")[:line]
    for text in reversed(lines):
        match = re.match(r"^[A-Za-z_][\w\s*]*?\**(\w+)\(", text)
        if match and not text.startswith("#"):
            return match[1]
    return "-"


def key_of(path, line, rules):
    relative = os.path.relpath(path, ROOT)
    rule = rules.split(",")[0]
    if rule == "readability-magic-numbers":
        match = re.match(r"packages/(\w+)/src/", relative)
        return f"{rule} {relative}" if match and match[1] in CONTROL else None
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
        parser.error("the list is written from all sources")
    files = [os.path.abspath(file) for file in args.files] or sources(args.build)
    parts = [files[at:at + AT_ONCE] for at in range(0, len(files), AT_ONCE)]
    places = collections.defaultdict(set)
    failed = False
    with concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
        for found, broken in pool.map(lambda part: tidy(args.build, part), parts):
            for line in broken:
                failed = True
                print(line, file=sys.stderr)
            for path, line, column, text, rules in found:
                key = key_of(path, line, rules)
                if key is not None:
                    places[key].add((os.path.relpath(path, ROOT), int(line), int(column), text))
    counts = {key: len(each) for key, each in places.items()}

    def where(key):
        return [f"{path}:{line}:{column}: {text}" for path, line, column, text in sorted(places[key])]

    good = ratchet.compare(KNOWN, counts, where, args.lower, args.anew, not args.files)
    print(f"{len(files)} sources, {sum(counts.values())} known findings" if good else "see .clang-tidy for the rules")
    sys.exit(0 if good and not failed else 1)


if __name__ == "__main__":
    main()
