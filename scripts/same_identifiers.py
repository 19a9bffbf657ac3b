"""Strings that the compiler made of a renamed type or field, for scripts/same_objects.py --identifiers.

Two kinds of places hold such a string, and only these are looked at:
- type: the name that talloc is given with a block, talloc_zero(mem, Type), and the name of a Shape;
- field: the name of a row in a shape's table, ROWS of SHAPE_TABLE.
Both are read by nobody but talloc's reports and the text of a refused frame. What stands anywhere else (a key of
JSON, a setting, a metric's name, a message) is no place of these, whatever it looks like, and differs.
"""
import collections
import re

import elfobject

# in clang-format's layout: what begins a line
DECLARED = re.compile(r"^(?:typedef\s+(?:struct|enum|union)\s+([A-Z]\w*)|\}\s*([A-Z]\w*);|SHAPE\((\w+),)|"
                      r"^(?:typedef\s+)?(?:struct|enum|union)\s+([A-Z]\w*)\s*\{", re.MULTILINE)
LITERAL = re.compile(r'"([A-Za-z_]\w*)"')
TYPE = re.compile(r"((?:const )?(?:struct )?)([A-Za-z_]\w*)((?: ?\*)*)$")
FIELD = re.compile(r"[A-Za-z_]\w*$")
# talloc's functions that its macros hand the name of a type to, and the register of that argument, by its number
RSI, RDX, RCX, R8 = 6, 2, 1, 8
TALLOC = {"_talloc_zero": RDX, "talloc_named_const": RDX, "_talloc_pooled_object": RDX, "_talloc_array": RCX,
          "_talloc_zero_array": RCX, "_talloc_realloc_array": R8, "_talloc_get_type_abort": RSI, "talloc_check_name": RSI}
ABSOLUTE32 = 10  # a relocation's type
SHAPE_BYTES, SHAPE_FIELDS, ROW_BYTES = 24, 16, 40  # of a Shape; in it, its function's place; of a row


class Sources:
    """The names of types that a tree's sources declare, and those of its string literals that are identifiers."""

    def __init__(self, texts):
        self.types, self.literals = set(), set()
        for text in texts:
            self.types.update(name for found in DECLARED.findall(text) for name in found if name)
            self.literals.update(LITERAL.findall(text))


def register_loaded(section, relocation):
    """The register that an instruction loads a constant's address into: lea or mov; -1: another instruction."""
    at = relocation.offset
    before = section.data[max(at - 3, 0):at]
    if relocation.type == elfobject.PC32 and len(before) == 3 and before[0] & 0xFB == 0x48 and before[1] == 0x8D:
        return before[2] >> 3 & 7 | (before[0] & 4) << 1
    if relocation.type == ABSOLUTE32 and len(before) > 1 and before[-1] & 0xF8 == 0xB8:
        return before[-1] & 7 | (8 if before[-2] == 0x41 else 0)
    return -1


class Places:
    """Where in an object the names of types and fields stand."""

    def __init__(self, object_):
        self.object = object_
        self.shapes = {}  # the section of a Shape -> its place there
        self.tables = set()  # the sections of rows
        for section in object_.content():
            for symbol in section.symbols:
                if re.search(r"(_s|S)hape$", symbol.name) and symbol.size == SHAPE_BYTES:
                    self._read_shape(section, symbol.value)

    def _read_shape(self, section, begin):
        parts = {each.offset - begin: each for each in section.relocations}
        if 0 not in parts or SHAPE_FIELDS not in parts or not self.object.constant(parts[0]):
            return
        target = parts[SHAPE_FIELDS].symbol.section
        if not 0 < target < elfobject.SHN_LORESERVE:
            return
        self.shapes[section.index] = begin
        for each in self.object.sections[target].relocations:
            rows = each.symbol.section
            if 0 < rows < elfobject.SHN_LORESERVE and any(
                    re.fullmatch(r"ROWS(\.\d+)?", symbol.name) for symbol in self.object.sections[rows].symbols):
                self.tables.add(rows)

    def kind(self, section, relocation):
        """What the string is the name of: type, field, or None for any other."""
        if section.index in self.tables:
            return "field" if relocation.offset % ROW_BYTES == 0 else None
        if section.index in self.shapes:
            return "type" if relocation.offset == self.shapes[section.index] else None
        return "type" if section.name.startswith(".text") and self._for_talloc(section, relocation) else None

    @staticmethod
    def _for_talloc(section, relocation):
        """Whether the call that comes next in the code is talloc's, and the string's address is loaded into the
        register of the name: no call leaves that as it is, so that the string is for this one alone."""
        for each in section.relocations:
            if each.offset > relocation.offset and each.type == elfobject.PLT32 and not each.symbol.name.endswith(".cold"):
                return each.symbol.undefined() and TALLOC.get(each.symbol.name) == register_loaded(section, relocation)
        return False


class Identifiers:
    """Old and new names of types and fields: those that changed, one to one in each kind."""

    def __init__(self, old_sources, new_sources):
        self.old, self.new = old_sources, new_sources
        self.new_of = {"type": {}, "field": {}}
        self.old_of = {"type": {}, "field": {}}
        self.counts = collections.Counter()
        self.kept = collections.Counter()  # those that stayed, by kind and name

    def renamed(self, kind, was, now):
        """Takes the change of a string of this kind; tells what speaks against it, or None."""
        if kind == "type":
            old, new = TYPE.match(was), TYPE.match(now)
            if not old or not new or (old[1], old[3]) != (new[1], new[3]):
                return "no names of types"
            was, now = old[2], new[2]
            wrong = self._undeclared(was, self.old, "old") or self._undeclared(now, self.new, "new")
        else:
            wrong = None if FIELD.match(was) and FIELD.match(now) else "no names of fields"
        if wrong:
            return wrong
        known = self.new_of[kind].setdefault(was, now)
        if known != now:
            return f"{kind} {was}, but -> {known} elsewhere"
        known = self.old_of[kind].setdefault(now, was)
        if known != was:
            return f"{kind} {known} -> {now} elsewhere"
        self.counts[kind, was] += 1
        return None

    def keep(self, kind, name):
        """Takes a string of this kind that stayed. No fault of its own, but show() tells it."""
        self.kept[kind, TYPE.match(name)[2] if kind == "type" and TYPE.match(name) else name] += 1

    @staticmethod
    def _undeclared(name, sources, which):
        if name not in sources.types:
            return f"no type {name} is declared in the {which} sources"
        if name in sources.literals:
            return f"{name} is also a string literal of the {which} sources"
        return None

    def handed_on(self):
        """Names that one gave up and another one took, as where two are swapped: no rename that can be told apart."""
        return [f"{kind} {was} -> {now}, which was another one's name" for kind, names in self.new_of.items()
                for was, now in sorted(names.items()) if now in names]

    def show(self, pairs):
        """The table: how many names of each kind changed in how many places, and with pairs which ones. A name that
        another type or field kept, or had before, is said: types of one file and fields of one shape may have it."""
        for kind, names in self.new_of.items():
            changed = sorted(names.items())
            places = sum(self.counts[kind, was] for was, _ in changed)
            print(f"strings of renamed {kind}s: {len(changed)} names in {places} places")
            for was, now in changed if pairs else ():
                print(f"{kind}\t{was}\t{now}\t{self.counts[kind, was]}")
            for was, now in changed:
                if self.kept[kind, was]:
                    print(f"{kind} {was} -> {now}, but another one keeps the name {was}: {self.kept[kind, was]} places")
                if self.kept[kind, now]:
                    print(f"{kind} {was} -> {now}, as another one is called before and after: {self.kept[kind, now]} places")
