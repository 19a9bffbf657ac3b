#ifndef MEMBER_SRC_GOSSIP_H
#define MEMBER_SRC_GOSSIP_H

#include "member/members.h"

/* Spawns the tasks that send hellos until the loop stops. */
void gossip_start(Members *members);

#endif
