/* Words of a timeline on callers. */
#include "timeline_act.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

/* The longest time between two consecutive acceptances of jobs of the latest call, in ms. */
static int64_t longest_gap(const Timeline *timeline)
{
    CallerJob *const *jobs;
    const size_t count = timeline->caller != NULL ? caller_jobs(timeline->caller, &jobs) : 0;
    int64_t *times = talloc_array(NULL, int64_t, (unsigned)count + 1);
    size_t n = 0;
    for (size_t i = 0; i < count; i++)
        if (jobs[i]->accepted_ms != 0) {
            size_t at = n++;
            for (; at > 0 && times[at - 1] > jobs[i]->accepted_ms; at--)
                times[at] = times[at - 1];
            times[at] = jobs[i]->accepted_ms;
        }
    int64_t gap_ms = 0;
    for (size_t i = 1; i < n; i++)
        if (times[i] - times[i - 1] > gap_ms)
            gap_ms = times[i] - times[i - 1];
    talloc_free(times);
    return gap_ms;
}

bool timeline_callers(Timeline *timeline, const Column *column, const char *word, const char *value)
{
    Fleet *fleet = timeline->fleet;
    if (strcmp(word, "call") == 0 && value != NULL) {
        const char *slash = strchr(value, '/');
        char name[16];
        snprintf(name, sizeof(name), "c%d", timeline->calls++);
        timeline->caller =
            fleet_submit_jobs(fleet, name, atoi(value) * 1000, slash != NULL ? atoi(slash + 1) : INT64_C(1) << 40);
        return true;
    }
    if (strcmp(word, "links") == 0) {
        sim_link_delay(fleet->world, 1, value != NULL ? atoi(value) : 3);
        return true;
    }
    if (strcmp(word, "end") == 0) {
        for (int i = 0; i < fleet->caller_count; i++)
            caller_stop(fleet->callers[i]);
        if (!fleet_wait_jobs_ended(fleet, 90000))
            return timeline_fail(timeline, column->name, "not every accepted job has ended");
        return true;
    }
    if (strcmp(word, "cancel") == 0) {
        for (int i = 0; i < fleet->caller_count; i++)
            caller_cancel_all(fleet->callers[i]);
        return true;
    }
    if (strcmp(word, "allDone") == 0) {
        CallerJob *const *jobs;
        const size_t count = caller_jobs(timeline->caller, &jobs);
        size_t other = 0;
        for (size_t i = 0; i < count; i++)
            other += strcmp(jobs[i]->phase, "done") != 0;
        char text[64];
        snprintf(text, sizeof(text), "%zu of %zu jobs are not done", other, count);
        return other == 0 || timeline_fail(timeline, column->name, text);
    }
    if (strncmp(word, "gap<", 4) == 0) {
        const int64_t gap_ms = longest_gap(timeline);
        if (gap_ms < atoi(word + 4))
            return true;
        char text[64];
        snprintf(text, sizeof(text), "the longest gap is %" PRId64 " ms", gap_ms);
        return timeline_fail(timeline, column->name, text);
    }
    return timeline_fail(timeline, column->name, "unknown word for callers");
}
