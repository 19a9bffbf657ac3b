/* The field tables of the membership messages, and the names of roles. */
#include "member/record.h"

#include "wire/shape.h"

SHAPE_TABLE(MemberRecord, MEMBER_FIELDS)
SHAPE_TABLE(Hello, HELLO_FIELDS)
SHAPE_TABLE(VoteAsk, VOTE_ASK_FIELDS)
SHAPE_TABLE(VoteAnswer, VOTE_ANSWER_FIELDS)

const char *role_word(Role role)
{
    static const char *const WORDS[] = {
#define X(name, word) word,
        ROLE_LIST(X)
#undef X
    };
    return (unsigned)role < ROLE_COUNT ? WORDS[role] : "unlisted";
}
