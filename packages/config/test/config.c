/* Documents of operators: what is read of them, what is wrong with them, where
 * requests find their queue, what two versions share. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

#include "base/constants.h"
#include "config/config.h"
#include "document/document.h"

static uint64_t seed_now;

static uint64_t draw(uint64_t below)
{
    seed_now = seed_now * 6364136223846793005u + 1442695040888963407u;
    return (seed_now >> 33) % below;
}

static Faults *faults_new(void *mem)
{
    Faults *faults = talloc_zero(mem, Faults);
    faults->mem = mem;
    return faults;
}

static const Config *read_good(void *mem, const char *text)
{
    Faults *faults = faults_new(mem);
    const Config *config = config_read(mem, text, strlen(text), 1, faults);
    if (config == NULL)
        fail_msg("%s: %s", faults->list[0].path, faults->list[0].text);
    return config;
}

static const char WHOLE[] =
    "{\"r\":2,\"zoneLoss\":true,\"note\":\"all of it\","
    "\"kinds\":{\"huvo11a\":{\"guards\":true,\"healthPath\":\"/health\",\"note\":\"{\\\"max\\\":64}\"},\"plain\":{}},"
    "\"limits\":{\"headBytes\":16384,\"bodyBytes\":262144,\"headMs\":3000,\"idleMs\":15000},"
    "\"policies\":{\"p\":\"function rank(t) return 1 end\"},"
    "\"cells\":{\"main\":{\"share\":3,\"limit\":500,\"policy\":\"p\",\"strict\":false,"
    "\"tenants\":{\"all\":{},\"few\":{\"quota\":{\"cpu\":1.5,\"memMb\":100}}},"
    "\"queues\":{\"r-a3hwrr6\":{\"priority\":-1,\"kind\":\"huvo11a\",\"rounds\":4,\"stretch\":2.2,\"targetMs\":2000,"
    "\"expiryMs\":3000,\"entry\":{\"host\":\"Nony24.example\",\"prefix\":\"/lohu930/\"},\"note\":\"{\\\"tls\\\":false}\"},"
    "\"bare\":{},\"theirs\":{\"tenant\":\"few\",\"stretch\":3,\"entry\":{\"host\":\"b.example\",\"prefix\":\"/\"}}}},"
    "\"other\":{}}}";

static void fields(void **state)
{
    (void)state;
    void *mem = talloc_new(NULL);
    const Config *config = read_good(mem, WHOLE);
    assert_int_equal(config->r, 2);
    assert_string_equal(config->note, "all of it");
    assert_int_equal(config->limits.head_bytes, 16384);
    assert_int_equal(config->limits.body_bytes, 262144);
    assert_int_equal(config->limits.head_ms, 3000);
    assert_int_equal(config->limits.idle_ms, 15000);
    const ConfigKind *kind = config_kind(config, "huvo11a");
    assert_true(kind != NULL && kind->guards);
    assert_string_equal(kind->health_path, "/health");
    assert_string_equal(kind->note, "{\"max\":64}");
    assert_false(config_kind(config, "plain")->guards);
    assert_null(config_kind(config, "none"));
    const ConfigCell *cell = config_cell(config, "main");
    assert_true(cell != NULL && !cell->strict && config_cell(config, "other")->strict);
    assert_int_equal(cell->limit, 500);
    const ConfigQueue *queue = config_queue(cell, "r-a3hwrr6");
    assert_int_equal(queue->priority, -1);
    assert_string_equal(queue->kind, "huvo11a");
    assert_int_equal(queue->attempts, 4);
    assert_int_equal(queue->stretch_milli, 2200);
    assert_int_equal(queue->target_ms, 2000);
    assert_int_equal(queue->timeout_ms, 3000);
    assert_string_equal(queue->host, "nony24.example");
    assert_string_equal(queue->prefix, "/lohu930/");
    assert_string_equal(queue->note, "{\"tls\":false}");
    assert_int_equal(config_queue(cell, "theirs")->stretch_milli, 3000);
    const ConfigQueue *bare = config_queue(cell, "bare");
    assert_true(bare->attempts == 0 && bare->stretch_milli == 0 && bare->target_ms == 0 && bare->timeout_ms == 0);
    assert_true(bare->kind[0] == '\0' && bare->host[0] == '\0' && bare->tenant[0] == '\0');
    assert_null(config_queue(cell, "none"));
    assert_non_null(config_policy(config, "p")->lua);
    assert_int_equal(config_tenant(cell, "few")->quota.cpu_milli, 1500);
    talloc_free(mem);
}

static const char *found(const Config *config, const char *host, const char *path)
{
    const ConfigPlace *place = config_entry(config, host, path);
    return place != NULL ? place->queue->name : "";
}

static void entries(void **state)
{
    (void)state;
    void *mem = talloc_new(NULL);
    const Config *config =
        read_good(mem, "{\"cells\":{\"c\":{\"tenants\":{\"t\":{},\"u\":{}},\"queues\":{"
                       "\"a\":{\"entry\":{\"host\":\"h.example\",\"prefix\":\"/x/\"}},"
                       "\"b\":{\"entry\":{\"host\":\"h.example\",\"prefix\":\"/x/y/\"},\"tenant\":\"u\"},"
                       "\"c\":{\"entry\":{\"host\":\"g.example\",\"prefix\":\"/x/\"}},"
                       "\"d\":{\"entry\":{\"host\":\"h.example\",\"prefix\":\"/half\"}},"
                       "\"e\":{}}},"
                       "\"d\":{\"queues\":{\"all\":{\"entry\":{\"host\":\"i.example\",\"prefix\":\"/\"}}}}}}");
    assert_string_equal(found(config, "h.example", "/x/0123"), "a");
    assert_string_equal(found(config, "h.example", "/x/"), "a");
    assert_string_equal(found(config, "h.example", "/x/y/0123"), "b");
    assert_string_equal(found(config, "h.example", "/x/y"), "a");
    assert_string_equal(found(config, "H.Example:8080", "/x/y/"), "b");
    assert_string_equal(found(config, "g.example", "/x/y/"), "c");
    assert_string_equal(found(config, "h.example", "/halfway"), "d");
    assert_string_equal(found(config, "i.example", "/anything"), "all");
    assert_string_equal(found(config, "h.example", "/x"), "");
    assert_string_equal(found(config, "h.example", "/"), "");
    assert_string_equal(found(config, "h.example", ""), "");
    assert_string_equal(found(config, "j.example", "/x/"), "");
    assert_string_equal(found(config, "", "/x/"), "");
    char *host = talloc_zero_size(mem, 5001);
    memset(host, 'h', 5000);
    assert_string_equal(found(config, host, "/x/"), "");
    const ConfigPlace *place = config_entry(config, "h.example", "/x/0123");
    assert_string_equal(place->tenant, "t");
    assert_string_equal(place->cell->name, "c");
    assert_int_equal(place->prefix_length, 3);
    assert_string_equal(config_entry(config, "h.example", "/x/y/1")->tenant, "u");
    assert_string_equal(config_entry(config, "i.example", "/x/y/1")->tenant, "");
    talloc_free(mem);
}

/* Each alone, in an otherwise good document: refused by its path. */
static void faulty(void **state)
{
    (void)state;
    static const struct {
        const char *text, *path;
    } CASES[] = {
        {"[]", ""},
        {"7", ""},
        {"\"text\"", ""},
        {"{\"r\":5}", "r"},
        {"{\"r\":1.0}", "r"},
        {"{\"r\":null}", "r"},
        {"{\"r\":99999999999999999999999999}", "r"},
        {"{\"version\":1}", "version"},
        {"{\"note\":7}", "note"},
        {"{\"note\":\"a\\u0000b\"}", "note"},
        {"{\"cells\":[]}", "cells"},
        {"{\"cells\":{\"c\":7}}", "cells.c"},
        {"{\"cells\":{\"c\":{\"strict\":1}}}", "cells.c.strict"},
        {"{\"cells\":{\"c\":{\"limit\":0}}}", "cells.c.limit"},
        {"{\"cells\":{\"c\":{\"queues\":{\"\":{}}}}}", "cells.c.queues."},
        {"{\"cells\":{\"c\":{\"queues\":{\"q\":[]}}}}", "cells.c.queues.q"},
        {"{\"cells\":{\"c\":{\"queues\":{\"q\":{\"x\":1}}}}}", "cells.c.queues.q.x"},
        {"{\"cells\":{\"c\":{\"queues\":{\"q\":{\"kind\":\"k\"}}}},\"kinds\":{}}", "cells.c.queues.q.kind"},
        {"{\"cells\":{\"c\":{\"queues\":{\"q\":{\"kind\":\"k\"}}}},\"kinds\":{\"l\":{}}}", "cells.c.queues.q.kind"},
        {"{\"cells\":{\"c\":{\"queues\":{\"q\":{\"kind\":7}}}}}", "cells.c.queues.q.kind"},
        {"{\"cells\":{\"c\":{\"queues\":{\"q\":{\"rounds\":0}}}}}", "cells.c.queues.q.rounds"},
        {"{\"cells\":{\"c\":{\"queues\":{\"q\":{\"rounds\":101}}}}}", "cells.c.queues.q.rounds"},
        {"{\"cells\":{\"c\":{\"queues\":{\"q\":{\"stretch\":0}}}}}", "cells.c.queues.q.stretch"},
        {"{\"cells\":{\"c\":{\"queues\":{\"q\":{\"stretch\":0.0}}}}}", "cells.c.queues.q.stretch"},
        {"{\"cells\":{\"c\":{\"queues\":{\"q\":{\"stretch\":-1.5}}}}}", "cells.c.queues.q.stretch"},
        {"{\"cells\":{\"c\":{\"queues\":{\"q\":{\"stretch\":1000.1}}}}}", "cells.c.queues.q.stretch"},
        {"{\"cells\":{\"c\":{\"queues\":{\"q\":{\"stretch\":1e999}}}}}", "cells.c.queues.q.stretch"},
        {"{\"cells\":{\"c\":{\"queues\":{\"q\":{\"stretch\":-1e999}}}}}", "cells.c.queues.q.stretch"},
        {"{\"cells\":{\"c\":{\"queues\":{\"q\":{\"stretch\":\"2\"}}}}}", "cells.c.queues.q.stretch"},
        {"{\"cells\":{\"c\":{\"queues\":{\"q\":{\"targetMs\":-1}}}}}", "cells.c.queues.q.targetMs"},
        {"{\"cells\":{\"c\":{\"queues\":{\"q\":{\"expiryMs\":0}}}}}", "cells.c.queues.q.expiryMs"},
        {"{\"cells\":{\"c\":{\"queues\":{\"q\":{\"expiryMs\":9223372036854775808}}}}}", "cells.c.queues.q.expiryMs"},
        {"{\"cells\":{\"c\":{\"queues\":{\"q\":{\"entry\":7}}}}}", "cells.c.queues.q.entry"},
        {"{\"cells\":{\"c\":{\"queues\":{\"q\":{\"entry\":{\"host\":\"h\"}}}}}}", "cells.c.queues.q.entry.prefix"},
        {"{\"cells\":{\"c\":{\"queues\":{\"q\":{\"entry\":{\"prefix\":\"/\"}}}}}}", "cells.c.queues.q.entry.host"},
        {"{\"cells\":{\"c\":{\"queues\":{\"q\":{\"entry\":{\"host\":\"h\",\"prefix\":\"x/\"}}}}}}",
         "cells.c.queues.q.entry.prefix"},
        {"{\"cells\":{\"c\":{\"queues\":{\"q\":{\"entry\":{\"host\":\"h\",\"prefix\":\"/x?\"}}}}}}",
         "cells.c.queues.q.entry.prefix"},
        {"{\"cells\":{\"c\":{\"queues\":{\"q\":{\"entry\":{\"host\":\"h:80\",\"prefix\":\"/\"}}}}}}",
         "cells.c.queues.q.entry.host"},
        {"{\"cells\":{\"c\":{\"queues\":{\"q\":{\"entry\":{\"host\":\"h/\",\"prefix\":\"/\"}}}}}}",
         "cells.c.queues.q.entry.host"},
        {"{\"cells\":{\"c\":{\"queues\":{\"q\":{\"tenant\":\"t\"}}}}}", "cells.c.queues.q.tenant"},
        {"{\"cells\":{\"c\":{\"queues\":{\"q\":{\"note\":[]}}}}}", "cells.c.queues.q.note"},
        {"{\"cells\":{\"c\":{\"queues\":{\"p\":{\"entry\":{\"host\":\"h\",\"prefix\":\"/\"}},"
         "\"q\":{\"entry\":{\"host\":\"H\",\"prefix\":\"/\"}}}}}}",
         "cells.c.queues.q.entry"},
        {"{\"cells\":{\"b\":{\"queues\":{\"q\":{\"entry\":{\"host\":\"h\",\"prefix\":\"/a/\"}}}},"
         "\"c\":{\"queues\":{\"q\":{\"entry\":{\"host\":\"h\",\"prefix\":\"/a/\"}}}}}}",
         "cells.c.queues.q.entry"},
        {"{\"kinds\":7}", "kinds"},
        {"{\"kinds\":{\"k\":null}}", "kinds.k"},
        {"{\"kinds\":{\"k\":{\"guards\":\"yes\"}}}", "kinds.k.guards"},
        {"{\"kinds\":{\"k\":{\"healthPath\":7}}}", "kinds.k.healthPath"},
        {"{\"kinds\":{\"k\":{\"x\":7}}}", "kinds.k.x"},
        {"{\"limits\":[]}", "limits"},
        {"{\"limits\":{\"headBytes\":0}}", "limits.headBytes"},
        {"{\"limits\":{\"bodyBytes\":-1}}", "limits.bodyBytes"},
        {"{\"limits\":{\"headMs\":\"1\"}}", "limits.headMs"},
        {"{\"limits\":{\"idleMs\":1.5}}", "limits.idleMs"},
        {"{\"limits\":{\"x\":1}}", "limits.x"},
        {"{\"policies\":{\"p\":\"function rank(t) return end end\"}}", "policies.p"},
        {"{\"policies\":{\"p\":\"function rank(t) return 1 end\\u0000\"}}", "policies.p"},
        {"{\"cells\":{\"c\":{\"queues\":{\"q\":{\"rounds\":1,\"rounds\":2}}}}}", "cells.c.queues.q.rounds"},
    };
    for (size_t i = 0; i < sizeof(CASES) / sizeof(CASES[0]); i++) {
        void *mem = talloc_new(NULL);
        Faults *faults = faults_new(mem);
        const Config *config = config_read(mem, CASES[i].text, strlen(CASES[i].text), 1, faults);
        if (config != NULL || faults->count != 1 || strcmp(faults->list[0].path, CASES[i].path) != 0 ||
            faults->list[0].text[0] == '\0')
            fail_msg("%s: %zu faults, %s: %s", CASES[i].text, faults->count,
                     faults->count > 0 ? faults->list[0].path : "", faults->count > 0 ? faults->list[0].text : "");
        talloc_free(mem);
    }
}

