#ifndef WIRE_SRC_FIRST_BYTE_H
#define WIRE_SRC_FIRST_BYTE_H

/* First bytes of MessagePack values, named as in the specification. For a range it is the first value; the low bits of
 * the fix* formats contain a length. */

enum {
    FIX_MAP = 0x80,
    FIX_ARRAY = 0x90,
    FIX_STR = 0xa0,
    NIL = 0xc0,
    UNUSED_BYTE = 0xc1,
    FALSE = 0xc2,
    TRUE = 0xc3,
    BIN_8 = 0xc4,
    BIN_16 = 0xc5,
    BIN_32 = 0xc6,
    EXT_8 = 0xc7,
    FLOAT_32 = 0xca,
    FLOAT_64 = 0xcb,
    UINT_8 = 0xcc,
    UINT_16 = 0xcd,
    UINT_32 = 0xce,
    UINT_64 = 0xcf,
    INT_8 = 0xd0,
    INT_16 = 0xd1,
    INT_32 = 0xd2,
    INT_64 = 0xd3,
    FIX_EXT_1 = 0xd4,
    STR_8 = 0xd9,
    STR_16 = 0xda,
    STR_32 = 0xdb,
    ARRAY_16 = 0xdc,
    ARRAY_32 = 0xdd,
    MAP_16 = 0xde,
    MAP_32 = 0xdf,
    NEGATIVE_FIX_INT = 0xe0
};

#define FIX_COUNT_MASK 0x0fu /* Element count in the first byte of a fixmap or fixarray */
#define FIX_STR_MASK 0x1fu   /* Length in the first byte of a fixstr */

#endif
