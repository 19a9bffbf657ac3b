#ifndef MODEL_SRC_OPERATOR_H
#define MODEL_SRC_OPERATOR_H

#include "caller.h"

/* The operator: changes documents, also concurrently, in quick succession and with invalid ones; drains zones and
 * takes them back; and probes at each entry point which queues exist. */
typedef struct Operator {
    Topology *topology;
    SentDocuments *sent_documents;
    int machine;
    RandomSource random_source;
    uint64_t version;                      /* highest version ever used */
    uint64_t idle_queue_count;             /* number of queues added that get no jobs */
    size_t open_requests, orders, unclear; /* requests in progress, sent, and without a clear answer */
    TopologyNode *last_acknowledger;       /* node that last acknowledged a request */
    int64_t last_acknowledged_ms;
} Operator;

Operator *operator_new(void *mem, Topology *topology, SentDocuments *sent_documents);
/* Sends the first document until it is acknowledged; probes entry points from then on. */
void operator_start(Operator *self);
/* Sends a random change of the document. */
void operator_change(Operator *self);
/* Sends two changes of the same document concurrently. */
void operator_race(Operator *self);
/* Sends count changes, gap_ms apart. */
void operator_storm(Operator *self, int count, int64_t gap_ms);
/* Sends an invalid document. */
void operator_send_invalid(Operator *self);
/* Sends a document with the maximum number of queues. */
void operator_grow(Operator *self);
/* Drains a zone or takes it back. */
void operator_zone(Operator *self, const char *zone, bool drain);
/* Reads the document back for the site's contact_ms, and checks what is read. */
void operator_finish(Operator *self);

#endif
