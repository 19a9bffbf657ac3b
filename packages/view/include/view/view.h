#ifndef VIEW_VIEW_H
#define VIEW_VIEW_H

#include "base/ring.h"
#include "journal/journal.h"
#include "lock/lock.h"
#include "member/members.h"
#include "view/messages.h"

/* Ordered delivery. All members of a view deliver the same changes in one
 * order, numbered by (term, index). The lock's holder orders. A change is
 * committed once every voter still in the view has synced it, and a view is at
 * least a majority of the voters. A voter that does not sync in time is taken out
 * by a change of view, never waited for without end. */
typedef struct View View;

/* Numbers of changes that the view itself owns; the embedder's start above. */
#define VIEW_CHANGE_VIEW 1     /* payload: ViewRecord */
#define VIEW_CHANGE_VOTERS 2   /* payload: VoterList */
#define VIEW_CHANGE_REPAIRED 3 /* no payload */
#define VIEW_CHANGE_FIRST 16

/* What delivering a change brought about. */
typedef struct ChangeResult {
    Status status;
    uint64_t number;
    uint64_t index; /* of the change in the log; set by the view */
} ChangeResult;

/* The state that the changes build up, owned by the embedder. deliver, save and
 * load never wait. deliver must depend on the change and the state alone. */
typedef struct ViewState {
    void *arg;
    void (*deliver)(void *arg, const Record *change, ChangeResult *result);
    /* The whole state, on mem. */
    Bytes (*save)(void *arg, void *mem);
    /* Puts a saved state in place of the present one; empty bytes: the first state. */
    Status (*load)(void *arg, Bytes saved);
} ViewState;

typedef enum ViewPhase { VIEW_FOLLOWING, VIEW_OPENING, VIEW_LEADING } ViewPhase;

/* Called within the commit of the first entry of a view opened by this node,
 * before it counts as leading; does not wait. repair: it rests on woken voters,
 * so committed changes may have been lost and must be told again. */
typedef void (*ViewOpened)(void *arg, uint64_t term, bool new_holder, bool repair);

/* How this process may come to found a cluster. */
typedef enum ViewFounds {
    VIEW_FOUNDS_NEVER,    /* it only joins: an empty disk here is one that was lost or is new */
    VIEW_FOUNDS_BY_VOTES, /* the first start of all: by the votes of the seeds */
    VIEW_FOUNDS_BY_THREE, /* when exactly three empty disks see each other and nobody knows a cluster */
} ViewFounds;

typedef struct ViewSettings {
    Loop *loop;
    Rpc *rpc;
    Members *members; /* set by view_start */
    Recorder *recorder;
    ViewState state;
    ViewOpened opened;
    void *opened_arg;
    int losses; /* disks that may be lost at once: twice that and one voters are wanted; 0: 1 */
    ViewFounds founds;
    bool disks_keep;         /* what a disk has synced outlasts a loss of power */
    int64_t voter_back_ms;   /* a voter that returns, or is replaced, is whole again within this; 0: VOTER_GONE_MS */
    size_t snapshot_entries; /* the log is shortened after so many entries; 0: LOG_SNAPSHOT_ENTRIES */
} ViewSettings;

View *view_new(void *mem, const ViewSettings *settings);
/* Waits. Opens the journal and reads it: from here on view_disk is known. */
Status view_open_disk(View *view, const char *path, const char *node_name, Failure *failure);
/* Begins to answer as a voter and to stand for the lock. */
void view_start(View *view, Members *members);

/* Waits until the change is delivered here. NOT_LEADER, BUSY: certainly not
 * taken. OUTCOME_UNKNOWN: it may yet be delivered. OK: the result is told. */
Status view_submit(View *view, uint64_t change, Bytes payload, ChangeResult *result);

/* Orders a change and does not wait for it: it is delivered in its place, or this
 * node leads no more. Waits only while the view is opened anew. */
Status view_offer(View *view, uint64_t change, Bytes payload);
/* Waits until all that was ordered so far is delivered here. */
Status view_settle(View *view);
/* Waits. What was lost has been told again. */
Status view_repaired(View *view);

/* Whether this node holds the lock and leads, as of now, by its own clock. */
bool view_leading(const View *view);
/* Whether it holds the lock, also while it opens a view anew: holds may be
 * answered, nothing may be decided. */
bool view_holds(const View *view);
/* Waits until a majority of the voters has granted the lock to this node in answer to
 * questions that were sent after the call: whatever the clocks do, nobody else had led by
 * the time of the call. NOT_LEADER: another may; EXPIRED: nobody knows. */
Status view_contact(View *view, int64_t until_ms);
uint64_t view_term(const View *view);
/* When this node won the lock from another (or from nobody). */
int64_t view_won_ms(const View *view);
/* The time that the log counts: never goes back, passes only while a leader's
 * or follower's own clock passes. */
int64_t view_clock_ms(const View *view);
/* The median of the voters' wall clocks, carried on by the own clock. */
int64_t view_wall_ms(const View *view);
/* Gives the lock up, if held; does not propose itself for rest_ms. */
void view_step_down(View *view, int64_t rest_ms);
/* Waits, until then at most. The process is to end, and has told the members so: a
 * leader has a learner added as a voter and hands the lock over; whoever leads then
 * removes this voter. Where no learner is there it stays a voter, and says so. */
void view_leave(View *view, int64_t until_ms);

/* Cluster and voters. */
bool view_founded(const View *view);
uint64_t view_cluster(const View *view); /* 0: none */
bool view_seated(const View *view);
uint64_t view_disk(const View *view);
/* The disks that have a voter; their count. */
size_t view_voters(const View *view, uint64_t voters[VOTER_MOST]);
/* Waits. Makes this disk part of a cluster. */
Status view_found(View *view, uint64_t cluster, const VoterList *voters);
/* Founds a cluster, as the settings say. */
void view_founding(View *view);
/* Whether a lock holder is known to run here (rule 2's question). */
bool view_knows_holder(const View *view);

/* For status. */
typedef struct ViewVoterSight {
    uint64_t disk;
    bool in_view;
    bool answers;
    bool woke;
    int64_t sync_ms;
    uint64_t match_index;
    uint64_t sight;
} ViewVoterSight;

/* A core without a vote that follows the log; known to the leader alone. */
typedef struct ViewLearnerSight {
    uint64_t disk;
    bool answers;
    bool ready; /* it can be given a vote at once */
    uint64_t match_index;
} ViewLearnerSight;

typedef struct ViewSight {
    ViewPhase phase;
    uint64_t term;
    uint64_t holder;
    bool woke;
    uint64_t last_index, commit_index, delivered_index, base_index;
    int64_t lease_left_ms;
    uint64_t view_changes;
    size_t voter_count; /* of the rows of voters, which are those of the disks that have one */
    ViewVoterSight voters[VOTER_MOST];
    size_t learner_count;
    ViewLearnerSight learners[LEARNER_MOST];
    int losses_borne; /* so many more voters may be lost; negative: so many are missing for a majority */
    int losses_asked; /* as the settings ask */
    JournalCounts journal;
    uint64_t other_histories; /* orders to drop what is committed, all refused */
} ViewSight;

void view_sight(const View *view, ViewSight *sight);
/* For lines of the log, at any time, also before the disk is open: the term that this
 * node is in, and how far it knows the log to be committed. */
void view_place(const View *view, uint64_t *term, uint64_t *commit_index);
/* Raised after each delivery and each change of phase. */
Signal *view_news(View *view);

#endif
