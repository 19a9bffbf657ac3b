#ifndef WIRE_SHAPE_H
#define WIRE_SHAPE_H

/* A shape is a struct described once, as a list of fields; from the list come the struct itself and
 * the table by which it is packed (MessagePack), unpacked, copied and compared. All messages, journal
 * records and snapshots are packed shapes.
 *
 *     #define RESOURCES_FIELDS(X) X(U64, cpu_milli, 0) X(U64, mem_mb, 0)
 *     SHAPE(Resources, RESOURCES_FIELDS)          in a header
 *     SHAPE_TABLE(Resources, RESOURCES_FIELDS)    in one source file
 *
 * Kinds: U64, I64, FLAG (bool), TXT (text, never null once unpacked), BIN (Bytes), TXS (texts), ONE (a
 * nested shape), LST (a list of a shape; third column: the shape). RAM (third column: any type) is a
 * member that is not in the table: it is neither packed nor compared, and copied bit by bit.
 *
 * Across releases: a reader passes over trailing fields that it does not know, and leaves at zero (a
 * text at "") those that an older writer did not send. So fields are only ever added, at the end.
 *
 * Nothing here waits. */

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
    size_t count_offset; /* of TXS and LST, to their count; 0: no list */
    const Shape *of;     /* of ONE and LST; else null */
} ShapeField;

struct Shape {
    const char *name; /* for texts of failures */
    size_t size;      /* of the struct, bytes */
    const ShapeField *(*fields)(size_t *count);
};

/* --- what the lists of fields are expanded by ------------------------------------ */

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

/* Appends the packed struct to the bytes, which grow on mem. Null texts are packed as "". */
void shape_pack(const Shape *shape, const void *from, void *mem, Bytes *to);
/* Fills the struct, with all it points to on mem; from is not needed any more. Texts share blocks: none
 * can be freed by itself. Bytes from a peer may be anything. BAD_FRAME, with the field's name: they are not
 * exactly one value of this shape; then the struct may be filled in part. failure may be null. */
Status shape_unpack(const Shape *shape, Bytes from, void *mem, void *to, Failure *failure);
/* A deep copy, each part on memory of its own on mem. */
void shape_copy(const Shape *shape, const void *from, void *mem, void *to);
/* A deep copy in one block on mem: no part of it can be freed, and nothing may be added to its Bytes. */
void shape_copy_flat(const Shape *shape, const void *from, void *mem, void *to);
/* Whether both are packed alike. */
bool shape_equal(const Shape *shape, const void *a, const void *b);

#endif
