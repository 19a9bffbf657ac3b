/* Plans for every sequence of losses, after plan_always_possible in XenServer's HA design. */
#include <string.h>
#include <talloc.h>

#include "base/constants.h"
#include "plan/plan.h"

const char *loss_word(Loss loss)
{
    static const char *const WORDS[] = {
#define X(name, word) word,
        LOSS_LIST(X)
#undef X
    };
    return WORDS[loss];
}

static bool losses_possible(const PlanInput *input, const bool *lost_before, const bool *newly_lost,
                            uint64_t losses_left);

/* Whether there is a plan after any sequence of that many further losses, one at a time. */
static bool further_losses_possible(const PlanInput *input, const bool *lost, uint64_t losses)
{
    void *mem = talloc_new(NULL);
    bool possible = true;
    for (size_t i = 0; i < input->worker_count && possible; i++) {
        if (lost[i])
            continue;
        bool *only_this = talloc_zero_array(mem, bool, (unsigned)input->worker_count);
        only_this[i] = true;
        possible = losses_possible(input, lost, only_this, losses - 1);
    }
    talloc_free(mem);
    return possible;
}

/* Whether there is a plan after the loss of the workers in newly_lost, besides those in lost_before, and then after any
 * sequence of losses_left further losses. */
static bool losses_possible(const PlanInput *input, const bool *lost_before, const bool *newly_lost,
                            uint64_t losses_left)
{
    void *mem = talloc_new(NULL);
    PlanInput next = *input;
    next.workers = talloc_memdup(mem, input->workers, input->worker_count * sizeof(*input->workers));
    if (input->preemptible != NULL)
        next.preemptible =
            talloc_memdup(mem, input->preemptible, input->cell_count * input->worker_count * sizeof(Resources));
    if (losses_left > 0) /* only a further loss needs to know where the tasks were placed */
        next.tasks = talloc_memdup(mem, input->tasks, input->task_count * sizeof(*input->tasks));
    bool *lost = talloc_memdup(mem, lost_before, input->worker_count * sizeof(bool));
    int *where = talloc_array(mem, int, (unsigned)input->task_count);
    for (size_t i = 0; i < input->worker_count; i++)
        lost[i] |= newly_lost[i];
    bool possible = plan_for_loss(&next, lost, where);
    if (possible && losses_left > 0) {
        for (size_t i = 0; i < next.task_count; i++)
            if (lost[next.tasks[i].worker])
                next.tasks[i].worker = (size_t)where[i];
        possible = further_losses_possible(&next, lost, losses_left);
    }
    talloc_free(mem);
    return possible;
}

bool plan_exhaustive(const PlanInput *input, PlanBreak *broken)
{
    void *mem = talloc_new(NULL);
    bool *none_lost = talloc_zero_array(mem, bool, (unsigned)input->worker_count);
    bool possible = true;
    const uint64_t losses = input->r < input->worker_count ? input->r : input->worker_count;
    for (size_t i = 0; i < input->worker_count && possible && losses > 0; i++) {
        bool *only_this = talloc_zero_array(mem, bool, (unsigned)input->worker_count);
        only_this[i] = true;
        possible = losses_possible(input, none_lost, only_this, losses - 1);
        if (!possible && broken != NULL)
            *broken = (PlanBreak){LOSS_WORKER, input->workers[i].name};
    }
    talloc_free(mem);
    return possible;
}

/* The zone or rack of a worker; null or empty: unknown. */
static const char *domain_of(const PlanWorker *worker, Loss loss)
{
    return loss == LOSS_ZONE ? worker->zone : worker->rack;
}

/* Whether the worker is the first one of its zone or rack; false if it has none. */
static bool is_first_of_domain(const PlanInput *input, size_t worker, Loss loss)
{
    const char *domain = domain_of(&input->workers[worker], loss);
    if (domain == NULL || domain[0] == '\0')
        return false;
    for (size_t i = 0; i < worker; i++)
        if (strcmp(domain_of(&input->workers[i], loss), domain) == 0)
            return false;
    return true;
}

/* Whether the loss of all workers of any one zone, or rack, leaves a plan. broken (out, may be null): the first that
 * does not. */
static bool domain_losses_possible(const PlanInput *input, Loss loss, PlanBreak *broken)
{
    void *mem = talloc_new(NULL);
    bool *none_lost = talloc_zero_array(mem, bool, (unsigned)input->worker_count);
    bool possible = true;
    for (size_t i = 0; i < input->worker_count && possible; i++) {
        const char *domain = domain_of(&input->workers[i], loss);
        if (!is_first_of_domain(input, i, loss))
            continue;
        bool *lost = talloc_zero_array(mem, bool, (unsigned)input->worker_count);
        for (size_t k = 0; k < input->worker_count; k++)
            lost[k] = strcmp(domain_of(&input->workers[k], loss), domain) == 0;
        possible = losses_possible(input, none_lost, lost, 0);
        if (!possible && broken != NULL)
            *broken = (PlanBreak){loss, domain};
    }
    talloc_free(mem);
    return possible;
}

bool plan_always_possible(const PlanInput *input, PlanBreak *broken)
{
    uint64_t sequences = 1;
    for (uint64_t i = 0; i < input->r && i < input->worker_count; i++)
        sequences *= input->worker_count - i;
    const bool workers = sequences <= PLAN_EXHAUSTIVE_MAX ? plan_exhaustive(input, broken) : plan_cheap_bound(input);
    if (!workers && sequences > PLAN_EXHAUSTIVE_MAX && broken != NULL)
        *broken = (PlanBreak){LOSS_WORKER, ""};
    return workers && (!input->zone_loss || domain_losses_possible(input, LOSS_ZONE, broken)) &&
           (!input->rack_loss || domain_losses_possible(input, LOSS_RACK, broken));
}
