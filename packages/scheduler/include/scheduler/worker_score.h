#ifndef SCHEDULER_WORKER_SCORE_H
#define SCHEDULER_WORKER_SCORE_H

#include "scheduler/scheduler.h"

/* Outlier ejection of workers: one that claims health but fails or slows its attempts is given fewer new
 * ones, then none for a rest that doubles each time, and never too many of the fleet rest at once. Used by
 * the controller, which hands in ended attempts and shows the scores, and by the scheduler's passes.
 *
 * Nothing here waits; what is returned belongs to the scheduler and is valid until the next wait. */

/* A rate of bad attempts; the newest counts most. */
typedef struct Tally {
    uint64_t rate_percent; /* as of rated_ms */
    int64_t rated_ms;      /* own clock */
    uint64_t jobs;         /* different jobs that went badly there since one went well */
    uint64_t last_job;     /* number of the last that went badly */
} Tally;

/* One worker, as this leader has seen it. */
typedef struct Score {
    Tally failed;          /* attempts that failed */
    Tally slow;            /* attempts that took several times as long as the others of their step */
    int64_t slow_end_ms;   /* log time of the end of the last one counted as slow */
    int64_t rest_until_ms; /* own clock; it is given nothing before this */
    int64_t rest_ms;       /* length of the last rest */
} Score;

/* Takes a delivered change of attempts' ends into the scores, and into the estimates of how long work takes. */
void score_take(Scheduler *scheduler, const AttemptList *list);
/* An attempt of the job made no progress on the worker: counts as a failed one. */
void score_stalled(Scheduler *scheduler, const char *worker, const Job *job);
/* Time of a task of the step on the worker, in percent of that near its data. */
uint64_t score_far_percent(const Scheduler *scheduler, const Worker *worker, const StepSpec *step);
/* Null: nothing bad is known of the worker. */
const Score *score_find(const Scheduler *scheduler, const char *worker);
/* The worse of its rates of failed and of slow attempts now, in percent. */
uint64_t score_rate(const Scheduler *scheduler, const char *worker);
/* Whether it is given nothing now. */
bool score_rests(const Scheduler *scheduler, const char *worker);

#endif
