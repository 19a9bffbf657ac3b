/* The exchange of hellos. */
#ifndef MEMBER_SRC_HELLO_H
#define MEMBER_SRC_HELLO_H

#include "member/members.h"

/* Starts to answer hellos. */
void hello_serve(Members *members);
/* Suspends the coroutine, for at most REQUEST_TIMEOUT_MS. Exchanges hellos with the process that listens at the
 * address. Returns false if there was no answer, which changes nothing. */
bool hello_exchange(Members *members, const char *address);
/* Exchanges hellos in a task of its own; does not suspend the coroutine. The address is copied. */
void hello_spawn(Members *members, const char *address);
/* Like hello_spawn, with up to HELLO_ATTEMPTS attempts until an answer arrives. */
void hello_spawn_repeated(Members *members, const char *address);

#endif
