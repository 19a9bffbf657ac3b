#include "ledger.h"

#include <inttypes.h>
#include <string.h>
#include <talloc.h>

Ledger *ledgerNew(void *mem, Ground *ground)
{
    Ledger *ledger = talloc_zero(mem, Ledger);
    ledger->ground = ground;
    return ledger;
}

Sent *ledgerSend(Ledger *ledger, const Document *document, uint64_t base, Spoil spoil)
{
    Sent *sent = talloc_zero(ledger, Sent);
    *sent = (Sent){*document, base, spoil, SENT_OPEN, groundNowMs(ledger->ground), 0};
    ledger->rows = talloc_realloc(ledger, ledger->rows, Sent *, (unsigned)(ledger->count + 1));
    ledger->rows[ledger->count++] = sent;
    return sent;
}

void ledgerTaken(Ledger *ledger, Sent *sent)
{
    Ground *ground = ledger->ground;
    sent->word = SENT_TAKEN;
    sent->takenMs = groundNowMs(ground);
    ledger->running = true;
    if (sent->spoil != SPOIL_NONE)
        rulesBroke(ground->rules, RULE_CONFIG, groundDayMs(ground), "invalid document %" PRIu64 " (%d) is acknowledged",
                   sent->document.revision, (int)sent->spoil);
    for (size_t i = 0; i < ledger->count; i++) {
        const Sent *other = ledger->rows[i];
        if (other != sent && other->word == SENT_TAKEN && other->base == sent->base)
            rulesBroke(ground->rules, RULE_CONFIG, groundDayMs(ground),
                       "%" PRIu64 " and %" PRIu64 " are both acknowledged on top of %" PRIu64, other->document.revision,
                       sent->document.revision, sent->base);
    }
}

const Sent *ledgerNewest(const Ledger *ledger)
{
    const Sent *newest = NULL;
    for (size_t i = 0; i < ledger->count; i++)
        if (ledger->rows[i]->word == SENT_TAKEN &&
            (newest == NULL || ledger->rows[i]->document.revision > newest->document.revision))
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

/* A document that may be in force: it is not refused, not spoilt, and not below least. */
static bool mayBe(const Sent *sent, uint64_t least)
{
    return sent->word != SENT_REFUSED && sent->spoil == SPOIL_NONE && sent->document.revision >= least;
}

static int hasFrom(const Ledger *ledger, const char *host, const char *prefix, uint64_t least)
{
    bool some = false, all = true;
    for (size_t i = 0; i < ledger->count; i++)
        if (mayBe(ledger->rows[i], least)) {
            const bool one = has(&ledger->rows[i]->document, host, prefix);
            some |= one;
            all &= one;
        }
    return !some ? -1 : all ? 1 : 0;
}

int ledgerHas(const Ledger *ledger, const char *host, const char *prefix, int64_t sent_ms)
{
    uint64_t least = 0;
    for (size_t i = 0; i < ledger->count; i++) {
        const Sent *sent = ledger->rows[i];
        if (sent->word == SENT_TAKEN && sent_ms > sent->takenMs + ledger->ground->site->applyMs &&
            sent->document.revision > least)
            least = sent->document.revision;
    }
    return least == 0 ? 0 : hasFrom(ledger, host, prefix, least);
}

void ledgerShown(Ledger *ledger, GroundNode *node, const char *host, const char *prefix, int64_t sent_ms, bool there)
{
    Ground *ground = ledger->ground;
    const char *word = there ? "there" : "not there";
    const int known = ledgerHas(ledger, host, prefix, sent_ms);
    if (nodeInTouch(node) && ((known > 0 && !there) || (known < 0 && there)))
        rulesBroke(ground->rules, RULE_CONFIG, groundDayMs(ground), "%s says that %s%s is %s", node->name, host, prefix,
                   word);
    if (node->sawRevision != 0 && sent_ms > node->sawMs + ground->site->revertMs) {
        const int seen = hasFrom(ledger, host, prefix, node->sawRevision);
        if ((seen > 0 && !there) || (seen < 0 && there))
            rulesBroke(ground->rules, RULE_CONFIG, groundDayMs(ground), "%s goes back behind %" PRIu64 ": %s%s is %s",
                       node->name, node->sawRevision, host, prefix, word);
    }
    /* the oldest document from which on it is so: what it shows is at least that */
    uint64_t least = UINT64_MAX;
    for (size_t i = 0; i < ledger->count; i++) {
        const Sent *sent = ledger->rows[i];
        if (mayBe(sent, 0) && has(&sent->document, host, prefix) == there && sent->document.revision < least)
            least = sent->document.revision;
    }
    if (least != UINT64_MAX && least > node->sawRevision) {
        node->sawRevision = least;
        node->sawMs = groundNowMs(ground);
    }
}

ZoneOrder *ledgerZone(Ledger *ledger, const char *zone)
{
    for (size_t i = 0; i < ledger->zone_count; i++)
        if (strcmp(ledger->zones[i].zone, zone) == 0)
            return &ledger->zones[i];
    ledger->zones[ledger->zone_count] = (ZoneOrder){.zone = zone};
    return &ledger->zones[ledger->zone_count++];
}
