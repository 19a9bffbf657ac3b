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

static void *flatTake(Flat *flat, size_t bytes, size_t align)
{
    flat->at = (flat->at + align - 1) / align * align;
    void *here = flat->block != NULL ? flat->block + flat->at : NULL;
    flat->at += bytes;
    return here;
}

static void flatText(Flat *flat, const char *from, const char **to)
{
    const size_t length = from != NULL ? strlen(from) : 0;
    char *here = length > 0 ? flatTake(flat, length + 1, 1) : NULL;
    if (flat->block == NULL)
        return;
    if (length > 0)
        memcpy(here, from, length + 1);
    *to = length > 0 ? here : "";
}

static void flatShape(Flat *flat, const Shape *shape, const void *from, void *to)
{
    size_t fieldCount;
    const ShapeField *fields = shape->fields(&fieldCount);
    const bool lays = flat->block != NULL;
    if (lays)
        memcpy(to, from, shape->size);
    for (size_t i = 0; i < fieldCount; i++) {
        const ShapeField *field = &fields[i];
        const void *source = (const uint8_t *)from + field->offset;
        void *at = lays ? (uint8_t *)to + field->offset : NULL;
        const size_t count = field->countOffset ? *(const size_t *)((const uint8_t *)from + field->countOffset) : 0;
        switch (field->kind) {
        case SHAPE_U64:
        case SHAPE_I64:
        case SHAPE_FLAG:
            break;
        case SHAPE_TXT:
            flatText(flat, *(const char *const *)source, at);
            break;
        case SHAPE_BIN: {
            const Bytes *bytes = source;
            uint8_t *here = flatTake(flat, bytes->count, 1);
            if (lays && bytes->count > 0)
                memcpy(here, bytes->data, bytes->count);
            if (lays) /* borrowed: nothing may be added to it */
                *(Bytes *)at = (Bytes){bytes->count > 0 ? here : NULL, bytes->count, 0};
            break;
        }
        case SHAPE_TXS: {
            const char **here = flatTake(flat, count * sizeof(*here), ALIGN_BYTES);
            for (size_t k = 0; k < count; k++)
                flatText(flat, (*(const char **const *)source)[k], lays ? &here[k] : NULL);
            if (lays)
                *(const char ***)at = count > 0 ? here : NULL;
            break;
        }
        case SHAPE_ONE:
            flatShape(flat, field->of, source, at);
            break;
        case SHAPE_LST: {
            const size_t each = field->of->size;
            uint8_t *here = flatTake(flat, count * each, ALIGN_BYTES);
            for (size_t k = 0; k < count; k++)
                flatShape(flat, field->of, *(const uint8_t *const *)source + k * each, lays ? here + k * each : NULL);
            if (lays)
                *(uint8_t **)at = count > 0 ? here : NULL;
            break;
        }
        }
    }
}

void shapeCopyFlat(const Shape *shape, const void *from, void *mem, void *to)
{
    Flat flat = {0};
    flatShape(&flat, shape, from, NULL);
    uint8_t none[ALIGN_BYTES];
    flat = (Flat){flat.at > 0 ? talloc_size(mem, flat.at) : none, 0};
    flatShape(&flat, shape, from, to);
}
