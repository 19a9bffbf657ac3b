"""A baseline of known findings that may only shrink.

The baseline is a file of lines `COUNT KEY`, sorted by key. The current findings must match it. A finding that is not
listed, or more frequent than listed, is an error. A listed finding that is gone or less frequent is an error too until
the baseline is lowered, so that it can't come back. The option `--lower` of the scripts that use this module writes
the lower counts, and never a higher one.
"""
import sys


def read(path):
    """Returns the counts of a baseline by key; a missing file is an empty baseline."""
    known = {}
    try:
        with open(path) as file:
            for line in file:
                if line.strip() and not line.startswith("#"):
                    count, key = line.rstrip("\n").split(" ", 1)
                    known[key] = int(count)
    except FileNotFoundError:
        pass
    return known


def header(path):
    """Returns the comment lines of a baseline."""
    try:
        with open(path) as file:
            return "".join(line for line in file if line.startswith("#"))
    except FileNotFoundError:
        return ""


def write(path, found):
    """Writes counts by key as the baseline and keeps its comment lines."""
    first = header(path)
    with open(path, "w") as file:
        file.write(first)
        for key in sorted(found):
            file.write(f"{found[key]} {key}\n")


def compare(path, found, where, lower=False, anew=False, whole=True):
    """Returns whether the findings (count by key) match the baseline, and prints the differences; `where` returns the
    lines that locate the findings of a key. If only some sources were checked (not `whole`), missing findings are
    not reported. `lower` writes the lower counts first; `anew` only writes the findings as the new baseline."""
    if anew:
        write(path, found)
        return True
    known = read(path)
    if lower and whole:
        known = {key: min(count, found.get(key, 0)) for key, count in known.items() if found.get(key, 0) > 0}
        write(path, known)
    good = True
    for key in sorted(set(found) | set(known)):
        now, listed = found.get(key, 0), known.get(key, 0)
        if now > listed:
            good = False
            for line in where(key):
                print(line, file=sys.stderr)
            print(f"{key}: found {now}, but {path} permits at most {listed}", file=sys.stderr)
        elif now < listed and whole:
            good = False
            print(f"{key}: found {now}, but {path} lists {listed}: lower the count with --lower", file=sys.stderr)
    return good
