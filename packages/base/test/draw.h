#ifndef BASE_TEST_DRAW_H
#define BASE_TEST_DRAW_H

/* Pseudo-random numbers for randomized tests: the same seed gives the same sequence. */

#include <stdint.h>

/* Returns a number from 0 to below - 1 and advances the seed. below must not be 0. */
static inline uint64_t draw(uint64_t *seed, uint64_t below)
{
    *seed = *seed * 6364136223846793005u + 1442695040888963407u;
    return (*seed >> 33) % below;
}

#endif