/* All of them are told, up to a bound; a document may be too large. */
static void many_faults(void **state)
{
    (void)state;
    void *mem = talloc_new(NULL);
    char *text = talloc_strdup(mem, "{\"cells\":{\"c\":{\"queues\":{\"q0\":{}");
    for (int i = 1; i <= 100; i++)
        text = talloc_asprintf_append(text, ",\"q%d\":{\"rounds\":0,\"kind\":\"\"}", i);
    text = talloc_strdup_append(text, "}}}}");
    Faults *faults = faults_new(mem);
    assert_null(config_read(mem, text, strlen(text), 1, faults));
    assert_int_equal(faults->count, FAULTS_MAX);
    assert_int_equal(faults->seen, 200);
    char *large = talloc_size(mem, CONFIG_BODY_MAX + 1);
    memset(large, ' ', CONFIG_BODY_MAX + 1);
    faults = faults_new(mem);
    assert_null(config_read(mem, large, CONFIG_BODY_MAX + 1, 1, faults));
    assert_int_equal(faults->list[0].status, STATUS_TOO_LARGE);
    talloc_free(mem);
}

/* --- versions that share ------------------------------------------------------------ */

static const char *wide(void *mem, int queues)
{
    char *text = talloc_strdup(mem, "{\"kinds\":{\"k\":{}},\"policies\":{\"p\":\"function rank(t) return 1 end\"},"
                                    "\"cells\":{\"c\":{\"tenants\":{\"t\":{}},\"queues\":{");
    for (int i = 0; i < queues; i++)
        text = talloc_asprintf_append_buffer(
            text,
            "%s\"q%d\":{\"kind\":\"k\",\"expiryMs\":%d,\"entry\":{\"host\":\"h%d.example\","
            "\"prefix\":\"/p%d/\"}}",
            i > 0 ? "," : "", i, 1000 + i, i % 5, i);
    return talloc_strdup_append_buffer(text, "}}}}");
}

