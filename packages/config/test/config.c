/* Tests of operators' documents: which fields are read, which documents are refused with which fault, and how requests
 * are routed to queues. */
#include "../../base/test/draw.h"
#include "base/constants.h"
#include "config/key.h"
#include "fixture.h"

static const char FULL_DOCUMENT[] =
    "{\"r\":2,\"zoneLoss\":true,\"note\":\"all of it\","
    "\"kinds\":{\"huvo11a\":{\"guards\":true,\"healthPath\":\"/health\",\"note\":\"{\\\"max\\\":64}\"},\"plain\":{}},"
    "\"limits\":{\"headBytes\":16384,\"bodyBytes\":262144,\"headMs\":3000,\"idleMs\":15000},"
    "\"policies\":{\"p\":\"function rank(t) return 1 end\"},"
    "\"cells\":{\"main\":{\"share\":3,\"limit\":500,\"policy\":\"p\",\"strict\":false,"
    "\"tenants\":{\"all\":{},\"few\":{\"quota\":{\"cpu\":1.5,\"memMb\":100},\"weight\":2.5,\"keys\":[\"k1\",\"k2\"],"
    "\"note\":\"n\"}},"
    "\"queues\":{\"r-a3hwrr6\":{\"priority\":-1,\"kind\":\"huvo11a\",\"rounds\":4,\"stretch\":2.2,\"targetMs\":2000,"
    "\"expiryMs\":3000,\"entry\":{\"host\":\"Nony24.example\",\"prefix\":\"/lohu930/\"},\"note\":\"{\\\"tls\\\":false}\"},"
    "\"bare\":{},\"theirs\":{\"tenant\":\"few\",\"public\":true,\"stretch\":3,\"entry\":{\"host\":\"b.example\",\"prefix\":\"/\"}}}},"
    "\"other\":{}}}";

static void every_field_is_read(void **state)
{
    (void)state;
    void *mem = talloc_new(NULL);
    const Config *config = read_good(mem, FULL_DOCUMENT);
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
    const ConfigTenant *few = config_tenant(cell, "few"), *all = config_tenant(cell, "all");
    assert_int_equal(few->quota.cpu_milli, 1500);
    assert_int_equal(few->weight_milli, 2500);
    assert_int_equal(few->key_count, 2);
    assert_string_equal(few->note, "n");
    assert_true(few->keyed && cell->keyed && !all->keyed && !config_cell(config, "other")->keyed);
    assert_int_equal(all->weight_milli, 1000);
    assert_true(config_queue(cell, "theirs")->is_public && !bare->is_public);
    assert_ptr_equal(config_tenant_of_key(cell, key_digest_bytes(mem, "k2")), few);
    assert_null(config_tenant_of_key(cell, key_digest_bytes(mem, "k3")));
    assert_null(config_tenant_of_key(cell, (Bytes){0}));
    assert_null(config_tenant_of_key(config_cell(config, "other"), key_digest_bytes(mem, "k2")));
    talloc_free(mem);
}

static const char *route_of(const Config *config, const char *host, const char *path)
{
    const ConfigRoute *place = config_find_route(config, host, path);
    return place != NULL ? place->queue->name : "";
}

static void longest_prefix_of_the_host_is_found(void **state)
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
    assert_string_equal(route_of(config, "h.example", "/x/0123"), "a");
    assert_string_equal(route_of(config, "h.example", "/x/"), "a");
    assert_string_equal(route_of(config, "h.example", "/x/y/0123"), "b");
    assert_string_equal(route_of(config, "h.example", "/x/y"), "a");
    assert_string_equal(route_of(config, "H.Example:8080", "/x/y/"), "b");
    assert_string_equal(route_of(config, "g.example", "/x/y/"), "c");
    assert_string_equal(route_of(config, "h.example", "/halfway"), "d");
    assert_string_equal(route_of(config, "i.example", "/anything"), "all");
    assert_string_equal(route_of(config, "h.example", "/x"), "");
    assert_string_equal(route_of(config, "h.example", "/"), "");
    assert_string_equal(route_of(config, "h.example", ""), "");
    assert_string_equal(route_of(config, "j.example", "/x/"), "");
    assert_string_equal(route_of(config, "", "/x/"), "");
    char *host = talloc_zero_size(mem, 5001);
    memset(host, 'h', 5000);
    assert_string_equal(route_of(config, host, "/x/"), "");
    const ConfigRoute *place = config_find_route(config, "h.example", "/x/0123");
    assert_string_equal(place->tenant, "t");
    assert_string_equal(place->cell->name, "c");
    assert_int_equal(place->prefix_length, 3);
    assert_string_equal(config_find_route(config, "h.example", "/x/y/1")->tenant, "u");
    assert_string_equal(config_find_route(config, "i.example", "/x/y/1")->tenant, "");
    talloc_free(mem);
}

