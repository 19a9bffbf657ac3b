#!/usr/bin/env python3
"""Checks that every name in README.md, CONTRIBUTING.md, docs/*.md and docs/incidents/*.md exists in the tree.

doc_names.py [-v]

The script checks the names in backticks and the targets of links:
- a path (`packages/plan`, `controller/src/repair.c`, `routing/forward`, `loop/real*`, `repair.c`) must be a file or folder;
- a test (`timelines.zone_off`, `.zone_off` after another test of that program, `replaced.rounds*`, a word after
  "test") must be a test case registered in the source of its program, or a test of the build;
- any other word (`replication_open`, `LOCK_LEASE_MS`, `planAlwaysPossible`, `failed-disk-rests`) must occur as a word
  in a source, outside of comments; names on the wire, in JSON and in settings occur there as string literals;
- a word in mixed case like `holdMs` must do so outside of backticks too, because former names look like this;
- the page of a link must exist, and so must the heading that it names.

The glossary's column of former names is not checked, nor are the names in EXCEPTIONS. An exception that is no
longer needed is reported as well, so that the list stays short. -v prints each name and how it was interpreted.
"""
import argparse
import collections
import glob
import os
import re
import subprocess
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
THIS_SCRIPT = "scripts/doc_names.py"  # not searched: its exceptions are no evidence that a name exists
FOLDERS = ("packages", "scripts", "docs", "examples", "tests", "deploy", "platform", "days", "src", ".ci")

# Page (* for all), names that occur in no source, and the reason.
EXCEPTIONS = [
    ("CONTRIBUTING.md", "snake_case lower_case UPPER_CASE limit_bytes", "naming styles"),
    ("CONTRIBUTING.md", "readability-identifier-naming", "a rule of clang-tidy"),
    ("CONTRIBUTING.md", "spancart_test", "a CMake function, not a test"),
    ("docs/ROADMAP.md", "lower_case", "a naming style"),
    ("docs/api.md", "Retry-After", "an HTTP header"),
    ("docs/control-answers.md", "Retry-After .../drain", "HTTP"),
    ("docs/control-serving.md", "config/put config/patch config/get", "paths of the platform without their prefix"),
    ("docs/oncall.md", "log.lastIndex log.viewChanges log.otherHistories log.begunAnew", "members of JSON"),
    ("docs/oncall.md", "journal.bad journal.new df iostat", "files in the data folder; tools"),
    ("docs/oncall.md", "spancart_leads spancart_journal_rewrites", "metrics that are composed of a prefix and a name"),
    ("docs/oncall.md", "spancart_alert_seat_out spancart_journal_begun_anew", "the same"),
    ("docs/operating.md", "spancart_alert_seat_out spancart_journal_begun_anew journal.bad journal.hint", "the same; files"),
    ("docs/operating.md", "spancart_bytes_sent_hello_requests spancart_bytes_received_forward_answers", "metrics, as above"),
    ("docs/control-state.md", "journal.bad", "a file in the data folder"),
    ("docs/platform.md", "tolerate.machines", "a member of the platform's document"),
    ("docs/renaming.md", "a3bf9aa Beat RoundId RoundNews SeatList AttemptNews Round Stray Door packages/routing/src/ways*.c "
     "packages/model/src/crew.c", "former names"),
    ("docs/glossary.md", "XenServer", "a product name"),
    ("docs/ha.md", "XenServer", "a product name"),
    ("*", "tvmi-tiles arc-maroc tvmi-tiles-grown arc-maroc-grown scale-1 scale-2", "user deployments and days"),
]

SPAN = re.compile(r"`([^`]+)`")
PATH = re.compile(r"[\w.*{},-]+(?:/[\w.*{},-]+)*/?$")
FILE = re.compile(r"[\w*-]+\.(?:c|h|py|sh|md|toml|cmake|ini|json)$")
TEST = re.compile(r"([a-z][\w-]*|)\.([A-Za-z]\w*\*?|\*)$")
WORD = re.compile(r"[A-Za-z_][\w-]*$")
IDENTIFIER = re.compile(r"(?<![\w-])[A-Za-z]\w*_\w+(?![\w-])")
MIXED_CASE = re.compile(r"\b[A-Za-z]*[a-z][A-Z]\w*\b")
IN_COMMAND = re.compile(r"(?<![\w./-])(?:build|%s)/[\w./*-]+" % "|".join(re.escape(each) for each in FOLDERS))
TEST_IN_PROSE = re.compile(r"\b[Tt]ests?,? ((?:`[\w.*-]+`(?:, | and |, and )?)+)")
LINK = re.compile(r"\[[^\]]*\]\(([^)\s]+)\)")
COMMENT = re.compile(r'(//[^\n]*|/\*.*?\*/)|"(?:\\.|[^"\\\n])*"', re.S)
TOKEN = re.compile(r"[A-Za-z_]\w*")
HYPHENED = re.compile(r"[A-Za-z]\w*(?:-\w+)+")
REGISTERED = re.compile(r"cmocka_unit_test\w*\(\s*(\w+)|\bCASE\((\w+)")


