"""Recognizes strings that name a renamed type or field, for scripts/same_objects.py --identifiers.

Macros make such strings, and they occur in two kinds of places:
- type: the type name that is passed to talloc with a block, talloc_zero(mem, Type), and the name of a Shape;
- field: the name of a row in the table of a shape, ROWS of SHAPE_TABLE.
Only talloc's reports and the message about a refused frame show them. A string in any other place (a JSON key, a
setting, the name of a metric, a message) counts as different when it changes, even if it looks like a name.
"""
import collections
import re

import elfobject

# Declarations of types, in the layout of clang-format, where each one begins a line
DECLARED = re.compile(r"^(?:typedef\s+(?:struct|enum|union)\s+([A-Z]\w*)|\}\s*([A-Z]\w*);|SHAPE\((\w+),)|"
                      r"^(?:typedef\s+)?(?:struct|enum|union)\s+([A-Z]\w*)\s*\{", re.MULTILINE)
LITERAL = re.compile(r'"([A-Za-z_]\w*)"')
TYPE = re.compile(r"((?:const )?(?:struct )?)([A-Za-z_]\w*)((?: ?\*)*)$")
FIELD = re.compile(r"[A-Za-z_]\w*$")
# The talloc functions whose macros pass the name of a type, and the position of that argument, from 0
TALLOC = {"_talloc_zero": 2, "talloc_named_const": 2, "_talloc_pooled_object": 2, "_talloc_array": 3, "_talloc_zero_array": 3,
          "_talloc_realloc_array": 4, "_talloc_get_type_abort": 1, "talloc_check_name": 1}
# The numbers of the registers of the arguments, in the encoding of instructions
ARGUMENTS = {elfobject.X86_64: (7, 6, 2, 1, 8, 9), elfobject.AARCH64: tuple(range(8))}
INSTRUCTION_BYTES = 4  # AArch64
SHAPE_BYTES, SHAPE_FIELDS, ROW_BYTES = 24, 16, 40  # size of a Shape, offset of its function, size of a row


class Sources:
    """The types that the sources of a tree declare, and their string literals that have the form of an identifier."""

    def __init__(self, texts):
        self.types, self.literals = set(), set()
        for text in texts:
            self.types.update(name for found in DECLARED.findall(text) for name in found if name)
            self.literals.update(LITERAL.findall(text))


def instruction(section, offset):
    """Returns an instruction of AArch64."""
    return int.from_bytes(section.data[offset:offset + INSTRUCTION_BYTES], "little")


def x86_64_register(section, relocation):
    """Returns the number of the register into which a lea or mov loads the address of a constant; -1 for any other
    instruction."""
    at = relocation.offset
    before = section.data[max(at - 3, 0):at]
    if relocation.type == elfobject.X86_64_PC32 and len(before) == 3 and before[0] & 0xFB == 0x48 and before[1] == 0x8D:
        return before[2] >> 3 & 7 | (before[0] & 4) << 1
    if relocation.type == elfobject.X86_64_32 and len(before) > 1 and before[-1] & 0xF8 == 0xB8:
        return before[-1] & 7 | (8 if before[-2] == 0x41 else 0)
    return -1


def aarch64_register(section, relocation):
    """The same for an add to the address of a page."""
    word = instruction(section, relocation.offset)
    return word & 31 if relocation.type == elfobject.AARCH64_ADD_LO12 and word >> 22 == 0x91000000 >> 22 else -1


REGISTER_LOADED = {elfobject.X86_64: x86_64_register, elfobject.AARCH64: aarch64_register}


def is_page(object_, relocation):
    """Returns whether a relocation gives only the page of an address, to which other instructions add the rest."""
    return object_.machine is elfobject.AARCH64 and relocation.type == elfobject.AARCH64_ADRP


