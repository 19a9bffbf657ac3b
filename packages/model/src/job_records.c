/* The records of a day: all jobs that callers submit, with their tasks and the outcome of each. */
#include "job_records.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

JobRecords *job_records_new(void *mem, Topology *topology)
{
    JobRecords *records = talloc_zero(mem, JobRecords);
    records->topology = topology;
    records->by_id = map_new(records);
    return records;
}

static void create_tasks(JobRecord *job)
{
    const GeneratedJob *generated_job = &job->generated_job;
    const uint64_t turns = generated_job->turns > 0 ? generated_job->turns : 1;
    for (size_t s = 0; s < generated_job->step_count; s++) {
        job->first_task_of_step[s] = job->tasks_per_turn;
        job->tasks_per_turn += (size_t)generated_job->steps[s].count;
    }
    job->task_count = job->tasks_per_turn * (size_t)turns;
    job->tasks = talloc_zero_array(job, TaskRecord, (unsigned)job->task_count);
    size_t at = 0;
    for (uint64_t turn = 0; turn < turns; turn++)
        for (size_t s = 0; s < generated_job->step_count; s++) {
            TaskOutcome *shared = generated_job->steps[s].gang ? talloc_zero(job, TaskOutcome) : NULL;
            for (uint64_t i = 0; i < generated_job->steps[s].count; i++) {
                TaskRecord *task = &job->tasks[at++];
                task->job = job;
                memcpy(task->name.job, generated_job->id, sizeof(task->name.job));
                task->name.turn = turn;
                task->name.step = s;
                task->name.at = i;
                task->task_outcome = shared != NULL ? shared : talloc_zero(job, TaskOutcome);
            }
        }
}

JobRecord *job_records_add(JobRecords *records, const GeneratedJob *generated_job, const SiteKind *kind)
{
    JobRecord *job = talloc_zero(records, JobRecord);
    job->generated_job = *generated_job;
    job->kind = kind;
    job->shown = JOB_WORD_NONE;
    create_tasks(job);
    records->jobs = talloc_realloc(records, records->jobs, JobRecord *, (unsigned)(records->count + 1));
    records->jobs[records->count++] = job;
    map_set(records->by_id, job->generated_job.id, job);
    return job;
}

JobRecord *job_records_job(const JobRecords *records, const char *id)
{
    return map_get(records->by_id, id);
}

TaskRecord *job_records_task(const JobRecords *records, const TaskName *name)
{
    JobRecord *job = job_records_job(records, name->job);
    if (job == NULL || name->step >= job->generated_job.step_count ||
        name->at >= job->generated_job.steps[name->step].count ||
        name->turn >= (job->generated_job.turns > 0 ? job->generated_job.turns : 1))
        return NULL;
    return &job->tasks[(size_t)name->turn * job->tasks_per_turn + job->first_task_of_step[name->step] +
                       (size_t)name->at];
}

const GeneratedJobStep *job_records_step(const TaskRecord *task)
{
    return &task->job->generated_job.steps[task->name.step];
}

bool job_records_ready(const JobRecord *job, uint64_t turn, uint64_t step)
{
    const GeneratedJobStep *dependent_step = &job->generated_job.steps[step];
    for (size_t a = 0; a < dependent_step->after_count; a++) {
        const size_t first = (size_t)turn * job->tasks_per_turn + job->first_task_of_step[dependent_step->after[a]];
        for (size_t i = first; i < first + job->generated_job.steps[dependent_step->after[a]].count; i++)
            if (!job->tasks[i].task_outcome->done)
                return false;
    }
    return true;
}

int64_t job_records_due_wall_ms(const JobRecord *job, uint64_t turn)
{
    return job->generated_job.turns > 0
               ? job->generated_job.first_wall_ms + (int64_t)turn * job->generated_job.period_ms
               : 0;
}

bool job_records_done(const JobRecord *job)
{
    for (size_t i = 0; i < job->task_count; i++)
        if (!job->tasks[i].task_outcome->done)
            return false;
    return !job->generated_job.lasting;
}

void job_records_add_failure(TaskOutcome *task_outcome, uint64_t attempt)
{
    for (size_t i = 0; i < task_outcome->failure_count; i++)
        if (task_outcome->failed_attempts[i] == attempt)
            return;
    if (task_outcome->failure_count < FAILURES_MAX)
        task_outcome->failed_attempts[task_outcome->failure_count++] = attempt;
}

size_t job_records_acknowledged_failures(const TaskOutcome *task_outcome, uint64_t attempt)
{
    size_t count = 0;
    for (size_t i = 0; i < task_outcome->failure_count; i++)
        count += task_outcome->failure_acknowledged[i] && task_outcome->failed_attempts[i] < attempt;
    return count;
}

bool job_records_attempts_spent(const JobRecord *job, const TaskOutcome *task_outcome)
{
    return !job->generated_job.lasting && task_outcome->failure_count >= (uint64_t)job->kind->attempts;
}

/* Returns a hash that identifies the task; all members of a gang have the same one, because they share an outcome. */
static uint32_t identity_hash(const TaskRecord *task)
{
    char text[80];
    const bool gang = job_records_step(task)->gang;
    snprintf(text, sizeof(text), "%s.%" PRIu64 ".%" PRIu64 ".%" PRIu64, task->name.job, task->name.turn,
             task->name.step, gang ? 0 : task->name.at);
    return bytes_crc(text, strlen(text));
}

const char *job_records_checkpoint_text(void *mem, const TaskRecord *task, int64_t progress_ms)
{
    if (!task->job->generated_job.saves || progress_ms <= 0)
        return "";
    return talloc_asprintf(mem, "%08" PRIx32 "%08" PRIx32, (uint32_t)progress_ms, identity_hash(task));
}

int64_t job_records_checkpoint_ms(const TaskRecord *task, const char *saved)
{
    if (saved[0] == '\0')
        return 0;
    char part[9] = {0};
    if (strlen(saved) != 16 || strspn(saved, "0123456789abcdef") != 16)
        return -1;
    memcpy(part, saved + 8, 8);
    if (strtoul(part, NULL, 16) != identity_hash(task))
        return -1;
    memcpy(part, saved, 8);
    return (int64_t)strtoul(part, NULL, 16);
}
