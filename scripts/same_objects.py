#!/usr/bin/env python3
"""Proves that two commits differ only in names: their compiled objects are the same.

same_objects.py A B           compares all objects of A and B at -O2: code, data, read-only data, relocations
same_objects.py --moved A B   compares functions and data by name at -O0, whichever object contains them
same_objects.py [--moved] --folders A B    A and B are folders of objects that were compiled with --print-flags

A and B are commits; WORK means the files in the working tree. The objects of a tree are kept in build-same/TREE, so
that a chain of commits needs one build for each. Only these differences between A and B are permitted:
- names of symbols, if old and new names correspond one to one, global symbols over the whole tree and local symbols
  within their object; symbols that the tree does not define (of libraries) keep their names;
- line numbers, __FILE__, __func__ and the texts of assert() and of cmocka's assertions: both sides are compiled
  without them, but with the conditions;
- in test programs, a string that is the name of a function of the program, if the function is renamed likewise;
- strings listed in --strings FILE (old TAB new, one pair a line, with C escapes);
- with --identifiers, strings that macros make of the name of a renamed type or field, see below;
- the order of functions in an object, if each function has its counterpart.
Files are paired by path; renamed files by `git diff -M` or by --files FILE (old TAB new, files or folders).

--identifiers permits the change of a string only if it is the type name passed to a talloc function or the name of a
Shape, where both types are declared in their sources and no string literal there has their names; or if it is the
name of a row of a shape's table (ROWS). Old and new names must correspond one to one over the tree, separately for
types and for fields; a name that one identifier gave up and another one took (two swapped fields) is a difference.
The script prints the number of changed names and which identifiers kept such a name; with --symbols also each pair
and the number of its places. Limits: a string counts as passed to talloc by the next call in the code and by the
register. A string that the compiler keeps in another register for several calls is reported as a difference; compare
with --level O0-merged then, where it keeps none. The code may jump between the load and the next call: another
call with the same argument in the same register would be mistaken for talloc's, provided that the string is the name
of a declared type that no literal spells. Types and fields that no string names are not counted, and the choice of a
new name is not judged. With --folders, the sources are the files beside the objects.

--moved reports what is gone, new and changed. A function is the same if its bytes are the same and it refers to the
same names, strings and constants. The comparison passes if nothing is gone, new or changed. Whether a name is static
is not compared; for a name that occurs in several files, the sets of its definitions are compared.
"""
import argparse
import collections
import fcntl
import hashlib
import io
import json
import os
import re
import shutil
import subprocess
import sys
import tarfile
import tempfile

import elfobject
import same_identifiers

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
CACHE = os.path.join(ROOT, "build-same")
SHIM = {"forced.h": """#define __LINE__ 0
#define __FILE__ ""
#define __func__ ""
#define __FUNCTION__ ""
""", "assert.h": """#undef assert
#define assert(condition) ((condition) ? (void)0 : __builtin_abort())
#undef static_assert
#define static_assert _Static_assert
""", "cmocka.h": """#include_next <cmocka.h>
#undef assert_true
#undef assert_false
#undef assert_non_null
#undef assert_null
#undef assert_return_code
#define assert_true(c) _assert_true(cast_to_largest_integral_type(c), "", "", 0)
#define assert_false(c) _assert_true(!(cast_to_largest_integral_type(c)), "", "", 0)
#define assert_non_null(c) _assert_true(cast_ptr_to_largest_integral_type(c), "", "", 0)
#define assert_null(c) _assert_true(!(cast_ptr_to_largest_integral_type(c)), "", "", 0)
#define assert_return_code(rc, error) \\
    _assert_return_code(cast_to_largest_integral_type(rc), sizeof(rc), cast_to_largest_integral_type(error), "", "", 0)
"""}
COMMON = ["-g0", "-ffunction-sections", "-fdata-sections", "-fno-asynchronous-unwind-tables",
          "-w"]
# At O0 with these flags, a function compiles to the same code whether its callees are in its own file or another one.
LEVELS = {"O2": ["-O2"], "O0": ["-O0", "-fno-inline", "-fno-pie", "-fno-jump-tables", "-fno-ipa-stack-alignment"],
          # each string is loaded right before the call that it is passed to
          "O0-merged": ["-O0", "-fno-pie", "-fmerge-constants"]}