def additions(section, page):
    """Returns the relocations that may complete the address whose page an adrp loads: those with the same target that
    add to its register."""
    register = instruction(section, page.offset) & 31
    return [each for each in section.relocations
            if each.type != page.type and each.offset > page.offset and each.symbol is page.symbol
            and each.addend == page.addend and instruction(section, each.offset) >> 5 & 31 == register]


class Places:
    """The places of an object that hold names of types and fields."""

    def __init__(self, object_):
        self.object = object_
        self.shapes = {}  # section with a Shape -> offset of the Shape
        self.tables = set()  # sections with the rows of a shape
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
        """Returns what the string at a relocation names: "type", "field", or None for any other string."""
        if section.index in self.tables:
            return "field" if relocation.offset % ROW_BYTES == 0 else None
        if section.index in self.shapes:
            return "type" if relocation.offset == self.shapes[section.index] else None
        return "type" if section.name.startswith(".text") and self._for_talloc(section, relocation) else None

    def _for_talloc(self, section, relocation):
        """Returns whether the next call in the code is one of talloc's, and the address of the string is loaded into
        the register of the name. A call does not preserve that register, so that the string is for this call only."""
        machine = self.object.machine
        if is_page(self.object, relocation):
            added = additions(section, relocation)
            return bool(added) and all(self._for_talloc(section, each) for each in added)
        for each in section.relocations:
            if each.offset > relocation.offset and each.type in machine.calls and not each.symbol.name.endswith(".cold"):
                return (each.symbol.undefined() and each.symbol.name in TALLOC and
                        ARGUMENTS[machine][TALLOC[each.symbol.name]] == REGISTER_LOADED[machine](section, relocation))
        return False


class Identifiers:
    """The renamed types and fields. Old and new names must correspond one to one within each kind."""

    def __init__(self, old_sources, new_sources):
        self.old, self.new = old_sources, new_sources
        self.new_of = {"type": {}, "field": {}}
        self.old_of = {"type": {}, "field": {}}
        self.counts = collections.Counter()
        self.kept = collections.Counter()  # unchanged names, by kind and name

    def renamed(self, kind, was, now, counts=True):
        """Records the change of a string of this kind; counts: it is a place of its own. Returns why it is not a rename,
        or None if it is one."""
        if kind == "type":
            old, new = TYPE.match(was), TYPE.match(now)
            if not old or not new or (old[1], old[3]) != (new[1], new[3]):
                return "no names of types"
            was, now = old[2], new[2]
            reason = self._undeclared(was, self.old, "old") or self._undeclared(now, self.new, "new")
        else:
            reason = None if FIELD.match(was) and FIELD.match(now) else "no names of fields"
        if reason:
            return reason
        known = self.new_of[kind].setdefault(was, now)
        if known != now:
            return f"{kind} {was}, but -> {known} elsewhere"
        known = self.old_of[kind].setdefault(now, was)
        if known != was:
            return f"{kind} {known} -> {now} elsewhere"
        self.counts[kind, was] += counts
        return None

    def keep(self, kind, name, counts=True):
        """Records an unchanged string of this kind, which is no difference but is printed by show()."""
        self.kept[kind, TYPE.match(name)[2] if kind == "type" and TYPE.match(name) else name] += counts

    @staticmethod
    def _undeclared(name, sources, which):
        if name not in sources.types:
            return f"no type {name} is declared in the {which} sources"
        if name in sources.literals:
            return f"{name} is also a string literal of the {which} sources"
        return None

    def reused_names(self):
        """Returns the names that one identifier gave up and another one took, as in a swap: this can't be distinguished
        from a rename."""
        return [f"{kind} {was} -> {now}, which was another one's name" for kind, names in self.new_of.items()
                for was, now in sorted(names.items()) if now in names]

    def show(self, pairs):
        """Prints how many names of each kind changed in how many places, and with `pairs` the names. Also prints the
        names that another type or field kept or had before: types local to a file and fields of several shapes may
        share a name."""
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
