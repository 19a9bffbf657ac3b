/* The caller of one job: submits it repeatedly with the same id, reads its state, cancels it, and checks the
 * answers. */
#include "caller_job.h"

#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "late_call.h"

#define READ_INTERVAL_MS 400

/* --- one call ------------------------------------------------------------------------------ */

static void on_late_arrival(void *arg, int64_t late_ms)
{
    JobRecord *job = ((CallerTask *)arg)->job;
    Topology *topology = ((CallerTask *)arg)->callers->topology;
    topology_log_task(topology, &job->tasks[0].name, "a submission arrives %d ms late", (int)late_ms);
    topology->bounds[BOUND_LATE_SUBMISSIONS]++;
    topology->bounds[BOUND_LATE_OF_CANCELLED] += job->cancel_acknowledged_ms != 0;
}

/* Draws whether the call, a submission, arrives late, after its sender has given it up. If so, it is delivered then,
 * and true is returned: the caller gets no answer. */
static bool late_submission_drawn(CallerTask *task, const HttpCall *call)
{
    Topology *topology = task->callers->topology;
    const Site *site = topology->site;
    if (topology->link == NULL || site->late_submission_milli == 0 || strcmp(call->method, "POST") != 0)
        return false;
    RandomSource random_source = random_source_new(topology->seed, task->job->generated_job.id, ++task->job->calls);
    if ((int64_t)(random_source_next(&random_source) % 1000) >= site->late_submission_milli)
        return false;
    late_call_send(topology, call, random_source_between(&random_source, call->wait_ms + 1, site->late_submission_ms),
                   on_late_arrival, task);
    return true;
}

/* Sends one request about the job to an entry point. Suspends the coroutine. */
static Outcome call_entry_point(CallerTask *task, void *mem, const char *method, Bytes body, TopologyNode **node,
                                int64_t *sent_ms, Bytes *result, int *retry_after_s)
{
    const Topology *topology = task->callers->topology;
    const Codec *codec = topology->codec;
    *node = listener_entry(task->callers->listener, &task->random_source, task->zone);
    *sent_ms = topology_now_ms(topology);
    const HttpHeader heads[] = {{"host", task->queue.host},
                                {codec->wait_header, talloc_asprintf(mem, "%" PRId64, topology->site->caller_wait_ms)}};
    HttpCall call = {
        .mem = mem,
        .address = talloc_asprintf(mem, "%s:%d", sim_address(topology->world, (*node)->machine), codec->caller_port),
        .method = method,
        .path = talloc_asprintf(mem, "%s%s", task->queue.prefix, task->job->generated_job.id),
        .body = body,
        .wait_ms = topology->site->caller_wait_ms,
        .request_headers = heads,
        .request_header_count = 2};
    const uint64_t incarnation = (*node)->incarnation;
    Status status = STATUS_EXPIRED;
    if (late_submission_drawn(task, &call))
        loop_sleep(task->loop, call.wait_ms);
    else
        status = loop_call(task->loop, &call);
    *result = call.response_body;
    *retry_after_s = call.retry_after_s;
    topology_log_task(topology, &task->job->tasks[0].name, "%s through %s: %s %d %.*s", method, (*node)->name,
                      status_word(status), call.code,
                      (int)(call.response_body.count < 60 ? call.response_body.count : 60),
                      (const char *)call.response_body.data);
    const Outcome outcome = codec->outcome(status == STATUS_OK ? call.code : 0);
    if ((*node)->incarnation == incarnation && (outcome == OUTCOME_NO_QUEUE || outcome == OUTCOME_ACCEPTED))
        sent_documents_check_answer(task->callers->sent_documents, *node, task->queue.host, task->queue.prefix,
                                    *sent_ms, outcome == OUTCOME_ACCEPTED);
    return outcome;
}

/* --- submission ------------------------------------------------------------------------------- */

/* Counts a first attempt to submit, before the closing fault or after the recovery from it. */
static void count_first_attempt(CallerTask *task, bool served, int64_t sent_ms)
{
    Callers *callers = task->callers;
    if (task->first_counted)
        return;
    task->first_counted = true;
    if (callers->closing_ms == 0) {
        callers->sent_before++;
        callers->served_before += served;
    } else if (callers->restart_ms != 0 && sent_ms > callers->restart_ms + callers->topology->site->recover_ms) {
        callers->sent_after++;
        callers->served_after += served;
    }
}