def read(path):
    with open(os.path.join(ROOT, path), errors="replace") as file:
        return file.read()


class Tree:
    """The names that exist in the tree: files, folders, words in sources, programs, tests and test cases."""

    """What the pages may name."""

    def __init__(self):
        command = ["git", "ls-files", "-z", "-co", "--exclude-standard"]
        listed = subprocess.run(command, capture_output=True, text=True, cwd=ROOT, check=True).stdout.split("\0")
        self.files = {path for path in listed if path and os.path.exists(os.path.join(ROOT, path))}
        self.folders = {os.path.dirname(path) for path in self.files}
        for folder in list(self.folders):
            while folder := os.path.dirname(folder):
                self.folders.add(folder)
        self.stems = {os.path.splitext(os.path.basename(path))[0] for path in self.files | self.folders}
        self.words = set()
        for path in self.files - {THIS_SCRIPT}:
            if path.endswith((".c", ".h", ".py", ".cmake", ".toml", ".ini")) or path == "CMakeLists.txt":
                self.add_words(path)
        self.find_tests()

    def add_words(self, path):
        text = read(path)
        if path.endswith((".c", ".h")):
            text = COMMENT.sub(lambda found: " " if found.group(1) else found.group(0), text)
        self.words.update(TOKEN.findall(text))
        self.words.update(HYPHENED.findall(text))

    def find_tests(self):
        build = read("CMakeLists.txt") + read("packages/packages.cmake") + read("platform/platform.cmake")
        self.programs = set(re.findall(r"add_executable\((spancart[\w-]*)", build))
        self.tests = set(re.findall(r"add_test\(NAME ([\w-]+)", build))
        self.cases = {}
        for kind, name, package in re.findall(r"^ *(spancart_test|spancart_cases|platform_test)\((\w+)(?: \d+)? ?(\w*)", build, re.M):
            source = f"packages/{package}/test/{name}.c"
            if source not in self.files:
                source = f"platform/test/{name}.c"
            if source not in self.files:
                continue
            called = "platform-" + name if kind == "platform_test" else name
            registered = REGISTERED.findall(read(source))
            self.cases[called] = {first or second for first, second in registered}
        self.tests |= set(self.cases)

    def has_path(self, path):
        path = path.rstrip("/")
        if "{" in path:
            before, inner, after = re.match(r"([^{]*)\{([^}]*)\}(.*)", path).groups()
            return all(self.has_path(before + part + after) for part in inner.split(","))
        candidates = [path, "packages/" + path]
        package, _, rest = path.partition("/")
        candidates += [f"packages/{package}/{folder}/{rest}" for folder in ("src", "include/" + package, "test", "tool")]
        candidates = [each + end for each in candidates for end in ("", ".c", ".h")]
        if "*" in path or "NOUN" in path:
            return any(glob.glob(os.path.join(ROOT, each.replace("NOUN", "*"))) for each in candidates)
        return any(each in self.files or each in self.folders for each in candidates)

    def has_file(self, name):
        pattern = re.compile(re.escape(name).replace(r"\*", ".*"))
        return any(pattern.fullmatch(os.path.basename(path)) for path in self.files)

    def has_test(self, program, case):
        if program not in self.cases:
            return False
        if case.endswith("*"):
            return any(each.startswith(case[:-1]) for each in self.cases[program])
        return case in self.cases[program]


