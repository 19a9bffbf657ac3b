/* The caller of one job: submits it again and again with the same id, asks for its state, cancels it, and checks what
 * it is told. */
#include "caller_job.h"

#include <inttypes.h>
#include <talloc.h>

#define ASK_AGAIN_MS 400

/* --- one call ------------------------------------------------------------------------------ */

/* Asks an entry point about the job. */
static Outcome ask(CallerTask *task, void *mem, const char *method, Bytes body, TopologyNode **node, int64_t *sent_ms,
                   Bytes *result, int *again_s)
{
    const Topology *topology = task->callers->topology;
    const Codec *codec = topology->codec;
    *node = listener_entry(task->callers->listener, &task->random_source, task->zone);
    *sent_ms = topology_now_ms(topology);
    const HttpHeader heads[] = {{"host", task->queue.host},
                                {codec->wait_head, talloc_asprintf(mem, "%" PRId64, topology->site->caller_wait_ms)}};
    HttpCall call = {
        .mem = mem,
        .address = talloc_asprintf(mem, "%s:%d", sim_address(topology->world, (*node)->machine), codec->front_port),
        .method = method,
        .path = talloc_asprintf(mem, "%s%s", task->queue.prefix, task->job->generated_job.id),
        .body = body,
        .wait_ms = topology->site->caller_wait_ms,
        .request_headers = heads,
        .request_header_count = 2};
    const uint64_t life = (*node)->life;
    const Status status = loop_call(task->loop, &call);
    *result = call.response_body;
    *again_s = call.retry_after_s;
    topology_log(topology, &task->job->tasks[0].name, "%s through %s: %s %d %.*s", method, (*node)->name,
                 status_word(status), call.code, (int)(call.response_body.count < 60 ? call.response_body.count : 60),
                 (const char *)call.response_body.data);
    const Outcome outcome = codec->outcome(status == STATUS_OK ? call.code : 0);
    if ((*node)->life == life && (outcome == OUTCOME_NOBODY || outcome == OUTCOME_GOOD))
        sent_documents_shown(task->callers->sent_documents, *node, task->queue.host, task->queue.prefix, *sent_ms,
                             outcome == OUTCOME_GOOD);
    return outcome;
}

/* --- handing in ------------------------------------------------------------------------------- */

static void first_count(CallerTask *task, bool served, int64_t sent_ms)
{
    Callers *callers = task->callers;
    if (task->first)
        return;
    task->first = true;
    if (callers->closing_ms == 0) {
        callers->sent_before++;
        callers->served_before += served;
    } else if (callers->back_ms != 0 && sent_ms > callers->back_ms + callers->topology->site->recover_ms) {
        callers->sent_after++;
        callers->served_after += served;
    }
}

/* One attempt; true when no other is needed. */
static bool post_once(CallerTask *task)
{
    Callers *callers = task->callers;
    JobRecord *job = task->job;
    void *mem = talloc_new(task);
    TopologyNode *node;
    int64_t sent_ms;
    Bytes result;
    int again_s = 0;
    job->tries_open++;
    const Outcome outcome = ask(task, mem, "POST", callers->topology->codec->job(mem, &job->generated_job), &node,
                                &sent_ms, &result, &again_s);
    job->tries_open--;
    const bool taken = outcome == OUTCOME_GOOD;
    first_count(task, taken, sent_ms);
    if (taken && job->accepted_ms == 0) {
        job->accepted_ms = topology_now_ms(callers->topology);
        job->accepted_by = node;
        callers->last_taker = node;
        callers->last_taken_ms = job->accepted_ms;
    } else if (outcome == OUTCOME_UNCLEAR) {
        job->maybe = true;
    }
    talloc_free(mem);
    if (!taken)
        loop_sleep(task->loop, again_s > 0 ? again_s * 1000 : random_source_span(&task->random_source, 100, 500));
    return taken;
}

static bool post_all(CallerTask *task)
{
    JobRecord *job = task->job;
    job->sent_ms = topology_now_ms(task->callers->topology);
    for (size_t i = 0; i < job->generated_job.step_count; i++) {
        const GeneratedJobStep *step = &job->generated_job.steps[i];
        topology_log(task->callers->topology, &job->tasks[job->step_first[i]].name,
                     "%s: %" PRIu64 " of %" PRIu64 " milli-CPU, %" PRIu64 " MB, %" PRId64
                     " ms%s%s, near %s, needs %s, apart %" PRIu64,
                     job->kind->name, step->count, step->resources.cpu_milli, step->resources.mem_mb, step->work_ms,
                     step->gang ? ", gang" : "", step->same_rack ? " on a rack" : "",
                     step->near != NULL ? step->near : "-", step->needs != NULL ? step->needs : "-", step->apart);
    }
    for (int64_t i = 0; i <= task->callers->topology->site->caller_tries; i++)
        if (post_once(task))
            return true;
    if (job->tries_open == 0 && job->accepted_ms == 0 && !job->maybe)
        job->refused_ms = topology_now_ms(task->callers->topology);
    return job->accepted_ms != 0;
}

