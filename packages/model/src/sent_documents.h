#ifndef MODEL_SRC_SENT_DOCUMENTS_H
#define MODEL_SRC_SENT_DOCUMENTS_H

#include "topology.h"

/* What the operator has sent, and what each request came to. */
typedef enum SentWord { SENT_OPEN, SENT_TAKEN, SENT_REFUSED } SentWord;

typedef struct Sent {
    Document document;
    uint64_t base;
    Spoil spoil;
    SentWord word;
    int64_t sent_ms, taken_ms;
} Sent;

typedef struct ZoneOrder {
    const char *zone;
    int64_t drained_ms; /* when it was acknowledged; 0: not, or undone since */
    int64_t back_sent_ms;
    bool open; /* an order is under way */
} ZoneOrder;

/* Invariant: rows are in the order of sending. */
typedef struct SentDocuments {
    Topology *topology;
    Sent **rows;
    size_t count;
    ZoneOrder zones[4];
    size_t zone_count;
    bool running; /* the first document has been acknowledged */
} SentDocuments;

SentDocuments *sent_documents_new(void *mem, Topology *topology);
Sent *sent_documents_send(SentDocuments *sent_documents, const Document *document, uint64_t base, Spoil spoil);
void sent_documents_taken(SentDocuments *sent_documents, Sent *sent);
/* The newest that was acknowledged; null: none. */
const Sent *sent_documents_newest(const SentDocuments *sent_documents);
/* Whether a queue is in the documents that may be in force for a request of that time: 1 in all, -1 in none, 0 in
 * some. */
int sent_documents_has(const SentDocuments *sent_documents, const char *host, const char *prefix, int64_t sent_ms);
/* An entry point has answered as if it had the queue, or not, to a request sent at that time: checks that. */
void sent_documents_shown(SentDocuments *sent_documents, TopologyNode *node, const char *host, const char *prefix,
                          int64_t sent_ms, bool there);
ZoneOrder *sent_documents_zone(SentDocuments *sent_documents, const char *zone);

#endif
