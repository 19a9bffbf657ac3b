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
/* Merges a record: the newer incarnation or tick wins. Malformed records are dropped. So are new ones once
 * the table is full, which is counted, and relayed ones that the partial view has no room for. A record that claims to
 * be this process raises its own incarnation instead. Returns whether a row was added. */
bool table_merge(Members *members, const MemberRecord *record, RecordSource source);
/* Updates the row of this process, and drops rows of members not heard of for MEMBER_FORGET_MS. */
void table_refresh(Members *members);
/* Controllers that ask are given this member's record again. */
void table_pass_on(Members *members, const char *id);
/* The row at the index, to be written. */
Member *table_row(Members *members, size_t at);
/* The row of the process that was last heard of at the address; null: there is none. */
Member *table_row_at(Members *members, const char *address);
/* Whether the record is that of this process. */
bool table_is_self(const Members *members, const MemberRecord *record);

#endif
