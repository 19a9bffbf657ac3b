/* Reads MessagePack values in place. */
#include "value.h"

#include <stddef.h>

#include "first_byte.h"

/* Reads a big-endian number and advances *at past it. */
static uint64_t number_read(const uint8_t **at, size_t bytes)
{
    uint64_t number = 0;
    for (size_t i = 0; i < bytes; i++)
        number = number << 8 | *(*at)++;
    return number;
}

static Value unsigned_value(uint64_t number)
{
    return (Value){VALUE_UNSIGNED, number, NULL};
}

static Value signed_value(int64_t number)
{
    return (Value){number < 0 ? VALUE_NEGATIVE : VALUE_UNSIGNED, (uint64_t)number, NULL};
}

/* Returns a text or bytes whose body is at *at, and advances *at past the body. */
static Value body_value(const uint8_t **at, ValueKind kind, uint64_t count)
{
    const Value value = {kind, count, *at};
    *at += count;
    return value;
}

/* Reads an integer that follows its first byte. */
static Value number_value(const uint8_t **at, uint8_t first)
{
    switch (first) {
    case UINT_8:
        return unsigned_value(number_read(at, sizeof(uint8_t)));
    case UINT_16:
        return unsigned_value(number_read(at, sizeof(uint16_t)));
    case UINT_32:
        return unsigned_value(number_read(at, sizeof(uint32_t)));
    case UINT_64:
        return unsigned_value(number_read(at, sizeof(uint64_t)));
    case INT_8:
        return signed_value((int8_t)number_read(at, sizeof(int8_t)));
    case INT_16:
        return signed_value((int16_t)number_read(at, sizeof(int16_t)));
    case INT_32:
        return signed_value((int32_t)number_read(at, sizeof(int32_t)));
    default: /* INT_64 */
        return signed_value((int64_t)number_read(at, sizeof(int64_t)));
    }
}

/* Reads a value whose first byte contains neither its number nor its length. */
static Value long_value(const uint8_t **at, uint8_t first)
{
    if (first < BIN_8)
        return (Value){first == NIL ? VALUE_OTHER : VALUE_FLAG, first == TRUE, NULL};
    if (first < EXT_8)
        return body_value(at, VALUE_BYTES, number_read(at, (size_t)1 << (first - BIN_8)));
    if (first < UINT_8) {
        *at += first == FLOAT_32 ? sizeof(float) : sizeof(double);
        return (Value){VALUE_OTHER, 0, NULL};
    }
    if (first < FIX_EXT_1)
        return number_value(at, first);
    if (first < ARRAY_16)
        return body_value(at, VALUE_TEXT, number_read(at, (size_t)1 << (first - STR_8)));
    const size_t bytes = first == ARRAY_16 || first == MAP_16 ? sizeof(uint16_t) : sizeof(uint32_t);
    return (Value){first < MAP_16 ? VALUE_ARRAY : VALUE_MAP, number_read(at, bytes), NULL};
}

Value value_read(const uint8_t **at)
{
    const uint8_t first = *(*at)++;
    if (first < FIX_MAP)
        return unsigned_value(first);
    if (first >= NEGATIVE_FIX_INT)
        return signed_value((int8_t)first);
    if (first < FIX_ARRAY)
        return (Value){VALUE_MAP, first & FIX_COUNT_MASK, NULL};
    if (first < FIX_STR)
        return (Value){VALUE_ARRAY, first & FIX_COUNT_MASK, NULL};
    if (first < NIL)
        return body_value(at, VALUE_TEXT, first & FIX_STR_MASK);
    return long_value(at, first);
}

void value_skip(const uint8_t **at, uint64_t count)
{
    for (; count > 0; count--) {
        const Value value = value_read(at);
        if (value.kind == VALUE_ARRAY)
            count += value.number;
        else if (value.kind == VALUE_MAP)
            count += value.number * 2;
    }
}
