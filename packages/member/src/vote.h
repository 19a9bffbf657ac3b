/* The votes of seeds. */
#ifndef MEMBER_SRC_VOTE_H
#define MEMBER_SRC_VOTE_H

#include "member/members.h"

/* Starts to answer requests for this seed's vote. */
void vote_serve(Members *members);

#endif
