/* What one change of the configuration costs, in processor time: as a whole
 * document, read anew at each step; and as a difference, read where it differs. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <time.h>

#include "base/constants.h"
#include "config/config.h"
#include "document/document.h"
#include "state/deliver_config.h"

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
            i > 0 ? "," : "", i, 3000 + i, i % 20, i);
    return talloc_strdup_append_buffer(text, "}}}}");
}

static void fail(const Faults *faults)
{
    fprintf(stderr, "%s: %s\n", faults->list[0].path, faults->list[0].text);
    exit(1);
}

static Faults *faults_new(void *mem)
{
    Faults *faults = talloc_zero(mem, Faults);
    faults->mem = mem;
    return faults;
}

static void deliver(Versions *versions, const ConfigSet *set, void *mem, size_t *bytes)
{
    Bytes packed = {0};
    ConfigSet taken;
    ChangeResult result = {0};
    shape_pack(&ConfigSet_shape, set, mem, &packed);
    if (shape_unpack(&ConfigSet_shape, packed, mem, &taken, NULL) == STATUS_OK)
        deliver_config(versions, &taken, &result);
    if (result.status != STATUS_OK)
        exit(1);
    *bytes += packed.count;
}

int main(int argc, char **argv)
{
    const int queues = argc > 1 ? atoi(argv[1]) : 1400, changes = argc > 2 ? atoi(argv[2]) : 200;
    void *all = talloc_new(NULL);
    const char *text = document_of(all, queues);
    printf("%d queues, %zu bytes, %d changes of one queue each\n", queues, strlen(text), changes);

    /* as it was: whole texts all the way */
    double check_us = 0, voter_us = 0, read_us = 0;
    size_t bytes = 0;
    const char *now = text;
    Versions *versions = versions_new(all, CONFIG_HISTORY, CONFIG_KNOWN);
    for (int i = 1; i <= changes; i++) {
        void *mem = talloc_new(all);
        Faults *faults = faults_new(mem);
        const char *patch =
            talloc_asprintf(mem, "{\"cells\":{\"c\":{\"queues\":{\"r-%06x\":{\"expiryMs\":%d}}}}}", i % queues, i);
        double from_us = now_us();
        const char *next = config_patch(mem, now, patch, strlen(patch), faults);
        const Config *config = next != NULL ? config_read(mem, next, strlen(next), (uint64_t)i, faults) : NULL;
        if (config == NULL)
            fail(faults);
        check_us += now_us() - from_us;
        const ConfigSet set = {.base = (uint64_t)i - 1, .version = (uint64_t)i, .text = next, .digest = ""};
        from_us = now_us();
        deliver(versions, &set, mem, &bytes);
        voter_us += now_us() - from_us;
        from_us = now_us();
        if (config_read(mem, next, strlen(next), (uint64_t)i, faults) == NULL)
            fail(faults);
        read_us += now_us() - from_us;
        now = talloc_strdup(all, next);
        talloc_free(mem);
    }
    printf("whole:      check %.0f us, each seat %.0f us, read again %.0f us, %zu bytes logged\n", check_us / changes,
           voter_us / changes, read_us / changes, bytes / (size_t)changes);

    /* as it is */
    for (int put = 0; put < 2; put++) {
        Faults *faults = faults_new(all);
        const Config *config = config_read(all, text, strlen(text), 1, faults);
        if (config == NULL)
            fail(faults);
        versions = versions_new(all, CONFIG_HISTORY, CONFIG_KNOWN);
        ConfigSet first = {.base = 0, .version = 1, .text = text, .digest = ""};
        bytes = 0;
        deliver(versions, &first, all, &bytes);
        bytes = 0;
        check_us = voter_us = 0;
        for (int i = 1; i <= changes; i++) {
            void *mem = talloc_new(all);
            json_object *change = document_parse(
                talloc_asprintf(mem, "{\"cells\":{\"c\":{\"queues\":{\"r-%06x\":{\"expiryMs\":%d}}}}}", i % queues, i));
            json_object *whole = document_merged(config->tree, change);
            const char *body = document_text(mem, put ? whole : change);
            json_object_put(whole);
            json_object_put(change);
            double from_us = now_us();
            json_object *sent = check_parse(faults, body, strlen(body));
            json_object *patch = put ? document_difference(config->tree, sent) : json_object_get(sent);
            json_object *tree = document_merged(config->tree, patch);
            const Config *next = config_build(all, tree, (uint64_t)i + 1, config, faults);
            const ConfigSet set = {.base = (uint64_t)i,
                                   .version = (uint64_t)i + 1,
                                   .text = document_text(mem, patch),
                                   .patch = true,
                                   .digest = ""};
            json_object_put(tree);
            json_object_put(patch);
            json_object_put(sent);
            if (next == NULL)
                fail(faults);
            talloc_free((void *)(uintptr_t)config);
            config = next;
            check_us += now_us() - from_us;
            from_us = now_us();
            deliver(versions, &set, mem, &bytes);
            voter_us += now_us() - from_us;
            talloc_free(mem);
        }
        printf("%s check %.0f us, each seat %.1f us, read again 0 us, %zu bytes logged\n",
               put ? "PUT:       " : "PATCH:     ", check_us / changes, voter_us / changes, bytes / (size_t)changes);
        /* a look-up, and what a leader that is new pays once */
        double from_us = now_us();
        for (int i = 0; i < 100000; i++) {
            char host[32], path[64];
            snprintf(host, sizeof(host), "h%d.example", i % queues % 20);
            snprintf(path, sizeof(path), "/p%06x/0123456789abcdef", i % queues);
            if (config_entry(config, host, path) == NULL)
                return 1;
        }
        const double entry_us = (now_us() - from_us) / 100000;
        from_us = now_us();
        json_object *tree = versions_tree(versions, NULL, 0);
        const Config *anew = config_build(all, tree, 1, NULL, faults);
        const double anew_us = now_us() - from_us;
        from_us = now_us();
        const char *read = versions_text(versions, all, versions_newest(versions));
        printf("            look-up %.2f us, read by a new leader %.0f us, read back %.0f us (%zu bytes)\n", entry_us,
               anew_us, now_us() - from_us, strlen(read));
        json_object_put(tree);
        if (anew == NULL)
            fail(faults);
    }
    talloc_free(all);
    return 0;
}
