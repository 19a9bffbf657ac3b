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

static void pack_text(msgpack_packer *pk, const char *text)
{
    const char *safe = text != NULL ? text : "";
    msgpack_pack_str_with_body(pk, safe, strlen(safe));
}

static void pack_flag(msgpack_packer *pk, bool on)
{
    if (on)
        msgpack_pack_true(pk);
    else
        msgpack_pack_false(pk);
}

static void pack_texts(msgpack_packer *pk, const char *const *texts, size_t count)
{
    msgpack_pack_array(pk, count);
    for (size_t i = 0; i < count; i++)
        pack_text(pk, texts[i]);
}

static void pack_shape(msgpack_packer *pk, const Shape *shape, const void *from);

static void pack_list(msgpack_packer *pk, const Shape *of, const uint8_t *list, size_t count)
{
    msgpack_pack_array(pk, count);
    for (size_t i = 0; i < count; i++)
        pack_shape(pk, of, list + i * of->size);
}

static void pack_field(msgpack_packer *pk, const ShapeField *field, const void *at, size_t count)
{
    switch (field->kind) {
    case SHAPE_U64:
        msgpack_pack_uint64(pk, *(const uint64_t *)at);
        break;
    case SHAPE_I64:
        msgpack_pack_int64(pk, *(const int64_t *)at);
        break;
    case SHAPE_FLAG:
        pack_flag(pk, *(const bool *)at);
        break;
    case SHAPE_TXT:
        pack_text(pk, *(const char *const *)at);
        break;
    case SHAPE_BIN: {
        const Bytes *bytes = at;
        msgpack_pack_bin_with_body(pk, bytes->data, bytes->count);
        break;
    }
    case SHAPE_TXS:
        pack_texts(pk, *(const char *const *const *)at, count);
        break;
    case SHAPE_ONE:
        pack_shape(pk, field->of, at);
        break;
    case SHAPE_LST:
        pack_list(pk, field->of, *(const uint8_t *const *)at, count);
        break;
    }
}

static void pack_shape(msgpack_packer *pk, const Shape *shape, const void *from)
{
    size_t total;
    const ShapeField *fields = shape->fields(&total);
    msgpack_pack_array(pk, total);
    for (size_t i = 0; i < total; i++)
        pack_field(pk, &fields[i], field_read(&fields[i], from), field_count(&fields[i], from));
}

void shape_pack(const Shape *shape, const void *from, void *mem, Bytes *to)
{
    PackTo target = {mem, to};
    msgpack_packer pk;
    msgpack_packer_init(&pk, &target, pack_write);
    pack_shape(&pk, shape, from);
}
