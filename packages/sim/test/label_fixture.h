#ifndef SIM_TEST_LABEL_FIXTURE_H
#define SIM_TEST_LABEL_FIXTURE_H

/* A fixture for tests of work that only some workers can run: they have a label that the work needs. */
#include "scheduler_fixture.h"

#define LABEL "only"
#define LABEL_WORKERS 4

/* A fleet of four workers, the first of which, that many, have the label. */
static inline SchedulerFixture *fixture_with_labels(void *mem, size_t labelled)
{
    SchedulerFixture *fixture = scheduler_fixture_new(mem, LABEL_WORKERS);
    static const char *const LABELS[] = {LABEL};
    for (size_t i = 0; i < labelled; i++) {
        Worker worker = *table_worker(fixture->table, worker_name(mem, i));
        worker.labels = (const char **)(uintptr_t)LABELS;
        worker.labels_count = 1;
        deliver_change(fixture, CHANGE_WORKER_SET, &Worker_shape, &worker);
    }
    return fixture;
}

/* A fleet of four workers, the first of which has the label. */
static inline SchedulerFixture *fixture_with_label(void *mem)
{
    return fixture_with_labels(mem, 1);
}

/* The step with the need for the label. */
static inline StepSpec labelled(StepSpec step)
{
    static const char *const LABELS[] = {LABEL};
    step.labels = (const char **)(uintptr_t)LABELS;
    step.labels_count = 1;
    return step;
}

/* Adds a job of this step, which only the workers with the label can run. */
static inline void add_labelled_step(SchedulerFixture *fixture, StepSpec step)
{
    job_of_step(fixture, labelled(step));
}

/* Lets the time pass and runs a pass. Returns how many tasks it places. */
static inline size_t placed_after(SchedulerFixture *fixture, int64_t wait_ms)
{
    sim_run_until(fixture->world, sim_now_ms(fixture->world) + wait_ms);
    workers_heartbeat(fixture, LABEL_WORKERS);
    Pass *run = pass(fixture);
    const size_t placed = run->places.placements_count;
    talloc_free(run);
    return placed;
}

#endif
