/* What one change of the configuration costs, in processor time: as a whole document, read
 * anew at each step; and as a difference, read where it differs.
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

#define QUEUES 1400     /* count; unless the command line says */
#define CHANGES 200     /* count; likewise */
#define HOSTS 20        /* count; that the queues' entries share */
#define LOOK_UPS 100000 /* count; in one measurement */

typedef struct Bench {
    void *mem;
    int queues, changes;
    const char *text; /* the document that the changes begin with */
} Bench;

/* Sums over all changes. */
typedef struct Costs {
    double check_us; /* to check a change before it is proposed */
    double voter_us; /* to deliver it on one voter */
    double read_us;  /* to read the result anew */
    size_t bytes;    /* of the log's entries */
} Costs;

static double now_us(void)
{
    struct timespec at;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &at);
    return (double)at.tv_sec * 1e6 + (double)at.tv_nsec / 1e3;
}

static const char *document_of(void *mem, int queues)
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

/* A merge patch that changes one queue. */
static const char *patch_of(void *mem, const Bench *bench, int change)
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
    const double from_us = now_us();
    Bytes packed = {0};
    ConfigSet taken;
    ChangeResult result = {0};
    shape_pack(&ConfigSet_shape, set, mem, &packed);
    if (shape_unpack(&ConfigSet_shape, packed, mem, &taken, NULL) == STATUS_OK)
        deliver_config(versions, &taken, &result);
    if (result.status != STATUS_OK)
        exit(1);
    costs->bytes += packed.count;
    costs->voter_us += now_us() - from_us;
}

/* --- whole texts all the way, as releases before did --------------------------------- */

/* The text after the change, on mem. */
static const char *whole_change(const Bench *bench, void *mem, Versions *versions, const char *text, int change,
                                Costs *costs)
{
    Faults *faults = faults_make(mem);
    const uint64_t version = (uint64_t)change;
    const char *patch = patch_of(mem, bench, change);
    double from_us = now_us();
    const char *next = config_patch(mem, text, patch, strlen(patch), faults);
    if (next == NULL)
        fail(faults);
    read_whole(mem, next, version, faults);
    costs->check_us += now_us() - from_us;
    const ConfigSet set = {.base = version - 1, .version = version, .text = next, .digest = ""};
    deliver(versions, &set, mem, costs);
    from_us = now_us();
    read_whole(mem, next, version, faults);
    costs->read_us += now_us() - from_us;
    return next;
}

static void whole_measure(const Bench *bench)
{
    Costs costs = {0};
    const char *text = bench->text;
    Versions *versions = versions_new(bench->mem, CONFIG_HISTORY, CONFIG_KNOWN);
    for (int i = 1; i <= bench->changes; i++) {
        void *mem = talloc_new(bench->mem);
        text = talloc_strdup(bench->mem, whole_change(bench, mem, versions, text, i, &costs));
        talloc_free(mem);
    }
    printf("whole:      check %.0f us, each seat %.0f us, read again %.0f us, %zu bytes logged\n",
           costs.check_us / bench->changes, costs.voter_us / bench->changes, costs.read_us / bench->changes,
           costs.bytes / (size_t)bench->changes);
}

/* --- differences, as it is ------------------------------------------------------------ */

/* How an operator sends a change. */
typedef enum Sending {
    SENDING_PATCH,
    SENDING_PUT, /* the whole document */
    SENDING_COUNT
} Sending;

/* What the operator sends, on mem. */
static const char *body_of(const Bench *bench, void *mem, const Config *config, int change, Sending sending)
{
    json_object *patch = document_parse(patch_of(mem, bench, change));
    json_object *whole = document_merged(config->tree, patch);
    const char *body = document_text(mem, sending == SENDING_PUT ? whole : patch);
    json_object_put(whole);
    json_object_put(patch);
    return body;
}

