/* The operator: changes of the document (single, concurrent, in quick succession, invalid), drained zones, and
 * probes of what is in force. */
#include "operator_order.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#define CHANGE_TIMEOUT_MS 25000     /* time after which a change without a clear answer is abandoned */
#define QUEUE_PROBE_INTERVAL_MS 700 /* mean interval between probes of an entry point */

/* Sends a document or a patch and records its outcome. */
static void send_document_main(void *arg)
{
    OperatorRequest *request = arg;
    Operator *self = request->owner;
    Sent *sent = request->sent;
    const Topology *topology = self->topology;
    const CodecRequest worded = request->patch
                                    ? topology->codec->patch(request, &request->from, &sent->document)
                                    : topology->codec->document(request, &sent->document, sent->base, sent->spoil);
    const bool first = sent->base == 0;
    const Outcome outcome = operator_request_send(request, &worded, first ? INT64_MAX : CHANGE_TIMEOUT_MS);
    if (outcome == OUTCOME_ACCEPTED)
        sent_documents_acknowledge(self->sent_documents, sent);
    else if (outcome != OUTCOME_UNCLEAR)
        sent->status = SENT_REFUSED;
    topology_log(topology, "document %" PRIu64 " on %" PRIu64 "%s%s: %s", sent->document.version, sent->base,
                 request->patch ? ", patched" : "", sent->spoil != DEFECT_NONE ? ", invalid" : "",
                 outcome_word(outcome));
    talloc_free(request);
}

static OperatorRequest *request_new(Operator *self, const Document *document, const Document *from,
                                    DocumentDefect spoil, bool concurrent)
{
    OperatorRequest *request = talloc_zero(self, OperatorRequest);
    const uint64_t base = from != NULL ? from->version : 0;
    *request = (OperatorRequest){.owner = self, .concurrent = concurrent};
    request->sent = sent_documents_send(self->sent_documents, document, base, spoil);
    request->patch = from != NULL && spoil == DEFECT_NONE && random_source_percent(&self->random_source, 50);
    if (from != NULL)
        request->from = *from;
    return request;
}

/* --- documents ------------------------------------------------------------------------------ */

/* Adds a queue that gets no jobs. */
static void add_idle_queue(Operator *self, Document *document)
{
    if (document->queue_count == DOCUMENT_QUEUES_MAX)
        return;
    DocumentQueue *queue = &document->queues[document->queue_count++];
    const uint64_t number = self->idle_queue_count++;
    *queue = (DocumentQueue){
        .kind = "std", .timeout_ms = 2000, .target_ms = 1000, .priority = 1, .attempts = 2, .stretch_percent = 150};
    snprintf(queue->name, sizeof(queue->name), "idle%" PRIu64, number);
    snprintf(queue->host, sizeof(queue->host), "idle.example");
    snprintf(queue->prefix, sizeof(queue->prefix), "/idle%" PRIu64 "/", number);
}

/* Removes a random queue without jobs; returns false if there is none. */
static bool drop_idle_queue(Operator *self, Document *document)
{
    const size_t non_idle = self->topology->site->kind_count;
    if (document->queue_count <= non_idle)
        return false;
    const size_t at =
        (size_t)random_source_between(&self->random_source, (int64_t)non_idle, (int64_t)document->queue_count - 1);
    document->queues[at] = document->queues[--document->queue_count];
    return true;
}

/* Gives the document the next version. */
static void advance_version(Operator *self, Document *document)
{
    const uint64_t step = (uint64_t)random_source_between(&self->random_source, 1, 4);
    document->version = self->version += step;
}

/* Returns the document in force as far as the operator knows; false: none. */
static bool get_document_in_force(const Operator *self, Document *document)
{
    const Sent *newest = sent_documents_newest(self->sent_documents);
    if (newest != NULL)
        *document = newest->document;
    return newest != NULL;
}

