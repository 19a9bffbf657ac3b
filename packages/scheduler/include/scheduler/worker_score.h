#ifndef SCHEDULER_WORKER_SCORE_H
#define SCHEDULER_WORKER_SCORE_H

#include "scheduler/scheduler.h"

/* Outlier ejection of workers: a worker that claims to be healthy but fails or slows its attempts is given less new
 * work, then is ejected: it gets none for a period that doubles with each ejection. Only a bounded share of the fleet
 * is ejected at the same time. The controller records ended attempts and shows the scores; the scheduler's passes read
 * them.
 *
 * No function here suspends the coroutine. Returned pointers belong to the scheduler and are valid until the coroutine
 * is next suspended. */

/* The rate of bad attempts of one worker, a moving average in which the newest attempt has the largest weight. */
typedef struct Tally {
    uint64_t rate_percent; /* as of rated_ms */
    int64_t rated_ms;      /* steady clock of this node */
    uint64_t jobs;         /* number of different jobs with bad attempts on the worker since the last good attempt */
    uint64_t last_job;     /* number (Job.number) of the last job with a bad attempt */
} Tally;

/* The score of one worker, from what this leader has seen. */
typedef struct WorkerScore {
    Tally failed;             /* attempts that failed */
    Tally slow;               /* attempts that took several times as long as the others of their step */
    int64_t slow_end_ms;      /* log time; end of the last attempt that was counted as slow */
    int64_t ejected_until_ms; /* steady clock of this node; the worker gets no work before this */
    int64_t ejection_ms;      /* duration of the last ejection */
} WorkerScore;

/* Updates the scores and the estimates of run times with a delivered change of attempts' ends. */
void score_record_ends(Scheduler *scheduler, const AttemptList *list);
/* Records that an attempt of the job made no progress on the worker; it counts as a failed attempt. */
void score_record_stall(Scheduler *scheduler, const char *worker, const Job *job);
/* Run time of a task of the step on the worker, in percent of its run time near its data. */
uint64_t score_far_percent(const Scheduler *scheduler, const Worker *worker, const StepSpec *step);
/* The worker's score; null: the worker has had no bad attempt. */
const WorkerScore *score_find(const Scheduler *scheduler, const char *worker);
/* The higher of the worker's current rates of failed and of slow attempts, in percent. */
uint64_t score_rate(const Scheduler *scheduler, const char *worker);
/* Whether the worker is ejected now. */
bool score_ejected(const Scheduler *scheduler, const char *worker);

#endif
