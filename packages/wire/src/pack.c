/* Packing: a struct described by a shape becomes one MessagePack array, a value for each field. */
#include <msgpack.h>
#include <string.h>
#include <talloc.h>

#include "base/bytes.h"
#include "field.h"
#include "wire/shape.h"

typedef struct PackTo {
    void *mem;
    Bytes *bytes;
} PackTo;

static int pack_write(void *data, const char *buf, size_t len)
{
    PackTo *to = data;
    bytes_add(to->mem, to->bytes, buf, len);
    return 0;
}

static void pack_text(msgpack_packer *packer, const char *text)
{
    const char *safe = text != NULL ? text : "";
    msgpack_pack_str_with_body(packer, safe, strlen(safe));
}

static void pack_flag(msgpack_packer *packer, bool on)
{
    if (on)
        msgpack_pack_true(packer);
    else
        msgpack_pack_false(packer);
}

static void pack_texts(msgpack_packer *packer, const char *const *texts, size_t count)
{
    msgpack_pack_array(packer, count);
    for (size_t i = 0; i < count; i++)
        pack_text(packer, texts[i]);
}

static void pack_shape(msgpack_packer *packer, const Shape *shape, const void *from);

static void pack_list(msgpack_packer *packer, const Shape *of, const uint8_t *list, size_t count)
{
    msgpack_pack_array(packer, count);
    for (size_t i = 0; i < count; i++)
        pack_shape(packer, of, list + i * of->size);
}

static void pack_field(msgpack_packer *packer, const ShapeField *field, const void *at, size_t count)
{
    switch (field->kind) {
    case SHAPE_U64:
        msgpack_pack_uint64(packer, *(const uint64_t *)at);
        break;
    case SHAPE_I64:
        msgpack_pack_int64(packer, *(const int64_t *)at);
        break;
    case SHAPE_FLAG:
        pack_flag(packer, *(const bool *)at);
        break;
    case SHAPE_TXT:
        pack_text(packer, *(const char *const *)at);
        break;
    case SHAPE_BIN: {
        const Bytes *bytes = at;
        msgpack_pack_bin_with_body(packer, bytes->data, bytes->count);
        break;
    }
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

static void pack_shape(msgpack_packer *packer, const Shape *shape, const void *from)
{
    size_t total;
    const ShapeField *fields = shape->fields(&total);
    msgpack_pack_array(packer, total);
    for (size_t i = 0; i < total; i++)
        pack_field(packer, &fields[i], field_read(&fields[i], from), field_count(&fields[i], from));
}

void shape_pack(const Shape *shape, const void *from, void *mem, Bytes *to)
{
    PackTo target = {mem, to};
    msgpack_packer packer;
    msgpack_packer_init(&packer, &target, pack_write);
    pack_shape(&packer, shape, from);
}