/* Changes a random part of the document. */
static void vary_document(Operator *self, Document *document)
{
    const int64_t choice = random_source_between(&self->random_source, 0, 2);
    if (choice == 0 || (choice == 1 && !drop_idle_queue(self, document)))
        add_idle_queue(self, document);
    else if (choice == 2)
        document->queues[0].timeout_ms = random_source_between(&self->random_source, 1500, 4000);
    advance_version(self, document);
}

/* After a request without a clear answer the operator does not know which document is in force: reads it. */
static void resolve_unclear(Operator *self)
{
    void *mem = talloc_new(self);
    Bytes result = {0};
    const CodecRequest worded = {.path = self->topology->codec->config_path};
    if (operator_call(self, mem, operator_random_node(self), "GET", &worded, &result) == OUTCOME_ACCEPTED)
        for (size_t i = 0; i < self->sent_documents->count; i++) {
            Sent *sent = self->sent_documents->rows[i];
            uint64_t version = 0;
            const bool same = self->topology->codec->document_matches(result, &sent->document, &version);
            if (same && sent->status == SENT_OPEN && version == sent->document.version)
                sent_documents_acknowledge(self->sent_documents, sent);
        }
    talloc_free(mem);
}

static void send_change(Operator *self)
{
    Document from, to;
    if (self->unclear > 0)
        resolve_unclear(self);
    if (!get_document_in_force(self, &from))
        return;
    to = from;
    vary_document(self, &to);
    send_document_main(request_new(self, &to, &from, DEFECT_NONE, false));
}

static void change_main(void *arg)
{
    send_change(arg);
}

void operator_change(Operator *self)
{
    loop_spawn(operator_loop(self), "change", change_main, self);
}

typedef struct Storm {
    Operator *owner;
    int count;
    int64_t gap_ms;
} Storm;

static void storm_main(void *arg)
{
    Storm *storm = arg;
    while (storm->count-- > 0) {
        send_change(storm->owner);
        loop_sleep(operator_loop(storm->owner), storm->gap_ms);
    }
    talloc_free(storm);
}

void operator_storm(Operator *self, int count, int64_t gap_ms)
{
    Storm *storm = talloc_zero(self, Storm);
    *storm = (Storm){self, count, gap_ms};
    loop_spawn(operator_loop(self), "storm", storm_main, storm);
}

void operator_race(Operator *self)
{
    Document from, to[2];
    if (!get_document_in_force(self, &from))
        return;
    for (int i = 0; i < 2; i++) {
        to[i] = from;
        vary_document(self, &to[i]);
        loop_spawn(operator_loop(self), "race", send_document_main,
                   request_new(self, &to[i], &from, DEFECT_NONE, true));
    }
}

void operator_send_invalid(Operator *self)
{
    Document from, to;
    if (!get_document_in_force(self, &from))
        return;
    to = from;
    const DocumentDefect spoil =
        (DocumentDefect)random_source_between(&self->random_source, DEFECT_NONE + 1, DEFECT_COUNT - 1);
    advance_version(self, &to);
    if (spoil == DEFECT_OLD_VERSION)
        to.version = from.version;
    loop_spawn(operator_loop(self), "invalid-document", send_document_main,
               request_new(self, &to, &from, spoil, false));
}

void operator_grow(Operator *self)
{
    Document from, to;
    if (!get_document_in_force(self, &from))
        return;
    to = from;
    while (to.queue_count < DOCUMENT_QUEUES_MAX)
        add_idle_queue(self, &to);
    advance_version(self, &to);
    loop_spawn(operator_loop(self), "large-document", send_document_main,
               request_new(self, &to, &from, DEFECT_NONE, false));
}

/* --- zones -------------------------------------------------------------------------------------- */