/* Submits the job once; returns true if it was accepted. Suspends the coroutine. */
static bool submit_once(CallerTask *task)
{
    Callers *callers = task->callers;
    JobRecord *job = task->job;
    void *mem = talloc_new(task);
    TopologyNode *node;
    int64_t sent_ms;
    Bytes result;
    int retry_after_s = 0;
    job->pending_submissions++;
    const Outcome outcome = call_entry_point(task, mem, "POST", callers->topology->codec->job(mem, &job->generated_job),
                                             &node, &sent_ms, &result, &retry_after_s);
    job->pending_submissions--;
    const bool accepted = outcome == OUTCOME_ACCEPTED;
    count_first_attempt(task, accepted, sent_ms);
    if (accepted && job->accepted_ms == 0) {
        job->accepted_ms = topology_now_ms(callers->topology);
        job->accepted_by = node;
        callers->last_acknowledger = node;
        callers->last_acknowledged_ms = job->accepted_ms;
    } else if (outcome == OUTCOME_UNCLEAR) {
        job->outcome_unclear = true;
    }
    talloc_free(mem);
    if (!accepted)
        loop_sleep(task->loop,
                   retry_after_s > 0 ? retry_after_s * 1000 : random_source_between(&task->random_source, 100, 500));
    return accepted;
}

/* Submits the job until it is accepted or the caller's retries are used up. Suspends the coroutine. */
static bool submit(CallerTask *task)
{
    JobRecord *job = task->job;
    job->sent_ms = topology_now_ms(task->callers->topology);
    for (size_t i = 0; i < job->generated_job.step_count; i++) {
        const GeneratedJobStep *step = &job->generated_job.steps[i];
        topology_log_task(task->callers->topology, &job->tasks[job->first_task_of_step[i]].name,
                          "%s: %" PRIu64 " of %" PRIu64 " milli-CPU, %" PRIu64 " MB, %" PRId64
                          " ms%s%s, near %s, needs %s, apart %" PRIu64,
                          job->kind->name, step->count, step->resources.cpu_milli, step->resources.mem_mb,
                          step->work_ms, step->gang ? ", gang" : "", step->same_rack ? " on a rack" : "",
                          step->near != NULL ? step->near : "-", step->needs != NULL ? step->needs : "-", step->apart);
    }
    for (int64_t i = 0; i <= task->callers->topology->site->caller_tries && !(job->abandons && job->outcome_unclear);
         i++)
        if (submit_once(task))
            return true;
    if (job->pending_submissions == 0 && job->accepted_ms == 0 && !job->outcome_unclear)
        job->refused_ms = topology_now_ms(task->callers->topology);
    return job->accepted_ms != 0;
}

/* --- reading and cancelling ---------------------------------------------------------------------- */

/* Checks the end that a node shows for the job. */
static void check_shown_end(CallerTask *task, JobWord word, const TopologyNode *node)
{
    JobRecord *job = task->job;
    Topology *topology = task->callers->topology;
    bool has_cause = word == JOB_WORD_CANCELLED && job->cancel_sent_ms != 0;
    for (size_t i = 0; i < job->task_count; i++) {
        has_cause |= word == JOB_WORD_FAILED && job_records_attempts_spent(job, job->tasks[i].task_outcome);
        if (word == JOB_WORD_DONE && !job->tasks[i].task_outcome->done) {
            rules_record_break(topology->rules, RULE_MIXED, topology_day_ms(topology),
                               "%s shows %s as done, %" PRIu64 ".%" PRIu64 ".%" PRIu64 " is not", node->name,
                               job->generated_job.id, job->tasks[i].name.turn, job->tasks[i].name.step,
                               job->tasks[i].name.at);
            break;
        }
    }
    if (word != JOB_WORD_DONE && !has_cause)
        rules_record_break(topology->rules, RULE_LOST, topology_day_ms(topology), "%s shows %s as %s without a cause",
                           node->name, job->generated_job.id, word == JOB_WORD_FAILED ? "failed" : "cancelled");
    job->shown = word;
    job->shown_ms = topology_now_ms(topology);
}

