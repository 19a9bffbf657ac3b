"""Reads an ELF64 object file for x86-64: sections, symbols and relocations, for scripts/same_objects.py."""
import struct

SHT_SYMTAB, SHT_RELA, SHT_NOBITS = 2, 4, 8
SHF_ALLOC, SHF_MERGE, SHF_STRINGS = 0x2, 0x10, 0x20
SHN_UNDEF, SHN_LORESERVE = 0, 0xFF00
STB_LOCAL = 0
STT_FUNC, STT_SECTION, STT_FILE = 2, 3, 4
# Width in bytes of the field that a relocation changes, by relocation type (x86-64)
WIDTHS = {1: 8, 2: 4, 4: 4, 9: 4, 10: 4, 11: 4, 24: 8, 41: 4, 42: 4}
PC32, PLT32 = 2, 4


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
            named = symbol.type not in (STT_SECTION, STT_FILE) and not symbol.name.startswith(".L")
            if 0 < section < SHN_LORESERVE and named:
                self.sections[section].symbols.append(symbol)

    def _read_relocations(self, header):
        section = self.sections[header[7]]
        for at in range(header[4], header[4] + header[5], 24):
            offset, info, addend = struct.unpack_from("<QQq", self.raw, at)
            section.relocations.append(Relocation(offset, info & 0xFFFFFFFF, addend, self.symbols[info >> 32]))
            width = WIDTHS.get(info & 0xFFFFFFFF, 4)
            section.data[offset:offset + width] = bytes(width)
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
            if relocation.type in (PC32, PLT32):
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