static void zone_main(void *arg)
{
    OperatorRequest *request = arg;
    Operator *self = request->owner;
    const Topology *topology = self->topology;
    ZoneOrder *zone = sent_documents_zone(self->sent_documents, request->zone);
    const CodecRequest worded = {.path = topology->codec->zone_path(request, request->zone, request->drain)};
    while (zone->open)
        loop_sleep(operator_loop(self), 20);
    zone->open = true;
    if (!request->drain)
        zone->back_sent_ms = topology_now_ms(topology);
    const Outcome outcome =
        operator_request_send(request, &worded, request->drain ? topology->site->ack_ms : CHANGE_TIMEOUT_MS);
    if (outcome == OUTCOME_ACCEPTED) {
        zone->drained_ms = request->drain ? topology_now_ms(topology) : 0;
        zone->back_sent_ms = 0;
    }
    zone->open = false;
    topology_log(topology, "zone %s %s: %s", request->zone, request->drain ? "is drained" : "is taken back",
                 outcome_word(outcome));
    talloc_free(request);
}

void operator_zone(Operator *self, const char *zone, bool drain)
{
    OperatorRequest *request = talloc_zero(self, OperatorRequest);
    *request = (OperatorRequest){.owner = self, .zone = zone, .drain = drain};
    loop_spawn(operator_loop(self), "zone", zone_main, request);
}

/* --- probes of entry points ---------------------------------------------------------------------- */

/* The probe of one entry point. */
typedef struct EntryPointProbe {
    Operator *owner;
    TopologyNode *node;
    RandomSource random_source;
} EntryPointProbe;

/* Returns a random queue of a recently sent document, or one that never existed. */
static DocumentQueue draw_queue(EntryPointProbe *probe)
{
    const SentDocuments *sent_documents = probe->owner->sent_documents;
    const int64_t from = (int64_t)sent_documents->count > 4 ? (int64_t)sent_documents->count - 4 : 0;
    const Sent *sent =
        sent_documents->rows[random_source_between(&probe->random_source, from, (int64_t)sent_documents->count - 1)];
    if (sent->document.queue_count == 0 || random_source_percent(&probe->random_source, 15))
        return (DocumentQueue){.host = "nobody.example", .prefix = "/never/"};
    return sent->document
        .queues[random_source_between(&probe->random_source, 0, (int64_t)sent->document.queue_count - 1)];
}

/* Calls the entry point for a queue, and checks whether the answer may show it as existing or missing. */
static void queue_probe_once(EntryPointProbe *probe, void *mem)
{
    Operator *self = probe->owner;
    const Topology *topology = self->topology;
    TopologyNode *node = probe->node;
    const DocumentQueue queue = draw_queue(probe);
    const HttpHeader heads[] = {{"host", queue.host}, {topology->codec->wait_header, "1000"}};
    HttpCall call = {.mem = mem,
                     .address = talloc_asprintf(mem, "%s:%d", sim_address(topology->world, node->machine),
                                                topology->codec->caller_port),
                     .method = "GET",
                     .path = queue.prefix,
                     .wait_ms = CALL_TIMEOUT_MS,
                     .request_headers = heads,
                     .request_header_count = 2};
    const int64_t sent_ms = topology_now_ms(topology);
    const uint64_t incarnation = node->incarnation;
    const Status status = loop_call(operator_loop(self), &call);
    const Outcome outcome = topology->codec->outcome(status == STATUS_OK ? call.code : 0);
    if (node->incarnation == incarnation && (outcome == OUTCOME_NO_QUEUE || outcome == OUTCOME_ACCEPTED))
        sent_documents_check_answer(self->sent_documents, node, queue.host, queue.prefix, sent_ms,
                                    outcome == OUTCOME_ACCEPTED);
}

static void queue_probe_main(void *arg)
{
    EntryPointProbe *probe = arg;
    for (;;) {
        loop_sleep(
            operator_loop(probe->owner),
            random_source_between(&probe->random_source, QUEUE_PROBE_INTERVAL_MS / 2, QUEUE_PROBE_INTERVAL_MS * 2));
        if (!probe->owner->sent_documents->running || !probe->node->used || probe->node->gone)
            continue;
        void *mem = talloc_new(probe);
        queue_probe_once(probe, mem);
        talloc_free(mem);
    }
}