static void shared(void **state)
{
    (void)state;
    void *mem = talloc_new(NULL);
    const Config *first = read_good(mem, wide(mem, 50));
    json_object *patch =
        document_parse("{\"cells\":{\"c\":{\"queues\":{\"q7\":{\"expiryMs\":5},\"q8\":null,\"new\":{}}}}}");
    json_object *tree = document_merged(first->tree, patch);
    Faults *faults = faults_new(mem);
    const Config *second = config_build(mem, tree, 2, first, faults);
    assert_non_null(second);
    json_object_put(tree);
    json_object_put(patch);
    const ConfigCell *one = config_cell(first, "c"), *two = config_cell(second, "c");
    for (int i = 0; i < 50; i++) {
        const char *name = talloc_asprintf(mem, "q%d", i);
        if (i == 8)
            assert_null(config_queue(two, name));
        else
            assert_true((config_queue(one, name) == config_queue(two, name)) == (i != 7));
    }
    assert_ptr_equal(config_policy(first, "p"), config_policy(second, "p"));
    /* what is shared outlives the first */
    talloc_free((void *)(uintptr_t)first);
    assert_int_equal(config_queue(two, "q7")->timeout_ms, 5);
    assert_int_equal(config_queue(two, "q49")->timeout_ms, 1049);
    assert_string_equal(config_entry(second, "h4.example", "/p49/x")->queue->name, "q49");
    assert_null(config_entry(second, "h3.example", "/p8/x"));
    assert_ptr_equal(config_entry(second, "h2.example", "/p7/x")->queue, config_queue(two, "q7"));
    talloc_free(mem);
}

