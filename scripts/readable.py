#!/usr/bin/env python3
"""Counts words and long files that make the sources hard to read, and compares them with a baseline.

readable.py [--lower | --anew] [-v]

- Forbidden words (docs/glossary.md maps them to the terms of the field) may not occur anywhere, comments included;
  those without an ordinary sense may not occur in comments. Names in camelCase and struct, union and enum tags that
  are not CamelCase may not occur anywhere (the linter checks all other names).
- Withdrawn words are counted: each identifier that contains one counts once for each package. A struct field or a
  function counts where it is used, too. String literals and comments, and so names on the wire, do not count.
- Files of more than 400 lines are listed with their length, rounded up to the next hundred.

The baselines .ci/known/words.txt and .ci/known/files.txt hold the counts. They may only shrink: --lower writes the
lower counts; --anew writes all counts as found, so that a reviewer sees them in the diff. -v prints the identifiers.
The linter checks the length of functions (scripts/lint.py).
"""
import argparse
import collections
import os
import re
import subprocess
import sys

import ratchet

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
WORDS_BASELINE = os.path.join(ROOT, ".ci/known/words.txt")
FILES_BASELINE = os.path.join(ROOT, ".ci/known/files.txt")
FORBIDDEN = ("mishap", "verdict", "partner", "occupancy")
# Words without an ordinary sense in this project: no form of them may occur in comments. Names on the wire, on disk
# and in JSON (epoch, seats, gate) are string literals, and may be quoted in a comment.
FORBIDDEN_IN_COMMENTS = ("seat", "guest", "standby", "epoch", "sight", "refill", "news", "gate", "door",
                         "keeper", "kin", "ledger", "crew", "dice", "draft", "tongue", "courier", "mend", "feed")
# Words private to this project, as parts of identifiers: each word and its plural. No package should use them;
# docs/glossary.md has the terms. `liveset` is permitted: it is the term of the published paper.
WITHDRAWN = ("props", "proxy", "round", "revision", "expiry", "hold", "seat", "guest", "standby", "epoch", "sight",
             "look", "fill", "refill", "news", "tell", "told", "gate", "face", "door", "edge", "feed", "core", "kept",
             "keeper", "kin", "ledger", "book", "push", "line", "aim", "worth", "stray", "alone", "hand", "crew",
             "ground", "dice", "draft", "trouble", "tongue", "courier", "ring", "never", "box", "stay", "mend", "room")
# A word that also has an ordinary sense counts only in its private sense, recognized by a pattern that the whole
# identifier matches ...
ONLY_AS = {
    "kept": r"Kept.*|KEPT.*|kept_.*",  # a reservation or an item of a repair buffer; the kept part of an array is ordinary
    "look": r"(?i)(?!.*look_?up).*",  # an election poll, or one pass of a monitoring task; "look up" is ordinary
    "never": r"nevers|.*_nevers|NEVER_.*|never_words",  # a safety property; RETRY_NEVER and never_leaves are ordinary
    "stay": r"stays?(_.*)?",  # a residence; the verb in the name of a test is ordinary
}
# ... or by the packages in which the word had its private sense ...
ONLY_IN = {
    "fill": ("packages/replication",),  # the installation of a snapshot; to fill in a template or an answer is ordinary
    "line": ("packages/queue", "packages/scheduler", "packages/callers"),  # the queue; a line of text elsewhere
}
# ... or by the packages in which the word has another sense.
NOT_IN = {"edge": ("platform",), "core": ("platform",)}  # the edge before its callers; the cores of a processor
# `view` is not listed: it is a term, the set of voters that each commit waits for (docs/glossary.md). These words need
# no pattern, because no identifier uses them in their ordinary sense: book, hand ("handed" does not match), push (the
# compiler's pragma is not an identifier), face, core, room, box, ring, ground, round, hold.
LINES_MAX = 400
PLURALS = {"props": {"props"}, "proxy": {"proxy", "proxies"}, "expiry": {"expiry", "expiries"}, "news": {"news"}}
NOT_IDENTIFIER = re.compile(r'#pragma[^\n]*|//[^\n]*|/\*.*?\*/|"(?:\\.|[^"\\\n])*"|\'(?:\\.|[^\'\\\n])*\'', re.S)
IDENTIFIER = re.compile(r"[A-Za-z_]\w*")
PART = re.compile(r"[A-Z]+(?![a-z])|[A-Z]?[a-z]+")
COMMENT = re.compile(r'"(?:\\.|[^"\\\n])*"|(//[^\n]*|/\*.*?\*/)', re.S)
# clang-tidy does not check these in C: the tag of a struct, and a name in the body of a macro.
CAMEL_CASE = re.compile(r"(?<!\w)(?!popt|lua|__)[a-z]\w*[A-Z]\w*")
TAG = re.compile(r"\b(?:struct|union|enum)\s+(?:[a-z_]\w*|[A-Z]\w*_\w*)(?=\s*\{)")


