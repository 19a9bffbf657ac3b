#include "plan/plan.h"

static uint64_t less(uint64_t a, uint64_t b)
{
    return a > b ? a - b : 0;
}

static uint64_t share(uint64_t part, uint64_t whole)
{
    return whole > 0 ? part * 1000 / whole : 0;
}

bool room_fits(Room need, Room free)
{
    return need.cpu_milli <= free.cpu_milli && need.mem_mb <= free.mem_mb && need.gpu <= free.gpu;
}

Room room_less(Room a, Room b)
{
    return (Room){less(a.cpu_milli, b.cpu_milli), less(a.mem_mb, b.mem_mb), less(a.gpu, b.gpu)};
}

Room room_more(Room a, Room b)
{
    return (Room){a.cpu_milli + b.cpu_milli, a.mem_mb + b.mem_mb, a.gpu + b.gpu};
}

uint64_t room_share(Room room, Room whole)
{
    const uint64_t cpu = share(room.cpu_milli, whole.cpu_milli);
    const uint64_t mem = share(room.mem_mb, whole.mem_mb);
    const uint64_t gpu = share(room.gpu, whole.gpu);
    const uint64_t most = cpu > mem ? cpu : mem;
    return most > gpu ? most : gpu;
}
