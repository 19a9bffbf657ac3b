/* Decides when hellos are sent, and to whom. */
#ifndef MEMBER_SRC_GOSSIP_H
#define MEMBER_SRC_GOSSIP_H

#include "member/members.h"

/* Whether a controller of the cluster contacts this process, which then need not look for one. */
bool gossip_contacted(const Members *members);
/* Spawns the tasks that send hellos until the loop stops. */
void gossip_start(Members *members);

#endif
