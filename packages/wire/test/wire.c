/* Tests of shapes: packing, unpacking, copies, compatibility between releases, and malformed data. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>
#include <msgpack.h>
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

/* Leaf in the next release. */
#define NEXT_LEAF_FIELDS(X) \
    X(U64, number, 0)       \
    X(TXT, name, 0)         \
    X(U64, added, 0)        \
    X(TXT, note, 0)
SHAPE(NextLeaf, NEXT_LEAF_FIELDS)
SHAPE_TABLE(NextLeaf, NEXT_LEAF_FIELDS)

/* The fixture of each test: a tree with every kind of field, and its packed bytes. */
typedef struct Fixture {
    Tree tree;
    Bytes packed;
} Fixture;

static Tree tree_new(void *mem)
{
    Tree tree = {.balance = -7, .on = true, .first = {9, "root"}};
    bytes_add(mem, &tree.blob, "\0\1\2", 3);
    tree.words = talloc_array(mem, const char *, 2);
    tree.words[0] = "a";
    tree.words[1] = "";
    tree.words_count = 2;
    tree.leaves = talloc_array(mem, Leaf, 2);
    tree.leaves[0] = (Leaf){UINT64_MAX, "x"};
    tree.leaves[1] = (Leaf){0, "y"};
    tree.leaves_count = 2;
    return tree;
}

static int fixture_begin(void **state)
{
    Fixture *fixture = talloc_zero(NULL, Fixture);
    fixture->tree = tree_new(fixture);
    shape_pack(&Tree_shape, &fixture->tree, fixture, &fixture->packed);
    *state = fixture;
    return 0;
}

static int fixture_end(void **state)
{
    talloc_free(*state);
    return 0;
}

/* --- packing and copying -------------------------------------------------------------- */

static void unpacked_equals_packed(void **state)
{
    Fixture *fixture = *state;
    Tree out;
    assert_int_equal(shape_unpack(&Tree_shape, fixture->packed, fixture, &out, NULL), STATUS_OK);
    assert_true(shape_equal(&Tree_shape, &fixture->tree, &out));
    assert_int_equal(out.leaves[0].number, UINT64_MAX);
    assert_int_equal(out.balance, -7);
}

/* Data on disks and messages of other releases were packed by msgpack-c, so the packed bytes must be identical. */
static void packed_as_by_msgpack_c(void **state)
{
    void *mem = *state;
    static const int64_t NUMBERS[] = {0,
                                      127,
                                      128,
                                      255,
                                      256,
                                      65535,
                                      65536,
                                      -1,
                                      -32,
                                      -33,
                                      -128,
                                      -129,
                                      -32768,
                                      -32769,
                                      INT32_MAX,
                                      UINT32_MAX,
                                      INT64_MAX,
                                      INT32_MIN,
                                      (int64_t)INT32_MIN - 1,
                                      INT64_MIN};
    static const size_t COUNTS[] = {0, 1, 15, 16, 31, 32, 255, 256, 65535, 65536, 70000};
    for (size_t i = 0; i < sizeof(NUMBERS) / sizeof(NUMBERS[0]); i++)
        for (size_t k = 0; k < sizeof(COUNTS) / sizeof(COUNTS[0]); k++) {
            void *one = talloc_new(mem);
            char *text = talloc_size(one, COUNTS[k] + 1);
            memset(text, 'x', COUNTS[k]);
            text[COUNTS[k]] = '\0';
            Tree tree = {.balance = NUMBERS[i], .on = i % 2 == 0, .first = {(uint64_t)NUMBERS[i], text}};
            tree.blob = (Bytes){(uint8_t *)text, COUNTS[k], 0};
            tree.words_count = COUNTS[k];
            tree.words = talloc_zero_array(one, const char *, (unsigned)COUNTS[k]);
            Bytes ours = {0};
            shape_pack(&Tree_shape, &tree, one, &ours);
            msgpack_sbuffer theirs;
            msgpack_sbuffer_init(&theirs);
            msgpack_packer packer;
            msgpack_packer_init(&packer, &theirs, msgpack_sbuffer_write);
            msgpack_pack_array(&packer, 6);
            msgpack_pack_int64(&packer, tree.balance);
            if (tree.on)
                msgpack_pack_true(&packer);
            else
                msgpack_pack_false(&packer);
            msgpack_pack_bin_with_body(&packer, text, COUNTS[k]);
            msgpack_pack_array(&packer, COUNTS[k]);
            for (size_t word = 0; word < COUNTS[k]; word++)
                msgpack_pack_str_with_body(&packer, "", 0);
            msgpack_pack_array(&packer, 2);
            msgpack_pack_uint64(&packer, (uint64_t)NUMBERS[i]);
            msgpack_pack_str_with_body(&packer, text, COUNTS[k]);
            msgpack_pack_array(&packer, 0);
            assert_int_equal(ours.count, theirs.size);
            assert_memory_equal(ours.data, theirs.data, theirs.size);
            msgpack_sbuffer_destroy(&theirs);
            talloc_free(one);
        }
}