static const char *draw_patch(void *mem)
{
    switch (draw(9)) {
    case 0:
        return talloc_asprintf(mem, "{\"cells\":{\"c\":{\"queues\":{\"q%d\":null}}}}", (int)draw(40));
    case 1:
        return talloc_asprintf(mem, "{\"cells\":{\"c\":{\"queues\":{\"q%d\":{\"expiryMs\":%d,\"note\":\"n%d\"}}}}}",
                               (int)draw(40), (int)draw(50), (int)draw(9));
    case 2:
        return talloc_asprintf(
            mem,
            "{\"cells\":{\"c\":{\"queues\":{\"q%d\":{\"entry\":{\"host\":\"h%d.example\",\"prefix\":\"/p%d/\"}}}}}}",
            (int)draw(40), (int)draw(3), (int)draw(30));
    case 3:
        return talloc_asprintf(mem, "{\"kinds\":{\"k%d\":%s}}", (int)draw(4), draw(2) ? "{}" : "null");
    case 4:
        return talloc_asprintf(mem, "{\"cells\":{\"c\":{\"queues\":{\"q%d\":{\"kind\":\"k%d\"}}}}}", (int)draw(40),
                               (int)draw(4));
    case 5:
        return talloc_asprintf(mem, "{\"policies\":{\"p%d\":%s},\"cells\":{\"c\":{\"policy\":\"p%d\"}}}", (int)draw(3),
                               draw(2) ? "\"function rank(t) return 2 end\"" : "null", (int)draw(3));
    case 6:
        return talloc_asprintf(mem, "{\"cells\":{\"c\":{\"tenants\":{\"t%d\":%s}}}}", (int)draw(3),
                               draw(2) ? "{}" : "null");
    case 7:
        return talloc_asprintf(mem, "{\"cells\":{\"d%d\":%s}}", (int)draw(2),
                               draw(2) ? "{\"queues\":{\"q\":{}}}" : "null");
    default:
        return talloc_asprintf(mem, "{\"limits\":{\"headMs\":%d}}", (int)draw(3));
    }
}

