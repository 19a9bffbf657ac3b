/* Packing: a struct described by a shape becomes one MessagePack array, a value for each field, each in the shortest
 * form that the specification has for it. */
#include <string.h>
#include <talloc.h>

#include "base/bytes.h"
#include "field.h"
#include "first_byte.h"
#include "wire/shape.h"

#define HEAD_MOST_BYTES 9    /* bytes; a first byte and a number of eight */
#define PACK_FIRST_BYTES 256 /* bytes; most messages fit, so that their buffer is allocated once */
#define INT_8_LEAST (-32)    /* a smaller one does not fit the first byte itself */

typedef struct Packing {
    void *mem;
    Bytes *to;
} Packing;

/* Place for so many more bytes at the end of the buffer, which is not counted yet. */
static uint8_t *place(const Packing *packing, size_t bytes)
{
    Bytes *to = packing->to;
    if (to->capacity - to->count < bytes)
        bytes_reserve(packing->mem, to, 2 * to->capacity + bytes);
    return to->data + to->count;
}

/* Adds a first byte and, in big-endian order, the last so many bytes of a number. */
static void head_add(const Packing *packing, uint8_t first, uint64_t number, size_t bytes)
{
    uint8_t *head = place(packing, HEAD_MOST_BYTES);
    head[0] = first;
    for (size_t i = 0; i < bytes; i++)
        head[1 + i] = (uint8_t)(number >> 8 * (bytes - 1 - i));
    packing->to->count += 1 + bytes;
}

static void body_add(const Packing *packing, const void *data, size_t count)
{
    if (count > 0)
        memcpy(place(packing, count), data, count);
    packing->to->count += count;
}

static void pack_unsigned(const Packing *packing, uint64_t number)
{
    if (number < FIX_MAP)
        head_add(packing, (uint8_t)number, 0, 0);
    else if (number <= UINT8_MAX)
        head_add(packing, UINT_8, number, sizeof(uint8_t));
    else if (number <= UINT16_MAX)
        head_add(packing, UINT_16, number, sizeof(uint16_t));
    else if (number <= UINT32_MAX)
        head_add(packing, UINT_32, number, sizeof(uint32_t));
    else
        head_add(packing, UINT_64, number, sizeof(uint64_t));
}

static void pack_signed(const Packing *packing, int64_t number)
{
    if (number >= 0)
        pack_unsigned(packing, (uint64_t)number);
    else if (number >= INT_8_LEAST)
        head_add(packing, (uint8_t)number, 0, 0);
    else if (number >= INT8_MIN)
        head_add(packing, INT_8, (uint64_t)number, sizeof(int8_t));
    else if (number >= INT16_MIN)
        head_add(packing, INT_16, (uint64_t)number, sizeof(int16_t));
    else if (number >= INT32_MIN)
        head_add(packing, INT_32, (uint64_t)number, sizeof(int32_t));
    else
        head_add(packing, INT_64, (uint64_t)number, sizeof(int64_t));
}

static void pack_text(const Packing *packing, const char *text)
{
    const size_t count = text != NULL ? strlen(text) : 0;
    if (count <= FIX_STR_MASK)
        head_add(packing, (uint8_t)(FIX_STR | count), 0, 0);
    else if (count <= UINT8_MAX)
        head_add(packing, STR_8, count, sizeof(uint8_t));
    else if (count <= UINT16_MAX)
        head_add(packing, STR_16, count, sizeof(uint16_t));
    else
        head_add(packing, STR_32, count, sizeof(uint32_t));
    body_add(packing, text, count);
}

static void pack_bytes(const Packing *packing, const Bytes *bytes)
{
    if (bytes->count <= UINT8_MAX)
        head_add(packing, BIN_8, bytes->count, sizeof(uint8_t));
    else if (bytes->count <= UINT16_MAX)
        head_add(packing, BIN_16, bytes->count, sizeof(uint16_t));
    else
        head_add(packing, BIN_32, bytes->count, sizeof(uint32_t));
    body_add(packing, bytes->data, bytes->count);
}

static void pack_array(const Packing *packing, size_t count)
{
    if (count <= FIX_COUNT_MASK)
        head_add(packing, (uint8_t)(FIX_ARRAY | count), 0, 0);
    else if (count <= UINT16_MAX)
        head_add(packing, ARRAY_16, count, sizeof(uint16_t));
    else
        head_add(packing, ARRAY_32, count, sizeof(uint32_t));
}

static void pack_texts(const Packing *packing, const char *const *texts, size_t count)
{
    pack_array(packing, count);
    for (size_t i = 0; i < count; i++)
        pack_text(packing, texts[i]);
}

static void pack_shape(const Packing *packing, const Shape *shape, const void *from);

static void pack_list(const Packing *packing, const Shape *of, const uint8_t *list, size_t count)
{
    pack_array(packing, count);
    for (size_t i = 0; i < count; i++)
        pack_shape(packing, of, list + i * of->size);
}

static void pack_field(const Packing *packing, const ShapeField *field, const void *at, size_t count)
{
    switch (field->kind) {
    case SHAPE_U64:
        pack_unsigned(packing, *(const uint64_t *)at);
        break;
    case SHAPE_I64:
        pack_signed(packing, *(const int64_t *)at);
        break;
    case SHAPE_FLAG:
        head_add(packing, *(const bool *)at ? TRUE : FALSE, 0, 0);
        break;
    case SHAPE_TXT:
        pack_text(packing, *(const char *const *)at);
        break;
    case SHAPE_BIN:
        pack_bytes(packing, at);
        break;
    case SHAPE_TXS:
        pack_texts(packing, *(const char *const *const *)at, count);
        break;
    case SHAPE_ONE:
        pack_shape(packing, field->of, at);
        break;
    case SHAPE_LST:
        pack_list(packing, field->of, *(const uint8_t *const *)at, count);
        break;
    }
}

static void pack_shape(const Packing *packing, const Shape *shape, const void *from)
{
    size_t total;
    const ShapeField *fields = shape->fields(&total);
    pack_array(packing, total);
    for (size_t i = 0; i < total; i++)
        pack_field(packing, &fields[i], field_read(&fields[i], from), field_count(&fields[i], from));
}

void shape_pack(const Shape *shape, const void *from, void *mem, Bytes *to)
{
    const Packing packing = {mem, to};
    bytes_reserve(mem, to, PACK_FIRST_BYTES);
    pack_shape(&packing, shape, from);
}
