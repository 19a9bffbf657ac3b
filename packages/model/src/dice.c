#include "model/dice.h"

/* splitmix64 */
static uint64_t mixed(uint64_t z)
{
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
    return z ^ (z >> 31);
}

Dice dice_of(uint64_t seed, const char *purpose, uint64_t number)
{
    uint64_t state = mixed(seed + 0x9e3779b97f4a7c15u);
    for (; *purpose != '\0'; purpose++)
        state = mixed(state ^ (uint64_t)(unsigned char)*purpose);
    return (Dice){mixed(state ^ number)};
}

uint64_t dice_next(Dice *dice)
{
    return mixed(dice->state += 0x9e3779b97f4a7c15u);
}

int64_t dice_span(Dice *dice, int64_t least, int64_t most)
{
    return most <= least ? least : least + (int64_t)(dice_next(dice) % (uint64_t)(most - least + 1));
}

bool dice_percent(Dice *dice, int64_t percent)
{
    return (int64_t)(dice_next(dice) % 100) < percent;
}

int64_t dice_about(Dice *dice, int64_t mean)
{
    const uint64_t kind = dice_next(dice) % 10;
    if (kind == 0)
        return dice_span(dice, mean * 3 / 2, mean * 3);
    return kind < 3 ? dice_span(dice, mean / 3 + 1, mean * 2 / 3 + 1) : dice_span(dice, mean * 2 / 3 + 1, mean * 4 / 3);
}
