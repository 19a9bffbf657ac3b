#ifndef REPLICATION_SRC_SERVE_H
#define REPLICATION_SRC_SERVE_H

#include "replication/replication.h"

/* What a voter or learner says of itself with each answer; lists on mem. */
void voter_describe(const Replication *replication, void *mem, VoterAnswer *answer);
/* Registers the handlers of all messages of the replicated log. */
void voter_serve(Replication *replication);

#endif
