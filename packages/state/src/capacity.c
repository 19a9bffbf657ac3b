/* Arithmetic on resource vectors. */
#include "state/capacity.h"

SHAPE_TABLE(Resources, RESOURCES_FIELDS)

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

bool resources_fits(Resources need, Resources free)
{
    return need.cpu_milli <= free.cpu_milli && need.mem_mb <= free.mem_mb && need.gpu <= free.gpu;
}

Resources resources_subtract(Resources a, Resources b)
{
    return (Resources){less(a.cpu_milli, b.cpu_milli), less(a.mem_mb, b.mem_mb), less(a.gpu, b.gpu)};
}

Resources resources_add(Resources a, Resources b)
{
    return (Resources){a.cpu_milli + b.cpu_milli, a.mem_mb + b.mem_mb, a.gpu + b.gpu};
}

Resources resources_max(Resources a, Resources b)
{
    return (Resources){larger(a.cpu_milli, b.cpu_milli), larger(a.mem_mb, b.mem_mb), larger(a.gpu, b.gpu)};
}

Resources resources_multiply(Resources each, uint64_t count)
{
    return (Resources){each.cpu_milli * count, each.mem_mb * count, each.gpu * count};
}

bool resources_equal(Resources a, Resources b)
{
    return a.cpu_milli == b.cpu_milli && a.mem_mb == b.mem_mb && a.gpu == b.gpu;
}

uint64_t resources_scaled_share(Resources resources, Resources whole, uint64_t scale)
{
    const uint64_t cpu = part(resources.cpu_milli, whole.cpu_milli, scale);
    const uint64_t mem = part(resources.mem_mb, whole.mem_mb, scale);
    const uint64_t gpu = part(resources.gpu, whole.gpu, scale);
    return larger(larger(cpu, mem), gpu);
}

uint64_t resources_share(Resources resources, Resources whole)
{
    return resources_scaled_share(resources, whole, 1000);
}
