#ifndef WIRE_SHAPE_H
#define WIRE_SHAPE_H

#include <stddef.h>

#include "base/bytes.h"
#include "base/failure.h"

/* A shape is a struct told once, as a list of fields, from which come the
 * struct itself and the table that packs, unpacks and prints it:
 *
 *     #define ROOM_FIELDS(X) X(U64, cpu_milli, 0) X(U64, mem_mb, 0)
 *     SHAPE(Room, ROOM_FIELDS)          in a header
 *     SHAPE_TABLE(Room, ROOM_FIELDS)    in one source file
 *
 * Kinds: U64, I64, FLAG (bool), TXT (text, never null once unpacked), BIN
 * (Bytes), TXS (texts), ONE (a nested shape), LST (a list of a shape). RAM (any
 * type) is a member beside them: it is in no row, so it is neither packed nor
 * compared, and a copy of the shape has the same bits in it.
 * Messages, journal records and snapshots are all packed shapes.
 *
 * Across versions: a reader ignores trailing fields that it does not know and
 * leaves at zero those that an older writer did not send. So fields are only
 * ever added, at the end. */
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

typedef struct ShapeField {
    const char *name;
    ShapeKind kind;
    size_t offset;
    size_t count_offset; /* lists: where their count stands */
    const Shape *of;     /* ONE and LST */
} ShapeField;

struct Shape {
    const char *name;
    size_t size;
    const ShapeField *(*fields)(size_t *count);
};

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

void shape_pack(const Shape *shape, const void *from, void *mem, Bytes *to);
/* Checks all; the result hangs on mem. BAD_FRAME with the field's name. */
Status shape_unpack(const Shape *shape, Bytes from, void *mem, void *to, Failure *failure);
/* A deep copy on mem. */
void shape_copy(const Shape *shape, const void *from, void *mem, void *to);
/* The same in one block on mem: parts of it can't be freed, its Bytes are borrowed. */
void shape_copy_flat(const Shape *shape, const void *from, void *mem, void *to);
bool shape_equal(const Shape *shape, const void *a, const void *b);

#endif
