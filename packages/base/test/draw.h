#ifndef BASE_TEST_DRAW_H
#define BASE_TEST_DRAW_H

/* Random numbers for tests that draw their cases: the same seed draws the same ones. */

#include <stdint.h>

/* From 0 up to below, which must not be 0; the seed moves on. */
static inline uint64_t draw(uint64_t *seed, uint64_t below)
{
    *seed = *seed * 6364136223846793005u + 1442695040888963407u;
    return (*seed >> 33) % below;
}

#endif
