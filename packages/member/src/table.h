/* The membership table. */
#ifndef MEMBER_SRC_TABLE_H
#define MEMBER_SRC_TABLE_H

#include "member/members.h"

/* How a record was received. */
typedef enum RecordSource {
    RECORD_RELAYED,  /* passed on by another process */
    RECORD_ASKED_US, /* sent by its own process, with a request to this process */
    RECORD_ANSWERED  /* sent by its own process, in answer to a request of this process: both directions work */
} RecordSource;

/* Creates the table with the row of this process. */
void table_init(Members *members);
/* Merges a record: the higher (incarnation, tick) wins. Ignores malformed records. Also ignores new records once the
 * table is full, which is counted, and relayed records that do not fit into the partial view. A record that claims to
 * be of this process raises the incarnation of this process instead. Returns true if a row was added. */
bool table_merge(Members *members, const MemberRecord *record, RecordSource source);
/* Updates the row of this process, and removes the rows of members that have been silent too long or exceed the partial
 * view. */
void table_refresh(Members *members);
/* Marks the member's record as changed, so that controllers receive it again. */
void table_mark_changed(Members *members, const char *id);
/* The writable row at the index. */
Member *table_row(Members *members, size_t at);
/* The row of the process that was last heard from at the address; NULL if there is none. */
Member *table_find_address(Members *members, const char *address);
/* Whether the record is that of this process. */
bool table_is_self(const Members *members, const MemberRecord *record);

#endif
