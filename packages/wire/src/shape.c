/* Deep copies of structs described by a shape, each part on memory of its own, and their
 * comparison. Copies in one block: flat.c. */
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

bool shape_equal(const Shape *shape, const void *a, const void *b)
{
    void *mem = talloc_new(NULL);
    Bytes one = {0}, other = {0};
    shape_pack(shape, a, mem, &one);
    shape_pack(shape, b, mem, &other);
    const bool equal = bytes_equal(one, other);
    talloc_free(mem);
    return equal;
}
