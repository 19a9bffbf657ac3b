/* Unpacking: checks MessagePack bytes against a shape, field by field, and fills its struct.
 * Nothing of what a peer sends is trusted: the lengths are checked before msgpack-c reads them
 * (lengths.c), the types here. */
#include <msgpack.h>
#include <string.h>
#include <talloc.h>

#include "base/failure.h"
#include "field.h"
#include "lengths.h"
#include "wire/shape.h"

/* --- fields without a value: an older writer did not send them --------------------- */

/* Texts are never null, also where the value is missing. */
static void texts_empty(const Shape *shape, void *to)
{
    size_t total;
    const ShapeField *fields = shape->fields(&total);
    for (size_t i = 0; i < total; i++) {
        void *at = field_write(&fields[i], to);
        if (fields[i].kind == SHAPE_TXT)
            *(const char **)at = "";
        else if (fields[i].kind == SHAPE_ONE)
            texts_empty(fields[i].of, at);
    }
}

/* --- values: each returns false when the type is not the field's -------------------- */

static bool unsigned_take(const msgpack_object *from, uint64_t *to)
{
    if (from->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
        return false;
    *to = from->via.u64;
    return true;
}

static bool signed_take(const msgpack_object *from, int64_t *to)
{
    if (from->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
        *to = from->via.i64;
    else if (from->type == MSGPACK_OBJECT_POSITIVE_INTEGER && from->via.u64 <= INT64_MAX)
        *to = (int64_t)from->via.u64;
    else
        return false;
    return true;
}

static bool flag_take(const msgpack_object *from, bool *to)
{
    if (from->type != MSGPACK_OBJECT_BOOLEAN)
        return false;
    *to = from->via.boolean;
    return true;
}

/* A text with a zero byte inside is refused: C would read only a part of it. */
static bool text_take(const msgpack_object *from, void *mem, const char **to)
{
    if (from->type != MSGPACK_OBJECT_STR)
        return false;
    const msgpack_object_str *str = &from->via.str;
    if (str->size > 0 && memchr(str->ptr, 0, str->size) != NULL)
        return false;
    /* of an empty text msgpack-c may give no pointer at all */
    *to = str->size > 0 ? talloc_strndup(mem, str->ptr, str->size) : "";
    return true;
}

static bool bytes_take(const msgpack_object *from, void *mem, Bytes *to)
{
    if (from->type != MSGPACK_OBJECT_BIN)
        return false;
    bytes_add(mem, to, from->via.bin.ptr, from->via.bin.size);
    return true;
}

static bool texts_take(const msgpack_object *from, void *mem, const char ***to)
{
    if (from->type != MSGPACK_OBJECT_ARRAY)
        return false;
    const msgpack_object_array *array = &from->via.array;
    const char **texts = talloc_array(mem, const char *, array->size);
    for (size_t i = 0; i < array->size; i++)
        if (!text_take(&array->ptr[i], mem, &texts[i]))
            return false;
    *to = texts;
    return true;
}

/* --- shapes ----------------------------------------------------------------------- */

static Status wrong_type(Failure *failure, const Shape *shape, const ShapeField *field)
{
    return failure_set(failure, STATUS_BAD_FRAME, "%s.%s has the wrong type", shape->name, field->name);
}

static Status unpack_shape(const Shape *shape, const msgpack_object *from, void *mem, void *to, Failure *failure);

/* The elements of a list, each a shape; from is an array. */
static Status unpack_list(const Shape *of, const msgpack_object_array *from, void *mem, uint8_t **to, Failure *failure)
{
    uint8_t *list = talloc_array_size(mem, of->size, from->size);
    for (size_t i = 0; i < from->size; i++) {
        const Status status = unpack_shape(of, &from->ptr[i], mem, list + i * of->size, failure);
        if (status != STATUS_OK)
            return status;
    }
    *to = list;
    return STATUS_OK;
}

/* A field whose value is one or more shapes, at the field's address in its struct. */
static Status unpack_nested(const Shape *shape, const ShapeField *field, const msgpack_object *from, void *mem,
                            void *at, Failure *failure)
{
    if (field->kind == SHAPE_ONE)
        return unpack_shape(field->of, from, mem, at, failure);
    if (from->type != MSGPACK_OBJECT_ARRAY)
        return wrong_type(failure, shape, field);
    return unpack_list(field->of, &from->via.array, mem, at, failure);
}

static Status unpack_field(const Shape *shape, const ShapeField *field, const msgpack_object *from, void *mem, void *to,
                           Failure *failure)
{
    void *at = field_write(field, to);
    bool good = false;
    switch (field->kind) {
    case SHAPE_U64:
        good = unsigned_take(from, at);
        break;
    case SHAPE_I64:
        good = signed_take(from, at);
        break;
    case SHAPE_FLAG:
        good = flag_take(from, at);
        break;
    case SHAPE_TXT:
        good = text_take(from, mem, at);
        break;
    case SHAPE_BIN:
        good = bytes_take(from, mem, at);
        break;
    case SHAPE_TXS:
        good = texts_take(from, mem, at);
        break;
    case SHAPE_ONE:
    case SHAPE_LST: {
        const Status status = unpack_nested(shape, field, from, mem, at, failure);
        if (status != STATUS_OK)
            return status;
        good = true;
        break;
    }
    }
    if (!good)
        return wrong_type(failure, shape, field);
    if (field->kind == SHAPE_TXS || field->kind == SHAPE_LST)
        field_set_count(field, to, from->via.array.size);
    return STATUS_OK;
}

/* Fields beyond those that either side knows are passed over. */
static Status unpack_shape(const Shape *shape, const msgpack_object *from, void *mem, void *to, Failure *failure)
{
    memset(to, 0, shape->size);
    texts_empty(shape, to);
    if (from->type != MSGPACK_OBJECT_ARRAY)
        return failure_set(failure, STATUS_BAD_FRAME, "%s is not an array", shape->name);
    const msgpack_object_array *array = &from->via.array;
    size_t total;
    const ShapeField *fields = shape->fields(&total);
    for (size_t i = 0; i < total && i < array->size; i++) {
        const Status status = unpack_field(shape, &fields[i], &array->ptr[i], mem, to, failure);
        if (status != STATUS_OK)
            return status;
    }
    return STATUS_OK;
}

Status shape_unpack(const Shape *shape, Bytes from, void *mem, void *to, Failure *failure)
{
    if (!lengths_fit(from))
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
