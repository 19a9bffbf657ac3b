/* Plans for every sequence of losses: the paper's plan_always_possible. */
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

static bool walk(const PlanInput *input, const bool *lost_before, const bool *more, uint64_t left);

/* Whether a plan is left after any sequence of so many further losses, one at a time. */
static bool further_possible(const PlanInput *input, const bool *lost, uint64_t losses)
{
    void *mem = talloc_new(NULL);
    bool possible = true;
    for (size_t i = 0; i < input->worker_count && possible; i++) {
        if (lost[i])
            continue;
        bool *one = talloc_zero_array(mem, bool, (unsigned)input->worker_count);
        one[i] = true;
        possible = walk(input, lost, one, losses - 1);
    }
    talloc_free(mem);
    return possible;
}

/* Loses the workers marked in more, plans, and goes on with the losses left. */
static bool walk(const PlanInput *input, const bool *lost_before, const bool *more, uint64_t left)
{
    void *mem = talloc_new(NULL);
    PlanInput next = *input;
    next.workers = talloc_memdup(mem, input->workers, input->worker_count * sizeof(*input->workers));
    if (input->preemptible != NULL)
        next.preemptible =
            talloc_memdup(mem, input->preemptible, input->cell_count * input->worker_count * sizeof(Resources));
    if (left > 0) /* only a further loss needs to know where the tasks went */
        next.tasks = talloc_memdup(mem, input->tasks, input->task_count * sizeof(*input->tasks));
    bool *lost = talloc_memdup(mem, lost_before, input->worker_count * sizeof(bool));
    int *where = talloc_array(mem, int, (unsigned)input->task_count);
    for (size_t i = 0; i < input->worker_count; i++)
        lost[i] |= more[i];
    bool possible = plan_specific(&next, lost, where);
    if (possible && left > 0) {
        for (size_t i = 0; i < next.task_count; i++)
            if (lost[next.tasks[i].worker])
                next.tasks[i].worker = (size_t)where[i];
        possible = further_possible(&next, lost, left);
    }
    talloc_free(mem);
    return possible;
}

bool plan_exhaustive(const PlanInput *input, PlanBreak *broken)
{
    void *mem = talloc_new(NULL);
    bool *none = talloc_zero_array(mem, bool, (unsigned)input->worker_count);
    bool possible = true;
    const uint64_t losses = input->r < input->worker_count ? input->r : input->worker_count;
    for (size_t i = 0; i < input->worker_count && possible && losses > 0; i++) {
        bool *one = talloc_zero_array(mem, bool, (unsigned)input->worker_count);
        one[i] = true;
        possible = walk(input, none, one, losses - 1);
        if (!possible && broken != NULL)
            *broken = (PlanBreak){LOSS_WORKER, input->workers[i].name};
    }
    talloc_free(mem);
    return possible;
}

/* The zone or rack of a worker; null or empty: not known. */
static const char *place_of(const PlanWorker *worker, Loss loss)
{
    return loss == LOSS_ZONE ? worker->zone : worker->rack;
}

/* Whether the worker is the first one in its zone or rack; false also where it has none. */
static bool place_first(const PlanInput *input, size_t worker, Loss loss)
{
    const char *place = place_of(&input->workers[worker], loss);
    if (place == NULL || place[0] == '\0')
        return false;
    for (size_t i = 0; i < worker; i++)
        if (strcmp(place_of(&input->workers[i], loss), place) == 0)
            return false;
    return true;
}

/* Whether the loss of all workers of any one zone, or rack, leaves a plan. */
static bool places_possible(const PlanInput *input, Loss loss, PlanBreak *broken)
{
    void *mem = talloc_new(NULL);
    bool *none = talloc_zero_array(mem, bool, (unsigned)input->worker_count);
    bool possible = true;
    for (size_t i = 0; i < input->worker_count && possible; i++) {
        const char *place = place_of(&input->workers[i], loss);
        if (!place_first(input, i, loss))
            continue;
        bool *lost = talloc_zero_array(mem, bool, (unsigned)input->worker_count);
        for (size_t k = 0; k < input->worker_count; k++)
            lost[k] = strcmp(place_of(&input->workers[k], loss), place) == 0;
        possible = walk(input, none, lost, 0);
        if (!possible && broken != NULL)
            *broken = (PlanBreak){loss, place};
    }
    talloc_free(mem);
    return possible;
}

bool plan_always_possible(const PlanInput *input, PlanBreak *broken)
{
    uint64_t sequences = 1;
    for (uint64_t i = 0; i < input->r && i < input->worker_count; i++)
        sequences *= input->worker_count - i;
    const bool workers = sequences <= PLAN_EXHAUSTIVE_MAX ? plan_exhaustive(input, broken) : plan_cheap(input);
    if (!workers && sequences > PLAN_EXHAUSTIVE_MAX && broken != NULL)
        *broken = (PlanBreak){LOSS_WORKER, ""};
    return workers && (!input->zone_loss || places_possible(input, LOSS_ZONE, broken)) &&
           (!input->rack_loss || places_possible(input, LOSS_RACK, broken));
}
