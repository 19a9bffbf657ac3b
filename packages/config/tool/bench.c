/* Measures the processor time of a change of the configuration, sent as a complete document that is read again at
 * each step, and as a difference, of which only the changed parts are read.
 *
 *     spancart-config-bench [QUEUES [CHANGES]] */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <time.h>

#include "base/constants.h"
#include "config/config.h"
#include "document/document.h"
#include "state/deliver_config.h"

#define QUEUES 1400    /* default number of queues */
#define CHANGES 200    /* default number of changes */
#define HOSTS 20       /* number of hosts that the routes of the queues share */
#define LOOKUPS 100000 /* number of look-ups in one measurement */

typedef struct Bench {
    void *mem;
    int queues, changes;
    const char *text; /* the initial document */
} Bench;

/* Sums over all changes. */
typedef struct Costs {
    double check_us; /* checking a change before it is proposed, in us */
    double voter_us; /* delivering it on one voter, in us */
    double read_us;  /* reading the result again, in us */
    size_t bytes;    /* size of the log entries */
} Costs;

static double now_us(void)
{
    struct timespec at;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &at);
    return (double)at.tv_sec * 1e6 + (double)at.tv_nsec / 1e3;
}

static const char *make_document(void *mem, int queues)
{
    char *text = talloc_strdup(mem, "{\"r\":1,\"kinds\":{\"k\":{\"guards\":false,\"healthPath\":\"/health\"}},"
                                    "\"cells\":{\"c\":{\"tenants\":{\"t\":{}},\"strict\":false,\"queues\":{");
    for (int i = 0; i < queues; i++)
        text = talloc_asprintf_append_buffer(
            text,
            "%s\"r-%06x\":{\"priority\":-1,\"kind\":\"k\",\"rounds\":4,\"stretch\":2.2,\"targetMs\":2000,\"expiryMs\":%d,"
            "\"entry\":{\"host\":\"h%d.example\",\"prefix\":\"/p%06x/\"},\"note\":\"{\\\"kind\\\":\\\"mutating\\\"}\"}",
            i > 0 ? "," : "", i, 3000 + i, i % HOSTS, i);
    return talloc_strdup_append_buffer(text, "}}}}");
}

/* Returns a merge patch that changes one queue, owned by mem. */
static const char *queue_patch(void *mem, const Bench *bench, int change)
{
    return talloc_asprintf(mem, "{\"cells\":{\"c\":{\"queues\":{\"r-%06x\":{\"expiryMs\":%d}}}}}",
                           change % bench->queues, change);
}

static void fail(const Faults *faults)
{
    fprintf(stderr, "%s: %s\n", faults->list[0].path, faults->list[0].text);
    exit(1);
}

static const Config *read_whole(void *mem, const char *text, uint64_t version, Faults *faults)
{
    const Config *config = config_read(mem, text, strlen(text), version, faults);
    if (config == NULL)
        fail(faults);
    return config;
}

/* Packs, unpacks and delivers one change, as a voter does. */
static void deliver(Versions *versions, const ConfigSet *set, void *mem, Costs *costs)
{
    const double start_us = now_us();
    Bytes packed = {0};
    ConfigSet unpacked;
    ChangeResult result = {0};
    shape_pack(&ConfigSet_shape, set, mem, &packed);
    if (shape_unpack(&ConfigSet_shape, packed, mem, &unpacked, NULL) == STATUS_OK)
        deliver_config(versions, &unpacked, &result);
    if (result.status != STATUS_OK)
        exit(1);
    costs->bytes += packed.count;
    costs->voter_us += now_us() - start_us;
}

/* --- complete texts only, as in earlier releases --------------------------------------- */

/* Checks, delivers and reads one change as a complete text. Returns the text after the change, owned by mem. */
static const char *change_whole_text(const Bench *bench, void *mem, Versions *versions, const char *text, int change,
                                     Costs *costs)
{
    Faults *faults = fault_list_new(mem);
    const uint64_t version = (uint64_t)change;
    const char *patch = queue_patch(mem, bench, change);
    double start_us = now_us();
    const char *next = config_patched_text(mem, text, patch, strlen(patch), faults);
    if (next == NULL)
        fail(faults);
    read_whole(mem, next, version, faults);
    costs->check_us += now_us() - start_us;
    const ConfigSet set = {.base = version - 1, .version = version, .text = next, .digest = ""};
    deliver(versions, &set, mem, costs);
    start_us = now_us();
    read_whole(mem, next, version, faults);
    costs->read_us += now_us() - start_us;
    return next;
}

static void measure_whole_texts(const Bench *bench)
{
    Costs costs = {0};
    const char *text = bench->text;
    Versions *versions = versions_new(bench->mem, CONFIG_HISTORY_VERSIONS, CONFIG_VERSIONS_KNOWN);
    for (int i = 1; i <= bench->changes; i++) {
        void *mem = talloc_new(bench->mem);
        text = talloc_strdup(bench->mem, change_whole_text(bench, mem, versions, text, i, &costs));
        talloc_free(mem);
    }
    printf("whole:      check %.0f us, each voter %.0f us, read again %.0f us, %zu bytes logged\n",
           costs.check_us / bench->changes, costs.voter_us / bench->changes, costs.read_us / bench->changes,
           costs.bytes / (size_t)bench->changes);
}

