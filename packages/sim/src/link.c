/* Links of limited rate: a frame occupies both links in proportion to its size, and later frames wait. */
#include "world.h"

#define US_IN_MS 1000

void sim_link_rate(SimWorld *world, int machine, int64_t bytes_per_ms)
{
    world->machines[machine].bytes_per_ms = bytes_per_ms;
}

/* How long the machine's link takes for these bytes, in us. */
static int64_t transfer_us(const SimMachine *machine, size_t bytes)
{
    return machine->bytes_per_ms > 0 ? (int64_t)bytes * US_IN_MS / machine->bytes_per_ms : 0;
}

int64_t sim_arrival_ms(SimWorld *world, int from, int to, size_t bytes)
{
    SimMachine *sender = &world->machines[from], *receiver = &world->machines[to];
    int64_t begin_us = world->now_ms * US_IN_MS;
    if (sender->bytes_per_ms > 0 && sender->send_free_us > begin_us)
        begin_us = sender->send_free_us;
    if (receiver->bytes_per_ms > 0 && receiver->receive_free_us > begin_us)
        begin_us = receiver->receive_free_us;
    const int64_t send_us = transfer_us(sender, bytes), receive_us = transfer_us(receiver, bytes);
    const int64_t end_us = begin_us + (send_us > receive_us ? send_us : receive_us);
    sender->send_free_us = end_us;
    receiver->receive_free_us = end_us;
    return (end_us + US_IN_MS - 1) / US_IN_MS + sim_link_ms(world);
}
