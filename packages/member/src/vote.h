#ifndef MEMBER_SRC_VOTE_H
#define MEMBER_SRC_VOTE_H

#include "member/members.h"

/* Answers requests for this seed's vote from now on. */
void vote_serve(Members *members);

#endif
