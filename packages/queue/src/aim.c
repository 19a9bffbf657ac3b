#include "queue/aim.h"

#include <math.h>
#include <string.h>

static bool comesAfter(const StepSpec *step, const char *before)
{
    for (size_t i = 0; i < step->after_count; i++)
        if (strcmp(step->after[i], before) == 0)
            return true;
    return false;
}

/* How often a step fills its part of the fleet. */
static uint64_t wavesOf(const StepSpec *step, Room quarter)
{
    uint64_t waves = 1;
    const uint64_t part[] = {quarter.cpu_milli, quarter.mem_mb, quarter.gpu};
    const uint64_t all[] = {step->room.cpu_milli * step->count, step->room.mem_mb * step->count,
                            step->room.gpu * step->count};
    for (size_t i = 0; i < 3; i++)
        if (part[i] > 0 && (all[i] + part[i] - 1) / part[i] > waves)
            waves = (all[i] + part[i] - 1) / part[i];
    return waves < step->count ? waves : step->count;
}

void aimFind(const Job *job, int64_t from_ms, const Guesses *guesses, Room quarter, Aim *aim)
{
    int64_t longestMs = 0;
    /* steps wait for earlier ones alone */
    for (size_t s = job->spec.steps_count; s-- > 0;) {
        const StepSpec *step = &job->spec.steps[s];
        int64_t next_ms = 0;
        for (size_t k = s + 1; k < job->spec.steps_count; k++)
            if (aim->afterMs[k] > next_ms && comesAfter(&job->spec.steps[k], step->name))
                next_ms = aim->afterMs[k];
        const int64_t waves = step->gang ? 1 : (int64_t)wavesOf(step, quarter);
        const int64_t taskMs = guessMs(guesses, job, s);
        aim->taskMs[s] = (int32_t)(taskMs < INT32_MAX / 2 ? taskMs : INT32_MAX / 2);
        const int64_t afterMs = aim->taskMs[s] * waves + next_ms;
        aim->afterMs[s] = (int32_t)(afterMs < INT32_MAX ? afterMs : INT32_MAX);
        if (aim->afterMs[s] > longestMs)
            longestMs = aim->afterMs[s];
    }
    aim->from_ms = from_ms;
    aim->spanMs = (int64_t)job->terms.stretch_milli * longestMs / 1000 + job->terms.target_ms;
}

int64_t aimSlackMs(const Aim *aim, uint64_t step, int64_t now_ms)
{
    return aim->from_ms + aim->spanMs - now_ms - aim->afterMs[step];
}

/* Guesses are off by a part: one that misses by less may still make it. */
static bool canMake(int64_t slackMs, int64_t workMs)
{
    return slackMs >= -workMs * AIM_DOUBT_PERCENT / 100;
}

static double nearness(int64_t slackMs)
{
    return slackMs > 0 ? -(double)slackMs / AIM_LOOK_MS : 0.0;
}

double aimRank(const Aim *aim, uint64_t step, int64_t now_ms)
{
    const int64_t workMs = aim->afterMs[step], slackMs = aimSlackMs(aim, step, now_ms);
    if (canMake(slackMs, workMs))
        return nearness(slackMs);
    const int64_t lateMs = slackMs + (AIM_LATE_TIMES - 1) * aim->spanMs;
    if (canMake(lateMs, workMs))
        return AIM_LATE_RANK + nearness(lateMs);
    /* worth nothing any more; the oldest first */
    const int64_t ageMs = now_ms - aim->from_ms;
    return AIM_LOST_RANK + (double)ageMs / (double)(ageMs + JOB_KEEP_MS);
}