KINDS = re.compile(r"\.(text\.(?:unlikely|startup|exit|hot)|text|rodata|data\.rel\.ro\.local|data\.rel\.ro|"
                   r"data\.rel\.local|data\.rel|data|bss|tdata|tbss)(?=\.|$)")
BYTES_SHOWN = 8  # bytes printed from the first difference


# ---- building

def flags(level, folder):
    """Returns the flags of the compiler, and writes the headers that they name to the folder."""
    os.makedirs(folder, exist_ok=True)
    for name, text in SHIM.items():
        with open(os.path.join(folder, name), "w") as file:
            file.write(text)
    return [*LEVELS[level], *COMMON, "-I" + folder, "-include", os.path.join(folder, "forced.h")]


def git(*words, **more):
    return subprocess.run(["git", *words], cwd=ROOT, check=True, capture_output=True, **more).stdout


def tree_of(name):
    """Returns the ID of the tree of a commit; of the files in the working tree for WORK."""
    if name != "WORK":
        return git("rev-parse", name + "^{tree}").decode().strip()
    with tempfile.TemporaryDirectory() as folder:
        environment = {**os.environ, "GIT_INDEX_FILE": os.path.join(folder, "index")}
        git("read-tree", "HEAD", env=environment)
        git("add", "-A", env=environment)
        return git("write-tree", env=environment).decode().strip()


