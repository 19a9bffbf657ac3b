#!/usr/bin/env python3
"""Counts what makes the sources hard to read, and compares with what is known.

readable.py [--lower | --anew] [-v]

- Words that are gone (docs/glossary.md maps them to the field's) may stand nowhere, comments included.
- Words that are going are counted as identifiers that hold them, each once for a package. A struct's field or a
  function counts where it is used, too; texts and comments don't count, so neither do names on the wire.
- Files of more than 400 lines are listed, with the next hundred that they fit in.

.ci/known/words.txt and .ci/known/files.txt hold the counts. They may only shrink: --lower writes what has
fallen; --anew writes all as found, which a reviewer then sees in the change. -v prints the identifiers.
The length of functions is the linter's (scripts/lint.py).
"""
import argparse
import collections
import os
import re
import subprocess
import sys

import ratchet

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
WORDS = os.path.join(ROOT, ".ci/known/words.txt")
FILES = os.path.join(ROOT, ".ci/known/files.txt")
GONE = ("mishap", "verdict", "partner", "occupancy")
GOING = ("props", "proxy", "round", "revision", "expiry", "hold", "seat", "guest")
LINES = 400
PLURALS = {"props": {"props"}, "proxy": {"proxy", "proxies"}, "expiry": {"expiry", "expiries"}}
NO_IDENTIFIER = re.compile(r'//[^\n]*|/\*.*?\*/|"(?:\\.|[^"\\\n])*"|\'(?:\\.|[^\'\\\n])*\'', re.S)
IDENTIFIER = re.compile(r"[A-Za-z_]\w*")
PART = re.compile(r"[A-Z]+(?![a-z])|[A-Z]?[a-z]+")


def sources():
    """Those of the repository, and new ones that are not added yet."""
    command = ["git", "ls-files", "-z", "-co", "--exclude-standard", "*.c", "*.h"]
    listed = subprocess.run(command, capture_output=True, text=True, cwd=ROOT, check=True)
    return [path for path in listed.stdout.split("\0") if path and os.path.exists(os.path.join(ROOT, path))]


def package(path):
    parts = path.split("/")
    return "/".join(parts[:2]) if parts[0] == "packages" else parts[0]


def word_of(identifier):
    """The going words that an identifier holds."""
    parts = {part.lower() for part in PART.findall(identifier)}
    return [word for word in GOING if parts & PLURALS.get(word, {word, word + "s"})]


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--lower", action="store_true")
    parser.add_argument("--anew", action="store_true")
    parser.add_argument("-v", dest="verbose", action="store_true")
    args = parser.parse_args()
    good = True
    gone = re.compile("|".join(GONE), re.I)
    identifiers = collections.defaultdict(set)
    long_files = {}
    for path in sources():
        with open(os.path.join(ROOT, path)) as file:
            text = file.read()
        lines = text.split("\n")
        for at, line in enumerate(lines, 1):
            if gone.search(line):
                good = False
                print(f"{path}:{at}: {line.strip()}", file=sys.stderr)
        if len(lines) - 1 > LINES:
            long_files[path] = -(-(len(lines) - 1) // 100) * 100
        for identifier in set(IDENTIFIER.findall(NO_IDENTIFIER.sub(" ", text))):
            for word in word_of(identifier):
                identifiers[f"{word} {package(path)}"].add(identifier)
    if not good:
        print("the lines above hold words that are gone: docs/glossary.md has the field's", file=sys.stderr)
    if args.verbose:
        for key in sorted(identifiers):
            print(key + ":", *sorted(identifiers[key]))
    counts = {key: len(each) for key, each in identifiers.items()}
    good &= ratchet.compare(WORDS, counts, lambda key: [" ".join(sorted(identifiers[key]))], args.lower, args.anew)
    good &= ratchet.compare(FILES, long_files, lambda key: [f"{key}: over {LINES} lines"], args.lower, args.anew)
    totals = collections.Counter()
    for key, count in counts.items():
        totals[key.split(" ")[0]] += count
    print("going words:", ", ".join(f"{word} {totals[word]}" for word in GOING), end=f"; long files: {len(long_files)}\n")
    sys.exit(0 if good else 1)


if __name__ == "__main__":
    main()