/* Read onward from an earlier version, it is what its text alone is read as:
 * the same result, the same queues, the same entries. */
static void drawn_onward(void **state)
{
    (void)state;
    seed_now = 21;
    size_t good = 0, bad = 0, reused = 0, queues = 0;
    void *all = talloc_new(NULL);
    const Config *config = read_good(all, wide(all, 40));
    for (int i = 0; i < 4000; i++) {
        void *mem = talloc_new(NULL);
        json_object *patch = document_parse(draw_patch(mem));
        json_object *tree = document_merged(config->tree, patch);
        const char *text = document_text(mem, tree);
        Faults *onward = faults_new(mem), *alone = faults_new(mem);
        const Config *next = config_build(all, tree, (uint64_t)i + 2, config, onward);
        const Config *fresh = config_read(mem, text, strlen(text), (uint64_t)i + 2, alone);
        json_object_put(tree);
        json_object_put(patch);
        assert_true((next == NULL) == (fresh == NULL));
        assert_int_equal(onward->count, alone->count);
        for (size_t k = 0; k < alone->count; k++)
            assert_string_equal(onward->list[k].path, alone->list[k].path);
        if (next == NULL) {
            bad++;
            talloc_free(mem);
            continue;
        }
        good++;
        assert_int_equal(next->cell_count, fresh->cell_count);
        assert_int_equal(next->limits.head_ms, fresh->limits.head_ms);
        for (size_t c = 0; c < next->cell_count; c++) {
            const ConfigCell *a = &next->cells[c], *b = &fresh->cells[c], *old = config_cell(config, a->name);
            assert_string_equal(a->name, b->name);
            assert_string_equal(a->policy, b->policy);
            assert_int_equal(a->tenant_count, b->tenant_count);
            assert_int_equal(a->queue_count, b->queue_count);
            for (size_t q = 0; q < a->queue_count; q++) {
                const ConfigQueue *x = a->queues[q], *y = b->queues[q];
                assert_string_equal(x->name, y->name);
                assert_string_equal(x->kind, y->kind);
                assert_string_equal(x->note, y->note);
                assert_int_equal(x->timeout_ms, y->timeout_ms);
                assert_ptr_equal(config_queue(a, x->name), x);
                queues++;
                reused += old != NULL && config_queue(old, x->name) == x;
                if (x->host[0] == '\0')
                    continue;
                const char *path = talloc_asprintf(mem, "%sx", x->prefix);
                assert_ptr_equal(config_entry(next, x->host, path)->queue, x);
                assert_ptr_equal(config_entry(fresh, x->host, path)->queue, y);
            }
        }
        talloc_free((void *)(uintptr_t)config);
        config = next;
        talloc_free(mem);
    }
    print_message("%zu taken, %zu refused, %zu of %zu queues shared\n", good, bad, reused, queues);
    assert_true(good > 1500 && bad > 300 && reused * 10 > queues * 9);
    talloc_free(all);
}