def compile_tree(tree, level, jobs):
    """Compiles all objects of a tree unless that was done before. Returns their folder."""
    home = os.path.join(CACHE, tree, level)
    os.makedirs(home, exist_ok=True)
    with open(os.path.join(home, "lock"), "w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        made = hashlib.sha256(repr((SHIM, COMMON, LEVELS[level])).encode()).hexdigest()
        stamp, objects = os.path.join(home, "made"), os.path.join(home, "objects")
        if os.path.exists(stamp) and open(stamp).read() == made:
            return objects
        print(f"compiling {tree[:12]} at -{level}", file=sys.stderr, flush=True)
        source, build = os.path.join(home, "source"), os.path.join(home, "build")
        for folder in (source, build, objects):
            shutil.rmtree(folder, ignore_errors=True)
        with tarfile.open(fileobj=io.BytesIO(git("archive", "--format=tar", tree))) as archive:
            archive.extractall(source, [each for each in archive if not each.name.startswith("journal/")])
        subprocess.run(["cmake", "-S", source, "-B", build, "-G", "Ninja", "-DCMAKE_BUILD_TYPE=None",
                        "-DSPANCART_WERROR=OFF", "-DCMAKE_EXPORT_COMPILE_COMMANDS=ON",
                        "-DCMAKE_C_FLAGS=" + " ".join(flags(level, os.path.join(home, "shim")))],
                       check=True, stdout=subprocess.DEVNULL)
        with open(os.path.join(build, "compile_commands.json")) as file:
            commands = [each["command"].split() for each in json.load(file)]
        outputs = sorted({words[words.index("-o") + 1] for words in commands})
        with open(os.path.join(home, "log"), "w+") as log:
            if subprocess.run(["ninja", "-C", build, "-k", "20", "-j", str(jobs), *outputs], stdout=log, stderr=log).returncode:
                log.seek(0)
                errors = [line for line in log.read().split("\n") if "error" in line]
                sys.exit("\n".join(errors[:20]) + f"\n{tree} does not compile, see {log.name}")
        for output in outputs:
            target = os.path.join(objects, output)
            os.makedirs(os.path.dirname(target), exist_ok=True)
            os.rename(os.path.join(build, output), target)
        shutil.rmtree(source)
        shutil.rmtree(build)
        with open(stamp, "w") as file:
            file.write(made)
    return objects


# ---- pairing files

class Place:
    """The path of an object with its target and source: CMakeFiles/TARGET.dir/SOURCE.o, or just a source."""

    def __init__(self, path):
        self.path = path
        match = re.match(r"CMakeFiles/([^/]+)\.dir/(.*)\.o$", path)
        self.target, self.source = (match[1], match[2]) if match else ("", path)

    def tests(self):
        return self.target.startswith("test-") or "/test/" in "/" + self.source


def objects_in(folder):
    found = {}
    for where, _, names in os.walk(folder):
        for name in names:
            if name.endswith(".o"):
                path = os.path.relpath(os.path.join(where, name), folder)
                found[path] = Place(path)
    return found


def renamed_files(old, new):
    words = git("diff", "-M40%", "-l0", "--name-status", "-z", "--diff-filter=R", old, new).decode().split("\0")
    return {words[at + 1]: words[at + 2] for at in range(0, len(words) - 2, 3)}


def read_pairs(path):
    """Reads a file of lines OLD, TAB, NEW; None is an empty file."""
    pairs = {}
    if path:
        with open(path) as file:
            for line in file:
                if line.strip() and not line.startswith("#"):
                    old, new = line.rstrip("\n").split("\t")
                    pairs[old] = new
    return pairs


def unescaped(text):
    """Resolves the C escapes of a string; the result has one character for each byte."""
    return text.encode().decode("unicode_escape")


def new_source(source, renames, packages):
    """Returns the new path of a source, by the renamed files, folders and packages."""
    if source in renames:
        return renames[source]
    for old, new in renames.items():
        if source.startswith(old.rstrip("/") + "/"):
            return new.rstrip("/") + source[len(old.rstrip("/")):]
    parts = source.split("/")
    if parts[0] == "packages" and len(parts) > 2 and parts[1] in packages:
        return "/".join(["packages", packages[parts[1]], *parts[2:]])
    return source


def pair_places(old, new, renames):
    """Returns the pairs of paths, the unpaired old paths and the unpaired new paths."""
    votes = collections.defaultdict(collections.Counter)
    for was, now in renames.items():
        was, now = was.split("/"), now.split("/")
        if was[0] == now[0] == "packages" and len(was) > 1 and len(now) > 1 and was[1] != now[1]:
            votes[was[1]][now[1]] += 1
    packages = {was: each.most_common(1)[0][0] for was, each in votes.items()
                if not any(place.source.startswith(f"packages/{was}/src/") for place in new.values())}
    by_source = collections.defaultdict(list)
    for path, place in new.items():
        by_source[place.source].append(path)
    pairs, left, taken = [], [], set()
    for path, place in sorted(old.items()):
        source = place.source if place.source in by_source else new_source(place.source, renames, packages)
        free = [each for each in by_source.get(source, []) if each not in taken]
        wanted = (place.target, packages.get(place.target, place.target))
        same = [each for each in free if new[each].target in wanted]
        if same or len(free) == 1:
            chosen = (same or free)[0]
            taken.add(chosen)
            pairs.append((path, chosen))
        else:
            left.append(path)
    return pairs, left, [path for path in sorted(new) if path not in taken]


# ---- comparing objects that only rename

class Names:
    """The correspondence between old and new names of the global symbols, which is one to one."""

    def __init__(self, old_defined, new_defined):
        self.old_defined, self.new_defined = old_defined, new_defined
        self.new_of, self.old_of, self.where = {}, {}, {}

    def pair_names(self, old, new, where):
        """Records that two names correspond. Returns why they can't, or None if they can."""
        if (old in self.old_defined) != (new in self.new_defined):
            return f"symbol {old} -> {new}: only one of them is defined in its tree"
        if old not in self.old_defined and old != new:
            return f"symbol {old} -> {new}: these are of libraries"
        known = self.new_of.setdefault(old, new)
        if known != new:
            return f"symbol {old} -> {new}, but -> {known} in {self.where[old]}"
        known = self.old_of.setdefault(new, old)
        if known != old:
            return f"symbol {old} -> {new}, but {known} -> {new} in {self.where[known]}"
        self.where.setdefault(old, where)
        return None


def kind_of(section):
    """Returns the name of a section without the function or variable that -ffunction-sections appends."""
    match = KINDS.match(section.name)
    return match[1] if match else section.name


def shape_of(section):
    return kind_of(section), section.type, section.flags, section.align, section.size, bytes(section.data)


def functions_of(object_):
    return {symbol.name: symbol for symbol in object_.symbols
            if symbol.type == elfobject.STT_FUNC and not symbol.undefined()}


class Comparison:
    """The comparison of one pair of objects."""

    def __init__(self, old, new, where, names, permitted, identifiers, tests):
        if old.machine is not new.machine:
            raise ValueError(f"{where}: objects of two machines can't be compared")
        self.old, self.new, self.where = old, new, where
        self.names, self.permitted, self.identifiers, self.tests = names, permitted, identifiers, tests
        self.places = {each: same_identifiers.Places(each) for each in (old, new)} if identifiers else {}
        self.used = set()  # the permitted string changes that occurred
        self.differences = []
        self.pairs = self._pair()
        self.new_index = {a.index: b.index for a, b in self.pairs}

    def differ(self, text):
        self.differences.append(text)

    # -- pairing of sections

    def _pair(self):
        old, new = self.old.content(), self.new.content()
        if len(old) == len(new) and all(shape_of(a) == shape_of(b) for a, b in zip(old, new)):
            return list(zip(old, new))
        colours = [self._colours(self.old, old, True), self._colours(self.new, new, False)]
        by_colour = collections.defaultdict(list)
        for section in new:
            by_colour[colours[1][section.index]].append(section)
        pairs, left = [], []
        for section in old:
            same = by_colour[colours[0][section.index]]
            named = [each for each in same if each.name == section.name]
            if same:
                chosen = (named or same)[0]
                same.remove(chosen)
                pairs.append((section, chosen))
            else:
                left.append(section)
        rest = [section for section in new if section in by_colour[colours[1][section.index]]]
        self._pair_rest(left, rest, pairs)
        return pairs

    def _pair_rest(self, left, rest, pairs):
        """Pairs the sections without a counterpart by name or by position, so that differences can be reported."""
        for section in left:
            named = [each for each in rest if each.name == section.name]
            alike = [each for each in rest if kind_of(each) == kind_of(section)]
            if not named and not (alike and len(left) == len(rest)):
                self.differ(f"{section.name}: has no counterpart in the new object")
                continue
            chosen = (named or alike)[0]
            rest.remove(chosen)
            pairs.append((section, chosen))
        if rest:
            self.differ(f"{rest[0].name}: has no counterpart in the old object")

    def _colours(self, object_, sections, old):
        """Maps each section to a hash of its contents and of the sections that it refers to (colour refinement)."""
        functions = functions_of(object_) if self.tests else {}
        defined = self.names.old_defined if old else self.names.new_defined

        def key(section, relocation):
            constant = object_.constant(relocation)
            symbol = relocation.symbol
            if constant:
                text = constant[0].decode("latin-1")
                if text in functions:
                    return "function's name", constant[1]
                if self.identifiers and self.places[object_].kind(section, relocation):
                    return "identifier", constant[1]
                return self.permitted.get(text, text) if old else text, constant[1]
            if symbol.undefined():
                return "" if symbol.name in defined else symbol.name, relocation.addend
            return symbol.section in colours, symbol.value, relocation.addend

        colours = {section.index: None for section in sections}
        colours = {section.index: hash((shape_of(section), tuple(
            (each.offset, each.type, key(section, each)) for each in section.relocations))) for section in sections}
        for _ in range(4):
            colours = {section.index: hash((colours[section.index], tuple(
                colours.get(each.symbol.section) for each in section.relocations))) for section in sections}
        return colours

    # -- comparison of the pairs

    def pair_definitions(self):
        for a, b in self.pairs:
            if len(a.symbols) != len(b.symbols):
                self.differ(f"{a.name}: {len(a.symbols)} symbols, now {len(b.symbols)}")
                continue
            for x, y in zip(a.symbols, b.symbols):
                if (x.value, x.size, x.type, x.bind, x.visibility) != (y.value, y.size, y.type, y.bind, y.visibility):
                    self.differ(f"{a.name}: symbols {x.name} and {y.name} differ in place, size, kind or linkage")
                elif x.bind != elfobject.STB_LOCAL:
                    reason = self.names.pair_names(x.name, y.name, self.where)
                    if reason:
                        self.differ(reason)

    def compare(self):
        for a, b in self.pairs:
            self._compare_bytes(a, b)
            self._compare_relocations(a, b)

    def _compare_bytes(self, a, b):
        if shape_of(a) == shape_of(b) or self._permitted_array(a, b):
            return
        for at, (x, y) in enumerate(zip(a.data, b.data)):
            if x != y:
                self.differ(f"{a.name}+0x{at:x}: {a.data[at:at + BYTES_SHOWN].hex(' ')} -> {b.data[at:at + BYTES_SHOWN].hex(' ')}"
                            + (f" ({a.size} -> {b.size} bytes)" if a.size != b.size else ""))
                return
        if a.size != b.size:
            self.differ(f"{a.name}: {a.size} -> {b.size} bytes")
        else:
            self.differ(f"{a.name}: {shape_of(a)[:4]} -> {b.name}: {shape_of(b)[:4]}")

    def _permitted_array(self, a, b):
        """Returns whether the sections are arrays that consist of a permitted string."""
        was, now = bytes(a.data[:-1]).decode("latin-1"), bytes(b.data[:-1]).decode("latin-1")
        if a.data[-1:] != b"\0" or b.data[-1:] != b"\0" or kind_of(a) != kind_of(b):
            return False
        return self._permitted(was, now)

    def _permitted(self, was, now):
        if self.permitted.get(was) != now:
            return False
        self.used.add((was, now))
        return True

    def _compare_relocations(self, a, b):
        if len(a.relocations) != len(b.relocations):
            self.differ(f"{a.name}: {len(a.relocations)} -> {len(b.relocations)} relocations")
        for x, y in zip(a.relocations, b.relocations):
            reason = self._compare_relocation(a, x, b, y)
            if reason:
                self.differ(f"{a.name}+0x{x.offset:x}: {reason}")

    def _compare_relocation(self, a, x, b, y):
        if (x.offset, x.type) != (y.offset, y.type):
            return f"relocation of type {x.type} -> +0x{y.offset:x} of type {y.type}"
        was, now = self.old.constant(x), self.new.constant(y)
        if was or now:
            counts = not same_identifiers.is_page(self.old, x)
            return self._compare_constants(was, now, self._identifier_kind(a, x, b, y), counts)
        if x.addend != y.addend:
            return f"{self._shown(self.old, x)} -> {self._shown(self.new, y)}"
        if x.symbol.undefined() or y.symbol.undefined():
            if x.symbol.undefined() and y.symbol.undefined():
                return self.names.pair_names(x.symbol.name, y.symbol.name, self.where)
        elif x.symbol.section >= elfobject.SHN_LORESERVE or y.symbol.section >= elfobject.SHN_LORESERVE:
            if (x.symbol.section, x.symbol.value) == (y.symbol.section, y.symbol.value):
                return None
        elif (self.new_index.get(x.symbol.section), x.symbol.value) == (y.symbol.section, y.symbol.value):
            return None
        return f"{self._shown(self.old, x)} -> {self._shown(self.new, y)}"

    def _identifier_kind(self, a, x, b, y):
        if not self.identifiers:
            return None
        kinds = {self.places[self.old].kind(a, x), self.places[self.new].kind(b, y)}
        return kinds.pop() if len(kinds) == 1 else None

    def _compare_constants(self, was, now, kind, counts):
        if was == now:
            if kind:
                self.identifiers.keep(kind, was[0].decode("latin-1"), counts)
            return None
        why = ""
        if was and now and was[1] == now[1]:
            old, new = was[0].decode("latin-1"), now[0].decode("latin-1")
            if self._permitted(old, new) or (self.tests and self._function_renamed(old, new)):
                return None
            reason = self.identifiers.renamed(kind, old, new, counts) if kind else None
            if kind and not reason:
                return None
            why = f" ({reason})" if reason else ""
        return " -> ".join(repr(each[0]) if each and each[1] in (0, -4) else str(each or "no constant")
                           for each in (was, now)) + why

    def _function_renamed(self, old, new):
        a, b = functions_of(self.old).get(old), functions_of(self.new).get(new)
        return a and b and (self.new_index.get(a.section), a.value) == (b.section, b.value)

    @staticmethod
    def _shown(object_, relocation):
        symbol = relocation.symbol
        name = symbol.name
        if symbol.type == elfobject.STT_SECTION:
            name = object_.sections[symbol.section].name
        return f"{name}{relocation.addend:+d}"

    def local_renamed(self):
        return sum(x.name != y.name for a, b in self.pairs for x, y in zip(a.symbols, b.symbols)
                   if x.bind == elfobject.STB_LOCAL)


def defined_in(objects):
    return {symbol.name for each in objects for symbol in each.symbols
            if symbol.bind != elfobject.STB_LOCAL and not symbol.undefined()}


def load(folder, paths):
    return {path: elfobject.Object(os.path.join(folder, path)) for path in paths}


def sources_in(folder):
    """Yields the texts of the sources beside the objects."""
    for where, _, names in os.walk(folder):
        for name in names:
            if name.endswith((".c", ".h")):
                with open(os.path.join(where, name)) as file:
                    yield file.read()


def sources_of(tree):
    with tarfile.open(fileobj=io.BytesIO(git("archive", "--format=tar", tree))) as archive:
        for each in archive:
            if each.isfile() and each.name.endswith((".c", ".h")) and not each.name.startswith("journal/"):
                yield archive.extractfile(each).read().decode()


def compare_renamed(old_folder, new_folder, renames, permitted, identifiers, symbols, everything):
    old_places, new_places = objects_in(old_folder), objects_in(new_folder)
    old, new = load(old_folder, old_places), load(new_folder, new_places)
    pairs, gone, added = pair_places(old_places, new_places, renames)
    names = Names(defined_in(old.values()), defined_in(new.values()))
    comparisons = [Comparison(old[a], new[b], a, names, permitted, identifiers,
                              old_places[a].tests() and new_places[b].tests())
                   for a, b in pairs]
    for each in comparisons:
        each.pair_definitions()
    for each in comparisons:
        each.compare()
    for path in gone:
        print(f"{path}: gone")
    for path in added:
        print(f"{path}: new")
    for each in comparisons:
        for text in each.differences if everything else each.differences[:1]:
            print(f"{each.where}: {text}")
    changed = sorted((was, now) for was, now in names.new_of.items() if was != now)
    if symbols:
        for was, now in changed:
            print(f"{was}\t{now}")
    for was, now in sorted(set().union(*(each.used for each in comparisons))):
        print(f"permitted string: {was!r} -> {now!r}")
    reused_names = identifiers.reused_names() if identifiers else []
    for text in reused_names:
        print(text)
    if identifiers:
        identifiers.show(symbols)
    differ = len(gone) + len(added) + sum(bool(each.differences) for each in comparisons)
    count = len(pairs) + len(gone) + len(added)
    local = sum(each.local_renamed() for each in comparisons)
    print(f"{count} objects, {count - differ} the same, {differ} differ; "
          f"{len(changed)} global and {local} local symbols renamed")
    return differ == 0 and not reused_names and count > 0


# ---- comparing by name

class Named:
    """The functions and data of one tree by name, with digests of their contents."""

    def __init__(self, folder, permitted):
        self.permitted = permitted
        self.digests = collections.defaultdict(collections.Counter)
        self.objects = collections.defaultdict(set)
        for path in objects_in(folder):
            self._read(elfobject.Object(os.path.join(folder, path)), Place(path).source)

    @staticmethod
    def _plain(name):
        return re.sub(r"\.\d+$", "", name)  # the compiler appends a number to a static variable of a function

    def _read(self, object_, source):
        self.cuts = collections.defaultdict(set)
        for section in object_.content():
            for each in section.relocations:
                if each.symbol.type == elfobject.STT_SECTION:
                    self.cuts[each.symbol.section].add(self._place(object_, each))
        for section in object_.content():
            for symbol in section.symbols:
                key = (kind_of(section).split(".")[0], self._plain(symbol.name))
                self.digests[key][self._digest(object_, section, symbol)] += 1
                self.objects[key].add(source)

    @staticmethod
    def _place(object_, relocation):
        return relocation.addend + (4 if relocation.type in object_.machine.pc_relative else 0)

    def _digest(self, object_, section, symbol):
        begin, end = symbol.value, symbol.value + symbol.size
        # The section is not compared: const data is in .rodata without pointers and in .data.rel.ro with them, which
        # the relocations show.
        what = [symbol.type, symbol.size, bytes(section.data[begin:end])]
        for each in section.relocations:
            if begin <= each.offset < end:
                kind = object_.machine.same_as.get(each.type, each.type)
                what.append((each.offset - begin, kind, self._target(object_, each)))
        return hashlib.sha256(repr(what).encode()).hexdigest()

    def _target(self, object_, relocation):
        constant = object_.constant(relocation)
        if constant:
            text = constant[0].decode("latin-1")
            return "constant", self.permitted.get(text, text), constant[1]
        symbol = relocation.symbol
        if symbol.type != elfobject.STT_SECTION:
            return "name", self._plain(symbol.name), relocation.addend
        section = object_.sections[symbol.section]
        if len(section.symbols) == 1 and section.symbols[0].value == 0:
            return "name", self._plain(section.symbols[0].name), relocation.addend
        begin = self._place(object_, relocation)
        for each in section.symbols:
            if each.value <= begin < each.value + max(each.size, 1):
                return "name", self._plain(each.name), relocation.addend - each.value
        # an unnamed constant extends to the next one that is referred to
        end = min((cut for cut in self.cuts[symbol.section] if cut > begin), default=section.size)
        return "nameless", bytes(section.data[begin:end]).rstrip(b"\0")


def compare_moved(old_folder, new_folder, permitted):
    old, new = Named(old_folder, permitted), Named(new_folder, {})
    count = same = moved = 0
    for key in sorted({*old.digests, *new.digests}):
        what = ("function " if key[0] == "text" else key[0] + " ") + key[1]
        count += 1
        if key not in new.digests:
            print(f"gone: {what} ({', '.join(sorted(old.objects[key]))})")
        elif key not in old.digests:
            print(f"new: {what} ({', '.join(sorted(new.objects[key]))})")
        elif set(old.digests[key]) != set(new.digests[key]):
            print(f"changed: {what} ({', '.join(sorted(old.objects[key] | new.objects[key]))})")
        else:
            same += 1
            moved += old.objects[key] != new.objects[key]
    print(f"{count} functions and data, {same} the same ({moved} of them in other files), {count - same} differ")
    return same == count and count > 0


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--moved", action="store_true")
    parser.add_argument("--folders", action="store_true")
    parser.add_argument("--strings", metavar="FILE")
    parser.add_argument("--files", metavar="FILE")
    parser.add_argument("--identifiers", action="store_true",
                        help="permit changed strings that are names of renamed types and fields")
    parser.add_argument("--symbols", action="store_true",
                        help="print the renamed global symbols, types and fields")
    parser.add_argument("--all", action="store_true", help="print all differences of an object, not only the first")
    parser.add_argument("--level", choices=["O2", "O0-merged"], default="O2", help="optimization level; --moved uses O0")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--print-flags", metavar="FOLDER", help="write the headers to FOLDER and print the compiler flags")
    parser.add_argument("old", nargs="?")
    parser.add_argument("new", nargs="?")
    args = parser.parse_args()
    level = "O0" if args.moved else args.level
    if args.print_flags:
        print(*flags(level, os.path.abspath(args.print_flags)))
        return
    if args.identifiers and args.moved:
        parser.error("--identifiers can't be combined with --moved, which compares by name")
    if not args.new:
        parser.error("two commits or folders are needed")
    renames = {}
    folders = args.old, args.new
    texts = [sources_in(folder) for folder in folders] if args.folders else []
    if not args.folders:
        trees = [tree_of(name) for name in folders]
        texts = [sources_of(tree) for tree in trees]
        renames = renamed_files(*trees)
        folders = [compile_tree(tree, level, args.jobs) for tree in trees]
    renames.update(read_pairs(args.files))
    permitted = {unescaped(old): unescaped(new) for old, new in read_pairs(args.strings).items()}
    if args.moved:
        good = compare_moved(*folders, permitted)
    else:
        identifiers = same_identifiers.Identifiers(*map(same_identifiers.Sources, texts)) if args.identifiers else None
        good = compare_renamed(*folders, renames, permitted, identifiers, args.symbols, args.all)
    sys.exit(0 if good else 1)


if __name__ == "__main__":
    main()