class Page:
    """One page; `unresolved` collects (line number, name, kind of name) of the names that do not exist."""

    def __init__(self, path, tree, verbose):
        self.path, self.tree, self.verbose = path, tree, verbose
        self.unresolved = []
        self.program = ""  # program of the test that was named last
        text = read(path)
        for number, part in paragraphs(text):
            self.check_part(number, self.without_former_names(part))
        self.check_links(text)

    def without_former_names(self, part):
        if self.path != "docs/glossary.md" or not part.startswith("|"):
            return part
        return part.rsplit("|", 2)[0]

    def record(self, number, name, what, exists):
        """Records whether the name on this line exists as the kind of name in `what`."""
        if self.verbose:
            print(f"{self.path}:{number}: `{name}` as {what}: {'there' if exists else 'NOT THERE'}")
        if not exists:
            self.unresolved.append((number, name, what))

    def check_part(self, number, part):
        text = " ".join(part.split())
        for names in TEST_IN_PROSE.findall(text):
            for name in SPAN.findall(names):
                if WORD.match(name):
                    known = name in self.tree.tests or name.removeprefix("test-") in self.tree.tests
                    case = any(name in cases for cases in self.tree.cases.values())
                    self.record(number, name, "test", known or case)
        if part.startswith("    "):
            for found in IN_COMMAND.findall(text):
                self.check_command_path(number, found)
            return
        for name in SPAN.findall(text):
            self.check_name(number, name)
        for name in MIXED_CASE.findall(LINK.sub(" ", SPAN.sub(" ", text))):
            self.record(number, name, "word", name in self.tree.words)

    def check_command_path(self, number, found):
        if found.startswith("build/"):
            name = found.split("/")[1]
            known = name in self.tree.programs or name.removeprefix("test-") in self.tree.tests
            self.record(number, found, "program", known)
        else:
            self.record(number, found.rstrip("."), "path", self.tree.has_path(found.rstrip(".")))

    def check_name(self, number, name):
        test = TEST.match(name)
        if re.search(r"\s", name) or not re.match(r"[\w./*{},-]+$", name):
            self.check_phrase(number, name)
        elif name.startswith("/") or name.startswith("-") or not re.search("[A-Za-z]", name):
            return
        elif "/" in name and PATH.match(name):
            if name.startswith("build/"):
                self.check_command_path(number, name)
            else:
                self.record(number, name, "path", self.tree.has_path(name))
        elif FILE.match(name):
            self.record(number, name, "file", self.tree.has_file(name))
        elif name.startswith(".") and self.tree.has_path(name):
            return
        elif test:
            self.program = test.group(1) or self.program
            self.record(number, name, f"test of {self.program}", self.tree.has_test(self.program, test.group(2)))
        elif WORD.match(name):
            known = name in self.tree.words or name in self.tree.stems or name in self.tree.programs
            if name.startswith("test-"):
                known = name.removeprefix("test-") in self.tree.tests
            self.record(number, name, "word", known)

    def check_phrase(self, number, name):
        for found in IN_COMMAND.findall(name):
            self.check_command_path(number, found)
        rest = IN_COMMAND.sub(" ", name)
        for found in re.findall(r"(?<![\w/.])([a-z]\w*)\.(\w+)(?![\w/.(])", rest):
            if found[0] in self.tree.cases:
                self.record(number, ".".join(found), "test", self.tree.has_test(*found))
        for found in IDENTIFIER.findall(rest):
            self.record(number, found, "word", found in self.tree.words or found in self.tree.stems)

    def check_links(self, text):
        for found in LINK.finditer(text):
            target = found.group(1)
            if re.match(r"[a-z]+:", target):
                continue
            number = text.count("\n", 0, found.start()) + 1
            page, _, anchor = target.partition("#")
            path = os.path.normpath(os.path.join(os.path.dirname(self.path), page)) if page else self.path
            exists = path in self.tree.files or path in self.tree.folders
            if exists and anchor:
                exists = anchor in anchors(read(path))
            self.record(number, target, "link", exists)


def paragraphs(text):
    """Yields (line number, text) of each paragraph, table row, list item and indented line."""
    part, first = [], 0
    for number, line in enumerate(text.split("\n"), 1):
        begins = re.match(r"\||- |\d+\. |#|    ", line)
        if part and (begins or not line.strip()):
            yield first, "\n".join(part)
            part = []
        if line.strip():
            first = first if part else number
            part.append(line)
    if part:
        yield first, "\n".join(part)


def anchors(text):
    """Returns the anchors of the headings as common viewers form them: in lower case, with hyphens for spaces, without
    punctuation and with repeats numbered."""
    found, seen = set(), collections.Counter()
    for heading in re.findall(r"^#+ +(.*)$", text, re.M):
        plain = re.sub(r"\[([^\]]*)\]\([^)]*\)", r"\1", heading).strip().lower()
        slug = re.sub(r"[^\w\- ]", "", plain).replace(" ", "-")
        found.add(f"{slug}-{seen[slug]}" if seen[slug] else slug)
        seen[slug] += 1
    return found


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("-v", dest="verbose", action="store_true")
    args = parser.parse_args()
    tree = Tree()
    excepted = {(page, name) for page, names, _ in EXCEPTIONS for name in names.split()}
    needed = set()
    good = True
    for path in ["README.md", "CONTRIBUTING.md"] + sorted(path for path in tree.files if re.match(r"docs/(incidents/)?[^/]+\.md$", path)):
        for number, name, what in Page(path, tree, args.verbose).unresolved:
            key = {(path, name), ("*", name)} & excepted
            needed |= key
            if not key:
                good = False
                print(f"{path}:{number}: `{name}`: no such {what}", file=sys.stderr)
    for page, name in sorted(excepted - needed):
        good = False
        print(f"{THIS_SCRIPT}: the exception `{name}` for {page} is no longer needed", file=sys.stderr)
    sys.exit(0 if good else 1)


if __name__ == "__main__":
    main()
