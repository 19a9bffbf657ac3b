/* The documents that the operator has sent, their outcomes, and which of them may be in force. */
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

Sent *sent_documents_send(SentDocuments *sent_documents, const Document *document, uint64_t base, DocumentDefect spoil)
{
    Sent *sent = talloc_zero(sent_documents, Sent);
    *sent = (Sent){*document, base, spoil, SENT_OPEN, topology_now_ms(sent_documents->topology), 0};
    sent_documents->rows =
        talloc_realloc(sent_documents, sent_documents->rows, Sent *, (unsigned)(sent_documents->count + 1));
    sent_documents->rows[sent_documents->count++] = sent;
    return sent;
}

void sent_documents_acknowledge(SentDocuments *sent_documents, Sent *sent)
{
    Topology *topology = sent_documents->topology;
    sent->status = SENT_ACKNOWLEDGED;
    sent->acknowledged_ms = topology_now_ms(topology);
    sent_documents->running = true;
    if (sent->spoil != DEFECT_NONE)
        rules_record_break(topology->rules, RULE_CONFIG, topology_day_ms(topology),
                           "invalid document %" PRIu64 " (%d) is acknowledged", sent->document.version,
                           (int)sent->spoil);
    for (size_t i = 0; i < sent_documents->count; i++) {
        const Sent *other = sent_documents->rows[i];
        if (other != sent && other->status == SENT_ACKNOWLEDGED && other->base == sent->base)
            rules_record_break(topology->rules, RULE_CONFIG, topology_day_ms(topology),
                               "%" PRIu64 " and %" PRIu64 " are both acknowledged on top of %" PRIu64,
                               other->document.version, sent->document.version, sent->base);
    }
}

const Sent *sent_documents_newest(const SentDocuments *sent_documents)
{
    const Sent *newest = NULL;
    for (size_t i = 0; i < sent_documents->count; i++)
        if (sent_documents->rows[i]->status == SENT_ACKNOWLEDGED &&
            (newest == NULL || sent_documents->rows[i]->document.version > newest->document.version))
            newest = sent_documents->rows[i];
    return newest;
}

static bool document_has_queue(const Document *document, const char *host, const char *prefix)
{
    for (size_t i = 0; i < document->queue_count; i++)
        if (strcmp(document->queues[i].host, host) == 0 && strcmp(document->queues[i].prefix, prefix) == 0)
            return true;
    return false;
}

/* Whether the document may be in force: it is not refused, not invalid, and its version is not below min_version. */
static bool may_be_in_force(const Sent *sent, uint64_t min_version)
{
    return sent->status != SENT_REFUSED && sent->spoil == DEFECT_NONE && sent->document.version >= min_version;
}

/* Whether a queue is in the documents of min_version and above that may be in force; result as for
 * sent_documents_queue_state. */
static int queue_state_from(const SentDocuments *sent_documents, const char *host, const char *prefix,
                            uint64_t min_version)
{
    bool some = false, all = true;
    for (size_t i = 0; i < sent_documents->count; i++)
        if (may_be_in_force(sent_documents->rows[i], min_version)) {
            const bool has_queue = document_has_queue(&sent_documents->rows[i]->document, host, prefix);
            some |= has_queue;
            all &= has_queue;
        }
    return !some ? -1 : all ? 1 : 0;
}

int sent_documents_queue_state(const SentDocuments *sent_documents, const char *host, const char *prefix,
                               int64_t sent_ms)
{
    uint64_t min_version = 0;
    for (size_t i = 0; i < sent_documents->count; i++) {
        const Sent *sent = sent_documents->rows[i];
        if (sent->status == SENT_ACKNOWLEDGED &&
            sent_ms > sent->acknowledged_ms + sent_documents->topology->site->apply_ms &&
            sent->document.version > min_version)
            min_version = sent->document.version;
    }
    return min_version == 0 ? 0 : queue_state_from(sent_documents, host, prefix, min_version);
}

void sent_documents_check_answer(SentDocuments *sent_documents, TopologyNode *node, const char *host,
                                 const char *prefix, int64_t sent_ms, bool exists)
{
    Topology *topology = sent_documents->topology;
    const char *word = exists ? "there" : "not there";
    const int expected = sent_documents_queue_state(sent_documents, host, prefix, sent_ms);
    if (node_in_touch(node) && ((expected > 0 && !exists) || (expected < 0 && exists)))
        rules_record_break(topology->rules, RULE_CONFIG, topology_day_ms(topology), "%s answers that queue %s%s is %s",
                           node->name, host, prefix, word);
    if (node->shown_version != 0 && sent_ms > node->shown_version_ms + topology->site->revert_ms) {
        const int expected_since_shown = queue_state_from(sent_documents, host, prefix, node->shown_version);
        if ((expected_since_shown > 0 && !exists) || (expected_since_shown < 0 && exists))
            rules_record_break(topology->rules, RULE_CONFIG, topology_day_ms(topology),
                               "%s reverts to a version before %" PRIu64 ": queue %s%s is %s", node->name,
                               node->shown_version, host, prefix, word);
    }
    /* The lowest version that may be in force and gives this answer: the node has applied at least that one. */
    uint64_t min_version = UINT64_MAX;
    for (size_t i = 0; i < sent_documents->count; i++) {
        const Sent *sent = sent_documents->rows[i];
        if (may_be_in_force(sent, 0) && document_has_queue(&sent->document, host, prefix) == exists &&
            sent->document.version < min_version)
            min_version = sent->document.version;
    }
    if (min_version != UINT64_MAX && min_version > node->shown_version) {
        node->shown_version = min_version;
        node->shown_version_ms = topology_now_ms(topology);
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
