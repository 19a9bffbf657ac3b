#ifndef WIRE_SHAPE_H
#define WIRE_SHAPE_H

/* A shape describes a struct by a list of fields. The struct itself and the table by which it is packed (as
 * MessagePack), unpacked, copied and compared are generated from the list. All messages, journal records and snapshots
 * are packed shapes.
 *
 *     #define RESOURCES_FIELDS(X) X(U64, cpu_milli, 0) X(U64, mem_mb, 0)
 *     SHAPE(Resources, RESOURCES_FIELDS)          in a header
 *     SHAPE_TABLE(Resources, RESOURCES_FIELDS)    in one source file
 *
 * Kinds: U64, I64, FLAG (bool), TXT (text, never null once unpacked), BIN (Bytes), TXS (list of texts), ONE (nested
 * shape; third column: the shape), LST (list of shapes; third column: the shape). RAM (third column: any type) is a
 * member that is not in the table: it is neither packed nor compared, and is copied bitwise.
 *
 * Compatibility between releases: a reader skips trailing fields that it does not know, and sets fields that an older
 * writer did not send to zero (texts to ""). Therefore fields are only added, and only at the end.
 *
 * No function here waits. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/bytes.h"
#include "base/failure.h"
#include "base/status.h"

typedef enum ShapeKind {
    SHAPE_U64,
    SHAPE_I64,
    SHAPE_FLAG,
    SHAPE_TXT,
    SHAPE_BIN,
    SHAPE_TXS,
    SHAPE_ONE,
    SHAPE_LST
} ShapeKind;

typedef struct Shape Shape;

/* One row of a shape's table. */
typedef struct ShapeField {
    const char *name;
    ShapeKind kind;
    size_t offset;
    size_t count_offset; /* offset of the element count of TXS and LST; 0: the field is no list */
    const Shape *of;     /* shape of ONE and LST; null for other kinds */
} ShapeField;

struct Shape {
    const char *name; /* used in failure texts */
    size_t size;      /* size of the struct, in bytes */
    /* returns the table and sets *count to its number of rows */
    const ShapeField *(*fields)(size_t *count);
};

/* --- macros that expand the lists of fields --------------------------------------- */

#define SHAPE_MEMBER_U64(name, of) uint64_t name;
#define SHAPE_MEMBER_I64(name, of) int64_t name;
#define SHAPE_MEMBER_FLAG(name, of) bool name;
#define SHAPE_MEMBER_TXT(name, of) const char *name;
#define SHAPE_MEMBER_BIN(name, of) Bytes name;
#define SHAPE_MEMBER_TXS(name, of) \
    const char **name;             \
    size_t name##_count;
#define SHAPE_MEMBER_ONE(name, of) of name;
#define SHAPE_MEMBER_LST(name, of) \
    of *name;                      \
    size_t name##_count;
#define SHAPE_MEMBER_RAM(name, of) of name;
#define SHAPE_MEMBER(kind, name, of) SHAPE_MEMBER_##kind(name, of)

/* Defines the struct and declares its shape. */
#define SHAPE(Type, FIELDS)  \
    typedef struct Type {    \
        FIELDS(SHAPE_MEMBER) \
    } Type;                  \
    extern const Shape Type##_shape;

#define SHAPE_ROW_PLAIN(kind, name) {#name, SHAPE_##kind, offsetof(ShapeOwner, name), 0, NULL},
#define SHAPE_ROW_U64(name, of) SHAPE_ROW_PLAIN(U64, name)
#define SHAPE_ROW_I64(name, of) SHAPE_ROW_PLAIN(I64, name)
#define SHAPE_ROW_FLAG(name, of) SHAPE_ROW_PLAIN(FLAG, name)
#define SHAPE_ROW_TXT(name, of) SHAPE_ROW_PLAIN(TXT, name)
#define SHAPE_ROW_BIN(name, of) SHAPE_ROW_PLAIN(BIN, name)
#define SHAPE_ROW_TXS(name, of) \
    {#name, SHAPE_TXS, offsetof(ShapeOwner, name), offsetof(ShapeOwner, name##_count), NULL},
#define SHAPE_ROW_ONE(name, of) {#name, SHAPE_ONE, offsetof(ShapeOwner, name), 0, &of##_shape},
#define SHAPE_ROW_LST(name, of) \
    {#name, SHAPE_LST, offsetof(ShapeOwner, name), offsetof(ShapeOwner, name##_count), &of##_shape},
#define SHAPE_ROW_RAM(name, of)
#define SHAPE_ROW(kind, name, of) SHAPE_ROW_##kind(name, of)

/* Defines the shape and its table. */
#define SHAPE_TABLE(Type, FIELDS)                             \
    static const ShapeField *Type##_fields(size_t *count)     \
    {                                                         \
        typedef Type ShapeOwner;                              \
        static const ShapeField ROWS[] = {FIELDS(SHAPE_ROW)}; \
        *count = sizeof(ROWS) / sizeof(ROWS[0]);              \
        return ROWS;                                          \
    }                                                         \
    const Shape Type##_shape = {#Type, sizeof(Type), Type##_fields};

/* --- functions -------------------------------------------------------------------- */

/* Appends the packed struct to the buffer, which grows on mem. Null texts are packed as "". */
void shape_pack(const Shape *shape, const void *from, void *mem, Bytes *to);
/* Unpacks the bytes, which may come from a peer and are not trusted, into the struct, with everything it points to on
 * mem. The bytes are not referenced afterwards. Texts share blocks, so that no text can be freed separately. Returns
 * OK, or BAD_FRAME when the bytes are not exactly one value of this shape: the struct may be filled in part, and
 * failure, which may be null, names the shape or field. */
Status shape_unpack(const Shape *shape, Bytes from, void *mem, void *to, Failure *failure);
/* Makes a deep copy, each part of which is a separate allocation on mem. */
void shape_copy(const Shape *shape, const void *from, void *mem, void *to);
/* Makes a deep copy in one block on mem: no part of it can be freed, and nothing may be appended to its Bytes. */
void shape_copy_flat(const Shape *shape, const void *from, void *mem, void *to);
/* Whether the packed forms of both structs are equal. */
bool shape_equal(const Shape *shape, const void *a, const void *b);

#endif
