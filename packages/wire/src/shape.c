#include "wire/shape.h"

#include <msgpack.h>
#include <string.h>
#include <talloc.h>

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

static void pack_shape(msgpack_packer *pk, const Shape *shape, const void *from)
{
    size_t field_count;
    const ShapeField *fields = shape->fields(&field_count);
    msgpack_pack_array(pk, field_count);
    for (size_t i = 0; i < field_count; i++) {
        const ShapeField *field = &fields[i];
        const void *at = (const uint8_t *)from + field->offset;
        const size_t count = field->count_offset ? *(const size_t *)((const uint8_t *)from + field->count_offset) : 0;
        switch (field->kind) {
        case SHAPE_U64:
            msgpack_pack_uint64(pk, *(const uint64_t *)at);
            break;
        case SHAPE_I64:
            msgpack_pack_int64(pk, *(const int64_t *)at);
            break;
        case SHAPE_FLAG:
            if (*(const bool *)at)
                msgpack_pack_true(pk);
            else
                msgpack_pack_false(pk);
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
            msgpack_pack_array(pk, count);
            for (size_t k = 0; k < count; k++)
                pack_text(pk, (*(const char **const *)at)[k]);
            break;
        case SHAPE_ONE:
            pack_shape(pk, field->of, at);
            break;
        case SHAPE_LST:
            msgpack_pack_array(pk, count);
            for (size_t k = 0; k < count; k++)
                pack_shape(pk, field->of, *(const uint8_t *const *)at + k * field->of->size);
            break;
        }
    }
}

void shape_pack(const Shape *shape, const void *from, void *mem, Bytes *to)
{
    PackTo target = {mem, to};
    msgpack_packer pk;
    msgpack_packer_init(&pk, &target, pack_write);
    pack_shape(&pk, shape, from);
}

static Status wrong(Failure *failure, const Shape *shape, const ShapeField *field)
{
    return failure_set(failure, STATUS_BAD_FRAME, "%s.%s has the wrong type", shape->name, field->name);
}

/* Text without a zero inside, or null. */
static const char *text_of(const msgpack_object *o, void *mem)
{
    if (o->type != MSGPACK_OBJECT_STR)
        return NULL;
    if (o->via.str.size == 0) /* the library may give no pointer at all */
        return "";
    if (memchr(o->via.str.ptr, 0, o->via.str.size) != NULL)
        return NULL;
    return talloc_strndup(mem, o->via.str.ptr, o->via.str.size);
}

static void zero_texts(const Shape *shape, void *to);

