/* Checks the lengths in MessagePack data before it is unpacked. */
#include "lengths.h"

#include <stddef.h>
#include <stdint.h>

#include "first_byte.h"

/* The unit of a value's length field. */
typedef enum LengthOf { LENGTH_OF_BYTES, LENGTH_OF_VALUES, LENGTH_OF_PAIRS } LengthOf;

/* The data that follows the first byte of a value. */
typedef struct ValueHead {
    size_t length_bytes; /* size of the length field; 0: there is none */
    LengthOf length_of;
    size_t body_bytes; /* size of the body */
    uint64_t values;   /* number of nested values */
} ValueHead;

static size_t number_bytes(uint8_t first)
{
    switch (first) {
    case UINT_8:
    case INT_8:
        return sizeof(uint8_t);
    case UINT_16:
    case INT_16:
        return sizeof(uint16_t);
    case FLOAT_32:
    case UINT_32:
    case INT_32:
        return sizeof(uint32_t);
    default: /* FLOAT_64, UINT_64, INT_64 */
        return sizeof(uint64_t);
    }
}

static bool is_ext(uint8_t first)
{
    return (first >= EXT_8 && first < FLOAT_32) || (first >= FIX_EXT_1 && first < STR_8);
}

/* Sets the parts of the head that follow from the first byte. Returns false for ext values, which no shape packs, and
 * for the byte that begins no value. */
static bool head_read(uint8_t first, ValueHead *head)
{
    *head = (ValueHead){0};
    if (is_ext(first) || first == UNUSED_BYTE)
        return false;
    if (first < FIX_MAP || first >= NEGATIVE_FIX_INT || (first >= NIL && first < BIN_8))
        return true; /* the value is the first byte itself */
    if (first < FIX_ARRAY) {
        head->values = 2u * (first & FIX_COUNT_MASK);
    } else if (first < FIX_STR) {
        head->values = first & FIX_COUNT_MASK;
    } else if (first < NIL) {
        head->body_bytes = first & FIX_STR_MASK;
    } else if (first < EXT_8) {
        head->length_bytes = (size_t)1 << (first - BIN_8);
    } else if (first < FIX_EXT_1) {
        head->body_bytes = number_bytes(first);
    } else if (first < ARRAY_16) {
        head->length_bytes = (size_t)1 << (first - STR_8);
    } else {
        head->length_bytes = first == ARRAY_16 || first == MAP_16 ? sizeof(uint16_t) : sizeof(uint32_t);
        head->length_of = first < MAP_16 ? LENGTH_OF_VALUES : LENGTH_OF_PAIRS;
    }
    return true;
}

/* Reads the length field, which is big-endian, and updates the head. */
static void length_read(const uint8_t *bytes, ValueHead *head)
{
    uint64_t length = 0;
    for (size_t i = 0; i < head->length_bytes; i++)
        length = length << 8 | bytes[i];
    switch (head->length_of) {
    case LENGTH_OF_BYTES:
        head->body_bytes += (size_t)length;
        break;
    case LENGTH_OF_VALUES:
        head->values = length;
        break;
    case LENGTH_OF_PAIRS:
        head->values = length * 2;
        break;
    }
}

/* The nesting of values does not matter: each value needs at least one byte, so the number of expected values must not
 * exceed the number of remaining bytes. */
bool lengths_fit(Bytes from)
{
    uint64_t expected = 1;
    size_t at = 0;
    while (expected > 0) {
        if (at >= from.count || expected > from.count - at)
            return false;
        ValueHead head;
        if (!head_read(from.data[at++], &head))
            return false;
        if (head.length_bytes > from.count - at)
            return false;
        length_read(from.data + at, &head);
        at += head.length_bytes;
        if (head.body_bytes > from.count - at)
            return false;
        at += head.body_bytes;
        expected += head.values;
        expected--;
    }
    return at == from.count;
}
