/* The operator: changes of documents, races, storms, invalid ones, drained zones, and reads of what is in force. */
#include "operator_order.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#define GIVE_UP_MS 25000       /* ms; a change that nobody answers */
#define QUEUE_PROBE_GAP_MS 700 /* ms; between two looks at an entry point */

static void document_main(void *arg)
{
    Ordering *ordering = arg;
    Operator *self = ordering->owner;
    Sent *sent = ordering->sent;
    const Topology *topology = self->topology;
    const Worded worded = ordering->patch
                              ? topology->codec->patch(ordering, &ordering->from, &sent->document)
                              : topology->codec->document(ordering, &sent->document, sent->base, sent->spoil);
    const bool first = sent->base == 0;
    const Outcome outcome = order_send(ordering, &worded, first ? INT64_MAX : GIVE_UP_MS);
    if (outcome == OUTCOME_GOOD)
        sent_documents_taken(self->sent_documents, sent);
    else if (outcome != OUTCOME_UNCLEAR)
        sent->word = SENT_REFUSED;
    topology_say(topology, "document %" PRIu64 " on %" PRIu64 "%s%s: %s", sent->document.version, sent->base,
                 ordering->patch ? ", patched" : "", sent->spoil != SPOIL_NONE ? ", spoilt" : "",
                 outcome_word(outcome));
    talloc_free(ordering);
}

static Ordering *document_order(Operator *self, const Document *document, const Document *from, Spoil spoil, bool raced)
{
    Ordering *ordering = talloc_zero(self, Ordering);
    const uint64_t base = from != NULL ? from->version : 0;
    *ordering = (Ordering){.owner = self, .raced = raced};
    ordering->sent = sent_documents_send(self->sent_documents, document, base, spoil);
    ordering->patch = from != NULL && spoil == SPOIL_NONE && random_source_percent(&self->random_source, 50);
    if (from != NULL)
        ordering->from = *from;
    return ordering;
}

/* --- documents ------------------------------------------------------------------------------ */

static void idle_add(Operator *self, Document *document)
{
    if (document->queue_count == DOCUMENT_QUEUES_MAX)
        return;
    DocumentQueue *queue = &document->queues[document->queue_count++];
    const uint64_t number = self->idle++;
    *queue = (DocumentQueue){
        .kind = "std", .timeout_ms = 2000, .target_ms = 1000, .priority = 1, .attempts = 2, .stretch_percent = 150};
    snprintf(queue->name, sizeof(queue->name), "idle%" PRIu64, number);
    snprintf(queue->host, sizeof(queue->host), "idle.example");
    snprintf(queue->prefix, sizeof(queue->prefix), "/idle%" PRIu64 "/", number);
}

static bool idle_drop(Operator *self, Document *document)
{
    const size_t busy = self->topology->site->kind_count;
    if (document->queue_count <= busy)
        return false;
    const size_t at =
        (size_t)random_source_span(&self->random_source, (int64_t)busy, (int64_t)document->queue_count - 1);
    document->queues[at] = document->queues[--document->queue_count];
    return true;
}

static void next(Operator *self, Document *document)
{
    const uint64_t step = (uint64_t)random_source_span(&self->random_source, 1, 4);
    document->version = self->version += step;
}

/* What is in force, as far as the operator knows. */
static bool current(const Operator *self, Document *document)
{
    const Sent *newest = sent_documents_newest(self->sent_documents);
    if (newest != NULL)
        *document = newest->document;
    return newest != NULL;
}

static void vary(Operator *self, Document *document)
{
    const int64_t how = random_source_span(&self->random_source, 0, 2);
    if (how == 0 || (how == 1 && !idle_drop(self, document)))
        idle_add(self, document);
    else if (how == 2)
        document->queues[0].timeout_ms = random_source_span(&self->random_source, 1500, 4000);
    next(self, document);
}

/* After an order without a clear answer nobody knows what is in force: it is read. */
static void learn(Operator *self)
{
    void *mem = talloc_new(self);
    Bytes result = {0};
    const Worded worded = {.path = self->topology->codec->config_path};
    if (operator_ask(self, mem, operator_node(self), "GET", &worded, &result) == OUTCOME_GOOD)
        for (size_t i = 0; i < self->sent_documents->count; i++) {
            Sent *sent = self->sent_documents->rows[i];
            uint64_t version = 0;
            const bool same = self->topology->codec->same(result, &sent->document, &version);
            if (same && sent->word == SENT_OPEN && version == sent->document.version)
                sent_documents_taken(self->sent_documents, sent);
        }
    talloc_free(mem);
}

