/* Deep copies in one block: a shape of a dozen short texts costs one allocation
 * instead of a dozen, each of which has a header of some 100 bytes. */
#include <string.h>
#include <talloc.h>

#include "wire/shape.h"

#define ALIGN_BYTES 8 /* bytes; the strictest that a field needs */

/* Without a block nothing is laid, only counted. */
typedef struct Flat {
    uint8_t *block;
    size_t at;
} Flat;

static void *flat_take(Flat *flat, size_t bytes, size_t align)
{
    flat->at = (flat->at + align - 1) / align * align;
    void *here = flat->block != NULL ? flat->block + flat->at : NULL;
    flat->at += bytes;
    return here;
}

static void flat_text(Flat *flat, const char *from, const char **to)
{
    const size_t length = from != NULL ? strlen(from) : 0;
    char *here = length > 0 ? flat_take(flat, length + 1, 1) : NULL;
    if (flat->block == NULL)
        return;
    if (length > 0)
        memcpy(here, from, length + 1);
    *to = length > 0 ? here : "";
}

static void flat_shape(Flat *flat, const Shape *shape, const void *from, void *to)
{
    size_t field_count;
    const ShapeField *fields = shape->fields(&field_count);
    const bool lays = flat->block != NULL;
    if (lays)
        memcpy(to, from, shape->size);
    for (size_t i = 0; i < field_count; i++) {
        const ShapeField *field = &fields[i];
        const void *source = (const uint8_t *)from + field->offset;
        void *at = lays ? (uint8_t *)to + field->offset : NULL;
        const size_t count = field->count_offset ? *(const size_t *)((const uint8_t *)from + field->count_offset) : 0;
        switch (field->kind) {
        case SHAPE_U64:
        case SHAPE_I64:
        case SHAPE_FLAG:
            break;
        case SHAPE_TXT:
            flat_text(flat, *(const char *const *)source, at);
            break;
        case SHAPE_BIN: {
            const Bytes *bytes = source;
            uint8_t *here = flat_take(flat, bytes->count, 1);
            if (lays && bytes->count > 0)
                memcpy(here, bytes->data, bytes->count);
            if (lays) /* borrowed: nothing may be added to it */
                *(Bytes *)at = (Bytes){bytes->count > 0 ? here : NULL, bytes->count, 0};
            break;
        }
        case SHAPE_TXS: {
            const char **here = flat_take(flat, count * sizeof(*here), ALIGN_BYTES);
            for (size_t k = 0; k < count; k++)
                flat_text(flat, (*(const char **const *)source)[k], lays ? &here[k] : NULL);
            if (lays)
                *(const char ***)at = count > 0 ? here : NULL;
            break;
        }
        case SHAPE_ONE:
            flat_shape(flat, field->of, source, at);
            break;
        case SHAPE_LST: {
            const size_t each = field->of->size;
            uint8_t *here = flat_take(flat, count * each, ALIGN_BYTES);
            for (size_t k = 0; k < count; k++)
                flat_shape(flat, field->of, *(const uint8_t *const *)source + k * each, lays ? here + k * each : NULL);
            if (lays)
                *(uint8_t **)at = count > 0 ? here : NULL;
            break;
        }
        }
    }
}

void shape_copy_flat(const Shape *shape, const void *from, void *mem, void *to)
{
    Flat flat = {0};
    flat_shape(&flat, shape, from, NULL);
    uint8_t none[ALIGN_BYTES];
    flat = (Flat){flat.at > 0 ? talloc_size(mem, flat.at) : none, 0};
    flat_shape(&flat, shape, from, to);
}
