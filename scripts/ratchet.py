"""A list of known findings that may only shrink.

A file of lines `COUNT KEY`, sorted by key. What is found now must match it: a finding that is not listed, or
that is counted higher than listed, fails; one that is listed and gone, or counted lower, fails too until the
list is lowered, so that it can't come back. `--lower` of the scripts that use this writes the lower counts,
and never a higher one.
"""
import sys


def read(path):
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


def head(path):
    try:
        with open(path) as file:
            return "".join(line for line in file if line.startswith("#"))
    except FileNotFoundError:
        return ""


def write(path, found):
    first = head(path)
    with open(path, "w") as file:
        file.write(first)
        for key in sorted(found):
            file.write(f"{found[key]} {key}\n")


def compare(path, found, where, lower=False, anew=False, whole=True):
    """Whether what was found is what is known; `where` says for a key where it stands. Prints the rest.
    Where only a part was looked at (not `whole`), what is gone can't be told."""
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
            print(f"{key}: {now}, at most {listed} by {path}", file=sys.stderr)
        elif now < listed and whole:
            good = False
            print(f"{key}: {now}, but {listed} in {path}: lower it there with --lower", file=sys.stderr)
    return good