/* Bytes of good documents changed, cut and repeated: a result, typed, and no crash. */
static void spoilt(void **state)
{
    (void)state;
    seed_now = 31;
    size_t good = 0, bad = 0;
    for (int i = 0; i < 20000; i++) {
        void *mem = talloc_new(NULL);
        char *text = talloc_strdup(
            mem, i % 2 ? WHOLE : "{\"cells\":{\"c\":{\"queues\":{\"q\":{\"stretch\":2.2,\"note\":\"\\u00e9\"}}}}}");
        size_t count = strlen(text);
        for (uint64_t times = draw(3); times > 0; times--)
            text[draw(count)] = draw(4) == 0 ? (char)draw(256) : "{}[]\",:0123456789.-+eE\\utfn /"[draw(29)];
        if (draw(5) == 0) /* a piece of it comes again */
            memmove(text + draw(count / 2), text + draw(count / 2), count / 4);
        if (draw(5) == 0)
            count = 1 + draw(count);
        Faults *faults = faults_new(mem);
        if (config_read(mem, text, count, 1, faults) != NULL) {
            assert_int_equal(faults->seen, 0);
            good++;
        } else {
            assert_true(faults->count > 0);
            for (size_t k = 0; k < faults->count; k++)
                assert_true(faults->list[k].status != STATUS_OK && faults->list[k].path != NULL &&
                            faults->list[k].text[0] != '\0');
            bad++;
        }
        talloc_free(mem);
    }
    print_message("%zu taken, %zu refused\n", good, bad);
    assert_true(good > 2000 && bad > 5000);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(fields),      cmocka_unit_test(entries), cmocka_unit_test(faulty),
        cmocka_unit_test(many_faults), cmocka_unit_test(shared),  cmocka_unit_test(drawn_onward),
        cmocka_unit_test(spoilt),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
