/* Unpacking: checks MessagePack data against a shape, field by field, and fills its struct. Data from peers is not
 * trusted: the lengths are checked first (lengths.c), the types here.
 *
 * All texts of a value are copied into a few blocks, because an allocation for each text would cost more than the rest
 * of unpacking. */
#include <string.h>
#include <talloc.h>

#include "base/failure.h"
#include "field.h"
#include "lengths.h"
#include "value.h"
#include "wire/shape.h"

#define TEXT_BLOCK_BYTES 512 /* Small enough for malloc's per-thread cache */

/* The state of unpacking. Invariant: texts_left bytes are free at texts. */
typedef struct Unpacker {
    const uint8_t *at; /* the next value */
    const uint8_t *end;
    void *mem;
    char *texts; /* free part of the current block for texts */
    size_t texts_left;
} Unpacker;

/* --- fields without a value, which an older writer did not send -------------------- */

/* Sets texts to "" from the given field on, since texts are never null, even if the value is missing. */
static void texts_empty(const Shape *shape, size_t from, void *to)
{
    size_t total;
    const ShapeField *fields = shape->fields(&total);
    for (size_t i = from; i < total; i++) {
        void *at = field_write(&fields[i], to);
        if (fields[i].kind == SHAPE_TXT)
            *(const char **)at = "";
        else if (fields[i].kind == SHAPE_ONE)
            texts_empty(fields[i].of, 0, at);
    }
}

/* --- values: each function returns false when the value has another type ------------- */

static bool signed_take(const Value *value, int64_t *to)
{
    if (value->kind != VALUE_NEGATIVE && (value->kind != VALUE_UNSIGNED || value->number > INT64_MAX))
        return false;
    *to = (int64_t)value->number;
    return true;
}

static bool number_take(const Value *value, ValueKind kind, uint64_t *to)
{
    *to = value->number;
    return value->kind == kind;
}

/* Returns memory for a text and its terminating zero byte. A new block is no larger than the remaining bytes of the
 * frame require: each text there is preceded by at least one byte, which corresponds to its zero byte here. */
static char *text_reserve(Unpacker *unpacker, const Value *text)
{
    const size_t bytes = (size_t)text->number + 1;
    if (bytes > unpacker->texts_left) {
        const size_t left = (size_t)(unpacker->end - text->body) + 1;
        size_t block = left < TEXT_BLOCK_BYTES ? left : TEXT_BLOCK_BYTES;
        block = block > bytes ? block : bytes;
        unpacker->texts = talloc_size(unpacker->mem, block);
        unpacker->texts_left = block;
    }
    char *copy = unpacker->texts;
    unpacker->texts += bytes;
    unpacker->texts_left -= bytes;
    return copy;
}

/* Refuses a text that contains a zero byte, since C would read only a part of it. */
static bool text_take(Unpacker *unpacker, const Value *value, const char **to)
{
    *to = "";
    if (value->kind != VALUE_TEXT)
        return false;
    if (value->number == 0)
        return true;
    if (memchr(value->body, 0, value->number) != NULL)
        return false;
    char *text = text_reserve(unpacker, value);
    memcpy(text, value->body, value->number);
    text[value->number] = '\0';
    *to = text;
    return true;
}

static bool bytes_take(const Unpacker *unpacker, const Value *value, Bytes *to)
{
    if (value->kind != VALUE_BYTES)
        return false;
    bytes_add(unpacker->mem, to, value->body, value->number);
    return true;
}

static bool texts_take(Unpacker *unpacker, const Value *value, const char ***to, size_t *count)
{
    if (value->kind != VALUE_ARRAY)
        return false;
    const char **texts = talloc_array(unpacker->mem, const char *, (unsigned)value->number);
    if (texts == NULL)
        return false;
    for (size_t i = 0; i < value->number; i++) {
        const Value text = value_read(&unpacker->at);
        if (!text_take(unpacker, &text, &texts[i]))
            return false;
    }
    *to = texts;
    *count = value->number;
    return true;
}

