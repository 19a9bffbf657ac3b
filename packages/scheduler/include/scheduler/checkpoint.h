#ifndef SCHEDULER_CHECKPOINT_H
#define SCHEDULER_CHECKPOINT_H

#include "scheduler/scheduler.h"

/* Checkpoints: the saved progress that running attempts report in their agents' heartbeats, from which the next attempt
 * of the task resumes. They are held in memory only: a new leader receives them with the next heartbeats, and the log
 * contains a task's checkpoint in the entries that end an attempt and place the next one. The controller records them
 * from heartbeats and delivered changes; the placement reads them. No function here suspends the coroutine. */

/* Records an attempt's checkpoint. A report without a checkpoint, or of an older attempt than the recorded one, is
 * ignored. */
void checkpoint_record(Scheduler *scheduler, const AttemptSaved *report);
/* The checkpoint of that attempt of the task, as text; "": none. Valid until the coroutine is next suspended. */
const char *checkpoint_find(const Scheduler *scheduler, const char *job, uint64_t task, uint64_t attempt);

#endif
