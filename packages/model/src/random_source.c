/* The random numbers of the model. */
#include "model/random_source.h"

/* The finalizer of splitmix64. */
static uint64_t mix_bits(uint64_t mixed_bits)
{
    mixed_bits = (mixed_bits ^ (mixed_bits >> 30)) * 0xbf58476d1ce4e5b9u;
    mixed_bits = (mixed_bits ^ (mixed_bits >> 27)) * 0x94d049bb133111ebu;
    return mixed_bits ^ (mixed_bits >> 31);
}

RandomSource random_source_new(uint64_t seed, const char *purpose, uint64_t number)
{
    uint64_t state = mix_bits(seed + 0x9e3779b97f4a7c15u);
    for (; *purpose != '\0'; purpose++)
        state = mix_bits(state ^ (uint64_t)(unsigned char)*purpose);
    return (RandomSource){mix_bits(state ^ number)};
}

uint64_t random_source_next(RandomSource *random_source)
{
    return mix_bits(random_source->state += 0x9e3779b97f4a7c15u);
}

int64_t random_source_between(RandomSource *random_source, int64_t min, int64_t max)
{
    return max <= min ? min : min + (int64_t)(random_source_next(random_source) % (uint64_t)(max - min + 1));
}

bool random_source_percent(RandomSource *random_source, int64_t percent)
{
    return (int64_t)(random_source_next(random_source) % 100) < percent;
}

int64_t random_source_about(RandomSource *random_source, int64_t mean)
{
    const uint64_t kind = random_source_next(random_source) % 10;
    if (kind == 0)
        return random_source_between(random_source, mean * 3 / 2, mean * 3);
    return kind < 3 ? random_source_between(random_source, mean / 3 + 1, mean * 2 / 3 + 1)
                    : random_source_between(random_source, mean * 2 / 3 + 1, mean * 4 / 3);
}