/* --- shapes ----------------------------------------------------------------------- */

static Status wrong_type(Failure *failure, const Shape *shape, const ShapeField *field)
{
    return failure_set(failure, STATUS_BAD_FRAME, "%s.%s has the wrong type", shape->name, field->name);
}

static Status unpack_shape(Unpacker *unpacker, const Shape *shape, void *to, Failure *failure);

/* Unpacks a field that is a list of shapes. */
static Status unpack_list(Unpacker *unpacker, const Shape *shape, const ShapeField *field, void *to, Failure *failure)
{
    const Shape *of = field->of;
    const Value value = value_read(&unpacker->at);
    if (value.kind != VALUE_ARRAY)
        return wrong_type(failure, shape, field);
    uint8_t *list = talloc_array_size(unpacker->mem, of->size, (unsigned)value.number);
    if (list == NULL) /* one byte of a frame may represent an entire struct */
        return wrong_type(failure, shape, field);
    for (size_t i = 0; i < value.number; i++) {
        const Status status = unpack_shape(unpacker, of, list + i * of->size, failure);
        if (status != STATUS_OK)
            return status;
    }
    *(uint8_t **)field_write(field, to) = list;
    field_set_count(field, to, value.number);
    return STATUS_OK;
}

/* Unpacks a field that is a single value or a list of texts. */
static bool unpack_value(Unpacker *unpacker, const ShapeField *field, void *to)
{
    const Value value = value_read(&unpacker->at);
    void *at = field_write(field, to);
    uint64_t number;
    switch (field->kind) {
    case SHAPE_U64:
        return number_take(&value, VALUE_UNSIGNED, at);
    case SHAPE_I64:
        return signed_take(&value, at);
    case SHAPE_FLAG:
        *(bool *)at = number_take(&value, VALUE_FLAG, &number) && number != 0;
        return value.kind == VALUE_FLAG;
    case SHAPE_TXT:
        return text_take(unpacker, &value, at);
    case SHAPE_BIN:
        return bytes_take(unpacker, &value, at);
    default: { /* SHAPE_TXS */
        size_t count = 0;
        const bool good = texts_take(unpacker, &value, at, &count);
        field_set_count(field, to, count);
        return good;
    }
    }
}

static Status unpack_field(Unpacker *unpacker, const Shape *shape, const ShapeField *field, void *to, Failure *failure)
{
    if (field->kind == SHAPE_ONE)
        return unpack_shape(unpacker, field->of, field_write(field, to), failure);
    if (field->kind == SHAPE_LST)
        return unpack_list(unpacker, shape, field, to, failure);
    return unpack_value(unpacker, field, to) ? STATUS_OK : wrong_type(failure, shape, field);
}

/* Unpacks a struct. Values beyond the known fields are skipped; fields without a value stay zero. */
static Status unpack_shape(Unpacker *unpacker, const Shape *shape, void *to, Failure *failure)
{
    memset(to, 0, shape->size);
    const Value value = value_read(&unpacker->at);
    Status status = STATUS_OK;
    if (value.kind != VALUE_ARRAY)
        status = failure_set(failure, STATUS_BAD_FRAME, "%s is not an array", shape->name);
    size_t total, i = 0;
    const ShapeField *fields = shape->fields(&total);
    for (; status == STATUS_OK && i < total && i < value.number; i++)
        status = unpack_field(unpacker, shape, &fields[i], to, failure);
    texts_empty(shape, i, to);
    if (status == STATUS_OK)
        value_skip(&unpacker->at, value.number - i);
    return status;
}

Status shape_unpack(const Shape *shape, Bytes from, void *mem, void *to, Failure *failure)
{
    if (!lengths_fit(from))
        return failure_set(failure, STATUS_BAD_FRAME, "%s does not parse", shape->name);
    Unpacker unpacker = {.at = from.data, .end = from.data + from.count, .mem = mem};
    return unpack_shape(&unpacker, shape, to, failure);
}