/* Reads the job's state once; returns true if the answer was clear. Suspends the coroutine. */
static bool read_once(CallerTask *task)
{
    JobRecord *job = task->job;
    Topology *topology = task->callers->topology;
    void *mem = talloc_new(task);
    TopologyNode *node;
    int64_t sent_ms;
    Bytes result;
    int retry_after_s;
    const Outcome outcome = call_entry_point(task, mem, "GET", (Bytes){0}, &node, &sent_ms, &result, &retry_after_s);
    const JobWord word = outcome == OUTCOME_ACCEPTED ? topology->codec->state(result) : JOB_WORD_NONE;
    if (outcome == OUTCOME_NO_JOB && job->accepted_ms != 0 && sent_ms - job->accepted_ms > topology->site->visible_ms &&
        node_in_touch(node))
        rules_record_break(topology->rules, RULE_LOST, topology_day_ms(topology),
                           "%s does not know %s, accepted by %s %" PRId64 " ms ago", node->name, job->generated_job.id,
                           job->accepted_by->name, sent_ms - job->accepted_ms);
    if (word >= JOB_WORD_DONE && word <= JOB_WORD_CANCELLED && job->shown_ms == 0)
        check_shown_end(task, word, node);
    talloc_free(mem);
    return word != JOB_WORD_NONE;
}

/* Cancels the job until that is acknowledged. The answer that there is no such job acknowledges it too. */
static void cancel(CallerTask *task)
{
    JobRecord *job = task->job;
    Topology *topology = task->callers->topology;
    job->cancel_sent_ms = topology_now_ms(topology);
    for (int64_t i = 0; i <= topology->site->caller_tries && job->cancel_acknowledged_ms == 0; i++) {
        void *mem = talloc_new(task);
        TopologyNode *node;
        int64_t sent_ms;
        Bytes result;
        int retry_after_s;
        const Outcome outcome =
            call_entry_point(task, mem, "DELETE", (Bytes){0}, &node, &sent_ms, &result, &retry_after_s);
        if (outcome == OUTCOME_ACCEPTED || outcome == OUTCOME_NO_JOB)
            job->cancel_acknowledged_ms = topology_now_ms(topology);
        talloc_free(mem);
        if (job->cancel_acknowledged_ms == 0)
            loop_sleep(task->loop, READ_INTERVAL_MS);
    }
}

void caller_follow_job(void *arg)
{
    CallerTask *task = arg;
    JobRecord *job = task->job;
    const Topology *topology = task->callers->topology;
    if (!submit(task)) {
        if (job->abandons && job->outcome_unclear)
            cancel(task);
        return;
    }
    const bool cancels =
        job->generated_job.lasting || random_source_percent(&task->random_source, job->kind->cancel_percent);
    const int64_t cancel_ms =
        cancels ? topology_now_ms(topology) +
                      random_source_between(&task->random_source, 200, job->generated_job.lasting ? 20000 : 4000)
                : INT64_MAX;
    int64_t read_due_ms = topology_now_ms(topology) + random_source_between(&task->random_source, 500, 6000);
    while (job->shown_ms == 0) {
        const int64_t now_ms = topology_now_ms(topology);
        if (job->cancel_sent_ms == 0 && (now_ms >= cancel_ms || (job->generated_job.lasting && task->callers->stopped)))
            cancel(task);
        if (now_ms >= read_due_ms || job_records_done(job) || job->cancel_acknowledged_ms != 0) {
            read_once(task);
            read_due_ms = now_ms + random_source_between(&task->random_source, 2000, 8000);
        }
        loop_sleep(task->loop, READ_INTERVAL_MS);
    }
}

void caller_submit_duplicate(void *arg)
{
    submit_once(arg);
}

void caller_confirm(void *arg)
{
    CallerTask *task = arg;
    while (!read_once(task))
        loop_sleep(task->loop, READ_INTERVAL_MS);
    task->job->confirmed_ms = topology_now_ms(task->callers->topology);
}
