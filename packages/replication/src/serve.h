#ifndef REPLICATION_SRC_SERVE_H
#define REPLICATION_SRC_SERVE_H

#include "replication/replication.h"

/* Sets *answer to the state that a voter or learner reports with each answer; its lists are allocated on mem. */
void voter_answer_set(const Replication *replication, void *mem, VoterAnswer *answer);
/* Registers the handlers of all messages of the replicated log. */
void voter_handlers_register(Replication *replication);

#endif
