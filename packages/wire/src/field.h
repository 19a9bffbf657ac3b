#ifndef WIRE_SRC_FIELD_H
#define WIRE_SRC_FIELD_H

/* Access to the fields of a struct that is described by a shape. */

#include "wire/shape.h"

/* Returns the address of the field in the struct. */
static inline const void *field_read(const ShapeField *field, const void *from)
{
    return (const uint8_t *)from + field->offset;
}

/* The same, to change the field. */
static inline void *field_write(const ShapeField *field, void *to)
{
    return (uint8_t *)to + field->offset;
}

/* Returns the element count of a list; 0 for other kinds. */
static inline size_t field_count(const ShapeField *field, const void *from)
{
    return field->count_offset ? *(const size_t *)(const void *)((const uint8_t *)from + field->count_offset) : 0;
}

/* Sets the element count of a list. */
static inline void field_set_count(const ShapeField *field, void *to, size_t count)
{
    *(size_t *)(void *)((uint8_t *)to + field->count_offset) = count;
}

#endif
