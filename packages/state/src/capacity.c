/* Arithmetic on capacity vectors. */
#include "state/capacity.h"

SHAPE_TABLE(Room, ROOM_FIELDS)

static uint64_t less(uint64_t a, uint64_t b)
{
    return a > b ? a - b : 0;
}

static uint64_t larger(uint64_t a, uint64_t b)
{
    return a > b ? a : b;
}

static uint64_t part(uint64_t amount, uint64_t whole, uint64_t scale)
{
    return whole > 0 ? amount * scale / whole : 0;
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

Room room_largest(Room a, Room b)
{
    return (Room){larger(a.cpu_milli, b.cpu_milli), larger(a.mem_mb, b.mem_mb), larger(a.gpu, b.gpu)};
}

Room room_times(Room each, uint64_t count)
{
    return (Room){each.cpu_milli * count, each.mem_mb * count, each.gpu * count};
}

bool room_same(Room a, Room b)
{
    return a.cpu_milli == b.cpu_milli && a.mem_mb == b.mem_mb && a.gpu == b.gpu;
}

uint64_t room_part(Room room, Room whole, uint64_t scale)
{
    const uint64_t cpu = part(room.cpu_milli, whole.cpu_milli, scale);
    const uint64_t mem = part(room.mem_mb, whole.mem_mb, scale);
    const uint64_t gpu = part(room.gpu, whole.gpu, scale);
    return larger(larger(cpu, mem), gpu);
}

uint64_t room_share(Room room, Room whole)
{
    return room_part(room, whole, 1000);
}
