#ifndef WIRE_SRC_VALUE_H
#define WIRE_SRC_VALUE_H

/* Reads MessagePack values one after another, without copying or allocating. The data must have passed lengths_fit:
 * nothing is checked here. */

#include <stdint.h>

typedef enum ValueKind {
    VALUE_UNSIGNED, /* also a number that is packed as signed and is not negative */
    VALUE_NEGATIVE,
    VALUE_FLAG,
    VALUE_TEXT,
    VALUE_BYTES,
    VALUE_ARRAY,
    VALUE_MAP,
    VALUE_OTHER /* nil or a float */
} ValueKind;

typedef struct Value {
    ValueKind kind;
    uint64_t number;     /* the number (NEGATIVE: as an int64_t), the FLAG (0 or 1), or the length or element count */
    const uint8_t *body; /* bytes of TEXT and BYTES */
} Value;

/* Reads the value at *at and advances *at to the next value, or to the first element of an array or map. */
Value value_read(const uint8_t **at);
/* Advances *at past count values and everything they contain. */
void value_skip(const uint8_t **at, uint64_t count);

#endif
