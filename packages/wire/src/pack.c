/* Packing: a struct described by a shape becomes one MessagePack array with a value for each field, in the shortest
 * format that the specification has for the value. */
#include <string.h>
#include <talloc.h>

#include "base/bytes.h"
#include "field.h"
#include "first_byte.h"
#include "wire/shape.h"

#define HEAD_MAX_BYTES 9           /* A first byte and a number of eight bytes */
#define PACK_INITIAL_BYTES 256     /* Most messages fit, so that their buffer is allocated once */
#define NEGATIVE_FIX_INT_MIN (-32) /* Smallest number that fits into the first byte */

/* The buffer that is written, which grows on mem. */
typedef struct Packer {
    void *mem;
    Bytes *to;
} Packer;

/* Reserves space at the end of the buffer without changing its count, and returns its address. */
static uint8_t *reserve(const Packer *packer, size_t bytes)
{
    Bytes *to = packer->to;
    if (to->capacity - to->count < bytes)
        bytes_reserve(packer->mem, to, 2 * to->capacity + bytes);
    return to->data + to->count;
}

/* Appends a first byte and the low-order bytes of a number, big-endian. */
static void head_add(const Packer *packer, uint8_t first, uint64_t number, size_t bytes)
{
    uint8_t *head = reserve(packer, HEAD_MAX_BYTES);
    head[0] = first;
    for (size_t i = 0; i < bytes; i++)
        head[1 + i] = (uint8_t)(number >> 8 * (bytes - 1 - i));
    packer->to->count += 1 + bytes;
}

static void body_add(const Packer *packer, const void *data, size_t count)
{
    if (count > 0)
        memcpy(reserve(packer, count), data, count);
    packer->to->count += count;
}

static void pack_unsigned(const Packer *packer, uint64_t number)
{
    if (number < FIX_MAP)
        head_add(packer, (uint8_t)number, 0, 0);
    else if (number <= UINT8_MAX)
        head_add(packer, UINT_8, number, sizeof(uint8_t));
    else if (number <= UINT16_MAX)
        head_add(packer, UINT_16, number, sizeof(uint16_t));
    else if (number <= UINT32_MAX)
        head_add(packer, UINT_32, number, sizeof(uint32_t));
    else
        head_add(packer, UINT_64, number, sizeof(uint64_t));
}

static void pack_signed(const Packer *packer, int64_t number)
{
    if (number >= 0)
        pack_unsigned(packer, (uint64_t)number);
    else if (number >= NEGATIVE_FIX_INT_MIN)
        head_add(packer, (uint8_t)number, 0, 0);
    else if (number >= INT8_MIN)
        head_add(packer, INT_8, (uint64_t)number, sizeof(int8_t));
    else if (number >= INT16_MIN)
        head_add(packer, INT_16, (uint64_t)number, sizeof(int16_t));
    else if (number >= INT32_MIN)
        head_add(packer, INT_32, (uint64_t)number, sizeof(int32_t));
    else
        head_add(packer, INT_64, (uint64_t)number, sizeof(int64_t));
}

static void pack_text(const Packer *packer, const char *text)
{
    const size_t count = text != NULL ? strlen(text) : 0;
    if (count <= FIX_STR_MASK)
        head_add(packer, (uint8_t)(FIX_STR | count), 0, 0);
    else if (count <= UINT8_MAX)
        head_add(packer, STR_8, count, sizeof(uint8_t));
    else if (count <= UINT16_MAX)
        head_add(packer, STR_16, count, sizeof(uint16_t));
    else
        head_add(packer, STR_32, count, sizeof(uint32_t));
    body_add(packer, text, count);
}

static void pack_bytes(const Packer *packer, const Bytes *bytes)
{
    if (bytes->count <= UINT8_MAX)
        head_add(packer, BIN_8, bytes->count, sizeof(uint8_t));
    else if (bytes->count <= UINT16_MAX)
        head_add(packer, BIN_16, bytes->count, sizeof(uint16_t));
    else
        head_add(packer, BIN_32, bytes->count, sizeof(uint32_t));
    body_add(packer, bytes->data, bytes->count);
}

static void pack_array(const Packer *packer, size_t count)
{
    if (count <= FIX_COUNT_MASK)
        head_add(packer, (uint8_t)(FIX_ARRAY | count), 0, 0);
    else if (count <= UINT16_MAX)
        head_add(packer, ARRAY_16, count, sizeof(uint16_t));
    else
        head_add(packer, ARRAY_32, count, sizeof(uint32_t));
}

static void pack_texts(const Packer *packer, const char *const *texts, size_t count)
{
    pack_array(packer, count);
    for (size_t i = 0; i < count; i++)
        pack_text(packer, texts[i]);
}

static void pack_shape(const Packer *packer, const Shape *shape, const void *from);

static void pack_list(const Packer *packer, const Shape *of, const uint8_t *list, size_t count)
{
    pack_array(packer, count);
    for (size_t i = 0; i < count; i++)
        pack_shape(packer, of, list + i * of->size);
}

static void pack_field(const Packer *packer, const ShapeField *field, const void *at, size_t count)
{
    switch (field->kind) {
    case SHAPE_U64:
        pack_unsigned(packer, *(const uint64_t *)at);
        break;
    case SHAPE_I64:
        pack_signed(packer, *(const int64_t *)at);
        break;
    case SHAPE_FLAG:
        head_add(packer, *(const bool *)at ? TRUE : FALSE, 0, 0);
        break;
    case SHAPE_TXT:
        pack_text(packer, *(const char *const *)at);
        break;
    case SHAPE_BIN:
        pack_bytes(packer, at);
        break;
    case SHAPE_TXS:
        pack_texts(packer, *(const char *const *const *)at, count);
        break;
    case SHAPE_ONE:
        pack_shape(packer, field->of, at);
        break;
    case SHAPE_LST:
        pack_list(packer, field->of, *(const uint8_t *const *)at, count);
        break;
    }
}

static void pack_shape(const Packer *packer, const Shape *shape, const void *from)
{
    size_t total;
    const ShapeField *fields = shape->fields(&total);
    pack_array(packer, total);
    for (size_t i = 0; i < total; i++)
        pack_field(packer, &fields[i], field_read(&fields[i], from), field_count(&fields[i], from));
}

void shape_pack(const Shape *shape, const void *from, void *mem, Bytes *to)
{
    const Packer packer = {mem, to};
    bytes_reserve(mem, to, PACK_INITIAL_BYTES);
    pack_shape(&packer, shape, from);
}