/* Checks and delivers one change; the configuration after it, which takes the place of config. */
static const Config *difference_change(const Bench *bench, Versions *versions, const Config *config, int change,
                                       Sending sending, Costs *costs)
{
    void *mem = talloc_new(bench->mem);
    Faults *faults = faults_make(mem);
    const char *body = body_of(bench, mem, config, change, sending);
    const uint64_t base = (uint64_t)change, version = base + 1;
    const double from_us = now_us();
    json_object *sent = check_parse(faults, body, strlen(body));
    json_object *patch = sending == SENDING_PUT ? document_difference(config->tree, sent) : json_object_get(sent);
    json_object *tree = document_merged(config->tree, patch);
    const Config *next = config_build(bench->mem, tree, version, config, faults);
    const ConfigSet set = {
        .base = base, .version = version, .text = document_text(mem, patch), .patch = true, .digest = ""};
    json_object_put(tree);
    json_object_put(patch);
    json_object_put(sent);
    if (next == NULL)
        fail(faults);
    talloc_free((void *)(uintptr_t)config);
    costs->check_us += now_us() - from_us;
    deliver(versions, &set, mem, costs);
    talloc_free(mem);
    return next;
}

/* Time of one look-up of a host and path, in us. */
static double look_up_us(const Bench *bench, const Config *config)
{
    const double from_us = now_us();
    for (int i = 0; i < LOOK_UPS; i++) {
        char host[32], path[64];
        snprintf(host, sizeof(host), "h%d.example", i % bench->queues % HOSTS);
        snprintf(path, sizeof(path), "/p%06x/0123456789abcdef", i % bench->queues);
        if (config_entry(config, host, path) == NULL)
            exit(1);
    }
    return (now_us() - from_us) / LOOK_UPS;
}

/* A look-up, and what a new leader pays once. */
static void readers_measure(const Bench *bench, const Versions *versions, const Config *config)
{
    Faults *faults = faults_make(bench->mem);
    const double entry_us = look_up_us(bench, config);
    double from_us = now_us();
    json_object *tree = versions_tree(versions, NULL, 0);
    const Config *anew = config_build(bench->mem, tree, 1, NULL, faults);
    const double anew_us = now_us() - from_us;
    from_us = now_us();
    const char *read = versions_text(versions, bench->mem, versions_newest(versions));
    printf("            look-up %.2f us, read by a new leader %.0f us, read back %.0f us (%zu bytes)\n", entry_us,
           anew_us, now_us() - from_us, strlen(read));
    json_object_put(tree);
    if (anew == NULL)
        fail(faults);
}

static void difference_measure(const Bench *bench, Sending sending)
{
    const Config *config = read_whole(bench->mem, bench->text, 1, faults_make(bench->mem));
    Versions *versions = versions_new(bench->mem, CONFIG_HISTORY, CONFIG_KNOWN);
    const ConfigSet first = {.base = 0, .version = 1, .text = bench->text, .digest = ""};
    Costs costs = {0};
    deliver(versions, &first, bench->mem, &costs);
    costs = (Costs){0};
    for (int i = 1; i <= bench->changes; i++)
        config = difference_change(bench, versions, config, i, sending, &costs);
    printf("%s check %.0f us, each seat %.1f us, read again 0 us, %zu bytes logged\n",
           sending == SENDING_PUT ? "PUT:       " : "PATCH:     ", costs.check_us / bench->changes,
           costs.voter_us / bench->changes, costs.bytes / (size_t)bench->changes);
    readers_measure(bench, versions, config);
}

int main(int argc, char **argv)
{
    Bench bench = {.mem = talloc_new(NULL),
                   .queues = argc > 1 ? atoi(argv[1]) : QUEUES,
                   .changes = argc > 2 ? atoi(argv[2]) : CHANGES};
    bench.text = document_of(bench.mem, bench.queues);
    printf("%d queues, %zu bytes, %d changes of one queue each\n", bench.queues, strlen(bench.text), bench.changes);
    whole_measure(&bench);
    for (int sending = 0; sending < SENDING_COUNT; sending++)
        difference_measure(&bench, (Sending)sending);
    talloc_free(bench.mem);
    return 0;
}
