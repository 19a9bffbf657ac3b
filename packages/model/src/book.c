/* The book of a day: all jobs that callers submit, with their tasks and what became of each. */
#include "book.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

Book *book_new(void *mem, Topology *topology)
{
    Book *book = talloc_zero(mem, Book);
    book->topology = topology;
    book->by_id = map_new(book);
    return book;
}

static void tasks_make(BookJob *job)
{
    const Draft *draft = &job->draft;
    const uint64_t turns = draft->turns > 0 ? draft->turns : 1;
    for (size_t s = 0; s < draft->step_count; s++) {
        job->step_first[s] = job->each_turn;
        job->each_turn += (size_t)draft->steps[s].count;
    }
    job->task_count = job->each_turn * (size_t)turns;
    job->tasks = talloc_zero_array(job, BookTask, (unsigned)job->task_count);
    size_t at = 0;
    for (uint64_t turn = 0; turn < turns; turn++)
        for (size_t s = 0; s < draft->step_count; s++) {
            Fate *shared = draft->steps[s].gang ? talloc_zero(job, Fate) : NULL;
            for (uint64_t i = 0; i < draft->steps[s].count; i++) {
                BookTask *task = &job->tasks[at++];
                task->job = job;
                memcpy(task->name.job, draft->id, sizeof(task->name.job));
                task->name.turn = turn;
                task->name.step = s;
                task->name.at = i;
                task->fate = shared != NULL ? shared : talloc_zero(job, Fate);
            }
        }
}

BookJob *book_add(Book *book, const Draft *draft, const SiteKind *kind)
{
    BookJob *job = talloc_zero(book, BookJob);
    job->draft = *draft;
    job->kind = kind;
    job->shown = JOB_WORD_NONE;
    tasks_make(job);
    book->jobs = talloc_realloc(book, book->jobs, BookJob *, (unsigned)(book->count + 1));
    book->jobs[book->count++] = job;
    map_set(book->by_id, job->draft.id, job);
    return job;
}

BookJob *book_job(const Book *book, const char *id)
{
    return map_get(book->by_id, id);
}

BookTask *book_task(const Book *book, const TaskName *name)
{
    BookJob *job = book_job(book, name->job);
    if (job == NULL || name->step >= job->draft.step_count || name->at >= job->draft.steps[name->step].count ||
        name->turn >= (job->draft.turns > 0 ? job->draft.turns : 1))
        return NULL;
    return &job->tasks[(size_t)name->turn * job->each_turn + job->step_first[name->step] + (size_t)name->at];
}

const DraftStep *book_step(const BookTask *task)
{
    return &task->job->draft.steps[task->name.step];
}

bool book_ready(const BookJob *job, uint64_t turn, uint64_t step)
{
    const DraftStep *one = &job->draft.steps[step];
    for (size_t a = 0; a < one->after_count; a++) {
        const size_t first = (size_t)turn * job->each_turn + job->step_first[one->after[a]];
        for (size_t i = first; i < first + job->draft.steps[one->after[a]].count; i++)
            if (!job->tasks[i].fate->done)
                return false;
    }
    return true;
}

int64_t book_due_wall_ms(const BookJob *job, uint64_t turn)
{
    return job->draft.turns > 0 ? job->draft.first_wall_ms + (int64_t)turn * job->draft.period_ms : 0;
}

bool book_done(const BookJob *job)
{
    for (size_t i = 0; i < job->task_count; i++)
        if (!job->tasks[i].fate->done)
            return false;
    return !job->draft.lasting;
}

void book_fail(Fate *fate, uint64_t attempt)
{
    for (size_t i = 0; i < fate->fails; i++)
        if (fate->failed[i] == attempt)
            return;
    if (fate->fails < FAILS_MAX)
        fate->failed[fate->fails++] = attempt;
}

size_t book_fails_noted(const Fate *fate, uint64_t attempt)
{
    size_t count = 0;
    for (size_t i = 0; i < fate->fails; i++)
        count += fate->fail_noted[i] && fate->failed[i] < attempt;
    return count;
}

bool book_spent(const BookJob *job, const Fate *fate)
{
    return !job->draft.lasting && fate->fails >= (uint64_t)job->kind->attempts;
}

/* All members of a gang share one fate. */
static uint32_t owner(const BookTask *task)
{
    char text[80];
    const bool gang = book_step(task)->gang;
    snprintf(text, sizeof(text), "%s.%" PRIu64 ".%" PRIu64 ".%" PRIu64, task->name.job, task->name.turn,
             task->name.step, gang ? 0 : task->name.at);
    return bytes_crc(text, strlen(text));
}

const char *book_saved(void *mem, const BookTask *task, int64_t progress_ms)
{
    if (!task->job->draft.saves || progress_ms <= 0)
        return "";
    return talloc_asprintf(mem, "%08" PRIx32 "%08" PRIx32, (uint32_t)progress_ms, owner(task));
}

int64_t book_progress(const BookTask *task, const char *saved)
{
    if (saved[0] == '\0')
        return 0;
    char part[9] = {0};
    if (strlen(saved) != 16 || strspn(saved, "0123456789abcdef") != 16)
        return -1;
    memcpy(part, saved + 8, 8);
    if (strtoul(part, NULL, 16) != owner(task))
        return -1;
    memcpy(part, saved, 8);
    return (int64_t)strtoul(part, NULL, 16);
}
