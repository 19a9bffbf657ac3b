#ifndef BASE_EPOCH_H
#define BASE_EPOCH_H

#include <stdint.h>

/* An epoch is a counter and, below it, a part of its holder's disk id, so that
 * two holders never have the same epoch even when a disk forgot a promise. */
#define EPOCH_HOLDER_BITS 20

static inline uint64_t epoch_next(uint64_t after, uint64_t holder)
{
    return ((after >> EPOCH_HOLDER_BITS) + 1) << EPOCH_HOLDER_BITS | (holder & ((1u << EPOCH_HOLDER_BITS) - 1));
}

/* The counter alone, for people. */
static inline uint64_t epoch_counter(uint64_t epoch)
{
    return epoch >> EPOCH_HOLDER_BITS;
}

#endif
