#ifndef BASE_TERM_H
#define BASE_TERM_H

#include <stdint.h>

/* A term is a counter and, below it, a part of its holder's disk id, so that
 * two holders never have the same term even when a disk forgot a promise. */
#define TERM_HOLDER_BITS 20

static inline uint64_t term_next(uint64_t after, uint64_t holder)
{
    return ((after >> TERM_HOLDER_BITS) + 1) << TERM_HOLDER_BITS | (holder & ((1u << TERM_HOLDER_BITS) - 1));
}

/* The counter alone, for people. */
static inline uint64_t term_counter(uint64_t term)
{
    return term >> TERM_HOLDER_BITS;
}

#endif