static void copy_is_deep(void **state)
{
    Fixture *fixture = *state;
    Tree copy;
    shape_copy(&Tree_shape, &fixture->tree, fixture, &copy);
    assert_true(shape_equal(&Tree_shape, &fixture->tree, &copy));
    copy.leaves[1].number = 1;
    assert_false(shape_equal(&Tree_shape, &fixture->tree, &copy));
}

/* A difference in any single field is detected, as it would be in the packed bytes. */
static void each_field_counts_in_a_comparison(void **state)
{
    Fixture *fixture = *state;
    enum { CHANGES = 12 };
    Tree others[CHANGES];
    for (size_t i = 0; i < CHANGES; i++) {
        shape_copy(&Tree_shape, &fixture->tree, fixture, &others[i]);
        assert_true(shape_equal(&Tree_shape, &fixture->tree, &others[i]));
    }
    others[0].balance++;
    others[1].on = false;
    others[2].blob.data[1]++;
    others[3].blob.count--;
    others[4].words[0] = "b";
    others[5].words_count--;
    others[6].first.number++;
    others[7].first.name = "roots";
    others[8].leaves[1].number++;
    others[9].leaves[1].name = "";
    others[10].leaves_count--;
    others[11].words[1] = "x";
    for (size_t i = 0; i < CHANGES; i++)
        assert_false(shape_equal(&Tree_shape, &fixture->tree, &others[i]));
    Tree null = fixture->tree, empty = fixture->tree;
    null.first.name = NULL;
    empty.first.name = "";
    assert_true(shape_equal(&Tree_shape, &null, &empty));
}

static void flat_copy_is_one_block(void **state)
{
    Fixture *fixture = *state;
    Tree flat;
    void *block = talloc_new(fixture);
    shape_copy_flat(&Tree_shape, &fixture->tree, block, &flat);
    assert_true(shape_equal(&Tree_shape, &fixture->tree, &flat));
    assert_int_equal(talloc_total_blocks(block), 2);
    assert_ptr_not_equal(flat.words[0], fixture->tree.words[0]);
    const Tree empty = {0};
    shape_copy_flat(&Tree_shape, &empty, block, &flat);
    assert_true(shape_equal(&Tree_shape, &empty, &flat));
    assert_string_equal(flat.first.name, "");
    assert_int_equal(talloc_total_blocks(block), 2);
}

static void releases_read_each_other(void **state)
{
    void *mem = *state;
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
}

