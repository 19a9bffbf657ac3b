/* Deep copies in one block: a shape with a dozen short texts costs one allocation instead of a dozen, each of which has
 * a header of some 100 bytes. The shape is traversed twice: the first pass has no block and only counts the bytes, the
 * second pass copies. */
#include <string.h>
#include <talloc.h>

#include "base/bytes.h"
#include "field.h"
#include "wire/shape.h"

#define ALIGN_BYTES 8 /* Strictest alignment that a field needs */

/* The state of one pass. */
typedef struct Flat {
    uint8_t *block; /* null in the counting pass */
    size_t at;      /* bytes used */
} Flat;

/* Reserves the next bytes of the block; returns null in the counting pass. */
static void *flat_reserve(Flat *flat, size_t bytes, size_t align)
{
    flat->at = (flat->at + align - 1) / align * align;
    void *here = flat->block != NULL ? flat->block + flat->at : NULL;
    flat->at += bytes;
    return here;
}

static void flat_text(Flat *flat, const char *from, const char **to)
{
    const size_t length = from != NULL ? strlen(from) : 0;
    char *here = length > 0 ? flat_reserve(flat, length + 1, 1) : NULL;
    if (flat->block == NULL)
        return;
    if (length > 0)
        memcpy(here, from, length + 1);
    *to = length > 0 ? here : "";
}

/* The copy is borrowed: nothing may be appended to it. */
static void flat_bytes(Flat *flat, const Bytes *from, Bytes *to)
{
    uint8_t *here = flat_reserve(flat, from->count, 1);
    if (flat->block == NULL)
        return;
    if (from->count > 0)
        memcpy(here, from->data, from->count);
    *to = (Bytes){from->count > 0 ? here : NULL, from->count, 0};
}

static void flat_texts(Flat *flat, const char *const *from, size_t count, const char ***to)
{
    const char **here = flat_reserve(flat, count * sizeof(*here), ALIGN_BYTES);
    for (size_t i = 0; i < count; i++)
        flat_text(flat, from[i], here != NULL ? &here[i] : NULL);
    if (flat->block != NULL)
        *to = count > 0 ? here : NULL;
}

static void flat_shape(Flat *flat, const Shape *shape, const void *from, void *to);

static void flat_list(Flat *flat, const Shape *of, const uint8_t *from, size_t count, uint8_t **to)
{
    uint8_t *here = flat_reserve(flat, count * of->size, ALIGN_BYTES);
    for (size_t i = 0; i < count; i++)
        flat_shape(flat, of, from + i * of->size, here != NULL ? here + i * of->size : NULL);
    if (flat->block != NULL)
        *to = count > 0 ? here : NULL;
}

/* to is null in the counting pass. */
static void flat_shape(Flat *flat, const Shape *shape, const void *from, void *to)
{
    size_t total;
    const ShapeField *fields = shape->fields(&total);
    if (flat->block != NULL)
        memcpy(to, from, shape->size); /* numbers, flags, counts */
    for (size_t i = 0; i < total; i++) {
        const ShapeField *field = &fields[i];
        const void *source = field_read(field, from);
        void *at = flat->block != NULL ? field_write(field, to) : NULL;
        const size_t count = field_count(field, from);
        switch (field->kind) {
        case SHAPE_U64:
        case SHAPE_I64:
        case SHAPE_FLAG:
            break;
        case SHAPE_TXT:
            flat_text(flat, *(const char *const *)source, at);
            break;
        case SHAPE_BIN:
            flat_bytes(flat, source, at);
            break;
        case SHAPE_TXS:
            flat_texts(flat, *(const char *const *const *)source, count, at);
            break;
        case SHAPE_ONE:
            flat_shape(flat, field->of, source, at);
            break;
        case SHAPE_LST:
            flat_list(flat, field->of, *(const uint8_t *const *)source, count, at);
            break;
        }
    }
}

void shape_copy_flat(const Shape *shape, const void *from, void *mem, void *to)
{
    Flat flat = {0};
    flat_shape(&flat, shape, from, NULL);
    uint8_t none[ALIGN_BYTES]; /* for a size of 0: the second pass copies only if it has a block */
    flat = (Flat){flat.at > 0 ? talloc_size(mem, flat.at) : none, 0};
    flat_shape(&flat, shape, from, to);
}