/* --- beginning and end --------------------------------------------------------------------------------- */

Operator *operator_new(void *mem, Topology *topology, SentDocuments *sent_documents)
{
    Operator *self = talloc_zero(mem, Operator);
    *self = (Operator){.topology = topology,
                       .sent_documents = sent_documents,
                       .machine = sim_machine_new(topology->world),
                       .random_source = random_source_new(topology->seed, "operator", 0)};
    return self;
}

void operator_start(Operator *self)
{
    const Site *site = self->topology->site;
    topology_host(self->topology, self->machine);
    Document first = {.kinds = {"std"}, .kind_count = 1, .guards = site->guards != 0};
    for (size_t i = 0; i < site->kind_count; i++)
        callers_fill_queue(site, i, &first.queues[first.queue_count++]);
    add_idle_queue(self, &first);
    advance_version(self, &first);
    loop_spawn(operator_loop(self), "first", send_document_main, request_new(self, &first, NULL, DEFECT_NONE, false));
    for (size_t i = 0; i < self->topology->server_count; i++) {
        EntryPointProbe *probe = talloc_zero(self, EntryPointProbe);
        *probe =
            (EntryPointProbe){self, &self->topology->servers[i], random_source_new(self->topology->seed, "look", i)};
        loop_spawn(operator_loop(self), "queue-probe", queue_probe_main, probe);
    }
}

static void check_read_back(const Operator *self, Bytes result)
{
    const Topology *topology = self->topology;
    const Sent *newest = sent_documents_newest(self->sent_documents), *known = NULL;
    uint64_t version = 0;
    bool same = false;
    for (size_t i = 0; i < self->sent_documents->count && !same; i++) {
        const Sent *sent = self->sent_documents->rows[i];
        same = topology->codec->document_matches(result, &sent->document, &version) && sent->spoil == DEFECT_NONE;
        if (sent->document.version == version && (known == NULL || same))
            known = sent;
    }
    if (newest != NULL && version < newest->document.version)
        rules_record_break(topology->rules, RULE_CONFIG, topology_day_ms(topology),
                           "version %" PRIu64 " is read back, version %" PRIu64 " was acknowledged", version,
                           newest->document.version);
    else if (!same)
        rules_record_break(topology->rules, RULE_CONFIG, topology_day_ms(topology),
                           "the document read back as version %" PRIu64 " was not sent in this form", version);
    else if (known != NULL && known->status == SENT_REFUSED)
        rules_record_break(topology->rules, RULE_CONFIG, topology_day_ms(topology),
                           "version %" PRIu64 " was refused but is in force", version);
}

static void finish_main(void *arg)
{
    Operator *self = arg;
    const Topology *topology = self->topology;
    const int64_t until_ms = topology_now_ms(topology) + topology->site->contact_ms;
    const CodecRequest worded = {.path = topology->codec->config_path};
    size_t read = 0;
    while (read == 0 || topology_now_ms(topology) < until_ms) {
        void *mem = talloc_new(self);
        Bytes result = {0};
        if (self->open_requests == 0 &&
            operator_call(self, mem, operator_random_node(self), "GET", &worded, &result) == OUTCOME_ACCEPTED) {
            check_read_back(self, result);
            read++;
        }
        talloc_free(mem);
        if (read == 0 && topology_now_ms(topology) > until_ms + topology->site->contact_ms) {
            rules_record_break(topology->rules, RULE_CONFIG, topology_day_ms(topology), "%s",
                               "the document cannot be read from any node");
            return;
        }
        loop_sleep(operator_loop(self), 300);
    }
}

void operator_finish(Operator *self)
{
    loop_spawn(operator_loop(self), "finish", finish_main, self);
}
