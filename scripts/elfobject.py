"""Reads an ELF64 object file for x86-64 or AArch64: sections, symbols and relocations, for scripts/same_objects.py."""
import re
import struct

SHT_SYMTAB, SHT_RELA, SHT_NOBITS = 2, 4, 8
SHF_ALLOC, SHF_MERGE, SHF_STRINGS = 0x2, 0x10, 0x20
SHN_UNDEF, SHN_LORESERVE = 0, 0xFF00
STB_LOCAL = 0
STT_NOTYPE, STT_FUNC, STT_SECTION, STT_FILE = 0, 2, 3, 4


class Machine:
    """What depends on the processor: which bits of the section each type of relocation fills in, and which types are
    calls and are relative to the program counter of the following instruction."""

    def __init__(self, fields, calls, pc_relative, same_as, mapping_symbols):
        self.fields = fields  # type -> (width in bytes, mask of the bits that the linker fills in)
        self.calls = calls  # types of direct calls and jumps to a function
        self.pc_relative = pc_relative  # types whose addend includes the distance to the next instruction
        self.same_as = same_as  # types that mean the same as another one in a comparison by name
        self.mapping_symbols = mapping_symbols  # names that mark code and data for disassemblers


def whole(width, *types):
    """Returns rows of Machine.fields for relocations that fill in an entire field."""
    return {each: (width, (1 << 8 * width) - 1) for each in types}


def within_instruction(mask, *types):
    """Returns rows of Machine.fields for relocations that fill in some bits of an instruction of 4 bytes."""
    return {each: (4, mask) for each in types}


# x86-64 psABI, table "Relocation Types"
X86_64_PC32, X86_64_PLT32, X86_64_32 = 2, 4, 10
X86_64 = Machine(
    fields={**whole(8, 1, 17, 18, 24, 25), **whole(2, 12, 13), **whole(1, 14, 15), **whole(0, 35),
            **whole(4, X86_64_PC32, 3, X86_64_PLT32, 9, X86_64_32, 11, 19, 20, 21, 22, 23, 26, 34, 41, 42)},
    calls={X86_64_PLT32}, pc_relative={X86_64_PC32, X86_64_PLT32}, same_as={X86_64_PLT32: X86_64_PC32},
    mapping_symbols=None)
# ELF for the Arm 64-bit Architecture, section "Relocation types"; the masks are those of the immediates of ADR and ADRP,
# of ADD and of loads and stores, of LDR (literal) and B.cond, of TBZ, of B and BL, and of MOVZ and MOVK
AARCH64_ADRP, AARCH64_ADD_LO12 = 275, 277
AARCH64 = Machine(
    fields={**whole(8, 257, 260), **whole(4, 258, 261), **whole(2, 259, 262),
            **within_instruction(0x60FFFFE0, 274, AARCH64_ADRP, 276, 311, 541, 562),
            **within_instruction(0x003FFC00, AARCH64_ADD_LO12, 278, 284, 285, 286, 299, 312, 313, 542, 549, 550, 551, 563, 564),
            **within_instruction(0x00FFFFE0, 273, 280), **within_instruction(0x0007FFE0, 279),
            **within_instruction(0x03FFFFFF, 282, 283), **within_instruction(0x001FFFE0, *range(263, 270)),
            **within_instruction(0, 569)},
    calls={282, 283}, pc_relative=set(), same_as={}, mapping_symbols=re.compile(r"\$[xd](\.|$)"))
MACHINES = {62: X86_64, 183: AARCH64}  # by e_machine

class Section:
    """One section; the fields that relocations fill in are zero in `data`."""

    def __init__(self, index, name, header, data):
        self.index, self.name = index, name
        self.type, self.flags, self.size, self.align, self.entsize = header
        self.data = data
        self.relocations = []
        self.symbols = []  # the symbols defined in the section, by value, without the compiler's .L names

    def merged(self):
        return bool(self.flags & SHF_MERGE)


class Symbol:
    def __init__(self, name, value, size, info, other, section):
        self.name, self.value, self.size, self.section = name, value, size, section
        self.type, self.bind, self.visibility = info & 15, info >> 4, other & 3

    def undefined(self):
        return self.section == SHN_UNDEF


class Relocation:
    def __init__(self, offset, kind, addend, symbol):
        self.offset, self.type, self.addend, self.symbol = offset, kind, addend, symbol