/* Documents with a single fault, and the path of that fault. */
static const struct {
    const char *text, *path;
} FAULTY[] = {
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

/* Tenants with a single fault, and the path of that fault within the tenant. */
static const struct {
    const char *tenant, *path;
} FAULTY_TENANTS[] = {
    {"7", ""},
    {"null", ""},
    {"{\"x\":1}", ".x"},
    {"{\"prio\":1}", ".prio"},
    {"{\"weight\":0}", ".weight"},
    {"{\"weight\":-1}", ".weight"},
    {"{\"weight\":0.0001}", ".weight"},
    {"{\"weight\":1e999}", ".weight"},
    {"{\"weight\":1000001}", ".weight"},
    {"{\"weight\":\"1\"}", ".weight"},
    {"{\"weight\":null}", ".weight"},
    {"{\"quota\":{\"cpu\":-1,\"memMb\":1}}", ".quota.cpu"},
    {"{\"quota\":{\"cpu\":1,\"memMb\":1,\"disk\":1}}", ".quota.disk"},
    {"{\"note\":1}", ".note"},
    {"{\"keys\":\"k\"}", ".keys"},
    {"{\"keys\":{}}", ".keys"},
    {"{\"keys\":[\"k\",7]}", ".keys[1]"},
    {"{\"keys\":[null]}", ".keys[0]"},
    {"{\"keys\":[\"\"]}", ".keys[0]"},
    {"{\"keys\":[\"a b\"]}", ".keys[0]"},
    {"{\"keys\":[\"a\\r\\nb\"]}", ".keys[0]"},
    {"{\"keys\":[\"a\\u0000b\"]}", ".keys[0]"},
    {"{\"keys\":[\"a\\u007f\"]}", ".keys[0]"},
    {"{\"keys\":[\"\\u00e9\"]}", ".keys[0]"},
    {"{\"keys\":[\"k\",\"l\",\"k\"]}", ".keys[2]"},
    {"{\"keys\":[\"l\",\"taken\"]}", ".keys[1]"},
};

/* Guards against an earlier failure (safety property CONFIG): a document with an invalid key, or with a key of another
 * tenant, was acknowledged. */
static void each_fault_of_a_tenant_is_named_by_its_path(void **state)
{
    (void)state;
    for (size_t i = 0; i < sizeof(FAULTY_TENANTS) / sizeof(FAULTY_TENANTS[0]); i++) {
        void *mem = talloc_new(NULL);
        Faults *faults = fault_list_new(mem);
        const char *text =
            talloc_asprintf(mem, "{\"cells\":{\"c\":{\"tenants\":{\"first\":{\"keys\":[\"taken\"]},\"t\":%s}}}}",
                            FAULTY_TENANTS[i].tenant);
        const char *path = talloc_asprintf(mem, "cells.c.tenants.t%s", FAULTY_TENANTS[i].path);
        const Config *config = config_read(mem, text, strlen(text), 1, faults);
        if (config != NULL || faults->count != 1 || strcmp(faults->list[0].path, path) != 0)
            fail_msg("%s: %zu faults, %s: %s", text, faults->count, faults->count > 0 ? faults->list[0].path : "",
                     faults->count > 0 ? faults->list[0].text : "");
        /* The text goes to operators and logs and must not contain a key. */
        assert_null(strstr(faults->list[0].text, "taken"));
        talloc_free(mem);
    }
}

static void long_key_is_refused(void **state)
{
    (void)state;
    void *mem = talloc_new(NULL);
    for (size_t length = CONFIG_KEY_MAX; length <= CONFIG_KEY_MAX + 1; length++) {
        char *key = talloc_zero_size(mem, length + 1);
        memset(key, 'k', length);
        const char *text = talloc_asprintf(mem, "{\"cells\":{\"c\":{\"tenants\":{\"t\":{\"keys\":[\"%s\"]}}}}}", key);
        Faults *faults = fault_list_new(mem);
        assert_true((config_read(mem, text, strlen(text), 1, faults) != NULL) == (length == CONFIG_KEY_MAX));
    }
    talloc_free(mem);
}

/* A key is valid only in its own cell. A cell requires keys as soon as a tenant has a list of keys, even an empty
 * one. */
static void keys_are_of_their_cell(void **state)
{
    (void)state;
    void *mem = talloc_new(NULL);
    const Config *config = read_good(mem, "{\"cells\":{\"a\":{\"tenants\":{\"t\":{\"keys\":[\"k\"]}}},"
                                          "\"b\":{\"tenants\":{\"u\":{\"keys\":[\"k\"]}}},"
                                          "\"empty\":{\"tenants\":{\"t\":{\"keys\":[]}}},"
                                          "\"said\":{\"keyed\":true,\"tenants\":{\"t\":{}}},"
                                          "\"open\":{\"tenants\":{\"t\":{}}}}}");
    const Bytes digest = key_digest_bytes(mem, "k");
    assert_string_equal(config_tenant_of_key(config_cell(config, "a"), digest)->name, "t");
    assert_string_equal(config_tenant_of_key(config_cell(config, "b"), digest)->name, "u");
    assert_true(config_cell(config, "empty")->keyed && config_cell(config, "said")->keyed);
    assert_false(config_cell(config, "open")->keyed);
    assert_int_equal(key_digest_bytes(mem, "").count, 0);
    assert_int_equal(key_digest_bytes(mem, NULL).count, 0);
    talloc_free(mem);
}

static void each_fault_is_named_by_its_path(void **state)
{
    (void)state;
    for (size_t i = 0; i < sizeof(FAULTY) / sizeof(FAULTY[0]); i++) {
        void *mem = talloc_new(NULL);
        Faults *faults = fault_list_new(mem);
        const Config *config = config_read(mem, FAULTY[i].text, strlen(FAULTY[i].text), 1, faults);
        if (config != NULL || faults->count != 1 || strcmp(faults->list[0].path, FAULTY[i].path) != 0 ||
            faults->list[0].text[0] == '\0')
            fail_msg("%s: %zu faults, %s: %s", FAULTY[i].text, faults->count,
                     faults->count > 0 ? faults->list[0].path : "", faults->count > 0 ? faults->list[0].text : "");
        talloc_free(mem);
    }
}

/* The list of faults is bounded, but all faults are counted. A document that is too large has a single fault. */
static void all_faults_are_listed_up_to_a_bound(void **state)
{
    (void)state;
    void *mem = talloc_new(NULL);
    char *text = talloc_strdup(mem, "{\"cells\":{\"c\":{\"queues\":{\"q0\":{}");
    for (int i = 1; i <= 100; i++)
        text = talloc_asprintf_append(text, ",\"q%d\":{\"rounds\":0,\"kind\":\"\"}", i);
    text = talloc_strdup_append(text, "}}}}");
    Faults *faults = fault_list_new(mem);
    assert_null(config_read(mem, text, strlen(text), 1, faults));
    assert_int_equal(faults->count, FAULTS_MAX);
    assert_int_equal(faults->seen, 200);
    char *large = talloc_size(mem, CONFIG_BODY_MAX + 1);
    memset(large, ' ', CONFIG_BODY_MAX + 1);
    faults = fault_list_new(mem);
    assert_null(config_read(mem, large, CONFIG_BODY_MAX + 1, 1, faults));
    assert_int_equal(faults->list[0].status, STATUS_TOO_LARGE);
    talloc_free(mem);
}

/* Documents with random bytes changed, truncated or repeated are either read or refused with faults, without a
 * crash. */
static void spoilt_documents_are_read_or_refused(void **state)
{
    (void)state;
    uint64_t seed = 31;
    size_t good = 0, bad = 0;
    for (int i = 0; i < 20000; i++) {
        void *mem = talloc_new(NULL);
        char *text = talloc_strdup(
            mem,
            i % 2 ? FULL_DOCUMENT : "{\"cells\":{\"c\":{\"queues\":{\"q\":{\"stretch\":2.2,\"note\":\"\\u00e9\"}}}}}");
        size_t count = strlen(text);
        for (uint64_t times = draw(&seed, 3); times > 0; times--)
            text[draw(&seed, count)] =
                draw(&seed, 4) == 0 ? (char)draw(&seed, 256) : "{}[]\",:0123456789.-+eE\\utfn /"[draw(&seed, 29)];
        if (draw(&seed, 5) == 0) /* repeat a piece of the text */
            memmove(text + draw(&seed, count / 2), text + draw(&seed, count / 2), count / 4);
        if (draw(&seed, 5) == 0)
            count = 1 + draw(&seed, count);
        Faults *faults = fault_list_new(mem);
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
    print_message("%zu accepted, %zu refused\n", good, bad);
    assert_true(good > 2000 && bad > 5000);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(every_field_is_read),
        cmocka_unit_test(longest_prefix_of_the_host_is_found),
        cmocka_unit_test(each_fault_is_named_by_its_path),
        cmocka_unit_test(each_fault_of_a_tenant_is_named_by_its_path),
        cmocka_unit_test(long_key_is_refused),
        cmocka_unit_test(keys_are_of_their_cell),
        cmocka_unit_test(all_faults_are_listed_up_to_a_bound),
        cmocka_unit_test(spoilt_documents_are_read_or_refused),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
