#!/usr/bin/env python3
"""Tests that scripts/doc_names.py accepts pages whose names all exist, and reports each kind of wrong name.

The script checks the tree that contains it; the test copies it to a small tree with one page.
"""
import os
import re
import shutil
import subprocess
import sys
import tempfile

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TREE = {
    "CMakeLists.txt": "add_executable(spancart main.c)\nadd_test(NAME fleet COMMAND x)\n",
    "platform/platform.cmake": "platform_test(words)\n",
    "platform/test/words.c": "int main(void) { cmocka_unit_test(unknown_word); }\n",
    "packages/packages.cmake": "spancart_cases(timelines 20 sim)\nspancart_test(old_disk lock sim)\n",
    "packages/sim/test/timelines.c": "int main(void) { cmocka_unit_test(zone_off); cmocka_unit_test(zone_cut); }\n",
    "packages/lock/test/old_disk.c": "int main(void) { cmocka_unit_test(is_read); }\n",
    "packages/lock/src/lock.c": '/* lock_steal */ void lock_renew(void) { say("holdMs"); }\n',
    "packages/lock/include/lock/lock.h": "#define LOCK_GRANT_MS 1500 /* LOCK_HOLD_MS */\n",
    "docs/glossary.md": "# Words\n\n| term | meaning | in older texts |\n|---|---|---|\n| `lock_renew` | | `lock_beat` |\n",
    "CONTRIBUTING.md": "# For contributors\n\n## What's in it: `packages`\n",
}
GOOD = """
`lock_renew`, `LOCK_GRANT_MS`, `holdMs`, holdMs, `lock.c`, `lock/lock`, `lock/src/lock.c`, `packages/lock`, `packages/*/src`,
`timelines.zone_off`, `.zone_cut`, `timelines.zone_*`, the tests `old_disk` and `fleet`, `platform-words.unknown_word`, `test-old_disk`,
`ctest -R timelines.zone_off`, [page](CONTRIBUTING.md#whats-in-it-packages), [words](docs/glossary.md).

    build/test-timelines --only zone_off
"""
WRONG = (  # text on the page, name that must be reported
    ("`lock_steal`", "lock_steal"),  # occurs only in a comment
    ("`LOCK_HOLD_MS`", "LOCK_HOLD_MS"),
    ("`lockRenew`", "lockRenew"),
    ("by lockRenew", "lockRenew"),
    ("`lock_renew(lock, old_name)`", "old_name"),
    ("`seat.c`", "seat.c"),
    ("`lock/src/seat.c`", "lock/src/seat.c"),
    ("`packages/seat`", "packages/seat"),
    ("`lock/seat`", "lock/seat"),
    ("`timelines.zoneOff`", "timelines.zoneOff"),
    ("`timelines.zone_off`, `.zone_of`", ".zone_of"),
    ("`timelines.rack_*`", "timelines.rack_*"),
    ("`lock.zone_off`", "lock.zone_off"),
    ("`platform-words.word`", "platform-words.word"),
    ("the test `lock_renew`", "lock_renew"),
    ("`test-ways`", "test-ways"),
    ("`ctest -R timelines.zoneOff`", "timelines.zoneOff"),
    ("`scripts/none.py --all`", "scripts/none.py"),
    ("\n    build/test-ways --only x\n", "build/test-ways"),
    ("[page](gone.md)", "gone.md"),
    ("[page](CONTRIBUTING.md#gone)", "CONTRIBUTING.md#gone"),
)


def write(root, path, text):
    os.makedirs(os.path.dirname(os.path.join(root, path)) or root, exist_ok=True)
    with open(os.path.join(root, path), "w") as file:
        file.write(text)


def reported(root, page):
    """Writes the text to README.md and returns the names that the script reports for any page."""
    write(root, "README.md", "# Page\n\n" + page + "\n")
    command = [sys.executable, os.path.join(root, "scripts/doc_names.py")]
    lines = subprocess.run(command, capture_output=True, text=True, check=False).stderr.split("\n")
    found = [re.match(r"([\w/]+\.md):\d+: `(.*)`: no such", line) for line in lines]
    return [each.group(2) for each in found if each]


def main():
    with tempfile.TemporaryDirectory() as root:
        subprocess.run(["git", "init", "-q", root], check=True)
        for path, text in TREE.items():
            write(root, path, text)
        os.makedirs(os.path.join(root, "scripts"))
        shutil.copy(os.path.join(ROOT, "scripts/doc_names.py"), os.path.join(root, "scripts"))
        errors = [f"a correct page is reported: {names}" for names in [reported(root, GOOD)] if names]
        for text, name in WRONG:
            names = reported(root, GOOD.replace("\n\n", f" {text}\n\n") if not text.startswith("\n") else GOOD + text)
            if set(names) != {name}:
                errors.append(f"{text.strip()}: reported {names}, expected {name}")
    for each in errors:
        print("tests/doc_names.py:", each, file=sys.stderr)
    sys.exit(1 if errors else 0)


if __name__ == "__main__":
    main()