class Object:
    """A whole object file."""

    def __init__(self, path):
        self.path = path
        with open(path, "rb") as file:
            self.raw = file.read()
        if self.raw[:6] != b"\x7fELF\x02\x01":
            raise ValueError(f"{path}: not a little-endian ELF64 file")
        (machine,) = struct.unpack_from("<H", self.raw, 18)
        if machine not in MACHINES:
            raise ValueError(f"{path}: unknown machine {machine}")
        self.machine = MACHINES[machine]
        (self.shoff,) = struct.unpack_from("<Q", self.raw, 40)
        entry, count, names = struct.unpack_from("<HHH", self.raw, 58)
        headers = [struct.unpack_from("<IIQQQQIIQQ", self.raw, self.shoff + at * entry) for at in range(count)]
        self.sections = [self._section(index, header, headers[names]) for index, header in enumerate(headers)]
        self.symbols = []
        for header in headers:
            if header[1] == SHT_SYMTAB:
                self._read_symbols(header, headers[header[6]])
        for header in headers:
            if header[1] == SHT_RELA:
                self._read_relocations(header)
        for section in self.sections:
            section.symbols.sort(key=lambda each: (each.value, each.size, each.type, each.bind, each.name))

    def _text(self, table, offset):
        begin = table[4] + offset
        return self.raw[begin:self.raw.index(b"\0", begin)].decode()

    def _section(self, index, header, names):
        name, kind, flags, _, offset, size, _, _, align, entsize = header
        data = bytearray() if kind == SHT_NOBITS else bytearray(self.raw[offset:offset + size])
        return Section(index, self._text(names, name), (kind, flags, size, align, entsize), data)

    def _read_symbols(self, header, strings):
        for at in range(header[4], header[4] + header[5], 24):
            name, info, other, section, value, size = struct.unpack_from("<IBBHQQ", self.raw, at)
            symbol = Symbol(self._text(strings, name), value, size, info, other, section)
            self.symbols.append(symbol)
            if 0 < section < SHN_LORESERVE and self._has_name(symbol):
                self.sections[section].symbols.append(symbol)

    def _has_name(self, symbol):
        """Returns whether the symbol has a name in the sources, or one that the compiler derived from such a name."""
        if symbol.type in (STT_SECTION, STT_FILE) or symbol.name.startswith(".L"):
            return False
        marks = self.machine.mapping_symbols
        return not (marks and symbol.type == STT_NOTYPE and marks.match(symbol.name))

    def _read_relocations(self, header):
        section = self.sections[header[7]]
        for at in range(header[4], header[4] + header[5], 24):
            offset, info, addend = struct.unpack_from("<QQq", self.raw, at)
            kind = info & 0xFFFFFFFF
            if kind not in self.machine.fields:
                raise ValueError(f"{self.path}: {section.name}+0x{offset:x}: unknown type of relocation {kind}")
            section.relocations.append(Relocation(offset, kind, addend, self.symbols[info >> 32]))
            width, mask = self.machine.fields[kind]
            field = int.from_bytes(section.data[offset:offset + width], "little") & ~mask
            section.data[offset:offset + width] = field.to_bytes(width, "little")
        section.relocations.sort(key=lambda each: each.offset)

    def constant(self, relocation):
        """Returns the whole string or number that a relocation into a section of merged constants points at, and
        the remaining addend; None for a relocation that points elsewhere."""
        symbol = relocation.symbol
        if not 0 < symbol.section < SHN_LORESERVE or not self.sections[symbol.section].merged():
            return None
        section = self.sections[symbol.section]
        begin, left = symbol.value, relocation.addend
        if symbol.type == STT_SECTION:
            # for a PC-relative relocation the assembler keeps the symbol of the constant
            if relocation.type in self.machine.pc_relative:
                raise ValueError(f"{self.path}: PC-relative relocation to {section.name} without a symbol")
            begin, left = relocation.addend, 0
        if not section.flags & SHF_STRINGS:
            return bytes(section.data[begin:begin + section.entsize]), left
        end, width = begin, section.entsize or 1
        while any(section.data[end:end + width]):
            end += width
        return bytes(section.data[begin:end]), left

    def content(self):
        """Returns the sections with code and data, without notes and merged constants."""
        return [section for section in self.sections
                if section.flags & SHF_ALLOC and not section.merged() and section.size
                and not section.name.startswith((".note", ".eh_frame"))]
