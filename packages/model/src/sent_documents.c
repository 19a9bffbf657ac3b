/* What the operator has sent, what each request came to, and which documents may be in force. */
#include "sent_documents.h"

#include <inttypes.h>
#include <string.h>
#include <talloc.h>

SentDocuments *sent_documents_new(void *mem, Topology *topology)
{
    SentDocuments *sent_documents = talloc_zero(mem, SentDocuments);
    sent_documents->topology = topology;
    return sent_documents;
}

Sent *sent_documents_send(SentDocuments *sent_documents, const Document *document, uint64_t base, Spoil spoil)
{
    Sent *sent = talloc_zero(sent_documents, Sent);
    *sent = (Sent){*document, base, spoil, SENT_OPEN, topology_now_ms(sent_documents->topology), 0};
    sent_documents->rows =
        talloc_realloc(sent_documents, sent_documents->rows, Sent *, (unsigned)(sent_documents->count + 1));
    sent_documents->rows[sent_documents->count++] = sent;
    return sent;
}

void sent_documents_taken(SentDocuments *sent_documents, Sent *sent)
{
    Topology *topology = sent_documents->topology;
    sent->word = SENT_TAKEN;
    sent->taken_ms = topology_now_ms(topology);
    sent_documents->running = true;
    if (sent->spoil != SPOIL_NONE)
        rules_broke(topology->rules, RULE_CONFIG, topology_day_ms(topology),
                    "invalid document %" PRIu64 " (%d) is acknowledged", sent->document.version, (int)sent->spoil);
    for (size_t i = 0; i < sent_documents->count; i++) {
        const Sent *other = sent_documents->rows[i];
        if (other != sent && other->word == SENT_TAKEN && other->base == sent->base)
            rules_broke(topology->rules, RULE_CONFIG, topology_day_ms(topology),
                        "%" PRIu64 " and %" PRIu64 " are both acknowledged on top of %" PRIu64, other->document.version,
                        sent->document.version, sent->base);
    }
}

const Sent *sent_documents_newest(const SentDocuments *sent_documents)
{
    const Sent *newest = NULL;
    for (size_t i = 0; i < sent_documents->count; i++)
        if (sent_documents->rows[i]->word == SENT_TAKEN &&
            (newest == NULL || sent_documents->rows[i]->document.version > newest->document.version))
            newest = sent_documents->rows[i];
    return newest;
}

static bool has(const Document *document, const char *host, const char *prefix)
{
    for (size_t i = 0; i < document->queue_count; i++)
        if (strcmp(document->queues[i].host, host) == 0 && strcmp(document->queues[i].prefix, prefix) == 0)
            return true;
    return false;
}

/* Whether the document may be in force: it is not rejected, not invalid, and not below least. */
static bool may_be(const Sent *sent, uint64_t least)
{
    return sent->word != SENT_REFUSED && sent->spoil == SPOIL_NONE && sent->document.version >= least;
}

static int has_from(const SentDocuments *sent_documents, const char *host, const char *prefix, uint64_t least)
{
    bool some = false, all = true;
    for (size_t i = 0; i < sent_documents->count; i++)
        if (may_be(sent_documents->rows[i], least)) {
            const bool one = has(&sent_documents->rows[i]->document, host, prefix);
            some |= one;
            all &= one;
        }
    return !some ? -1 : all ? 1 : 0;
}

int sent_documents_has(const SentDocuments *sent_documents, const char *host, const char *prefix, int64_t sent_ms)
{
    uint64_t least = 0;
    for (size_t i = 0; i < sent_documents->count; i++) {
        const Sent *sent = sent_documents->rows[i];
        if (sent->word == SENT_TAKEN && sent_ms > sent->taken_ms + sent_documents->topology->site->apply_ms &&
            sent->document.version > least)
            least = sent->document.version;
    }
    return least == 0 ? 0 : has_from(sent_documents, host, prefix, least);
}

void sent_documents_shown(SentDocuments *sent_documents, TopologyNode *node, const char *host, const char *prefix,
                          int64_t sent_ms, bool there)
{
    Topology *topology = sent_documents->topology;
    const char *word = there ? "there" : "not there";
    const int known = sent_documents_has(sent_documents, host, prefix, sent_ms);
    if (node_in_touch(node) && ((known > 0 && !there) || (known < 0 && there)))
        rules_broke(topology->rules, RULE_CONFIG, topology_day_ms(topology), "%s says that %s%s is %s", node->name,
                    host, prefix, word);
    if (node->saw_version != 0 && sent_ms > node->saw_ms + topology->site->revert_ms) {
        const int seen = has_from(sent_documents, host, prefix, node->saw_version);
        if ((seen > 0 && !there) || (seen < 0 && there))
            rules_broke(topology->rules, RULE_CONFIG, topology_day_ms(topology),
                        "%s goes back behind %" PRIu64 ": %s%s is %s", node->name, node->saw_version, host, prefix,
                        word);
    }
    /* the oldest document from which on it is so: what it shows is at least that */
    uint64_t least = UINT64_MAX;
    for (size_t i = 0; i < sent_documents->count; i++) {
        const Sent *sent = sent_documents->rows[i];
        if (may_be(sent, 0) && has(&sent->document, host, prefix) == there && sent->document.version < least)
            least = sent->document.version;
    }
    if (least != UINT64_MAX && least > node->saw_version) {
        node->saw_version = least;
        node->saw_ms = topology_now_ms(topology);
    }
}

ZoneOrder *sent_documents_zone(SentDocuments *sent_documents, const char *zone)
{
    for (size_t i = 0; i < sent_documents->zone_count; i++)
        if (strcmp(sent_documents->zones[i].zone, zone) == 0)
            return &sent_documents->zones[i];
    sent_documents->zones[sent_documents->zone_count] = (ZoneOrder){.zone = zone};
    return &sent_documents->zones[sent_documents->zone_count++];
}
