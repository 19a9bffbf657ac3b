#include "plan/plan.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/constants.h"

bool plan_able(const PlanWorker *worker, const PlanNeed *need)
{
    if (need->kind[0] != '\0' && strcmp(need->kind, worker->kind) != 0)
        return false;
    for (size_t i = 0; i < need->label_count; i++) {
        bool has = false;
        for (size_t k = 0; k < worker->label_count && !has; k++)
            has = strcmp(need->labels[i], worker->labels[k]) == 0;
        if (!has)
            return false;
    }
    return true;
}

bool plan_fits(const PlanWorker *worker, const PlanNeed *need)
{
    return room_fits(need->room, worker->free) && plan_able(worker, need);
}

uint64_t plan_left(const PlanWorker *worker, Room largest)
{
    const Room free = worker->free;
    const uint64_t cpu = largest.cpu_milli > 0 ? free.cpu_milli * 1000 / largest.cpu_milli : 0;
    const uint64_t mem = largest.mem_mb > 0 ? free.mem_mb * 1000 / largest.mem_mb : 0;
    return cpu < mem ? cpu : mem;
}

Room plan_largest(const PlanWorker *workers, size_t count)
{
    Room largest = {0};
    for (size_t i = 0; i < count; i++)
        largest = room_largest(largest, workers[i].room);
    return largest;
}

const char *loss_word(Loss loss)
{
    static const char *const WORDS[] = {
#define X(name, word) word,
        LOSS_LIST(X)
#undef X
    };
    return WORDS[loss];
}

static int choose_by(const PlanWorker *workers, size_t count, const PlanNeed *need, const bool *lost, Room largest)
{
    int best = -1;
    uint64_t best_left = 0;
    for (size_t i = 0; i < count; i++) {
        if ((lost != NULL && lost[i]) || !plan_fits(&workers[i], need))
            continue;
        uint64_t left = plan_left(&workers[i], largest);
        left = left > workers[i].penalty ? left - workers[i].penalty : 0;
        if (best < 0 || left > best_left) {
            best = (int)i;
            best_left = left;
        }
    }
    return best;
}

int plan_choose(const PlanWorker *workers, size_t count, const PlanNeed *need, const bool *lost)
{
    return choose_by(workers, count, need, lost, plan_largest(workers, count));
}

/* Takes free room first, then what the cell may push aside. */
static int choose_pushing(PlanInput *input, const PlanTask *task, const bool *lost)
{
    if (task->cell == PLAN_NO_CELL || input->pushable == NULL)
        return -1;
    Room *pushable = &input->pushable[task->cell * input->worker_count];
    for (size_t i = 0; i < input->worker_count; i++) {
        PlanWorker *worker = &input->workers[i];
        const Room room = room_more(worker->free, pushable[i]);
        if (lost[i] || !room_fits(task->need.room, room) || !plan_able(worker, &task->need))
            continue;
        pushable[i] = room_less(pushable[i], room_less(task->need.room, worker->free));
        return (int)i;
    }
    return -1;
}

typedef struct Sized {
    size_t task;
    uint64_t share;
} Sized;

static int sized_order(const void *a, const void *b)
{
    const Sized *x = a, *y = b;
    if (x->share != y->share)
        return x->share > y->share ? -1 : 1;
    return x->task < y->task ? -1 : x->task > y->task;
}

bool plan_specific(PlanInput *input, const bool *lost, int *where)
{
    const Room largest = plan_largest(input->workers, input->worker_count);
    Sized *sized = talloc_array(NULL, Sized, (unsigned)input->task_count);
    size_t count = 0;
    for (size_t i = 0; i < input->task_count; i++)
        if (lost[input->tasks[i].worker])
            sized[count++] = (Sized){i, room_share(input->tasks[i].need.room, largest)};
    qsort(sized, count, sizeof(*sized), sized_order);
    bool all = true;
    for (size_t i = 0; i < count && all; i++) {
        const PlanNeed *need = &input->tasks[sized[i].task].need;
        int at = choose_by(input->workers, input->worker_count, need, lost, largest);
        if (at < 0)
            at = choose_pushing(input, &input->tasks[sized[i].task], lost);
        where[sized[i].task] = at;
        if (at < 0)
            all = false;
        else
            input->workers[at].free = room_less(input->workers[at].free, need->room);
    }
    talloc_free(sized);
    return all;
}

/* --- all sequences ------------------------------------------------------------------ */

/* Loses the workers marked in more, plans, and goes on with the losses left. */
static bool walk(const PlanInput *input, const bool *lost_before, const bool *more, uint64_t left, const char **at)
{
    void *mem = talloc_new(NULL);
    PlanInput next = *input;
    next.workers = talloc_memdup(mem, input->workers, input->worker_count * sizeof(*input->workers));
    if (input->pushable != NULL)
        next.pushable = talloc_memdup(mem, input->pushable, input->cell_count * input->worker_count * sizeof(Room));
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
        for (size_t i = 0; i < next.worker_count && possible; i++) {
            if (lost[i])
                continue;
            bool *one = talloc_zero_array(mem, bool, (unsigned)next.worker_count);
            one[i] = true;
            possible = walk(&next, lost, one, left - 1, at);
            if (!possible)
                *at = next.workers[i].name;
        }
    }
    talloc_free(mem);
    return possible;
}

bool plan_exhaustive(const PlanInput *input, PlanBreak *broken)
{
    void *mem = talloc_new(NULL);
    bool *none = talloc_zero_array(mem, bool, (unsigned)input->worker_count);
    bool possible = true;
    const uint64_t r = input->r < input->worker_count ? input->r : input->worker_count;
    for (size_t i = 0; i < input->worker_count && possible && r > 0; i++) {
        bool *one = talloc_zero_array(mem, bool, (unsigned)input->worker_count);
        const char *at = NULL;
        one[i] = true;
        possible = walk(input, none, one, r - 1, &at);
        if (!possible && broken != NULL)
            *broken = (PlanBreak){LOSS_WORKER, input->workers[i].name};
    }
    talloc_free(mem);
    return possible;
}

static const char *place_of(const PlanWorker *worker, Loss loss)
{
    return loss == LOSS_ZONE ? worker->zone : worker->rack;
}

/* The loss of all workers of any one zone, or rack. */
static bool places_possible(const PlanInput *input, Loss loss, PlanBreak *broken)
{
    void *mem = talloc_new(NULL);
    bool *none = talloc_zero_array(mem, bool, (unsigned)input->worker_count);
    bool possible = true;
    for (size_t i = 0; i < input->worker_count && possible; i++) {
        const char *place = place_of(&input->workers[i], loss);
        bool seen = place == NULL || place[0] == '\0';
        for (size_t k = 0; k < i && !seen; k++)
            seen = strcmp(place_of(&input->workers[k], loss), place) == 0;
        if (seen)
            continue;
        bool *lost = talloc_zero_array(mem, bool, (unsigned)input->worker_count);
        for (size_t k = 0; k < input->worker_count; k++)
            lost[k] = strcmp(place_of(&input->workers[k], loss), place) == 0;
        const char *at = NULL;
        possible = walk(input, none, lost, 0, &at);
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