static Status unpack_shape(const Shape *shape, const msgpack_object *from, void *mem, void *to, Failure *failure)
{
    memset(to, 0, shape->size);
    zero_texts(shape, to);
    if (from->type != MSGPACK_OBJECT_ARRAY)
        return failure_set(failure, STATUS_BAD_FRAME, "%s is not an array", shape->name);
    const msgpack_object_array *array = &from->via.array;
    size_t field_count;
    const ShapeField *fields = shape->fields(&field_count);
    for (size_t i = 0; i < field_count && i < array->size; i++) {
        const ShapeField *field = &fields[i];
        const msgpack_object *o = &array->ptr[i];
        void *at = (uint8_t *)to + field->offset;
        size_t *count = field->count_offset ? (size_t *)(void *)((uint8_t *)to + field->count_offset) : NULL;
        switch (field->kind) {
        case SHAPE_U64:
            if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
                return wrong(failure, shape, field);
            *(uint64_t *)at = o->via.u64;
            break;
        case SHAPE_I64:
            if (o->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
                *(int64_t *)at = o->via.i64;
            else if (o->type == MSGPACK_OBJECT_POSITIVE_INTEGER && o->via.u64 <= INT64_MAX)
                *(int64_t *)at = (int64_t)o->via.u64;
            else
                return wrong(failure, shape, field);
            break;
        case SHAPE_FLAG:
            if (o->type != MSGPACK_OBJECT_BOOLEAN)
                return wrong(failure, shape, field);
            *(bool *)at = o->via.boolean;
            break;
        case SHAPE_TXT:
            if ((*(const char **)at = text_of(o, mem)) == NULL)
                return wrong(failure, shape, field);
            break;
        case SHAPE_BIN: {
            if (o->type != MSGPACK_OBJECT_BIN)
                return wrong(failure, shape, field);
            Bytes *bytes = at;
            bytes_add(mem, bytes, o->via.bin.ptr, o->via.bin.size);
            break;
        }
        case SHAPE_TXS: {
            if (o->type != MSGPACK_OBJECT_ARRAY)
                return wrong(failure, shape, field);
            const char **texts = talloc_array(mem, const char *, o->via.array.size);
            for (size_t k = 0; k < o->via.array.size; k++)
                if ((texts[k] = text_of(&o->via.array.ptr[k], mem)) == NULL)
                    return wrong(failure, shape, field);
            *(const char ***)at = texts;
            *count = o->via.array.size;
            break;
        }
        case SHAPE_ONE: {
            const Status status = unpack_shape(field->of, o, mem, at, failure);
            if (status != STATUS_OK)
                return status;
            break;
        }
        case SHAPE_LST: {
            if (o->type != MSGPACK_OBJECT_ARRAY)
                return wrong(failure, shape, field);
            const size_t each = field->of->size;
            uint8_t *list = talloc_array_size(mem, each, o->via.array.size);
            for (size_t k = 0; k < o->via.array.size; k++) {
                const Status status = unpack_shape(field->of, &o->via.array.ptr[k], mem, list + k * each, failure);
                if (status != STATUS_OK)
                    return status;
            }
            *(uint8_t **)at = list;
            *count = o->via.array.size;
            break;
        }
        }
    }
    return STATUS_OK;
}

static void zero_texts(const Shape *shape, void *to)
{
    size_t field_count;
    const ShapeField *fields = shape->fields(&field_count);
    for (size_t i = 0; i < field_count; i++) {
        const ShapeField *field = &fields[i];
        void *at = (uint8_t *)to + field->offset;
        if (field->kind == SHAPE_TXT)
            *(const char **)at = "";
        else if (field->kind == SHAPE_ONE)
            zero_texts(field->of, at);
    }
}

/* Whether every count in the bytes can be met by the bytes that follow. The
 * library allocates by the count it is told, so a frame of a few bytes could
 * otherwise ask for gigabytes. Order of nesting does not matter here: each
 * value needs at least one byte, and owed is how many are still to come. */
static bool counts_lease(Bytes from)
{
    uint64_t owed = 1;
    size_t at = 0;
    while (owed > 0) {
        if (at >= from.count || owed > from.count - at)
            return false;
        const uint8_t head = from.data[at++];
        size_t length_bytes = 0, body = 0;
        uint64_t values = 0;
        bool of_values = false, pairs = false;
        if (head <= 0x7f || head >= 0xe0 || (head >= 0xc0 && head <= 0xc3)) {
            body = 0;
        } else if (head <= 0x8f) {
            values = 2u * (head & 15u);
        } else if (head <= 0x9f) {
            values = head & 15u;
        } else if (head <= 0xbf) {
            body = head & 31u;
        } else if (head >= 0xc4 && head <= 0xc6) { /* bin */
            length_bytes = (size_t)1 << (head - 0xc4);
        } else if (head >= 0xd9 && head <= 0xdb) { /* str */
            length_bytes = (size_t)1 << (head - 0xd9);
        } else if (head >= 0xca && head <= 0xd3) { /* float, uint, int */
            static const uint8_t SIZES[] = {4, 8, 1, 2, 4, 8, 1, 2, 4, 8};
            body = SIZES[head - 0xca];
        } else if (head >= 0xdc) { /* array, map */
            length_bytes = head & 1u ? 4 : 2;
            of_values = true;
            pairs = head >= 0xde;
        } else { /* ext: we send none */
            return false;
        }
        if (length_bytes > from.count - at)
            return false;
        uint64_t length = 0;
        for (size_t i = 0; i < length_bytes; i++)
            length = length << 8 | from.data[at++];
        if (of_values)
            values = pairs ? length * 2 : length;
        else
            body += (size_t)length;
        if (body > from.count - at)
            return false;
        at += body;
        owed += values;
        owed--;
    }
    return at == from.count;
}

Status shape_unpack(const Shape *shape, Bytes from, void *mem, void *to, Failure *failure)
{
    if (!counts_lease(from))
        return failure_set(failure, STATUS_BAD_FRAME, "%s does not parse", shape->name);
    msgpack_unpacked unpacked;
    msgpack_unpacked_init(&unpacked);
    size_t offset = 0;
    const msgpack_unpack_return got = msgpack_unpack_next(&unpacked, (const char *)from.data, from.count, &offset);
    Status status;
    if ((got != MSGPACK_UNPACK_SUCCESS && got != MSGPACK_UNPACK_EXTRA_BYTES) || offset != from.count)
        status = failure_set(failure, STATUS_BAD_FRAME, "%s does not parse", shape->name);
    else
        status = unpack_shape(shape, &unpacked.data, mem, to, failure);
    msgpack_unpacked_destroy(&unpacked);
    return status;
}

void shape_copy(const Shape *shape, const void *from, void *mem, void *to)
{
    memcpy(to, from, shape->size);
    size_t field_count;
    const ShapeField *fields = shape->fields(&field_count);
    for (size_t i = 0; i < field_count; i++) {
        const ShapeField *field = &fields[i];
        const void *source = (const uint8_t *)from + field->offset;
        void *at = (uint8_t *)to + field->offset;
        const size_t count = field->count_offset ? *(const size_t *)((const uint8_t *)from + field->count_offset) : 0;
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
        case SHAPE_TXS: {
            const char **texts = talloc_array(mem, const char *, (unsigned)count);
            for (size_t k = 0; k < count; k++)
                texts[k] = talloc_strdup(mem, (*(const char **const *)source)[k]);
            *(const char ***)at = texts;
            break;
        }
        case SHAPE_ONE:
            shape_copy(field->of, source, mem, at);
            break;
        case SHAPE_LST: {
            const size_t each = field->of->size;
            uint8_t *list = talloc_array_size(mem, each, (unsigned)count);
            for (size_t k = 0; k < count; k++)
                shape_copy(field->of, *(const uint8_t *const *)source + k * each, mem, list + k * each);
            *(uint8_t **)at = list;
            break;
        }
        }
    }
}

bool shape_equal(const Shape *shape, const void *a, const void *b)
{
    void *mem = talloc_new(NULL);
    Bytes x = {0}, y = {0};
    shape_pack(shape, a, mem, &x);
    shape_pack(shape, b, mem, &y);
    const bool equal = bytes_equal(x, y);
    talloc_free(mem);
    return equal;
}
