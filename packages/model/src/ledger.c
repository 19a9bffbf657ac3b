/* What the operator has sent, what each request came to, and which documents may be in force. */
#include "ledger.h"

#include <inttypes.h>
#include <string.h>
#include <talloc.h>

Ledger *ledger_new(void *mem, Topology *topology)
{
    Ledger *ledger = talloc_zero(mem, Ledger);
    ledger->topology = topology;
    return ledger;
}

Sent *ledger_send(Ledger *ledger, const Document *document, uint64_t base, Spoil spoil)
{
    Sent *sent = talloc_zero(ledger, Sent);
    *sent = (Sent){*document, base, spoil, SENT_OPEN, topology_now_ms(ledger->topology), 0};
    ledger->rows = talloc_realloc(ledger, ledger->rows, Sent *, (unsigned)(ledger->count + 1));
    ledger->rows[ledger->count++] = sent;
    return sent;
}

void ledger_taken(Ledger *ledger, Sent *sent)
{
    Topology *topology = ledger->topology;
    sent->word = SENT_TAKEN;
    sent->taken_ms = topology_now_ms(topology);
    ledger->running = true;
    if (sent->spoil != SPOIL_NONE)
        rules_broke(topology->rules, RULE_CONFIG, topology_day_ms(topology),
                    "invalid document %" PRIu64 " (%d) is acknowledged", sent->document.version, (int)sent->spoil);
    for (size_t i = 0; i < ledger->count; i++) {
        const Sent *other = ledger->rows[i];
        if (other != sent && other->word == SENT_TAKEN && other->base == sent->base)
            rules_broke(topology->rules, RULE_CONFIG, topology_day_ms(topology),
                        "%" PRIu64 " and %" PRIu64 " are both acknowledged on top of %" PRIu64, other->document.version,
                        sent->document.version, sent->base);
    }
}

const Sent *ledger_newest(const Ledger *ledger)
{
    const Sent *newest = NULL;
    for (size_t i = 0; i < ledger->count; i++)
        if (ledger->rows[i]->word == SENT_TAKEN &&
            (newest == NULL || ledger->rows[i]->document.version > newest->document.version))
            newest = ledger->rows[i];
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

static int has_from(const Ledger *ledger, const char *host, const char *prefix, uint64_t least)
{
    bool some = false, all = true;
    for (size_t i = 0; i < ledger->count; i++)
        if (may_be(ledger->rows[i], least)) {
            const bool one = has(&ledger->rows[i]->document, host, prefix);
            some |= one;
            all &= one;
        }
    return !some ? -1 : all ? 1 : 0;
}

int ledger_has(const Ledger *ledger, const char *host, const char *prefix, int64_t sent_ms)
{
    uint64_t least = 0;
    for (size_t i = 0; i < ledger->count; i++) {
        const Sent *sent = ledger->rows[i];
        if (sent->word == SENT_TAKEN && sent_ms > sent->taken_ms + ledger->topology->site->apply_ms &&
            sent->document.version > least)
            least = sent->document.version;
    }
    return least == 0 ? 0 : has_from(ledger, host, prefix, least);
}

void ledger_shown(Ledger *ledger, TopologyNode *node, const char *host, const char *prefix, int64_t sent_ms, bool there)
{
    Topology *topology = ledger->topology;
    const char *word = there ? "there" : "not there";
    const int known = ledger_has(ledger, host, prefix, sent_ms);
    if (node_in_touch(node) && ((known > 0 && !there) || (known < 0 && there)))
        rules_broke(topology->rules, RULE_CONFIG, topology_day_ms(topology), "%s says that %s%s is %s", node->name,
                    host, prefix, word);
    if (node->saw_version != 0 && sent_ms > node->saw_ms + topology->site->revert_ms) {
        const int seen = has_from(ledger, host, prefix, node->saw_version);
        if ((seen > 0 && !there) || (seen < 0 && there))
            rules_broke(topology->rules, RULE_CONFIG, topology_day_ms(topology),
                        "%s goes back behind %" PRIu64 ": %s%s is %s", node->name, node->saw_version, host, prefix,
                        word);
    }
    /* the oldest document from which on it is so: what it shows is at least that */
    uint64_t least = UINT64_MAX;
    for (size_t i = 0; i < ledger->count; i++) {
        const Sent *sent = ledger->rows[i];
        if (may_be(sent, 0) && has(&sent->document, host, prefix) == there && sent->document.version < least)
            least = sent->document.version;
    }
    if (least != UINT64_MAX && least > node->saw_version) {
        node->saw_version = least;
        node->saw_ms = topology_now_ms(topology);
    }
}

ZoneOrder *ledger_zone(Ledger *ledger, const char *zone)
{
    for (size_t i = 0; i < ledger->zone_count; i++)
        if (strcmp(ledger->zones[i].zone, zone) == 0)
            return &ledger->zones[i];
    ledger->zones[ledger->zone_count] = (ZoneOrder){.zone = zone};
    return &ledger->zones[ledger->zone_count++];
}