/* --- differences, as in this release ---------------------------------------------------- */

/* How an operator sends a change. */
typedef enum Method {
    METHOD_PATCH,
    METHOD_PUT, /* the complete document */
    METHOD_COUNT
} Method;

/* Returns the body that the operator sends, owned by mem. */
static const char *request_body(const Bench *bench, void *mem, const Config *config, int change, Method method)
{
    json_object *patch = document_parse(queue_patch(mem, bench, change));
    json_object *whole = document_merge(config->tree, patch);
    const char *body = document_text(mem, method == METHOD_PUT ? whole : patch);
    json_object_put(whole);
    json_object_put(patch);
    return body;
}

/* Checks and delivers one change. Returns the configuration after it and frees config. */
static const Config *change_by_difference(const Bench *bench, Versions *versions, const Config *config, int change,
                                          Method method, Costs *costs)
{
    void *mem = talloc_new(bench->mem);
    Faults *faults = fault_list_new(mem);
    const char *body = request_body(bench, mem, config, change, method);
    const uint64_t base = (uint64_t)change, version = base + 1;
    const double start_us = now_us();
    json_object *sent = check_parse(faults, body, strlen(body));
    json_object *patch = method == METHOD_PUT ? document_difference(config->tree, sent) : json_object_get(sent);
    json_object *tree = document_merge(config->tree, patch);
    const Config *next = config_build(bench->mem, tree, version, config, faults);
    const ConfigSet set = {
        .base = base, .version = version, .text = document_text(mem, patch), .patch = true, .digest = ""};
    json_object_put(tree);
    json_object_put(patch);
    json_object_put(sent);
    if (next == NULL)
        fail(faults);
    talloc_free((void *)(uintptr_t)config);
    costs->check_us += now_us() - start_us;
    deliver(versions, &set, mem, costs);
    talloc_free(mem);
    return next;
}

/* Returns the time of one look-up of a host and path, in us. */
static double lookup_time_us(const Bench *bench, const Config *config)
{
    const double start_us = now_us();
    for (int i = 0; i < LOOKUPS; i++) {
        char host[32], path[64];
        snprintf(host, sizeof(host), "h%d.example", i % bench->queues % HOSTS);
        snprintf(path, sizeof(path), "/p%06x/0123456789abcdef", i % bench->queues);
        if (config_find_route(config, host, path) == NULL)
            exit(1);
    }
    return (now_us() - start_us) / LOOKUPS;
}

/* Measures a look-up, the initial read of a new leader, and reading a text back. */
static void measure_readers(const Bench *bench, const Versions *versions, const Config *config)
{
    Faults *faults = fault_list_new(bench->mem);
    const double entry_us = lookup_time_us(bench, config);
    double start_us = now_us();
    json_object *tree = versions_tree(versions, NULL, 0);
    const Config *initial = config_build(bench->mem, tree, 1, NULL, faults);
    const double read_us = now_us() - start_us;
    start_us = now_us();
    const char *read = versions_text(versions, bench->mem, versions_newest(versions));
    printf("            look-up %.2f us, read by a new leader %.0f us, read back %.0f us (%zu bytes)\n", entry_us,
           read_us, now_us() - start_us, strlen(read));
    json_object_put(tree);
    if (initial == NULL)
        fail(faults);
}

static void measure_differences(const Bench *bench, Method method)
{
    const Config *config = read_whole(bench->mem, bench->text, 1, fault_list_new(bench->mem));
    Versions *versions = versions_new(bench->mem, CONFIG_HISTORY_VERSIONS, CONFIG_VERSIONS_KNOWN);
    const ConfigSet first = {.base = 0, .version = 1, .text = bench->text, .digest = ""};
    Costs costs = {0};
    deliver(versions, &first, bench->mem, &costs);
    costs = (Costs){0};
    for (int i = 1; i <= bench->changes; i++)
        config = change_by_difference(bench, versions, config, i, method, &costs);
    printf("%s check %.0f us, each voter %.1f us, read again 0 us, %zu bytes logged\n",
           method == METHOD_PUT ? "PUT:       " : "PATCH:     ", costs.check_us / bench->changes,
           costs.voter_us / bench->changes, costs.bytes / (size_t)bench->changes);
    measure_readers(bench, versions, config);
}

int main(int argc, char **argv)
{
    Bench bench = {.mem = talloc_new(NULL),
                   .queues = argc > 1 ? atoi(argv[1]) : QUEUES,
                   .changes = argc > 2 ? atoi(argv[2]) : CHANGES};
    bench.text = make_document(bench.mem, bench.queues);
    printf("%d queues, %zu bytes, %d changes of one queue each\n", bench.queues, strlen(bench.text), bench.changes);
    measure_whole_texts(&bench);
    for (int method = 0; method < METHOD_COUNT; method++)
        measure_differences(&bench, (Method)method);
    talloc_free(bench.mem);
    return 0;
}
