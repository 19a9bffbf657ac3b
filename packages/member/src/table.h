#ifndef MEMBER_SRC_TABLE_H
#define MEMBER_SRC_TABLE_H

#include "member/members.h"

/* How a record came here. */
typedef enum RecordSource {
    RECORD_RELAYED,  /* another process passed it on */
    RECORD_ASKED_US, /* its own process sent it, with a request to us */
    RECORD_ANSWERED  /* its own process sent it, in answer to our request: both directions work */
} RecordSource;

/* Creates the table with the row of this process. */
void table_begin(Members *members);
/* Merges a record: the newer incarnation or tick wins. Malformed records are dropped, and
 * so are new ones once the table has MEMBERS_MAX rows. A record that claims to be this
 * process raises its own incarnation instead. Returns whether a row was added. */
bool table_merge(Members *members, const MemberRecord *record, RecordSource source);
/* Updates the row of this process, and drops rows of members not heard of for MEMBER_FORGET_MS. */
void table_refresh(Members *members);
/* Whether the record is that of this process. */
bool table_is_self(const Members *members, const MemberRecord *record);

#endif
