#!/usr/bin/env python3
"""Counts what makes the sources hard to read, and compares with what is known.

readable.py [--lower | --anew] [-v]

- Words that are gone (docs/glossary.md maps them to the field's) may stand nowhere, comments included; others that have
  no second sense not in comments. Names in camelCase and tags that are no CamelCase may stand nowhere (the linter
  reads the other names).
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
# Words without another sense here: they may stand in no comment either, in no form. What stays on the wire, on disk
# and in JSON (epoch, seats, gate) is a text, and may be quoted in a comment.
GONE_IN_COMMENTS = ("seat", "guest", "standby", "epoch", "sight", "refill", "news", "gate", "door", "keeper", "kin", "ledger",
                    "crew", "dice", "draft", "tongue", "courier", "mend", "feed")
# The house's words as parts of identifiers: each by itself and its plural. None is wanted in any package;
# the terms are in docs/glossary.md. `liveset` stays: it is the paper's.
GOING = ("props", "proxy", "round", "revision", "expiry", "hold", "seat", "guest", "standby", "epoch", "sight", "look",
         "fill", "refill", "news", "tell", "told", "gate", "face", "door", "edge", "feed", "core", "kept", "keeper", "kin",
         "ledger", "book", "push", "line", "aim", "worth", "stray", "alone", "hand", "crew", "ground", "dice", "draft",
         "trouble", "tongue", "courier", "ring", "never", "box", "stay", "mend", "room")
# Where a word has an ordinary sense too, only the house's is looked for: a pattern over the whole identifier ...
ONLY_AS = {
    "kept": r"Kept.*|KEPT.*|kept_.*",  # a reservation, a repair buffer's item; what is kept of an array is ordinary
    "look": r"(?i)(?!.*look_?up).*",  # an election poll, or a turn of a task that watches; to look up is ordinary
    "never": r"nevers|.*_nevers|NEVER_.*|never_words",  # a safety property; RETRY_NEVER and never_leaves say what they say
    "stay": r"stays?(_.*)?",  # a residence; as the verb within the sentence that a test's name is, ordinary
}
# ... or the packages in which it had it ...
ONLY_IN = {
    "fill": ("packages/replication",),  # the installation of a snapshot; templates and answers are filled in
    "line": ("packages/queue", "packages/scheduler", "packages/callers"),  # the queue; elsewhere a line of text
}
# ... or those in which it has another.
NOT_IN = {"edge": ("platform",), "core": ("platform",)}  # its own words: what stands before its callers; a processor's cores
# Not here: view, which is a term of its own, the set of voters that each commit waits for (docs/glossary.md).
# As they are, since no identifier here has their ordinary sense: book, hand (handed is no form of it), push (the
# compiler's pragma is no identifier), face, core, room, box, ring, ground, round, hold.
LINES = 400
PLURALS = {"props": {"props"}, "proxy": {"proxy", "proxies"}, "expiry": {"expiry", "expiries"}, "news": {"news"}}
NO_IDENTIFIER = re.compile(r'#pragma[^\n]*|//[^\n]*|/\*.*?\*/|"(?:\\.|[^"\\\n])*"|\'(?:\\.|[^\'\\\n])*\'', re.S)
IDENTIFIER = re.compile(r"[A-Za-z_]\w*")
PART = re.compile(r"[A-Z]+(?![a-z])|[A-Z]?[a-z]+")
COMMENT = re.compile(r'"(?:\\.|[^"\\\n])*"|(//[^\n]*|/\*.*?\*/)', re.S)
# What clang-tidy doesn't see in C: the tag of a struct, and a name that a macro's own text uses.
CAMEL = re.compile(r"(?<!\w)(?!popt|lua|__)[a-z]\w*[A-Z]\w*")
TAG = re.compile(r"\b(?:struct|union|enum)\s+(?:[a-z_]\w*|[A-Z]\w*_\w*)(?=\s*\{)")


def sources():
    """Those of the repository, and new ones that are not added yet."""
    command = ["git", "ls-files", "-z", "-co", "--exclude-standard", "*.c", "*.h"]
    listed = subprocess.run(command, capture_output=True, text=True, cwd=ROOT, check=True)
    return [path for path in listed.stdout.split("\0") if path and os.path.exists(os.path.join(ROOT, path))]


def package(path):
    parts = path.split("/")
    return "/".join(parts[:2]) if parts[0] == "packages" else parts[0]


def house_sense(word, identifier, where):
    """Whether the word has the house's sense in that identifier of that package."""
    if where in NOT_IN.get(word, ()) or where not in ONLY_IN.get(word, (where,)):
        return False
    return re.fullmatch(ONLY_AS.get(word, ".*"), identifier) is not None


def word_of(identifier, where):
    """The going words that an identifier of a package holds."""
    parts = {part.lower() for part in PART.findall(identifier)}
    return [word for word in GOING
            if parts & PLURALS.get(word, {word, word + "s"}) and house_sense(word, identifier, where)]


def gone_lines(text):
    """The numbers of the lines that hold what is gone, or a name in a case that is not ours."""
    gone = re.compile("|".join(GONE), re.I)
    prose = re.compile(r"\b(?:" + "|".join(GONE_IN_COMMENTS) + r")(?:s|ed|ing)?\b", re.I)
    places = [found.start() for found in gone.finditer(text)]
    for comment in COMMENT.finditer(text):
        if comment[1]:
            said = re.sub(r'"[^"\n]*"', lambda quoted: " " * len(quoted[0]), comment[1])
            places += [comment.start() + found.start() for found in prose.finditer(said)]
    code = NO_IDENTIFIER.sub(lambda left_out: re.sub(r"[^\n]", " ", left_out[0]), text)
    places += [found.start() for pattern in (CAMEL, TAG) for found in pattern.finditer(code)]
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
        for at in gone_lines(text):
            good = False
            print(f"{path}:{at + 1}: {lines[at].strip()}", file=sys.stderr)
        if len(lines) - 1 > LINES:
            long_files[path] = -(-(len(lines) - 1) // 100) * 100
        for identifier in set(IDENTIFIER.findall(NO_IDENTIFIER.sub(" ", text))):
            for word in word_of(identifier, package(path)):
                identifiers[f"{word} {package(path)}"].add(identifier)
    if not good:
        print("the lines above hold words that are gone (docs/glossary.md has the field's), or names in another case", file=sys.stderr)
    if args.verbose:
        for key in sorted(identifiers):
            print(key + ":", *sorted(identifiers[key]))
    counts = {key: len(each) for key, each in identifiers.items()}
    good &= ratchet.compare(WORDS, counts, lambda key: [" ".join(sorted(identifiers[key]))], args.lower, args.anew)
    good &= ratchet.compare(FILES, long_files, lambda key: [f"{key}: over {LINES} lines"], args.lower, args.anew)
    totals = collections.Counter()
    for key, count in counts.items():
        totals[key.split(" ")[0]] += count
    left = ", ".join(f"{word} {totals[word]}" for word in GOING if totals[word]) or "none"
    print(f"going words of {len(GOING)} left: {left}; long files: {len(long_files)}")
    sys.exit(0 if good else 1)


if __name__ == "__main__":
    main()
