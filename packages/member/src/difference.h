#ifndef MEMBER_SRC_DIFFERENCE_H
#define MEMBER_SRC_DIFFERENCE_H

#include "member/members.h"

/* Which records a hello carries. All records are copied to mem. */

/* Of the controllers known here that are not quiet, whatever their ticks and order; never 0. */
uint64_t difference_digest(const Members *members);
/* A request to the address. A controller says up to which change it has the receiver's table, and names a few members
 * for the receiver's partial view; others send no records. */
void difference_ask(Members *members, void *mem, const char *address, Hello *hello);
/* An answer: what the asker lacks of what is known here. */
void difference_answer(Members *members, void *mem, const Hello *ask, Hello *hello);
/* The answer's records have been taken: a controller need not be sent them again. */
void difference_taken(Members *members, const Hello *answer);

#endif
