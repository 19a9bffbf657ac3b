/* What a narrow link makes of a large frame: it takes its time, and what comes after
 * it waits. */
#include "world.h"

#define US_IN_MS 1000

void simLinkRate(SimWorld *world, int machine, int64_t bytesPerMs)
{
    world->machines[machine].bytesPerMs = bytesPerMs;
}

static int64_t carryUs(const SimMachine *machine, size_t bytes)
{
    return machine->bytesPerMs > 0 ? (int64_t)bytes * US_IN_MS / machine->bytesPerMs : 0;
}

int64_t simArrivalMs(SimWorld *world, int from, int to, size_t bytes)
{
    SimMachine *sender = &world->machines[from], *taker = &world->machines[to];
    int64_t beginUs = world->now_ms * US_IN_MS;
    if (sender->bytesPerMs > 0 && sender->sendFreeUs > beginUs)
        beginUs = sender->sendFreeUs;
    if (taker->bytesPerMs > 0 && taker->takeFreeUs > beginUs)
        beginUs = taker->takeFreeUs;
    const int64_t sendUs = carryUs(sender, bytes), takeUs = carryUs(taker, bytes);
    const int64_t endUs = beginUs + (sendUs > takeUs ? sendUs : takeUs);
    sender->sendFreeUs = endUs;
    taker->takeFreeUs = endUs;
    return (endUs + US_IN_MS - 1) / US_IN_MS + simLinkMs(world);
}
