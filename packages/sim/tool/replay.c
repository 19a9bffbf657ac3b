/* Reads the record of a run of real processes, in the order of time, and gives
 * it to the same checkers that watch the simulator.
 *
 *     spancart-replay RECORD MIX [open]
 *
 * Each line: time, what happened, who, job, task, round, more. */
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

typedef struct Line {
    int64_t at_ms;
    size_t order;
    char what[16], who[ID_MAX + 1], job[ID_MAX + 1];
    uint64_t task, attempt;
    char more[64];
} Line;

typedef struct Replay {
    Checker *checker;
    int64_t now_ms;
    Mix mix;
    Map *jobs, *frozen;
} Replay;

static int64_t replay_now(void *arg)
{
    return ((Replay *)arg)->now_ms;
}

static bool replay_frozen(void *arg, const char *worker)
{
    return map_get(((Replay *)arg)->frozen, worker) != NULL;
}

/* The job as the mix makes it: its id says its class. */
static const Job *replay_job(void *arg, const char *id)
{
    Replay *replay = arg;
    Job *job = map_get(replay->jobs, id);
    if (job != NULL)
        return job;
    MixClass kind = CLASS_URGENT;
    for (int i = 0; i < CLASS_COUNT; i++)
        if (strstr(id, class_word((MixClass)i)) != NULL)
            kind = (MixClass)i;
    job = talloc_zero(replay->jobs, Job);
    Faults *faults = talloc_zero(job, Faults);
    faults->mem = job;
    const char *text = mix_job(job, replay->mix, kind, id, 0);
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

static int line_order(const void *a, const void *b)
{
    const Line *one = a, *other = b;
    if (one->at_ms != other->at_ms)
        return one->at_ms < other->at_ms ? -1 : 1;
    return one->order < other->order ? -1 : one->order > other->order;
}

static void play(Replay *replay, const Line *line)
{
    Checker *checker = replay->checker;
    replay->now_ms = line->at_ms;
    if (strcmp(line->what, "plans") == 0) {
        checker_plans(checker, line->who, strtoull(line->more, NULL, 10));
    } else if (strcmp(line->what, "worker") == 0) {
        Worker worker = {.name = line->who, .zone = line->job, .rack = "", .kind = "std"};
        sscanf(line->more, "%" SCNu64 " %" SCNu64, &worker.resources.cpu_milli, &worker.resources.mem_mb);
        checker_worker(checker, &worker);
        checker_leaving(checker, line->who, false);
    } else if (strcmp(line->what, "leaving") == 0) {
        checker_leaving(checker, line->who, true);
    } else if (strcmp(line->what, "started") == 0) {
        Resources resources = {0};
        sscanf(line->more, "%" SCNu64 " %" SCNu64, &resources.cpu_milli, &resources.mem_mb);
        checker_started(checker, line->who, line->job, line->task, line->attempt, resources);
    } else if (strcmp(line->what, "ended") == 0) {
        checker_ended(checker, line->who, line->job, line->task, line->attempt, attempt_status_of_name(line->more));
    } else if (strcmp(line->what, "known") == 0) {
        checker_known(checker, line->who, line->job, line->task, line->attempt, attempt_status_of_name(line->more));
    } else if (strcmp(line->what, "booted") == 0) {
        checker_booted(checker, line->who);
    } else if (strcmp(line->what, "held") == 0) {
        checker_held(checker, line->who, line->at_ms + strtoll(line->more, NULL, 10));
    } else if (strcmp(line->what, "resumed") == 0) {
        checker_resumed(checker, line->who, line->job, line->task, line->attempt, line->more);
    } else if (strcmp(line->what, "told") == 0) {
        checker_notified(checker, line->who, line->job, line->task, line->attempt);
    } else if (strcmp(line->what, "sent") == 0) {
        checker_sent(checker, line->job);
    } else if (strcmp(line->what, "gone") == 0) {
        checker_worker_gone(checker, line->who);
        checker_leader_gone(checker, line->who);
        checker_fault(checker);
    } else if (strcmp(line->what, "frozen") == 0) {
        map_set(replay->frozen, line->who, replay);
        checker_fault(checker);
    } else if (strcmp(line->what, "woke") == 0) {
        map_remove(replay->frozen, line->who);
        checker_fault(checker);
        checker_worker_restarted(checker, line->who);
    } else if (strcmp(line->what, "accepted") == 0) {
        checker_accepted(checker, line->job);
    } else if (strcmp(line->what, "refused") == 0) {
        checker_refused(checker, line->job);
    } else if (strcmp(line->what, "job-ended") == 0) {
        checker_job_ended(checker, line->job, line->more);
    } else if (strcmp(line->what, "unknown") == 0) {
        checker_unknown(checker, line->job);
    }
}

int main(int argc, char **argv)
{
    /* open: the record ends while jobs are under way */
    const bool open = argc == 4 && strcmp(argv[3], "open") == 0;
    FILE *file = argc == 3 || open ? fopen(argv[1], "r") : NULL;
    if (file == NULL || mix_of_word(argv[2]) == MIX_COUNT) {
        fprintf(stderr, "usage: spancart-replay RECORD trentvale|atlas [open]\n");
        if (file != NULL)
            fclose(file);
        return 2;
    }
    Replay *replay = talloc_zero(NULL, Replay);
    replay->mix = mix_of_word(argv[2]);
    replay->jobs = map_new(replay);
    replay->frozen = map_new(replay);
    const CheckerSettings settings = {replay, replay_now, replay_frozen, replay_job, NULL};
    replay->checker = checker_new(replay, &settings);
    Line *lines = NULL;
    size_t count = 0, capacity = 0;
    char text[512];
    while (fgets(text, sizeof(text), file) != NULL) {
        lines = array_grow(replay, lines, sizeof(*lines), count, &capacity);
        Line *line = &lines[count];
        *line = (Line){.order = count};
        const int got = sscanf(text, "%" SCNd64 " %15s %96s %96s %" SCNu64 " %" SCNu64 " %63[^\n]", &line->at_ms,
                               line->what, line->who, line->job, &line->task, &line->attempt, line->more);
        if (got < 3) {
            fprintf(stderr, "line %zu of the record can't be read\n", count + 1);
            fclose(file);
            return 2;
        }
        count++;
    }
    fclose(file);
    if (count > 0)
        qsort(lines, count, sizeof(*lines), line_order);
    int64_t shown_ms = count > 0 ? lines[0].at_ms : 0;
    for (size_t i = 0; i < count; i++) {
        play(replay, &lines[i]);
        if (replay->now_ms - shown_ms >= 500) {
            shown_ms = replay->now_ms;
            checker_inspect(replay->checker);
        }
    }
    if (!open)
        checker_end(replay->checker);
    printf("replay: %zu lines, %zu starts, %zu nevers broken%s%s\n", count, checker_starts(replay->checker),
           checker_broken_all(replay->checker), checker_broken_all(replay->checker) ? "; first " : "",
           checker_first(replay->checker));
    const int code = checker_broken_all(replay->checker) == 0 && checker_starts(replay->checker) > 0 ? 0 : 1;
    talloc_free(replay);
    return code;
}
