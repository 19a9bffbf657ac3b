#ifndef MODEL_SRC_OPERATOR_H
#define MODEL_SRC_OPERATOR_H

#include "caller.h"

/* The operator: documents, changes of them, races, storms, spoilt ones, zones emptied and
 * taken back; and looks at each entry point whether queues are there. */
typedef struct Operator {
    Topology *topology;
    Ledger *ledger;
    int machine;
    RandomSource random_source;
    uint64_t version; /* the highest that was ever used */
    uint64_t idle;    /* numbers queues that nobody hands in to */
    size_t opened, orders, unclear;
    TopologyNode *last_taker; /* who has acknowledged something last */
    int64_t last_taken_ms;
} Operator;

Operator *operator_new(void *mem, Topology *topology, Ledger *ledger);
/* Sends the first document until it is taken; looks at entry points from then on. */
void operator_start(Operator *self);
void operator_change(Operator *self);
/* Two on top of the same. */
void operator_race(Operator *self);
/* One after the other. */
void operator_storm(Operator *self, int count, int64_t gap_ms);
void operator_spoilt(Operator *self);
/* Many queues at once. */
void operator_big(Operator *self);
void operator_zone(Operator *self, const char *zone, bool drain);
/* Reads back, from now for contact_ms; then what must hold is checked. */
void operator_finish(Operator *self);

#endif
