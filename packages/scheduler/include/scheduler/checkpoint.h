#ifndef SCHEDULER_CHECKPOINT_H
#define SCHEDULER_CHECKPOINT_H

#include "scheduler/scheduler.h"

/* Checkpoints: the saved progress that running attempts report in their agents' heartbeats, from which the
 * next attempt of the task goes on. In memory alone: a new leader gets them with the next heartbeats, and the log
 * has that of a task with the end of an attempt and with the placement of the next. Used by the controller, which
 * takes them from heartbeats and delivered changes, and by the placement. Nothing here waits. */

/* Takes an attempt's checkpoint; one without a text, or of an older attempt than is known, is dropped. */
void checkpoint_take(Scheduler *scheduler, const AttemptSaved *report);
/* The text of the checkpoint of that attempt of the task; "": none. Valid until the next wait. */
const char *checkpoint_find(const Scheduler *scheduler, const char *job, uint64_t task, uint64_t attempt);

#endif