/* Numbers are read in each width. An unsigned field accepts a number packed as signed if it is not negative. */
static void numbers_of_all_widths_are_read(void **state)
{
    static const struct {
        size_t count;
        uint8_t bytes[10];
        uint64_t number;
    } FRAMES[] = {
        {2, {0x91, 0x7f}, 127},
        {3, {0x91, 0xcc, 0x80}, 128},
        {4, {0x91, 0xcd, 0x01, 0x00}, 256},
        {6, {0x91, 0xce, 0x00, 0x01, 0x00, 0x00}, 65536},
        {10, {0x91, 0xcf, 0x00, 0x00, 0x00, 0x01, 0x00, 0x00, 0x00, 0x00}, 1ULL << 32},
        {3, {0x91, 0xd0, 0x05}, 5},
        {4, {0x91, 0xd1, 0x01, 0x00}, 256},
        {6, {0x91, 0xd2, 0x00, 0x01, 0x00, 0x00}, 65536},
        {10, {0x91, 0xd3, 0x00, 0x00, 0x00, 0x01, 0x00, 0x00, 0x00, 0x00}, 1ULL << 32},
    };
    for (size_t i = 0; i < sizeof(FRAMES) / sizeof(FRAMES[0]); i++) {
        const Bytes frame = {(uint8_t *)(uintptr_t)FRAMES[i].bytes, FRAMES[i].count, 0};
        Leaf out;
        assert_int_equal(shape_unpack(&Leaf_shape, frame, *state, &out, NULL), STATUS_OK);
        assert_int_equal(out.number, FRAMES[i].number);
        assert_string_equal(out.name, "");
    }
    static const uint8_t NEGATIVES[][6] = {
        {0x91, 0xff}, {0x91, 0xd0, 0xff}, {0x91, 0xd1, 0xff, 0xff}, {0x91, 0xd2, 0xff, 0xff, 0xff, 0xff}};
    static const size_t COUNTS[] = {2, 3, 4, 6};
    for (size_t i = 0; i < sizeof(COUNTS) / sizeof(COUNTS[0]); i++) {
        const Bytes frame = {(uint8_t *)(uintptr_t)NEGATIVES[i], COUNTS[i], 0};
        Tree tree;
        Leaf leaf;
        assert_int_equal(shape_unpack(&Tree_shape, frame, *state, &tree, NULL), STATUS_OK);
        assert_int_equal(tree.balance, -1);
        assert_int_equal(shape_unpack(&Leaf_shape, frame, *state, &leaf, NULL), STATUS_BAD_FRAME);
    }
}

/* Unpacking makes one allocation for each list and byte buffer, and one for all short texts together. */
static void texts_share_a_block(void **state)
{
    Fixture *fixture = *state;
    Tree out;
    void *mem = talloc_new(fixture);
    assert_int_equal(shape_unpack(&Tree_shape, fixture->packed, mem, &out, NULL), STATUS_OK);
    assert_int_equal(talloc_total_blocks(mem), 1 + 1 + 1 + 1 + 1); /* mem, texts, blob, words, leaves */
}

/* Texts longer than a block, many texts, and the fields after them are read. */
static void long_texts_are_read(void **state)
{
    void *mem = *state;
    char text[1500];
    Tree tree = {.first = {1, text}};
    tree.words_count = 300;
    tree.words = talloc_array(mem, const char *, 300);
    for (size_t i = 0; i < 300; i++)
        tree.words[i] = talloc_asprintf(mem, "%0*zu", (int)(i % 40 + 1), i);
    for (size_t length = 0; length < sizeof(text); length += 37) {
        memset(text, 'x', length);
        text[length] = '\0';
        Bytes packed = {0};
        shape_pack(&Tree_shape, &tree, mem, &packed);
        Tree out;
        assert_int_equal(shape_unpack(&Tree_shape, packed, mem, &out, NULL), STATUS_OK);
        assert_true(shape_equal(&Tree_shape, &tree, &out));
    }
}

/* --- malformed data ---------------------------------------------------------------------- */

static void truncated_is_refused(void **state)
{
    Fixture *fixture = *state;
    for (size_t count = 0; count < fixture->packed.count; count++) {
        Tree out;
        assert_int_equal(shape_unpack(&Tree_shape, (Bytes){fixture->packed.data, count, 0}, fixture, &out, NULL),
                         STATUS_BAD_FRAME);
    }
}

