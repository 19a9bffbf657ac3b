#include "plan/plan.h"

bool roomFits(Room need, Room free)
{
    return need.cpuMilli <= free.cpuMilli && need.memMb <= free.memMb;
}

Room roomLess(Room a, Room b)
{
    return (Room){a.cpuMilli > b.cpuMilli ? a.cpuMilli - b.cpuMilli : 0, a.memMb > b.memMb ? a.memMb - b.memMb : 0};
}

Room roomMore(Room a, Room b)
{
    return (Room){a.cpuMilli + b.cpuMilli, a.memMb + b.memMb};
}

uint64_t roomShare(Room room, Room whole)
{
    const uint64_t cpu = whole.cpuMilli > 0 ? room.cpuMilli * 1000 / whole.cpuMilli : 0;
    const uint64_t mem = whole.memMb > 0 ? room.memMb * 1000 / whole.memMb : 0;
    return cpu > mem ? cpu : mem;
}