/* --- asking ------------------------------------------------------------------------------------- */

static void shown_check(CallerTask *task, JobWord word, const TopologyNode *node)
{
    JobRecord *job = task->job;
    Topology *topology = task->callers->topology;
    bool cause = word == JOB_WORD_CANCELLED && job->cancel_sent_ms != 0;
    for (size_t i = 0; i < job->task_count; i++) {
        cause |= word == JOB_WORD_FAILED && job_records_spent(job, job->tasks[i].fate);
        if (word == JOB_WORD_DONE && !job->tasks[i].fate->done) {
            rules_broke(topology->rules, RULE_MIXED, topology_day_ms(topology),
                        "%s shows %s as done, %" PRIu64 ".%" PRIu64 ".%" PRIu64 " is not", node->name,
                        job->generated_job.id, job->tasks[i].name.turn, job->tasks[i].name.step, job->tasks[i].name.at);
            break;
        }
    }
    if (word != JOB_WORD_DONE && !cause)
        rules_broke(topology->rules, RULE_LOST, topology_day_ms(topology), "%s shows %s as %s without a cause",
                    node->name, job->generated_job.id, word == JOB_WORD_FAILED ? "failed" : "cancelled");
    job->shown = word;
    job->shown_ms = topology_now_ms(topology);
}

/* Asks once; true when it was answered clearly. */
static bool ask_once(CallerTask *task)
{
    JobRecord *job = task->job;
    Topology *topology = task->callers->topology;
    void *mem = talloc_new(task);
    TopologyNode *node;
    int64_t sent_ms;
    Bytes result;
    int again_s;
    const Outcome outcome = ask(task, mem, "GET", (Bytes){0}, &node, &sent_ms, &result, &again_s);
    const JobWord word = outcome == OUTCOME_GOOD ? topology->codec->state(result) : JOB_WORD_NONE;
    if (outcome == OUTCOME_GONE && job->accepted_ms != 0 && sent_ms - job->accepted_ms > topology->site->visible_ms &&
        node_in_touch(node))
        rules_broke(topology->rules, RULE_LOST, topology_day_ms(topology),
                    "%s does not know %s, accepted by %s %" PRId64 " ms ago", node->name, job->generated_job.id,
                    job->accepted_by->name, sent_ms - job->accepted_ms);
    if (word >= JOB_WORD_DONE && word <= JOB_WORD_CANCELLED && job->shown_ms == 0)
        shown_check(task, word, node);
    talloc_free(mem);
    return word != JOB_WORD_NONE;
}

static void cancel(CallerTask *task)
{
    JobRecord *job = task->job;
    Topology *topology = task->callers->topology;
    job->cancel_sent_ms = topology_now_ms(topology);
    for (int64_t i = 0; i <= topology->site->caller_tries && job->cancel_ms == 0; i++) {
        void *mem = talloc_new(task);
        TopologyNode *node;
        int64_t sent_ms;
        Bytes result;
        int again_s;
        if (ask(task, mem, "DELETE", (Bytes){0}, &node, &sent_ms, &result, &again_s) == OUTCOME_GOOD)
            job->cancel_ms = topology_now_ms(topology);
        talloc_free(mem);
        if (job->cancel_ms == 0)
            loop_sleep(task->loop, ASK_AGAIN_MS);
    }
}

void caller_follow(void *arg)
{
    CallerTask *task = arg;
    JobRecord *job = task->job;
    const Topology *topology = task->callers->topology;
    if (!post_all(task))
        return;
    const bool cancels =
        job->generated_job.lasting || random_source_percent(&task->random_source, job->kind->cancel_percent);
    const int64_t cancel_ms =
        cancels ? topology_now_ms(topology) +
                      random_source_span(&task->random_source, 200, job->generated_job.lasting ? 20000 : 4000)
                : INT64_MAX;
    int64_t ask_ms = topology_now_ms(topology) + random_source_span(&task->random_source, 500, 6000);
    while (job->shown_ms == 0) {
        const int64_t now_ms = topology_now_ms(topology);
        if (job->cancel_sent_ms == 0 && (now_ms >= cancel_ms || (job->generated_job.lasting && task->callers->over)))
            cancel(task);
        if (now_ms >= ask_ms || job_records_done(job) || job->cancel_ms != 0) {
            ask_once(task);
            ask_ms = now_ms + random_source_span(&task->random_source, 2000, 8000);
        }
        loop_sleep(task->loop, ASK_AGAIN_MS);
    }
}

void caller_twin(void *arg)
{
    post_once(arg);
}

void caller_finish(void *arg)
{
    CallerTask *task = arg;
    while (!ask_once(task))
        loop_sleep(task->loop, ASK_AGAIN_MS);
    task->job->asked_ms = topology_now_ms(task->callers->topology);
}
