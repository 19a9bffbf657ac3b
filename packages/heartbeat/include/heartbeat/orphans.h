#ifndef HEARTBEAT_ORPHANS_H
#define HEARTBEAT_ORPHANS_H

#include "heartbeat/messages.h"
#include "state/table.h"

/* Attempts that may still be on a worker though the table has them there no longer:
 * another round of the task finished, or its owner allows copies. Their room is not
 * free until the worker's agent has told that they are over. In the leader's memory:
 * a new one learns of them from the first heartbeats, before which it gives nothing. */
typedef struct Orphans Orphans;

Orphans *orphans_new(void *mem);
/* A new leader knows of none. */
void orphans_reset(Orphans *orphans);
/* An attempt of the task that may yet be on the worker, or come there until until_ms. */
void orphans_add(Orphans *orphans, const char *worker, const Job *job, const JobTask *task, uint64_t attempt,
                 int64_t until_ms);
/* A heartbeat's list is all that may run there: whatever of it the table has elsewhere
 * or nowhere counts, what is not in it and on no way any more counts no longer. */
void orphans_heartbeat(Orphans *orphans, const Table *table, const HeartbeatAsk *heartbeat, int64_t now_ms);
/* The agent told of the attempt's end. */
void orphans_end(Orphans *orphans, const AttemptNews *news);
/* Room in use there; false: something of unknown size is there. */
bool orphans_room(const Orphans *orphans, const char *worker, Room *room);

#endif
