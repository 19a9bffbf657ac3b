/* Deep copies, with a separate allocation for each part, and comparison of structs that are described by a shape.
 * Copies in one block are in flat.c. */
#include "wire/shape.h"

#include <string.h>
#include <talloc.h>

#include "base/bytes.h"
#include "field.h"

static const char **texts_copy(const char *const *from, size_t count, void *mem)
{
    const char **texts = talloc_array(mem, const char *, (unsigned)count);
    for (size_t i = 0; i < count; i++)
        texts[i] = talloc_strdup(mem, from[i]);
    return texts;
}

static uint8_t *list_copy(const Shape *of, const uint8_t *from, size_t count, void *mem)
{
    uint8_t *list = talloc_array_size(mem, of->size, (unsigned)count);
    for (size_t i = 0; i < count; i++)
        shape_copy(of, from + i * of->size, mem, list + i * of->size);
    return list;
}

void shape_copy(const Shape *shape, const void *from, void *mem, void *to)
{
    memcpy(to, from, shape->size); /* numbers, flags, counts */
    size_t total;
    const ShapeField *fields = shape->fields(&total);
    for (size_t i = 0; i < total; i++) {
        const ShapeField *field = &fields[i];
        const void *source = field_read(field, from);
        void *at = field_write(field, to);
        const size_t count = field_count(field, from);
        switch (field->kind) {
        case SHAPE_U64:
        case SHAPE_I64:
        case SHAPE_FLAG:
            break;
        case SHAPE_TXT: {
            const char *text = *(const char *const *)source;
            *(const char **)at = talloc_strdup(mem, text != NULL ? text : "");
            break;
        }
        case SHAPE_BIN:
            *(Bytes *)at = bytes_copy(mem, *(const Bytes *)source);
            break;
        case SHAPE_TXS:
            *(const char ***)at = texts_copy(*(const char *const *const *)source, count, mem);
            break;
        case SHAPE_ONE:
            shape_copy(field->of, source, mem, at);
            break;
        case SHAPE_LST:
            *(uint8_t **)at = list_copy(field->of, *(const uint8_t *const *)source, count, mem);
            break;
        }
    }
}

/* A null text is packed as an empty text, so both are equal. */
static bool texts_equal(const char *a, const char *b)
{
    return strcmp(a != NULL ? a : "", b != NULL ? b : "") == 0;
}

static bool list_equal(const Shape *of, const uint8_t *a, const uint8_t *b, size_t count)
{
    for (size_t i = 0; i < count; i++)
        if (!shape_equal(of, a + i * of->size, b + i * of->size))
            return false;
    return true;
}

static bool field_equal(const ShapeField *field, const void *a, const void *b, size_t count)
{
    switch (field->kind) {
    case SHAPE_U64:
        return *(const uint64_t *)a == *(const uint64_t *)b;
    case SHAPE_I64:
        return *(const int64_t *)a == *(const int64_t *)b;
    case SHAPE_FLAG:
        return *(const bool *)a == *(const bool *)b;
    case SHAPE_TXT:
        return texts_equal(*(const char *const *)a, *(const char *const *)b);
    case SHAPE_BIN:
        return bytes_equal(*(const Bytes *)a, *(const Bytes *)b);
    case SHAPE_TXS:
        for (size_t i = 0; i < count; i++)
            if (!texts_equal((*(const char *const *const *)a)[i], (*(const char *const *const *)b)[i]))
                return false;
        return true;
    case SHAPE_ONE:
        return shape_equal(field->of, a, b);
    case SHAPE_LST:
        return list_equal(field->of, *(const uint8_t *const *)a, *(const uint8_t *const *)b, count);
    }
    return false;
}

bool shape_equal(const Shape *shape, const void *a, const void *b)
{
    size_t total;
    const ShapeField *fields = shape->fields(&total);
    for (size_t i = 0; i < total; i++) {
        const ShapeField *field = &fields[i];
        const size_t count = field_count(field, a);
        if (count != field_count(field, b) || !field_equal(field, field_read(field, a), field_read(field, b), count))
            return false;
    }
    return true;
}
