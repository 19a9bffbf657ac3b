/* Shapes: pack, unpack, versions, and bytes spoiled in every way. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

#include "wire/shape.h"

#define LEAF_FIELDS(X) \
    X(U64, number, 0)  \
    X(TXT, name, 0)
SHAPE(Leaf, LEAF_FIELDS)
SHAPE_TABLE(Leaf, LEAF_FIELDS)

#define TREE_FIELDS(X)  \
    X(I64, balance, 0)  \
    X(FLAG, on, 0)      \
    X(BIN, blob, 0)     \
    X(TXS, words, 0)    \
    X(ONE, first, Leaf) \
    X(LST, leaves, Leaf)
SHAPE(Tree, TREE_FIELDS)
SHAPE_TABLE(Tree, TREE_FIELDS)

/* The same as Leaf, one release later. */
#define NEXT_LEAF_FIELDS(X) \
    X(U64, number, 0)       \
    X(TXT, name, 0)         \
    X(U64, added, 0)        \
    X(TXT, note, 0)
SHAPE(NextLeaf, NEXT_LEAF_FIELDS)
SHAPE_TABLE(NextLeaf, NEXT_LEAF_FIELDS)

static Tree tree(void *mem)
{
    Tree t = {.balance = -7, .on = true, .first = {9, "root"}};
    bytes_add(mem, &t.blob, "\0\1\2", 3);
    t.words = talloc_array(mem, const char *, 2);
    t.words[0] = "a";
    t.words[1] = "";
    t.wordsCount = 2;
    t.leaves = talloc_array(mem, Leaf, 2);
    t.leaves[0] = (Leaf){UINT64_MAX, "x"};
    t.leaves[1] = (Leaf){0, "y"};
    t.leavesCount = 2;
    return t;
}

static void thereAndBack(void **state)
{
    (void)state;
    void *mem = talloc_new(NULL);
    const Tree in = tree(mem);
    Tree out, copy;
    Bytes packed = {0};
    shapePack(&TreeShape, &in, mem, &packed);
    assert_int_equal(shapeUnpack(&TreeShape, packed, mem, &out, NULL), STATUS_OK);
    assert_true(shapeEqual(&TreeShape, &in, &out));
    assert_int_equal(out.leaves[0].number, UINT64_MAX);
    assert_int_equal(out.balance, -7);
    shapeCopy(&TreeShape, &in, mem, &copy);
    assert_true(shapeEqual(&TreeShape, &in, &copy));
    copy.leaves[1].number = 1;
    assert_false(shapeEqual(&TreeShape, &in, &copy));
    Tree flat;
    void *block = talloc_new(NULL);
    shapeCopyFlat(&TreeShape, &in, block, &flat);
    assert_true(shapeEqual(&TreeShape, &in, &flat));
    assert_int_equal(talloc_total_blocks(block), 2);
    assert_ptr_not_equal(flat.words[0], in.words[0]);
    const Tree empty = {0};
    shapeCopyFlat(&TreeShape, &empty, block, &flat);
    assert_true(shapeEqual(&TreeShape, &empty, &flat));
    assert_string_equal(flat.first.name, "");
    assert_int_equal(talloc_total_blocks(block), 2);
    talloc_free(block);
    talloc_free(mem);
}

static void oneReleaseBesideTheNext(void **state)
{
    (void)state;
    void *mem = talloc_new(NULL);
    Bytes old = {0}, next = {0};
    shapePack(&LeafShape, &(Leaf){3, "three"}, mem, &old);
    shapePack(&NextLeafShape, &(NextLeaf){4, "four", 5, "six"}, mem, &next);
    NextLeaf fromOld;
    Leaf fromNext;
    assert_int_equal(shapeUnpack(&NextLeafShape, old, mem, &fromOld, NULL), STATUS_OK);
    assert_int_equal(fromOld.added, 0);
    assert_string_equal(fromOld.note, "");
    assert_int_equal(shapeUnpack(&LeafShape, next, mem, &fromNext, NULL), STATUS_OK);
    assert_int_equal(fromNext.number, 4);
    talloc_free(mem);
}

/* Every truncation and 20,000 spoiled copies: a typed refusal or a value that
 * packs again, never a crash. */
static void spoiled(void **state)
{
    (void)state;
    void *mem = talloc_new(NULL);
    const Tree in = tree(mem);
    Bytes packed = {0};
    shapePack(&TreeShape, &in, mem, &packed);
    for (size_t count = 0; count < packed.count; count++) {
        Tree out;
        assert_int_equal(shapeUnpack(&TreeShape, (Bytes){packed.data, count, 0}, mem, &out, NULL), STATUS_BAD_FRAME);
    }
    uint32_t seed = 1;
    size_t refused = 0;
    for (int i = 0; i < 20000; i++) {
        void *one = talloc_new(mem);
        Bytes copy = bytes_copy(one, packed);
        for (int k = 0; k < 1 + i % 3; k++) {
            seed = seed * 1664525u + 1013904223u;
            copy.data[(seed >> 8) % copy.count] = (uint8_t)(seed >> 24);
        }
        Tree out;
        Failure failure = {0};
        if (shapeUnpack(&TreeShape, copy, one, &out, &failure) == STATUS_OK) {
            Bytes again = {0};
            shapePack(&TreeShape, &out, one, &again);
            assert_true(again.count > 0);
        } else {
            assert_int_equal(failure.status, STATUS_BAD_FRAME);
            refused++;
        }
        talloc_free(one);
    }
    assert_true(refused > 1000);
    talloc_free(mem);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(thereAndBack),
        cmocka_unit_test(oneReleaseBesideTheNext),
        cmocka_unit_test(spoiled),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