static void change_once(Operator *self)
{
    Document from, to;
    if (self->unclear > 0)
        learn(self);
    if (!current(self, &from))
        return;
    to = from;
    vary(self, &to);
    document_main(document_order(self, &to, &from, SPOIL_NONE, false));
}

static void change_main(void *arg)
{
    change_once(arg);
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
        change_once(storm->owner);
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
    if (!current(self, &from))
        return;
    for (int i = 0; i < 2; i++) {
        to[i] = from;
        vary(self, &to[i]);
        loop_spawn(operator_loop(self), "race", document_main, document_order(self, &to[i], &from, SPOIL_NONE, true));
    }
}

void operator_spoilt(Operator *self)
{
    Document from, to;
    if (!current(self, &from))
        return;
    to = from;
    const Spoil spoil = (Spoil)random_source_span(&self->random_source, SPOIL_NONE + 1, SPOIL_COUNT - 1);
    next(self, &to);
    if (spoil == SPOIL_OLD)
        to.version = from.version;
    loop_spawn(operator_loop(self), "spoilt", document_main, document_order(self, &to, &from, spoil, false));
}

void operator_big(Operator *self)
{
    Document from, to;
    if (!current(self, &from))
        return;
    to = from;
    while (to.queue_count < DOCUMENT_QUEUES_MAX)
        idle_add(self, &to);
    next(self, &to);
    loop_spawn(operator_loop(self), "big", document_main, document_order(self, &to, &from, SPOIL_NONE, false));
}

/* --- zones -------------------------------------------------------------------------------------- */

static void zone_main(void *arg)
{
    Ordering *ordering = arg;
    Operator *self = ordering->owner;
    const Topology *topology = self->topology;
    ZoneOrder *zone = sent_documents_zone(self->sent_documents, ordering->zone);
    const Worded worded = {.path = topology->codec->zone_path(ordering, ordering->zone, ordering->drain)};
    while (zone->open)
        loop_sleep(operator_loop(self), 20);
    zone->open = true;
    if (!ordering->drain)
        zone->back_sent_ms = topology_now_ms(topology);
    const Outcome outcome = order_send(ordering, &worded, ordering->drain ? topology->site->ack_ms : GIVE_UP_MS);
    if (outcome == OUTCOME_GOOD) {
        zone->drained_ms = ordering->drain ? topology_now_ms(topology) : 0;
        zone->back_sent_ms = 0;
    }
    zone->open = false;
    topology_say(topology, "zone %s %s: %s", ordering->zone, ordering->drain ? "is emptied" : "is taken back",
                 outcome_word(outcome));
    talloc_free(ordering);
}

void operator_zone(Operator *self, const char *zone, bool drain)
{
    Ordering *ordering = talloc_zero(self, Ordering);
    *ordering = (Ordering){.owner = self, .zone = zone, .drain = drain};
    loop_spawn(operator_loop(self), "zone", zone_main, ordering);
}

/* --- looks at entry points ------------------------------------------------------------------------ */

typedef struct Looking {
    Operator *owner;
    TopologyNode *node;
    RandomSource random_source;
} Looking;

/* One queue, of a document sent lately or of none. */
static DocumentQueue queue_draw(Looking *looking)
{
    const SentDocuments *sent_documents = looking->owner->sent_documents;
    const int64_t from = (int64_t)sent_documents->count > 4 ? (int64_t)sent_documents->count - 4 : 0;
    const Sent *sent =
        sent_documents->rows[random_source_span(&looking->random_source, from, (int64_t)sent_documents->count - 1)];
    if (sent->document.queue_count == 0 || random_source_percent(&looking->random_source, 15))
        return (DocumentQueue){.host = "nobody.example", .prefix = "/never/"};
    return sent->document
        .queues[random_source_span(&looking->random_source, 0, (int64_t)sent->document.queue_count - 1)];
}

