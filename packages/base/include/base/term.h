#ifndef BASE_TERM_H
#define BASE_TERM_H

/* Term numbers, as in Raft. Each leader has a term of its own, with a higher number than all earlier terms. Entries,
 * orders and lease grants carry the number of the term in which they were made. */

#include <stdint.h>

/* A term number consists of a counter and, in its lowest bits, a part of the leader's disk id, so that no two leaders
 * have the same term number, even when a disk has lost a promise. */
#define TERM_HOLDER_BITS 20 /* Bits of the disk id */

/* Returns the number of the next term, led by the given disk. */
static inline uint64_t term_next(uint64_t after, uint64_t holder)
{
    return ((after >> TERM_HOLDER_BITS) + 1) << TERM_HOLDER_BITS | (holder & ((1u << TERM_HOLDER_BITS) - 1));
}

/* Returns the counter alone, for display. */
static inline uint64_t term_counter(uint64_t term)
{
    return term >> TERM_HOLDER_BITS;
}

#endif
