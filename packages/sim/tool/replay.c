/* Reads the recorded events of a run of real processes, sorts them by time, and checks them with the checker of the
 * simulator.
 *
 *     spancart-replay RECORD MIX [open]
 *
 * Each line of RECORD is an event: time in ms, kind, name of the node, job, task, attempt, details. With "open", the
 * record may end while jobs are active. The exit code is 0 if the record has a start and no violation. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "api/job_json.h"
#include "base/array.h"
#include "base/map.h"
#include "sim/checker.h"
#include "standin/caller.h"

/* A line of the record. order: its number, which orders events of the same time. */
typedef struct RecordedEvent {
    int64_t at_ms;
    size_t order;
    char kind[16], node[ID_MAX + 1], job[ID_MAX + 1];
    uint64_t task, attempt;
    char details[64];
} RecordedEvent;

typedef struct Replay {
    Checker *checker;
    int64_t now_ms; /* time of the current event */
    Mix mix;
    Map *jobs;   /* id to Job */
    Map *frozen; /* names of frozen nodes */
} Replay;

static int64_t replay_now(void *arg)
{
    return ((Replay *)arg)->now_ms;
}

static bool replay_frozen(void *arg, const char *worker)
{
    return map_get(((Replay *)arg)->frozen, worker) != NULL;
}

/* The job as the mix generates it. Its id contains the name of its class. */
static const Job *replay_job(void *arg, const char *id)
{
    Replay *replay = arg;
    Job *job = map_get(replay->jobs, id);
    if (job != NULL)
        return job;
    MixClass job_class = CLASS_URGENT;
    for (int i = 0; i < CLASS_COUNT; i++)
        if (strstr(id, class_word((MixClass)i)) != NULL)
            job_class = (MixClass)i;
    job = talloc_zero(replay->jobs, Job);
    Faults *faults = talloc_zero(job, Faults);
    faults->mem = job;
    const char *text = mix_job(job, replay->mix, job_class, id, 0);
    if (!job_read(faults, text, strlen(text), &job->spec))
        return NULL;
    for (size_t s = 0; s < job->spec.steps_count; s++)
        for (uint64_t k = 0; k < job->spec.steps[s].count; k++) {
            job->tasks = talloc_realloc(job, job->tasks, JobTask, (unsigned)(job->tasks_count + 1));
            job->tasks[job->tasks_count++] = (JobTask){.step = s, .at = k, .worker = "", .text = "", .shunned = ""};
        }
    map_set(replay->jobs, id, job);
    return job;
}

/* Compares two events for qsort. */
static int event_order(const void *a, const void *b)
{
    const RecordedEvent *one = a, *other = b;
    if (one->at_ms != other->at_ms)
        return one->at_ms < other->at_ms ? -1 : 1;
    return one->order < other->order ? -1 : one->order > other->order;
}