def sources():
    """Returns the paths of the tracked C sources and of the untracked ones that are not ignored."""
    command = ["git", "ls-files", "-z", "-co", "--exclude-standard", "*.c", "*.h"]
    listed = subprocess.run(command, capture_output=True, text=True, cwd=ROOT, check=True)
    return [path for path in listed.stdout.split("\0") if path and os.path.exists(os.path.join(ROOT, path))]


def package(path):
    """Returns the package of a source: packages/NAME, or the top folder."""
    parts = path.split("/")
    return "/".join(parts[:2]) if parts[0] == "packages" else parts[0]


def has_private_sense(word, identifier, where):
    """Returns whether the word has its private sense in an identifier of the package `where`."""
    if where in NOT_IN.get(word, ()) or where not in ONLY_IN.get(word, (where,)):
        return False
    return re.fullmatch(ONLY_AS.get(word, ".*"), identifier) is not None


def withdrawn_words(identifier, where):
    """Returns the withdrawn words that an identifier of the package `where` contains."""
    parts = {part.lower() for part in PART.findall(identifier)}
    return [word for word in WITHDRAWN
            if parts & PLURALS.get(word, {word, word + "s"}) and has_private_sense(word, identifier, where)]


def forbidden_lines(text):
    """Returns the numbers (from 0) of the lines with a forbidden word, or with a name in the wrong case."""
    gone = re.compile("|".join(FORBIDDEN), re.I)
    prose = re.compile(r"\b(?:" + "|".join(FORBIDDEN_IN_COMMENTS) + r")(?:s|ed|ing)?\b", re.I)
    places = [found.start() for found in gone.finditer(text)]
    for comment in COMMENT.finditer(text):
        if comment[1]:
            said = re.sub(r'"[^"\n]*"', lambda quoted: " " * len(quoted[0]), comment[1])
            places += [comment.start() + found.start() for found in prose.finditer(said)]
    code = NOT_IDENTIFIER.sub(lambda left_out: re.sub(r"[^\n]", " ", left_out[0]), text)
    places += [found.start() for pattern in (CAMEL_CASE, TAG) for found in pattern.finditer(code)]
    return sorted({text.count("\n", 0, place) for place in places})


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--lower", action="store_true")
    parser.add_argument("--anew", action="store_true")
    parser.add_argument("-v", dest="verbose", action="store_true")
    args = parser.parse_args()
    good = True
    identifiers = collections.defaultdict(set)
    long_files = {}
    for path in sources():
        with open(os.path.join(ROOT, path)) as file:
            text = file.read()
        lines = text.split("\n")
        for at in forbidden_lines(text):
            good = False
            print(f"{path}:{at + 1}: {lines[at].strip()}", file=sys.stderr)
        if len(lines) - 1 > LINES_MAX:
            long_files[path] = -(-(len(lines) - 1) // 100) * 100
        for identifier in set(IDENTIFIER.findall(NOT_IDENTIFIER.sub(" ", text))):
            for word in withdrawn_words(identifier, package(path)):
                identifiers[f"{word} {package(path)}"].add(identifier)
    if not good:
        print("the lines above contain forbidden words (docs/glossary.md has the terms to use) or names in the wrong case",
              file=sys.stderr)
    if args.verbose:
        for key in sorted(identifiers):
            print(key + ":", *sorted(identifiers[key]))
    counts = {key: len(each) for key, each in identifiers.items()}
    good &= ratchet.compare(WORDS_BASELINE, counts, lambda key: [" ".join(sorted(identifiers[key]))], args.lower, args.anew)
    good &= ratchet.compare(FILES_BASELINE, long_files, lambda key: [f"{key}: over {LINES_MAX} lines"], args.lower, args.anew)
    totals = collections.Counter()
    for key, count in counts.items():
        totals[key.split(" ")[0]] += count
    left = ", ".join(f"{word} {totals[word]}" for word in WITHDRAWN if totals[word]) or "none"
    print(f"withdrawn words still in use (of {len(WITHDRAWN)}): {left}; long files: {len(long_files)}")
    sys.exit(0 if good else 1)


if __name__ == "__main__":
    main()
