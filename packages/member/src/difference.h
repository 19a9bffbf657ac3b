#ifndef MEMBER_SRC_DIFFERENCE_H
#define MEMBER_SRC_DIFFERENCE_H

#include "member/members.h"

/* Selects the records that a hello carries. All records are copied to mem. */

/* Digest of the known controllers that are not quiet; independent of their ticks and order; never 0. */
uint64_t difference_digest(const Members *members);
/* Fills in a request to the address. A controller gives its watermark of the receiver's table, and names a few members
 * for the receiver's partial view; other roles send no records. */
void difference_ask(Members *members, void *mem, const char *address, Hello *hello);
/* Fills in an answer: the known records that the requester lacks. */
void difference_answer(Members *members, void *mem, const Hello *ask, Hello *hello);
/* Updates the watermark after the answer's records have been merged, so that this controller is not sent them again. */
void difference_received(Members *members, const Hello *answer);

#endif
