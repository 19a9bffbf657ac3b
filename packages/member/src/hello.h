#ifndef MEMBER_SRC_HELLO_H
#define MEMBER_SRC_HELLO_H

#include "member/members.h"

/* Answers the hellos of others from now on. */
void hello_serve(Members *members);
/* Waits, at most ASK_TIMEOUT_MS. Exchanges hellos with whoever listens at the address. False: no answer, which changes
 * nothing. */
bool hello_exchange(Members *members, const char *address);
/* The same in a task of its own: the caller goes on. The address is copied. */
void hello_spawn(Members *members, const char *address);
/* The same; HELLO_ATTEMPTS times where no answer comes. */
void hello_spawn_repeated(Members *members, const char *address);

#endif
