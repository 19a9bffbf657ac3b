#ifndef MODEL_SRC_SENT_DOCUMENTS_H
#define MODEL_SRC_SENT_DOCUMENTS_H

#include "topology.h"

/* The documents and zone requests that the operator has sent, and their outcomes. */
typedef enum SentStatus { SENT_OPEN, SENT_ACKNOWLEDGED, SENT_REFUSED } SentStatus;

/* A document that was sent. base: the version that it replaces. */
typedef struct Sent {
    Document document;
    uint64_t base;
    DocumentDefect spoil;
    SentStatus status;
    int64_t sent_ms, acknowledged_ms;
} Sent;

/* The state of a zone's draining. */
typedef struct ZoneOrder {
    const char *zone;
    int64_t drained_ms;   /* when draining was acknowledged; 0: not drained */
    int64_t back_sent_ms; /* when the request to take the zone back was sent; 0: none pending */
    bool open;            /* a request is in progress */
} ZoneOrder;

/* Invariant: rows are in the order in which they were sent. */
typedef struct SentDocuments {
    Topology *topology;
    Sent **rows;
    size_t count;
    ZoneOrder zones[4];
    size_t zone_count;
    bool running; /* a document has been acknowledged */
} SentDocuments;

SentDocuments *sent_documents_new(void *mem, Topology *topology);
/* Records that a document is sent. */
Sent *sent_documents_send(SentDocuments *sent_documents, const Document *document, uint64_t base, DocumentDefect spoil);
/* Records that a document was acknowledged, and checks that this is allowed. */
void sent_documents_acknowledge(SentDocuments *sent_documents, Sent *sent);
/* Returns the acknowledged document of the highest version, or null. */
const Sent *sent_documents_newest(const SentDocuments *sent_documents);
/* Whether a queue is in the documents that may be in force for a request sent at sent_ms: 1 in all, -1 in none, 0 in
 * some. */
int sent_documents_queue_state(const SentDocuments *sent_documents, const char *host, const char *prefix,
                               int64_t sent_ms);
/* Checks the answer of an entry point to a request sent at sent_ms; exists: the answer shows that the entry point
 * has the queue. */
void sent_documents_check_answer(SentDocuments *sent_documents, TopologyNode *node, const char *host,
                                 const char *prefix, int64_t sent_ms, bool exists);
/* Returns the state of a zone. */
ZoneOrder *sent_documents_zone(SentDocuments *sent_documents, const char *zone);

#endif
