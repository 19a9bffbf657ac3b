#ifndef BASE_TERM_H
#define BASE_TERM_H

/* Numbers of terms (Raft). Each leader has a term of its own, with a higher number than all before; entries, orders and
 * grants of the lease carry the number of the term that they come from. */

#include <stdint.h>

/* A term's number is a counter and, in its lowest bits, a part of its leader's disk id, so
 * that two leaders never have terms of the same number, even when a disk has lost a promise. */
#define TERM_HOLDER_BITS 20 /* bits; of the disk id */

/* The number of the term after this one with that disk as leader. */
static inline uint64_t term_next(uint64_t after, uint64_t holder)
{
    return ((after >> TERM_HOLDER_BITS) + 1) << TERM_HOLDER_BITS | (holder & ((1u << TERM_HOLDER_BITS) - 1));
}

/* The counter alone, to be shown. */
static inline uint64_t term_counter(uint64_t term)
{
    return term >> TERM_HOLDER_BITS;
}

#endif