/* Each frame states a length or count that does not match the bytes after it, or has a value that no shape packs. */
static void untrue_length_is_refused(void **state)
{
    static const struct {
        size_t count;
        uint8_t bytes[6];
    } FRAMES[] = {
        {5, {0xdd, 0xff, 0xff, 0xff, 0xff}},       /* array of 2^32 - 1 values */
        {5, {0xdf, 0xff, 0xff, 0xff, 0xff}},       /* map of 2^32 - 1 pairs */
        {3, {0xdc, 0x00, 0x02}},                   /* array of two values, both missing */
        {6, {0x91, 0xc6, 0xff, 0xff, 0xff, 0xff}}, /* 2^32 - 1 bytes */
        {3, {0x91, 0xd9, 0x02}},                   /* text of two bytes, both missing */
        {2, {0x91, 0xcd}},                         /* 16-bit number without its bytes */
        {4, {0x91, 0xd4, 0x00, 0x00}},             /* ext value */
        {2, {0x90, 0x00}},                         /* surplus byte */
        {2, {0x91, 0xc1}},                         /* byte that begins no value */
    };
    for (size_t i = 0; i < sizeof(FRAMES) / sizeof(FRAMES[0]); i++) {
        const Bytes frame = {(uint8_t *)(uintptr_t)FRAMES[i].bytes, FRAMES[i].count, 0};
        Leaf out;
        assert_int_equal(shape_unpack(&Leaf_shape, frame, *state, &out, NULL), STATUS_BAD_FRAME);
    }
}

static void other_type_is_refused_by_its_name(void **state)
{
    void *mem = *state;
    Bytes packed = {0};
    shape_pack(&NextLeaf_shape, &(NextLeaf){4, "four", 5, "six"}, mem, &packed);
    Tree out;
    Failure failure = {0};
    assert_int_equal(shape_unpack(&Tree_shape, packed, mem, &out, &failure), STATUS_BAD_FRAME);
    assert_string_equal(failure.text, "Tree.on has the wrong type");
}

/* Each of 20,000 corrupted copies is refused or gives a struct that can be packed; none ends the process. */
static void spoiled_is_refused_or_packs_again(void **state)
{
    Fixture *fixture = *state;
    uint32_t seed = 1;
    size_t refused = 0;
    for (int i = 0; i < 20000; i++) {
        void *one = talloc_new(fixture);
        Bytes copy = bytes_copy(one, fixture->packed);
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
}

/* Guards against a crash when a list cannot be allocated: a frame needs only one byte for each of its elements. */
static void list_beyond_memory_is_refused(void **state)
{
    Fixture *fixture = *state;
    enum { ELEMENTS = 17 * 1024 * 1024 }; /* of 16 bytes each: more than talloc allocates in one block */
    static const uint8_t HEAD[] = {0x96, 0x00, 0xc2, 0xc4, 0x00, 0x90, 0x90, 0xdd, 0x01, 0x10, 0x00, 0x00};
    Bytes frame = {0};
    bytes_add(fixture, &frame, HEAD, sizeof(HEAD));
    uint8_t *elements = talloc_array(fixture, uint8_t, ELEMENTS);
    memset(elements, 0x90, ELEMENTS);
    bytes_add(fixture, &frame, elements, ELEMENTS);
    Tree out;
    Failure failure = {0};
    assert_int_equal(shape_unpack(&Tree_shape, frame, fixture, &out, &failure), STATUS_BAD_FRAME);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, fixture_begin, fixture_end)

int main(void)
{
    const struct CMUnitTest tests[] = {
        TEST(unpacked_equals_packed),
        TEST(packed_as_by_msgpack_c),
        TEST(copy_is_deep),
        TEST(each_field_counts_in_a_comparison),
        TEST(list_beyond_memory_is_refused),
        TEST(flat_copy_is_one_block),
        TEST(releases_read_each_other),
        TEST(numbers_of_all_widths_are_read),
        TEST(texts_share_a_block),
        TEST(long_texts_are_read),
        TEST(truncated_is_refused),
        TEST(untrue_length_is_refused),
        TEST(other_type_is_refused_by_its_name),
        TEST(spoiled_is_refused_or_packs_again),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