static void queue_probe_once(Looking *looking, void *mem)
{
    Operator *self = looking->owner;
    const Topology *topology = self->topology;
    TopologyNode *node = looking->node;
    const DocumentQueue queue = queue_draw(looking);
    const HttpHeader heads[] = {{"host", queue.host}, {topology->codec->wait_head, "1000"}};
    HttpCall call = {.mem = mem,
                     .address = talloc_asprintf(mem, "%s:%d", sim_address(topology->world, node->machine),
                                                topology->codec->front_port),
                     .method = "GET",
                     .path = queue.prefix,
                     .wait_ms = CALL_MOST_MS,
                     .request_headers = heads,
                     .request_header_count = 2};
    const int64_t sent_ms = topology_now_ms(topology);
    const uint64_t life = node->life;
    const Status status = loop_call(operator_loop(self), &call);
    const Outcome outcome = topology->codec->outcome(status == STATUS_OK ? call.code : 0);
    if (node->life == life && (outcome == OUTCOME_NOBODY || outcome == OUTCOME_GOOD))
        sent_documents_shown(self->sent_documents, node, queue.host, queue.prefix, sent_ms, outcome == OUTCOME_GOOD);
}

static void queue_probe_main(void *arg)
{
    Looking *looking = arg;
    for (;;) {
        loop_sleep(operator_loop(looking->owner),
                   random_source_span(&looking->random_source, QUEUE_PROBE_GAP_MS / 2, QUEUE_PROBE_GAP_MS * 2));
        if (!looking->owner->sent_documents->running || !looking->node->used || looking->node->gone)
            continue;
        void *mem = talloc_new(looking);
        queue_probe_once(looking, mem);
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
                       .random_source = random_source_of(topology->seed, "operator", 0)};
    return self;
}

void operator_start(Operator *self)
{
    const Site *site = self->topology->site;
    topology_host(self->topology, self->machine);
    Document first = {.kinds = {"std"}, .kind_count = 1, .guards = site->guards != 0};
    for (size_t i = 0; i < site->kind_count; i++)
        callers_queue(site, i, &first.queues[first.queue_count++]);
    idle_add(self, &first);
    next(self, &first);
    loop_spawn(operator_loop(self), "first", document_main, document_order(self, &first, NULL, SPOIL_NONE, false));
    for (size_t i = 0; i < self->topology->server_count; i++) {
        Looking *looking = talloc_zero(self, Looking);
        *looking = (Looking){self, &self->topology->servers[i], random_source_of(self->topology->seed, "look", i)};
        loop_spawn(operator_loop(self), "look", queue_probe_main, looking);
    }
}

static void back_check(const Operator *self, Bytes result)
{
    const Topology *topology = self->topology;
    const Sent *newest = sent_documents_newest(self->sent_documents), *known = NULL;
    uint64_t version = 0;
    bool same = false;
    for (size_t i = 0; i < self->sent_documents->count && !same; i++) {
        const Sent *sent = self->sent_documents->rows[i];
        same = topology->codec->same(result, &sent->document, &version) && sent->spoil == SPOIL_NONE;
        if (sent->document.version == version && (known == NULL || same))
            known = sent;
    }
    if (newest != NULL && version < newest->document.version)
        rules_broke(topology->rules, RULE_CONFIG, topology_day_ms(topology),
                    "%" PRIu64 " is read back, %" PRIu64 " was acknowledged", version, newest->document.version);
    else if (!same)
        rules_broke(topology->rules, RULE_CONFIG, topology_day_ms(topology),
                    "what is read back as %" PRIu64 " was not sent so", version);
    else if (known != NULL && known->word == SENT_REFUSED)
        rules_broke(topology->rules, RULE_CONFIG, topology_day_ms(topology), "%" PRIu64 " was refused and is in force",
                    version);
}

static void finish_main(void *arg)
{
    Operator *self = arg;
    const Topology *topology = self->topology;
    const int64_t until_ms = topology_now_ms(topology) + topology->site->contact_ms;
    const Worded worded = {.path = topology->codec->config_path};
    size_t read = 0;
    while (read == 0 || topology_now_ms(topology) < until_ms) {
        void *mem = talloc_new(self);
        Bytes result = {0};
        if (self->opened == 0 &&
            operator_ask(self, mem, operator_node(self), "GET", &worded, &result) == OUTCOME_GOOD) {
            back_check(self, result);
            read++;
        }
        talloc_free(mem);
        if (read == 0 && topology_now_ms(topology) > until_ms + topology->site->contact_ms) {
            rules_broke(topology->rules, RULE_CONFIG, topology_day_ms(topology), "%s",
                        "nobody gives the document back");
            return;
        }
        loop_sleep(operator_loop(self), 300);
    }
}

void operator_finish(Operator *self)
{
    loop_spawn(operator_loop(self), "finish", finish_main, self);
}
