#ifndef WIRE_SRC_VALUE_H
#define WIRE_SRC_VALUE_H

/* Reads MessagePack values one after another, without a copy or an allocation. The bytes must have
 * passed lengths_fit: nothing is checked here. */

#include <stdint.h>

typedef enum ValueKind {
    VALUE_UNSIGNED, /* also one that is packed as signed and is not negative */
    VALUE_NEGATIVE,
    VALUE_FLAG,
    VALUE_TEXT,
    VALUE_BYTES,
    VALUE_ARRAY,
    VALUE_MAP,
    VALUE_OTHER /* nil, a float */
} ValueKind;

typedef struct Value {
    ValueKind kind;
    uint64_t number;     /* the number (NEGATIVE: as an int64_t); FLAG: 0, 1; else the count that it states */
    const uint8_t *body; /* of TEXT and BYTES */
} Value;

/* The value at *at; *at moves behind it, or to its first element. */
Value value_read(const uint8_t **at);
/* Moves *at behind so many values, with all that they contain. */
void value_skip(const uint8_t **at, uint64_t count);

#endif