/* Reports an event to the checker. */
static void report_event(Replay *replay, const RecordedEvent *event)
{
    Checker *checker = replay->checker;
    replay->now_ms = event->at_ms;
    if (strcmp(event->kind, "plans") == 0) {
        checker_leader_plans(checker, event->node, strtoull(event->details, NULL, 10));
    } else if (strcmp(event->kind, "worker") == 0) {
        Worker worker = {.name = event->node, .zone = event->job, .rack = "", .kind = "std"};
        sscanf(event->details, "%" SCNu64 " %" SCNu64, &worker.resources.cpu_milli, &worker.resources.mem_mb);
        checker_worker_described(checker, &worker);
        checker_worker_leaving(checker, event->node, false);
    } else if (strcmp(event->kind, "leaving") == 0) {
        checker_worker_leaving(checker, event->node, true);
    } else if (strcmp(event->kind, "started") == 0) {
        Resources resources = {0};
        sscanf(event->details, "%" SCNu64 " %" SCNu64, &resources.cpu_milli, &resources.mem_mb);
        checker_started(checker, event->node, event->job, event->task, event->attempt, resources);
    } else if (strcmp(event->kind, "ended") == 0) {
        checker_ended(checker, event->node, event->job, event->task, event->attempt,
                      attempt_status_of_name(event->details));
    } else if (strcmp(event->kind, "known") == 0) {
        checker_end_acknowledged(checker, event->node, event->job, event->task, event->attempt,
                                 attempt_status_of_name(event->details));
    } else if (strcmp(event->kind, "booted") == 0) {
        checker_worker_booted(checker, event->node);
    } else if (strcmp(event->kind, "held") == 0) {
        checker_lease_granted(checker, event->node, event->at_ms + strtoll(event->details, NULL, 10));
    } else if (strcmp(event->kind, "resumed") == 0) {
        checker_resumed(checker, event->node, event->job, event->task, event->attempt, event->details);
    } else if (strcmp(event->kind, "told") == 0) {
        checker_stop_ordered(checker, event->node, event->job, event->task, event->attempt);
    } else if (strcmp(event->kind, "sent") == 0) {
        checker_sent(checker, event->job);
    } else if (strcmp(event->kind, "gone") == 0) {
        checker_worker_ended(checker, event->node);
        checker_leader_ended(checker, event->node);
        checker_fault(checker);
    } else if (strcmp(event->kind, "frozen") == 0) {
        map_set(replay->frozen, event->node, replay);
        checker_fault(checker);
    } else if (strcmp(event->kind, "woke") == 0) {
        map_remove(replay->frozen, event->node);
        checker_fault(checker);
        checker_worker_thawed(checker, event->node);
    } else if (strcmp(event->kind, "accepted") == 0) {
        checker_accepted(checker, event->job);
    } else if (strcmp(event->kind, "refused") == 0) {
        checker_refused(checker, event->job);
    } else if (strcmp(event->kind, "job-ended") == 0) {
        checker_job_ended(checker, event->job, event->details);
    } else if (strcmp(event->kind, "unknown") == 0) {
        checker_job_unknown(checker, event->job);
    }
}

int main(int argc, char **argv)
{
    const bool open = argc == 4 && strcmp(argv[3], "open") == 0;
    FILE *file = argc == 3 || open ? fopen(argv[1], "r") : NULL;
    if (file == NULL || mix_from_word(argv[2]) == MIX_COUNT) {
        fprintf(stderr, "usage: spancart-replay RECORD trentvale|atlas [open]\n");
        if (file != NULL)
            fclose(file);
        return 2;
    }
    Replay *replay = talloc_zero(NULL, Replay);
    replay->mix = mix_from_word(argv[2]);
    replay->jobs = map_new(replay);
    replay->frozen = map_new(replay);
    const CheckerSettings settings = {replay, replay_now, replay_frozen, replay_job, NULL};
    replay->checker = checker_new(replay, &settings);
    RecordedEvent *events = NULL;
    size_t count = 0, capacity = 0;
    char text[512];
    while (fgets(text, sizeof(text), file) != NULL) {
        events = array_grow(replay, events, sizeof(*events), count, &capacity);
        RecordedEvent *event = &events[count];
        *event = (RecordedEvent){.order = count};
        const int field_count =
            sscanf(text, "%" SCNd64 " %15s %96s %96s %" SCNu64 " %" SCNu64 " %63[^\n]", &event->at_ms, event->kind,
                   event->node, event->job, &event->task, &event->attempt, event->details);
        if (field_count < 3) {
            fprintf(stderr, "line %zu of the record is malformed: fewer than 3 fields\n", count + 1);
            fclose(file);
            return 2;
        }
        count++;
    }
    fclose(file);
    if (count > 0)
        qsort(events, count, sizeof(*events), event_order);
    int64_t inspected_ms = count > 0 ? events[0].at_ms : 0;
    for (size_t i = 0; i < count; i++) {
        report_event(replay, &events[i]);
        if (replay->now_ms - inspected_ms >= 500) {
            inspected_ms = replay->now_ms;
            checker_inspect(replay->checker);
        }
    }
    if (!open)
        checker_check_all_ended(replay->checker);
    printf("replay: %zu lines, %zu starts, %zu violations of safety properties%s%s\n", count,
           checker_starts(replay->checker), checker_violations_total(replay->checker),
           checker_violations_total(replay->checker) ? "; the first " : "", checker_first_violation(replay->checker));
    const int code = checker_violations_total(replay->checker) == 0 && checker_starts(replay->checker) > 0 ? 0 : 1;
    talloc_free(replay);
    return code;
}
