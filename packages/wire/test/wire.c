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
    t.words_count = 2;
    t.leaves = talloc_array(mem, Leaf, 2);
    t.leaves[0] = (Leaf){UINT64_MAX, "x"};
    t.leaves[1] = (Leaf){0, "y"};
    t.leaves_count = 2;
    return t;
}

static void there_and_back(void **state)
{
    (void)state;
    void *mem = talloc_new(NULL);
    const Tree in = tree(mem);
    Tree out, copy;
    Bytes packed = {0};
    shape_pack(&Tree_shape, &in, mem, &packed);
    assert_int_equal(shape_unpack(&Tree_shape, packed, mem, &out, NULL), STATUS_OK);
    assert_true(shape_equal(&Tree_shape, &in, &out));
    assert_int_equal(out.leaves[0].number, UINT64_MAX);
    assert_int_equal(out.balance, -7);
    shape_copy(&Tree_shape, &in, mem, &copy);
    assert_true(shape_equal(&Tree_shape, &in, &copy));
    copy.leaves[1].number = 1;
    assert_false(shape_equal(&Tree_shape, &in, &copy));
    Tree flat;
    void *block = talloc_new(NULL);
    shape_copy_flat(&Tree_shape, &in, block, &flat);
    assert_true(shape_equal(&Tree_shape, &in, &flat));
    assert_int_equal(talloc_total_blocks(block), 2);
    assert_ptr_not_equal(flat.words[0], in.words[0]);
    const Tree empty = {0};
    shape_copy_flat(&Tree_shape, &empty, block, &flat);
    assert_true(shape_equal(&Tree_shape, &empty, &flat));
    assert_string_equal(flat.first.name, "");
    assert_int_equal(talloc_total_blocks(block), 2);
    talloc_free(block);
    talloc_free(mem);
}

static void one_release_beside_the_next(void **state)
{
    (void)state;
    void *mem = talloc_new(NULL);
    Bytes old = {0}, next = {0};
    shape_pack(&Leaf_shape, &(Leaf){3, "three"}, mem, &old);
    shape_pack(&NextLeaf_shape, &(NextLeaf){4, "four", 5, "six"}, mem, &next);
    NextLeaf from_old;
    Leaf from_next;
    assert_int_equal(shape_unpack(&NextLeaf_shape, old, mem, &from_old, NULL), STATUS_OK);
    assert_int_equal(from_old.added, 0);
    assert_string_equal(from_old.note, "");
    assert_int_equal(shape_unpack(&Leaf_shape, next, mem, &from_next, NULL), STATUS_OK);
    assert_int_equal(from_next.number, 4);
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
    shape_pack(&Tree_shape, &in, mem, &packed);
    for (size_t count = 0; count < packed.count; count++) {
        Tree out;
        assert_int_equal(shape_unpack(&Tree_shape, (Bytes){packed.data, count, 0}, mem, &out, NULL), STATUS_BAD_FRAME);
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
        if (shape_unpack(&Tree_shape, copy, one, &out, &failure) == STATUS_OK) {
            Bytes again = {0};
            shape_pack(&Tree_shape, &out, one, &again);
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
        cmocka_unit_test(there_and_back),
        cmocka_unit_test(one_release_beside_the_next),
        cmocka_unit_test(spoiled),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
